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
	// provisionRetryAfter is the minimum time after which a request whose outcome is
	// unknown is repeated, and maxProvisionTries the number of repetitions before it is
	// dropped.
	provisionRetryAfter = 2 * time.Second
	maxProvisionTries   = 5
	// minRefusalPause and maxRefusalPause bound the backoff after which a kind that the
	// cloud has refused is requested again.
	minRefusalPause = 10 * time.Second
	maxRefusalPause = time.Minute
)

// refusal is the exponential backoff of a kind of which the cloud had too few machines for a
// request.
type refusal struct {
	until clock.Time    // when the kind may be requested again
	pause time.Duration // length of this backoff
}

// provisionCall is a request to provision machines whose outcome is not known yet.
type provisionCall struct {
	request     protocol.ProvisionRequest
	sentAt      clock.Time       // when it was last sent
	reservation reservation.Name // the reservation that the machines are for, if any
	tries       int              // how often it was sent
	inFlight    bool             // the last sending has not ended yet
}

// kind returns the kind of the requested machines.
func (c *provisionCall) kind() binpack.Kind {
	return binpack.Kind{Type: c.request.Type, Zone: c.request.Zone, Spot: c.request.Spot}
}

// retryProvisionCalls repeats each request whose last sending ended with an unknown outcome
// and began at least provisionRetryAfter ago, and drops it after maxProvisionTries
// repetitions. Its machines may have been provisioned, and only a request of the same name
// can find that out without provisioning more.
func (a *Autoscaler) retryProvisionCalls() {
	for name, call := range ordered.ByKey(a.provisionCalls) {
		switch {
		case call.inFlight || a.Since(call.sentAt) < provisionRetryAfter:
		case call.tries > maxProvisionTries:
			delete(a.provisionCalls, name)
		default:
			a.provision(call)
		}
	}
}

// provision sends a request to the cloud, for the first time or again, and counts the try.
func (a *Autoscaler) provision(call *provisionCall) {
	call.inFlight, call.sentAt = true, a.Now
	call.tries++
	r := call.request
	a.Log.Debug("requested machines", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "request", r.Name)
	a.Emit(message.Provision{Request: r})
}

// sendPlannedRequests sends the plan's requests to the cloud, for one machine only if the kind
// is restricted to canaries. The requests without an answer are limited to as many as the
// cloud accepts in a second, but at least one; the next plan requests the rest.
func (a *Autoscaler) sendPlannedRequests(plan *binpack.Plan) {
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

// HandleProvisionDone adds the machines that a request has provisioned to the booting ones,
// chooses holds on them and plans again. A request with an unknown outcome is repeated later
// under the same name. A kind whose request failed or was refused, or of which the cloud has
// fewer machines than requested, is not requested until an exponential backoff has passed.
func (a *Autoscaler) HandleProvisionDone(m message.ProvisionDone) {
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
			a.booting[id] = bootingMachine{Kind: kind, provisionedAt: a.Now}
		}
		a.planner.planReservations() // holds resources on the machines before they are used for other work
		a.Log.Info("machines provisioned", "machines", m.Machines, "request", m.Request.Name)
		delete(a.refusals, kind)
		if len(m.Machines) != m.Request.Count {
			a.backOff(kind)
		}
	case message.OutcomeFailed, message.OutcomeRefused:
		delete(a.provisionCalls, m.Request.Name)
		a.Log.Debug("request for machines failed", "type", kind.Type, "zone", kind.Zone, "spot", kind.Spot)
		a.backOff(kind)
	default:
		return
	}
	if a.mayPlan() {
		a.PlanScaleOut() // requests more of this kind or the next best kind before the next regular plan
	}
}

// backOff excludes a kind from requests for twice as long as its last backoff, but at least
// minRefusalPause, which is also the first one after a success, and at most maxRefusalPause.
func (a *Autoscaler) backOff(kind binpack.Kind) {
	pause := min(max(2*a.refusals[kind].pause, minRefusalPause), maxRefusalPause)
	a.refusals[kind] = refusal{until: a.After(pause), pause: pause}
}
