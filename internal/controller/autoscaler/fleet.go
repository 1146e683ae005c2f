package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// Autoscaler is what the controller that rents machines keeps of them.
type Autoscaler struct {
	clusterstate.Module
	table        *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	placer       *placement.Placer
	planner      *ReservationPlanner

	since           clock.Time // when this view was adopted
	listed          map[protocol.MachineID]protocol.ListedMachine
	listedAt        clock.Time
	heardAt         clock.Time // when a list last came
	listing         bool
	HaveList        bool
	orphan          map[protocol.MachineID]clock.Time // listed, not registered: since when
	bootingMachines map[protocol.MachineID]bootingMachine
	ProvisionCalls  map[string]*provisionCall
	requests        uint64
	Refusals        map[binpack.Kind]Refusal
	bootHistory     map[binpack.Kind]*bootRecord
	deleting        map[protocol.MachineID]clock.Time
	terminated      map[protocol.MachineID]clock.Time // lists may still show them
	lastPlan        clock.Time
	seen            map[protocol.MachineID]bool // listed as running at some time
}

// bootingMachine is a machine rented that has not reported yet.
type bootingMachine struct {
	binpack.Kind
	at clock.Time
}

// Refusal is a kind the cloud had none of: not asked for again for a while,
// longer each time.
type Refusal struct {
	Until clock.Time
	pause time.Duration
}

type provisionCall struct {
	Request     protocol.ProvisionRequest
	at          clock.Time
	reservation reservation.Name // the reservation that it is for, if any
	tries       int
	inFlight    bool
}

// Kind is what was asked for.
func (r *provisionCall) kind() binpack.Kind {
	return binpack.Kind{Type: r.Request.Type, Zone: r.Request.Zone, Spot: r.Request.Spot}
}

// New makes an autoscaler with its planner of reservations.
func New(p clusterstate.Module, table *waittable.Table, work *workload.Workload, held *holds.Holds, place *placement.Placer) (*Autoscaler, *ReservationPlanner) {
	as := &Autoscaler{Module: p, table: table, workload: work, reservations: held, placer: place}
	as.planner = &ReservationPlanner{Module: p, table: table, reservations: held, autoscaler: as}
	return as, as.planner
}

// Reset forgets everything a session knew.
func (as *Autoscaler) Reset() {
	*as = Autoscaler{
		Module: as.Module, table: as.table, workload: as.workload, reservations: as.reservations, placer: as.placer, planner: as.planner,
		listed: map[protocol.MachineID]protocol.ListedMachine{}, orphan: map[protocol.MachineID]clock.Time{},
		bootingMachines: map[protocol.MachineID]bootingMachine{}, ProvisionCalls: map[string]*provisionCall{}, Refusals: map[binpack.Kind]Refusal{}, bootHistory: map[binpack.Kind]*bootRecord{},
		deleting: map[protocol.MachineID]clock.Time{}, terminated: map[protocol.MachineID]clock.Time{}, seen: map[protocol.MachineID]bool{},
	}
}

func (f *Autoscaler) ViewAdopted(now clock.Time) { f.since = now }

// Timings of the fleet. They follow from how machines boot and the list lags.
const (
	PlanEvery     = 2 * time.Second
	listEvery     = 5 * time.Second
	refusedPause  = 10 * time.Second
	refusedAtMost = time.Minute
	SettleTime    = 4 * time.Second
)

// Step rents and returns machines, if that is this controller's role.
func (as *Autoscaler) Step() {
	f := as
	if !as.HoldsLease() || len(as.Types) == 0 || clusterstate.Rendezvous(as.View, "fleet") != as.Self {
		return
	}
	if !f.listing && (!f.HaveList || as.Since(f.listedAt) > listEvery) {
		f.listing = true
		as.Emit(message.ListMachines{})
	}
	for name, r := range ordered.Of(f.ProvisionCalls) {
		switch {
		case r.inFlight || as.Since(r.at) < 2*time.Second:
		case r.tries > 5:
			delete(f.ProvisionCalls, name)
		default:
			// No answer came: the machines may be rented. Only the same name
			// asks without renting twice.
			as.provision(r)
		}
	}
	if !as.isAutoscaler() || as.Since(f.lastPlan) < PlanEvery {
		return
	}
	f.lastPlan = as.Now
	as.updateBooting()
	as.planner.chooseReserved()
	as.PlanScaleOut()
	as.scaleIn()
}

