package autoscaler

import (
	"fmt"
	"math"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

const (
	// provisionRetryAfter is the time after which a request without an answer is
	// repeated, and maxProvisionTries how often that is done before it is given up.
	provisionRetryAfter = 2 * time.Second
	maxProvisionTries   = 5
	// minRefusalPause and maxRefusalPause bound the time for which a kind that the cloud
	// has none of is not requested again.
	minRefusalPause = 10 * time.Second
	maxRefusalPause = time.Minute
)

// refusal is the exponential backoff of a kind of which the cloud has no machines.
type refusal struct {
	until clock.Time
	pause time.Duration
}

// provisionCall is a request to provision machines that has no final answer yet.
type provisionCall struct {
	request     protocol.ProvisionRequest
	at          clock.Time       // when it was last sent
	reservation reservation.Name // the reservation that it is for, if any
	tries       int
	inFlight    bool
}

// kind is the kind of the requested machines.
func (c *provisionCall) kind() binpack.Kind {
	return binpack.Kind{Type: c.request.Type, Zone: c.request.Zone, Spot: c.request.Spot}
}

// retryProvisionCalls repeats the requests that have no answer: their machines may have
// been provisioned. Only a request of the same name can find that out without
// provisioning more.
func (a *Autoscaler) retryProvisionCalls() {
	for name, call := range ordered.ByKey(a.provisionCalls) {
		switch {
		case call.inFlight || a.Since(call.at) < provisionRetryAfter:
		case call.tries > maxProvisionTries:
			delete(a.provisionCalls, name)
		default:
			a.provision(call)
		}
	}
}

// provision sends a request, for the first time or again.
func (a *Autoscaler) provision(call *provisionCall) {
	call.inFlight, call.at = true, a.Now
	call.tries++
	r := call.request
	a.Log.Debug("requested machines", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "request", r.Name)
	a.Emit(message.Provision{Request: r})
}

// provisionPlanned sends the plan's requests, as many at a time as the cloud answers in a
// second; the next plan requests the rest.
func (a *Autoscaler) provisionPlanned(plan *binpack.Plan) {
	for _, order := range plan.Orders() {
		if float64(len(a.provisionCalls)) >= math.Max(1, a.Settings.Site.Cloud.RPS) {
			return
		}
		if a.canaryOnly(order.Kind) {
			order.Count = 1
		}
		a.provisionCount++
		request := protocol.ProvisionRequest{
			Name: fmt.Sprintf("%s-%d-%d-%d", a.Self, a.Session, a.View.Term, a.provisionCount),
			Type: order.Type, Zone: order.Zone, Spot: order.Spot, Count: order.Count,
		}
		call := &provisionCall{request: request, reservation: reservation.Name(order.Purpose)}
		a.provisionCalls[request.Name] = call
		a.provision(call)
	}
}

// Provisioned handles the answer to a request. A request whose outcome is unknown is
// repeated by its name later. A kind of which the cloud has fewer machines than requested
// is not requested for a while, longer each time.
func (a *Autoscaler) Provisioned(m message.ProvisionDone) {
	call := a.provisionCalls[m.Request.Name]
	if call == nil {
		return
	}
	call.inFlight = false
	kind := call.kind()
	switch m.Outcome {
	case message.OutcomeDone:
		delete(a.provisionCalls, m.Request.Name)
		for _, id := range m.Machines {
			a.booting[id] = bootingMachine{Kind: kind, at: a.Now}
		}
		a.planner.chooseReserved() // before the machines are used for other work
		a.Log.Info("rented", "machines", m.Machines, "request", m.Request.Name)
		delete(a.refusals, kind)
		if len(m.Machines) != m.Request.Count {
			a.refused(kind)
		}
	case message.OutcomeFailed, message.OutcomeRefused:
		delete(a.provisionCalls, m.Request.Name)
		a.Log.Debug("request for machines failed", "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot)
		a.refused(kind)
	default:
		return
	}
	if a.mayPlan() {
		a.PlanScaleOut() // more of this kind, or the next best one, without waiting for the next plan
	}
}

// refused lets a kind pause for twice as long as the last time.
func (a *Autoscaler) refused(kind binpack.Kind) {
	pause := min(max(2*a.refusals[kind].pause, minRefusalPause), maxRefusalPause)
	a.refusals[kind] = refusal{until: a.After(pause), pause: pause}
}
