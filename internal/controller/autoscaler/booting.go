package autoscaler

import (
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// maxOverdueBoots is the number of overdue machines of a kind from which on only one machine
// of the kind is requested at a time, if none has registered for the boot timeout. Fewer are
// no sign of a fault: a small share of machines never boots.
const maxOverdueBoots = 3

// Constant parts of the times after which a booting machine counts as overdue
// (bootTimeout) and as failed (bootDeadline), in addition to multiples of its type's boot
// time.
const (
	bootTimeoutSlack  = 10 * time.Second
	bootDeadlineSlack = 30 * time.Second
)

// bootingMachine is a machine that has been provisioned and has not registered yet.
type bootingMachine struct {
	binpack.Kind
	provisionedAt clock.Time // when it was provisioned
}

// bootHistory describes the recent boots of machines of a kind.
type bootHistory struct {
	lastRegisteredAt clock.Time // when a machine of the kind last registered
	// canaryOnly is set when maxOverdueBoots machines are overdue and none has registered for
	// the boot timeout. Until one registers, only one is requested at a time, and plans
	// don't count on booting machines of the kind.
	canaryOnly bool
}

// updateBooting adds the machines that the cloud lists as booting, and drops those that
// have registered, have exceeded their boot deadline or were terminated. It restricts a kind
// to one machine at a time if maxOverdueBoots of its machines are overdue and none has
// registered for the boot timeout.
func (a *Autoscaler) updateBooting() {
	a.addListedBooting()
	overdue := map[binpack.Kind]int{}
	for id, m := range a.booting {
		registered := a.table.Machines[id] != nil
		if registered {
			*a.bootHistoryOf(m.Kind) = bootHistory{lastRegisteredAt: a.Now}
		} else if a.Since(m.provisionedAt) > a.bootTimeout(m.Type) {
			overdue[m.Kind]++
		}
		if registered || a.Now-m.provisionedAt > clock.Time(a.bootDeadline(m.Type)) || a.terminatedAt[id] != 0 {
			delete(a.booting, id)
		}
	}
	for kind, n := range overdue {
		history := a.bootHistoryOf(kind)
		if !history.canaryOnly && n >= maxOverdueBoots && a.Since(history.lastRegisteredAt) > a.bootTimeout(kind.Type) {
			history.canaryOnly = true
			a.Log.Info("too many overdue machines of a kind: requesting one at a time until one registers", "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot, "overdue", n)
		}
	}
}

// addListedBooting adds the machines that the cloud lists as booting and that are neither
// registered, terminated nor among the booting ones already: an earlier autoscaler
// provisioned them. Their time of provisioning follows from the age in the list.
func (a *Autoscaler) addListedBooting() {
	for id, listed := range a.listed {
		_, known := a.booting[id]
		if known || a.table.Machines[id] != nil || listed.State != listedBooting || a.terminatedAt[id] != 0 {
			continue
		}
		a.booting[id] = bootingMachine{
			Kind:          binpack.Kind{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot},
			provisionedAt: a.Now - clock.Time(listed.AgeS*float64(time.Second)),
		}
	}
}

// bootHistoryOf returns the boot history of a kind. It adds an empty one for a new kind.
func (a *Autoscaler) bootHistoryOf(kind binpack.Kind) *bootHistory {
	history := a.bootHistories[kind]
	if history == nil {
		history = &bootHistory{}
		a.bootHistories[kind] = history
	}
	return history
}

// canaryOnly reports whether only one machine of a kind may be requested at a time, since
// several recent ones did not register in time (bootHistory.canaryOnly).
func (a *Autoscaler) canaryOnly(kind binpack.Kind) bool {
	history := a.bootHistories[kind]
	return history != nil && history.canaryOnly
}

// canaryInProgress reports whether only one machine of a kind may be requested at a time, and
// one is booting or requested already. Its registration lifts the restriction.
func (a *Autoscaler) canaryInProgress(kind binpack.Kind) bool {
	if !a.canaryOnly(kind) {
		return false
	}
	for _, m := range a.booting {
		if m.Kind == kind {
			return true
		}
	}
	for _, call := range a.provisionCalls {
		if call.kind() == kind {
			return true
		}
	}
	return false
}

// bootTimeout returns the time after its provisioning from which on an unregistered machine
// of a type counts as overdue: twice the type's boot time plus bootTimeoutSlack.
func (a *Autoscaler) bootTimeout(t protocol.MachineType) time.Duration {
	return config.Seconds(2*a.Types[t].BootS) + bootTimeoutSlack
}

// bootDeadline returns the time after its provisioning from which on an unregistered machine
// of a type counts as failed: four times the type's boot time plus bootDeadlineSlack.
func (a *Autoscaler) bootDeadline(t protocol.MachineType) time.Duration {
	return time.Duration(4*a.Types[t].BootS*float64(time.Second)) + bootDeadlineSlack
}
