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

// rendezvousKey is the rendezvous hashing key that selects which member of the view is the
// autoscaler. All controllers of a cluster have to use the same key.
const rendezvousKey = "fleet"

// These intervals follow from the boot time of machines and the lag of the cloud's list.
const (
	// PlanInterval is the minimum time between two regular plans of an autoscaler.
	PlanInterval = 2 * time.Second
	// SettleTime is how long after this controller adopted a view it makes no plans as the
	// view's autoscaler.
	SettleTime = 4 * time.Second
	// listInterval is the interval between two requests for the cloud's list of machines.
	listInterval = 5 * time.Second
)

// States of a machine in the cloud's list.
const (
	listedBooting = "booting"
	listedRunning = "running"
	listedFailed  = "failed"
)

// Autoscaler provisions and terminates machines while this controller is the autoscaler of
// the view. It holds the cloud's last list of machines, the requests without an answer, the
// booting machines and the kinds that can't be requested now.
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
	listed              map[protocol.MachineID]protocol.ListedMachine
	listRequestEndedAt  clock.Time // when the last request for the list ended, whether or not it succeeded
	listReceivedAt      clock.Time // when the last list was received
	listRequestInFlight bool       // a request for the list has no answer yet
	ListReceived        bool       // a list has been received in this session
	// unregisteredSince holds, for each listed machine without a registration, since when
	// its worker could have registered it.
	unregisteredSince      map[protocol.MachineID]clock.Time
	seenRunning            map[protocol.MachineID]bool       // machines that the cloud has listed as running
	terminationRequestedAt map[protocol.MachineID]clock.Time // when the termination of a machine was last requested
	terminatedAt           map[protocol.MachineID]clock.Time // when the cloud confirmed a termination; lists may still contain the machine

	// Requests to provision machines, and their results by kind of machine.
	provisionCalls map[string]*provisionCall // by request name
	provisionCount uint64                    // number of requests in this session; part of a request's name
	booting        map[protocol.MachineID]bootingMachine
	refusals       map[binpack.Kind]refusal
	bootHistories  map[binpack.Kind]*bootHistory
}

// New returns an autoscaler and its reservation planner. Reset has to be called on both
// before use.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, reservations *holds.Holds, placer *placement.Placer) (*Autoscaler, *ReservationPlanner) {
	a := &Autoscaler{Module: module, table: table, workload: work, reservations: reservations, placer: placer}
	a.planner = &ReservationPlanner{Module: module, table: table, reservations: reservations, autoscaler: a}
	return a, a.planner
}

// Reset drops the state of the previous session.
func (a *Autoscaler) Reset() {
	*a = Autoscaler{
		Module: a.Module, table: a.table, workload: a.workload, reservations: a.reservations, placer: a.placer, planner: a.planner,
		listed:                 map[protocol.MachineID]protocol.ListedMachine{},
		unregisteredSince:      map[protocol.MachineID]clock.Time{},
		seenRunning:            map[protocol.MachineID]bool{},
		terminationRequestedAt: map[protocol.MachineID]clock.Time{},
		terminatedAt:           map[protocol.MachineID]clock.Time{},
		provisionCalls:         map[string]*provisionCall{},
		booting:                map[protocol.MachineID]bootingMachine{},
		refusals:               map[binpack.Kind]refusal{},
		bootHistories:          map[binpack.Kind]*bootHistory{},
	}
}

// RecordViewAdoption records that a view was adopted now. If this controller is its
// autoscaler, it makes its first plan SettleTime later.
func (a *Autoscaler) RecordViewAdoption(now clock.Time) { a.viewAdoptedAt = now }

// Step does the due work of the autoscaler, and nothing on any other controller: it requests
// the cloud's list of machines, repeats requests without an answer and, every PlanInterval,
// chooses holds for reservations and scales the cluster out and in.
func (a *Autoscaler) Step() {
	if !a.isElected() {
		return
	}
	a.requestList()
	a.retryProvisionCalls()
	if !a.mayPlan() || a.Since(a.plannedAt) < PlanInterval {
		return
	}
	a.plannedAt = a.Now
	a.updateBooting()
	a.planner.planReservations()
	a.PlanScaleOut()
	a.scaleIn()
}

// isElected reports whether this controller is the autoscaler of the view, holds its own
// lease as a controller, and has received the catalogue of machine types.
func (a *Autoscaler) isElected() bool {
	return a.HoldsLease() && len(a.Types) > 0 && clusterstate.Rendezvous(a.View, rendezvousKey) == a.Self
}

// mayPlan reports whether this controller is the autoscaler and may make plans: it has
// received a list of machines in this session, and adopted the view at least SettleTime ago.
func (a *Autoscaler) mayPlan() bool {
	return a.isElected() && a.ListReceived && a.Since(a.viewAdoptedAt) >= SettleTime
}

// requestList requests the cloud's list of machines if none has been received yet or if
// the last request ended more than listInterval ago.
func (a *Autoscaler) requestList() {
	if a.listRequestInFlight || a.ListReceived && a.Since(a.listRequestEndedAt) <= listInterval {
		return
	}
	a.listRequestInFlight = true
	a.Emit(message.ListMachines{})
}

// terminatedRetention is the minimum time for which a machine is remembered as terminated. It
// is remembered longer if the cloud still lists it.
const terminatedRetention = 5 * time.Minute

// HandleMachinesListed adopts the cloud's list of machines in place of the previous one, and
// forgets the terminated machines that are no longer listed after terminatedRetention. If the
// request failed, the previous list is kept.
func (a *Autoscaler) HandleMachinesListed(m message.MachinesListed) {
	a.listRequestInFlight = false
	a.listRequestEndedAt = a.Now
	if !m.OK {
		return
	}
	a.ListReceived, a.listReceivedAt = true, a.Now
	clear(a.listed)
	for _, l := range m.Machines {
		a.listed[l.ID] = l
	}
	for id, at := range a.terminatedAt {
		if _, ok := a.listed[id]; !ok && a.Since(at) > terminatedRetention {
			delete(a.terminatedAt, id)
			delete(a.seenRunning, id)
		}
	}
}