// updateBooting drops from the machines awaited those that came or never will.
func (as *Autoscaler) updateBooting() {
	f := as
	for id, l := range f.listed {
		if _, ok := f.bootingMachines[id]; !ok && as.table.Machines[id] == nil && l.State == "booting" && f.terminated[id] == 0 {
			f.bootingMachines[id] = bootingMachine{binpack.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}, as.Now - clock.Time(l.AgeS*float64(time.Second))}
		}
	}
	overdue := map[binpack.Kind]int{}
	for id, m := range f.bootingMachines {
		up := as.table.Machines[id] != nil
		if up {
			*f.historyOf(m.Kind) = bootRecord{lastUp: as.Now}
		} else if as.Since(m.at) > as.bootTimeout(m.Type) {
			overdue[m.Kind]++
		}
		if up || as.Now-m.at > clock.Time(as.bootDeadline(m.Type)) || f.terminated[id] != 0 {
			delete(f.bootingMachines, id)
		}
	}
	for k, n := range overdue {
		if b := f.historyOf(k); !b.trial && n >= maxOverdueBoots && as.Since(b.lastUp) > as.bootTimeout(k.Type) {
			b.trial = true
			as.Log.Info("machines of a kind do not come up: one at a time is tried", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "overdue", n)
		}
	}
}

// booting is how machines of a kind come up.
type bootRecord struct {
	lastUp clock.Time // when one last did
	// Trial: so many are overdue and none has come up for so long that no more than
	// one is asked for at a time, and none is counted on, until one comes up.
	trial bool
}

// maxOverdueBoots is how many machines of a kind may be overdue while none comes up: a
// few never do.
const maxOverdueBoots = 3

// historyOf is how machines of a kind come up.
func (f *Autoscaler) historyOf(k binpack.Kind) *bootRecord {
	b := f.bootHistory[k]
	if b == nil {
		b = &bootRecord{}
		f.bootHistory[k] = b
	}
	return b
}

// canary reports whether machines of a kind do not come up at present, and whether
// one is under way to find out.
func (f *Autoscaler) canary(k binpack.Kind) (trial, underWay bool) {
	if b := f.bootHistory[k]; b == nil || !b.trial {
		return false, false
	}
	for _, m := range f.bootingMachines {
		underWay = underWay || m.Kind == k
	}
	for _, r := range f.ProvisionCalls {
		underWay = underWay || r.kind() == k
	}
	return true, underWay
}

// bootTimeout is how long after it was rented a machine should be up.
func (as *Autoscaler) bootTimeout(t protocol.MachineType) time.Duration {
	return config.Seconds(2*as.Types[t].BootS) + 10*time.Second
}

// bootDeadline is how long a machine may take to come up before it is given up.
func (as *Autoscaler) bootDeadline(t protocol.MachineType) time.Duration {
	return time.Duration(4*as.Types[t].BootS*float64(time.Second)) + 30*time.Second
}

func (as *Autoscaler) provision(r *provisionCall) {
	r.inFlight, r.at = true, as.Now
	r.tries++
	as.Log.Debug("renting", "type", r.Request.Type, "zone", r.Request.Zone, "spot", r.Request.Spot, "count", r.Request.Count, "request", r.Request.Name)
	as.Emit(message.Provision{Request: r.Request})
}

