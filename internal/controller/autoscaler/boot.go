package autoscaler

import (
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// maxOverdueBoots is how many machines of a kind may be overdue before the kind is tried
// with one machine at a time: a few machines never come up.
const maxOverdueBoots = 3

// Slack beyond the usual boot time of a type, for an overdue machine and for one that is
// given up.
const (
	bootTimeoutSlack  = 10 * time.Second
	bootDeadlineSlack = 30 * time.Second
)

// bootingMachine is a machine that was provisioned and has not registered yet.
type bootingMachine struct {
	binpack.Kind
	at clock.Time // when it was provisioned
}

// bootRecord is how machines of a kind have come up.
type bootRecord struct {
	lastUp clock.Time // when one last did
	// canaryOnly says that too many are overdue and none has come up for too long: no
	// more than one is requested at a time, and none is counted on, until one comes up.
	canaryOnly bool
}

// updateBooting adds the machines that the cloud lists as booting, drops those that have
// registered or never will, and tells the kinds that do not come up.
func (a *Autoscaler) updateBooting() {
	a.addListedBooting()
	overdue := map[binpack.Kind]int{}
	for id, m := range a.booting {
		registered := a.table.Machines[id] != nil
		if registered {
			*a.bootRecordOf(m.Kind) = bootRecord{lastUp: a.Now}
		} else if a.Since(m.at) > a.bootTimeout(m.Type) {
			overdue[m.Kind]++
		}
		if registered || a.Now-m.at > clock.Time(a.bootDeadline(m.Type)) || a.terminated[id] != 0 {
			delete(a.booting, id)
		}
	}
	for kind, n := range overdue {
		history := a.bootRecordOf(kind)
		if !history.canaryOnly && n >= maxOverdueBoots && a.Since(history.lastUp) > a.bootTimeout(kind.Type) {
			history.canaryOnly = true
			a.Log.Info("machines of a kind do not come up: one at a time is tried", "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot, "overdue", n)
		}
	}
}

// addListedBooting adds the machines that an earlier autoscaler has provisioned.
func (a *Autoscaler) addListedBooting() {
	for id, l := range a.listed {
		_, known := a.booting[id]
		if known || a.table.Machines[id] != nil || l.State != listedBooting || a.terminated[id] != 0 {
			continue
		}
		a.booting[id] = bootingMachine{
			Kind: binpack.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot},
			at:   a.Now - clock.Time(l.AgeS*float64(time.Second)),
		}
	}
}

// bootRecordOf returns the boot record of a kind, an empty one for a new kind.
func (a *Autoscaler) bootRecordOf(kind binpack.Kind) *bootRecord {
	history := a.bootHistory[kind]
	if history == nil {
		history = &bootRecord{}
		a.bootHistory[kind] = history
	}
	return history
}

// canaryOnly reports whether machines of a kind do not come up at present.
func (a *Autoscaler) canaryOnly(kind binpack.Kind) bool {
	history := a.bootHistory[kind]
	return history != nil && history.canaryOnly
}

// canaryUnderWay reports whether machines of a kind do not come up at present and one is
// booting or requested already that will show when they do again.
func (a *Autoscaler) canaryUnderWay(kind binpack.Kind) bool {
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

// bootTimeout is how long after its request a machine should have registered.
func (a *Autoscaler) bootTimeout(t protocol.MachineType) time.Duration {
	return config.Seconds(2*a.Types[t].BootS) + bootTimeoutSlack
}

// bootDeadline is how long after its request a machine that has not registered is given up.
func (a *Autoscaler) bootDeadline(t protocol.MachineType) time.Duration {
	return time.Duration(4*a.Types[t].BootS*float64(time.Second)) + bootDeadlineSlack
}
