package autoscaler

import (
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/protocol"
)

// rendezvousKey chooses the member of the view that is the autoscaler. All controllers of
// a cluster have to use the same key.
const rendezvousKey = "fleet"

// These intervals follow from how long machines boot and how far the cloud's list lags.
const (
	// PlanEvery is the time between two plans.
	PlanEvery = 2 * time.Second
	// SettleTime is how long a view has to be in force before its autoscaler plans.
	SettleTime = 4 * time.Second
	// listEvery is the time between two requests for the cloud's list of machines.
	listEvery = 5 * time.Second
)

// The cloud's states of a listed machine.
const (
	listedBooting = "booting"
	listedRunning = "running"
	listedFailed  = "failed"
)

// Autoscaler is the state of the controller that provisions and terminates machines.
type Autoscaler struct {
	clusterstate.Module
	table        *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	placer       *placement.Placer
	planner      *ReservationPlanner

	viewAdoptedAt clock.Time
	plannedAt     clock.Time

	// The cloud's list of machines.
	listed     map[protocol.MachineID]protocol.ListedMachine
	listedAt   clock.Time // when a request for the list last ended, failed or not
	receivedAt clock.Time // when a list was last received
	listing    bool       // a request is under way
	HaveList   bool       // a list has been received in this session
	// orphans are the listed machines that are not registered, with the time since when.
	orphans    map[protocol.MachineID]clock.Time
	seenUp     map[protocol.MachineID]bool       // listed as running at some time
	deleting   map[protocol.MachineID]clock.Time // when their termination was last requested
	terminated map[protocol.MachineID]clock.Time // the cloud has confirmed it; lists may still show them

	// Machines requested, and how requests for each kind have ended.
	provisionCalls map[string]*provisionCall // by the name of the request
	provisionCount uint64                    // requests made in this session, part of their names
	booting        map[protocol.MachineID]bootingMachine
	refusals       map[binpack.Kind]refusal
	bootHistory    map[binpack.Kind]*bootRecord
}

// New returns an autoscaler and the planner of reservations that works with it. Reset has
// to be called on both before use.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, held *holds.Holds, placer *placement.Placer) (*Autoscaler, *ReservationPlanner) {
	a := &Autoscaler{Module: module, table: table, workload: work, reservations: held, placer: placer}
	a.planner = &ReservationPlanner{Module: module, table: table, reservations: held, autoscaler: a}
	return a, a.planner
}

// Reset drops the state of the last session.
func (a *Autoscaler) Reset() {
	*a = Autoscaler{
		Module: a.Module, table: a.table, workload: a.workload, reservations: a.reservations, placer: a.placer, planner: a.planner,
		listed:         map[protocol.MachineID]protocol.ListedMachine{},
		orphans:        map[protocol.MachineID]clock.Time{},
		seenUp:         map[protocol.MachineID]bool{},
		deleting:       map[protocol.MachineID]clock.Time{},
		terminated:     map[protocol.MachineID]clock.Time{},
		provisionCalls: map[string]*provisionCall{},
		booting:        map[protocol.MachineID]bootingMachine{},
		refusals:       map[binpack.Kind]refusal{},
		bootHistory:    map[binpack.Kind]*bootRecord{},
	}
}

// ViewAdopted notes when the present view was adopted: the controller chosen by it waits
// for SettleTime before it plans.
func (a *Autoscaler) ViewAdopted(now clock.Time) { a.viewAdoptedAt = now }

// Step scales out and in, if this controller is the autoscaler.
func (a *Autoscaler) Step() {
	if !a.isElected() {
		return
	}
	a.requestList()
	a.retryProvisionCalls()
	if !a.mayPlan() || a.Since(a.plannedAt) < PlanEvery {
		return
	}
	a.plannedAt = a.Now
	a.updateBooting()
	a.planner.chooseReserved()
	a.PlanScaleOut()
	a.scaleIn()
}

// isElected reports whether this controller is the view's autoscaler and may act.
func (a *Autoscaler) isElected() bool {
	return a.HoldsLease() && len(a.Types) > 0 && clusterstate.Rendezvous(a.View, rendezvousKey) == a.Self
}

// mayPlan reports whether this controller is the autoscaler and knows enough to plan.
func (a *Autoscaler) mayPlan() bool {
	return a.isElected() && a.HaveList && a.Since(a.viewAdoptedAt) >= SettleTime
}

// requestList requests the cloud's list of machines when the last one is old.
func (a *Autoscaler) requestList() {
	if a.listing || a.HaveList && a.Since(a.listedAt) <= listEvery {
		return
	}
	a.listing = true
	a.Emit(message.ListMachines{})
}

// terminatedRetention is how long a terminated machine is remembered after the last list
// that shows it.
const terminatedRetention = 5 * time.Minute

// MachinesListed adopts the cloud's list of machines.
func (a *Autoscaler) MachinesListed(m message.MachinesListed) {
	a.listing = false
	a.listedAt = a.Now
	if !m.OK {
		return
	}
	a.HaveList, a.receivedAt = true, a.Now
	clear(a.listed)
	for _, l := range m.Machines {
		a.listed[l.ID] = l
	}
	for id, at := range a.terminated {
		if _, ok := a.listed[id]; !ok && a.Since(at) > terminatedRetention {
			delete(a.terminated, id)
			delete(a.seenUp, id)
		}
	}
}
