package operatorrequest

import (
	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// Decision is the reply to an operator's request and, if it is not nil, the transaction
// that has to be committed before the reply may be sent.
type Decision struct {
	Reply       operatorapi.Reply
	Transaction *protocol.Transaction
}

// refuse returns a decision that changes nothing and gives a code and a reason.
func refuse(code operatorapi.Code, reason string) Decision {
	return Decision{Reply: operatorapi.Reply{Code: code, Reason: reason}}
}

// Handler decides on operators' requests from the state of this controller. It changes none of
// it, but passes requested moves of shards to package membership.
type Handler struct {
	clusterstate.Module
	members      *membership.Members
	table        *waittable.Table
	reservations *holds.Holds
	planner      *autoscaler.ReservationPlanner
}

// New returns a handler of operators' requests.
func New(module clusterstate.Module, members *membership.Members, table *waittable.Table, reservations *holds.Holds, planner *autoscaler.ReservationPlanner) *Handler {
	return &Handler{Module: module, members: members, table: table, reservations: reservations, planner: planner}
}

// noSuchOperation is the reason for refusing a request whose operation is unknown or lacks
// its arguments.
const noSuchOperation = "no such operation"

// Decide decides on a request by its operation. The operator is identified by the name of the
// key that sealed the request. The request is refused, to be repeated later, while this
// controller has no session, no catalogue of machine types or no wall-clock time.
func (h *Handler) Decide(operator string, r *operatorapi.Request) Decision {
	if h.Session == 0 || len(h.Types) == 0 || h.WallMS == 0 {
		return refuse(operatorapi.RetryLater, "not ready")
	}
	if r.Config == nil {
		r.Config = &operatorapi.ConfigRequest{}
	}
	switch r.Op {
	case operatorapi.OpConfig:
		return h.showConfiguration(r)
	case operatorapi.OpConfigure:
		return h.configure(operator, r)
	case operatorapi.OpConfigStatus:
		return h.configurationStatus()
	case operatorapi.OpShares:
		return h.listShards()
	case operatorapi.OpMove:
		return h.moveShards(r)
	case operatorapi.OpAway:
		return h.cordonController(r)
	case operatorapi.OpList:
		return h.listCalendar(r)
	case operatorapi.OpShow:
		return h.showEntry(r)
	case operatorapi.OpCancel:
		return h.cancelEntry(r)
	case operatorapi.OpAdd:
		return h.addEntry(operator, r)
	}
	return refuse(operatorapi.Refused, noSuchOperation)
}

// addEntry decides on adding the reservation or window that a request contains, and refuses a
// request that lacks it.
func (h *Handler) addEntry(operator string, r *operatorapi.Request) Decision {
	switch {
	case !r.Window && r.Reservation != nil:
		return h.addReservation(operator, r)
	case r.Window && r.Spec != nil:
		return h.addWindow(operator, r)
	}
	return refuse(operatorapi.Refused, noSuchOperation)
}