func (as *Autoscaler) Provisioned(m message.ProvisionDone) {
	f := as
	r := f.ProvisionCalls[m.Request.Name]
	if r == nil {
		return
	}
	r.inFlight = false
	k := r.kind()
	switch m.Outcome {
	case message.OutcomeDone:
		delete(f.ProvisionCalls, m.Request.Name)
		for _, id := range m.Machines {
			f.bootingMachines[id] = bootingMachine{k, as.Now}
		}
		as.planner.chooseReserved() // before anybody else uses them
		as.Log.Info("rented", "machines", m.Machines, "request", m.Request.Name)
		delete(f.Refusals, k)
		if len(m.Machines) == m.Request.Count {
			if as.isAutoscaler() {
				as.PlanScaleOut() // there may be more of it
			}
			return
		}
	case message.OutcomeFailed, message.OutcomeRefused:
		delete(f.ProvisionCalls, m.Request.Name)
		as.Log.Debug("not rented", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
	default:
		return // asked again by the same name
	}
	pause := min(max(2*f.Refusals[k].pause, refusedPause), refusedAtMost)
	f.Refusals[k] = Refusal{as.After(pause), pause}
	if as.isAutoscaler() {
		as.PlanScaleOut() // the next best kind, at once
	}
}

// isAutoscaler reports whether this controller rents and returns machines.
func (as *Autoscaler) isAutoscaler() bool {
	return as.HoldsLease() && len(as.Types) > 0 && clusterstate.Rendezvous(as.View, "fleet") == as.Self && as.HaveList && as.Since(as.since) >= SettleTime
}

// IdleTimeout is how long a machine is kept idle, in seconds: as long as the boot
// of another would cost. Where it is known what is likely to come meanwhile,
// and there is room for that without the machine, it is not waited for. A
// controller that has just begun knows that of no class.
func (as *Autoscaler) IdleTimeout(t protocol.TypeInfo, spare float64) float64 {
	keep := math.Min(t.BootS, as.Op.IdleReturn.Seconds())
	if !math.IsInf(spare, 1) && as.Since(as.SessionStart).Seconds() > forecast.KnownBoots*t.BootS {
		keep = math.Min(keep, IdleKnown.Seconds())
	}
	return keep
}

// IdleKnown is how long a machine is idle before that is more than the moment
// between two tasks.
const IdleKnown = 2 * PlanEvery

// SpareProcessors is how many processors there are beyond what is held by more
// urgent work, what waits, and what the classes that need not start at once are
// likely to need.
func (as *Autoscaler) SpareProcessors() float64 {
	top, spare, any := 0, 0.0, false
	for _, k := range ordered.Of(as.workload.Classes) {
		if work := as.workload.ComingWork(k); work > 0 {
			spare -= work / as.workload.BootSeconds(&k.Job)
			top, any = max(top, k.Job.Priority.Rank()), true
		}
	}
	waits := 0.0
	for _, p := range ordered.Of(as.table.Peers) {
		for _, d := range p.Demand {
			if j := as.Live[d.Job]; j != nil && j.Priority.Rank() <= top { // the rest is held by queues
				waits += float64(d.Unstarted) * j.CPUs
			}
		}
	}
	if !any && waits == 0 {
		return math.Inf(1)
	}
	spare -= waits
	for _, m := range as.table.InOrder() {
		if as.table.Usable(m) {
			spare += m.FreeBelow(top).CPUs
		}
	}
	return spare
}

// scaleIn gives back what is idle, failed, faulty or never came up. A
// machine that may hold tasks is emptied first, or its lease is over.
func (as *Autoscaler) scaleIn() {
	f := as
	var gone []protocol.MachineID
	cl, spare := as.placer.NewClaims(), as.SpareProcessors()
	machines := slices.Clone(as.table.InOrder())
	slices.SortStableFunc(machines, func(a, b *waittable.Machine) int { // the dearest first
		return cmp.Compare(as.price(b.Kind()), as.price(a.Kind()))
	})
	for _, m := range machines {
		id := m.ID
		if f.terminated[id] != 0 {
			// The cloud's word is there, only its record could not be written
			// then: owners would wait out the lease of what is long gone.
			as.dropRecord(m)
			continue
		}
		if m.Reported.Epoch != m.Epoch || !as.table.Recent(m, 5*time.Second) {
			continue // nothing recent is known of it
		}
		l, listed := f.listed[id]
		f.seen[id] = f.seen[id] || listed && l.State == "running"
		silent, idleS := m.Reported.Silence == message.SilenceLong, m.Reported.IdleS+as.Since(m.ReportedAt).Seconds()
		switch empty := m.Reported.Heard && m.Reported.Held == 0 && m.PendingSum == 0; {
		case silent && (m.Reported.Noticed || f.seen[id] && !listed):
			// Taken, by all signs. The cloud's answer to its deletion proves
			// it, long before the worker's lease would.
			as.Log.Info("deleting a silent machine that seems taken", "machine", id)
			gone = append(gone, id)
		case empty && (m.Reported.Draining || m.Reported.Suspect):
			gone = append(gone, id)
		case as.planner.keepForReservation(m):
		case empty && !m.Reported.Draining && idleS > as.IdleTimeout(m.Info, spare) && spare >= m.Info.CPUs && cl.Release(m):
			spare -= m.Info.CPUs
			as.Log.Info("returning an idle machine", "machine", id, "idle_s", int(idleS))
			as.Send(as.DispatcherOf(id), message.PeerMessage{Drain: &id})
		}
	}
	for id, l := range ordered.Of(f.listed) {
		if as.table.Machines[id] != nil || f.terminated[id] != 0 {
			delete(f.orphan, id)
			if as.table.Machines[id] != nil && l.State == "failed" && f.terminated[id] == 0 {
				gone = append(gone, id) // stopped by itself: nothing runs on it
			}
			continue
		}
		if f.orphan[id] == 0 || l.State == "booting" {
			f.orphan[id] = as.Now // not up yet: its worker can't report
		}
		age := time.Duration(l.AgeS * float64(time.Second))
		switch {
		case l.State == "failed",
			l.State == "booting" && age > as.bootDeadline(l.Type),
			as.Since(f.orphan[id]) > as.WorkerLeaseBound()+config.Seconds(as.Types[l.Type].BootS):
			// Another takes as long to boot, and where a whole zone is cut
			// off it could not report either.
			as.Log.Info("returning a machine that does not report", "machine", id, "state", l.State)
			gone = append(gone, id)
		}
	}
	for id := range f.orphan {
		if _, ok := f.listed[id]; !ok {
			delete(f.orphan, id)
		}
	}
	gone = slices.DeleteFunc(gone, func(id protocol.MachineID) bool {
		return f.deleting[id] != 0 && as.Since(f.deleting[id]) < 8*time.Second
	})
	if len(gone) > 100 {
		gone = gone[:100]
	}
	if len(gone) > 0 {
		for _, id := range gone {
			f.deleting[id] = as.Now
		}
		as.Emit(message.Terminate{Machines: gone})
	}
}

// terminated: the cloud's word that machines are gone, and all on them. Their
// records go, which tells every owner.
func (as *Autoscaler) Terminated(m message.TerminateDone) {
	f := as
	for _, id := range m.Machines {
		delete(f.deleting, id)
		if !m.OK {
			continue
		}
		f.terminated[id] = as.Now
		delete(f.bootingMachines, id)
		as.Log.Info("machine returned", "machine", id)
		if have := as.table.Machines[id]; have != nil {
			as.dropRecord(have)
		}
	}
}

// dropRecord deletes the record of a machine that the cloud says is gone.
func (as *Autoscaler) dropRecord(m *waittable.Machine) {
	as.ChangeRecord(dispatcher.RemoveTag{Machine: m.ID}, message.RecordChange{Machine: m.ID, Have: m.Epoch})
}

func (as *Autoscaler) MachinesListed(m message.MachinesListed) {
	f := as
	f.listing = false
	f.listedAt = as.Now
	if !m.OK {
		return
	}
	f.HaveList, f.heardAt = true, as.Now
	clear(f.listed)
	for _, l := range m.Machines {
		f.listed[l.ID] = l
	}
	for id, at := range f.terminated {
		if _, ok := f.listed[id]; !ok && as.Since(at) > 5*time.Minute {
			delete(f.terminated, id)
			delete(f.seen, id)
		}
	}
}
