package frontend

import (
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/operatorrequest"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Controller is what the front end needs of the controller that it serves.
type Controller interface {
	// Now is the controller's steady clock.
	Now() clock.Time
	// Ready reports whether the load balancer may send requests here.
	Ready() bool
	// QueueHeartbeat passes a worker's heartbeat to the core; reply gets the answer. It
	// never waits.
	QueueHeartbeat(heartbeat protocol.Heartbeat, reply transport.Reply)
	// QueryOwners asks the core about live jobs. It never waits, and returns false if
	// the core is too busy: answer is not called then.
	QueryOwners(query admission.QueryOwners, answer func(admission.OwnersAnswered)) bool
	// CancelJob tells the core of a cancelled job, if it is not too busy; done is
	// called once it has handled that. It never waits.
	CancelJob(job protocol.JobID, done func())
	// DecideOperation has the core decide an operator's request, and waits for it. It
	// returns false if the core is too busy.
	DecideOperation(by string, request *operatorapi.Request) (operatorrequest.Decision, bool)
	// ForwardSubmission passes a submission on to a peer and waits for its answer, which
	// is empty if there is an error.
	ForwardSubmission(to protocol.NodeName, body []byte) (admission.Answer, error)
	// AnnounceCancellation tells a peer of a cancelled job and waits until it has
	// handled that.
	AnnounceCancellation(to protocol.NodeName, job protocol.JobID) error
}

// Paths of the HTTP interface; those of jobs are below pathJobs.
const (
	pathHeartbeat = "/v1/report"
	pathHealth    = "/up"
	pathSubmit    = "/work"
	pathJobs      = "/work/"
	suffixCancel  = "/abort"
)

// maxOperatorRequests bounds the operators' requests that are under way at a time.
const maxOperatorRequests = 64

// Frontend routes HTTP requests, and is the actor around an admission.Admission.
type Frontend struct {
	controller Controller
	settings   *config.Settings
	operator   config.Operator
	store      *kvstore.Client
	log        *slog.Logger

	// Only the actor's goroutine, Run, touches these.
	admission *admission.Admission
	local     []any // messages of a step to itself
	replies   map[admission.RequestID]transport.Reply

	mailbox chan any
	// configurations holds the configuration in force until Admission has taken it.
	configurations chan *dynamicconfig.Effective
	lastRequest    atomic.Uint64
	operatorSlots  chan struct{} // holds one for each operator's request under way
}

// userRequest is a request to Admission with the way to answer it.
type userRequest struct {
	admission.Request
	reply transport.Reply
}

// New makes the front end of a controller. Run starts its actor.
func New(controller Controller, settings *config.Settings, operator config.Operator, store *kvstore.Client, log *slog.Logger) *Frontend {
	return &Frontend{
		controller:     controller,
		settings:       settings,
		operator:       operator,
		store:          store,
		log:            log,
		admission:      admission.New(settings, operator, log),
		replies:        map[admission.RequestID]transport.Reply{},
		mailbox:        make(chan any, 4*admission.MaxRequests),
		configurations: make(chan *dynamicconfig.Effective, 1),
		operatorSlots:  make(chan struct{}, maxOperatorRequests),
	}
}

// Handle routes a request. It runs on the server's event loop and never waits.
func (f *Frontend) Handle(m *transport.Message, reply transport.Reply) {
	switch {
	case m.Path == pathHeartbeat:
		if allowOnly(http.MethodPost, m, reply) {
			f.heartbeat(m, reply)
		}
	case m.Path == pathHealth:
		if allowOnly(http.MethodGet, m, reply) {
			f.health(reply)
		}
	case m.Path == pathSubmit:
		if allowOnly(http.MethodPost, m, reply) {
			f.admit(admission.Request{Operation: admission.Submit, Body: m.Body}, reply)
		}
	case m.Path == operatorapi.Path && f.operator.OperatorKeys != "":
		if allowOnly(http.MethodPost, m, reply) {
			f.operatorRequest(m.Body, reply)
		}
	case strings.HasPrefix(m.Path, pathJobs):
		f.jobRequest(m, reply)
	default:
		reply(Failure(http.StatusNotFound, "no such path"))
	}
}

// SubmitForwarded takes a submission that a peer could not accept. Any goroutine may
// call it.
func (f *Frontend) SubmitForwarded(body []byte, reply transport.Reply) {
	f.admit(admission.Request{Operation: admission.Submit, Body: body, Forwarded: true}, reply)
}

// jobRequest handles a poll or a cancellation of one job.
func (f *Frontend) jobRequest(m *transport.Message, reply transport.Reply) {
	name, cancel := strings.CutSuffix(strings.TrimPrefix(m.Path, pathJobs), suffixCancel)
	request, method := admission.Request{Operation: admission.Poll}, http.MethodGet
	if cancel {
		request, method = admission.Request{Operation: admission.Cancel}, http.MethodPost
	}
	if !allowOnly(method, m, reply) {
		return
	}
	id, err := protocol.ParseJobID(name)
	if err != nil {
		reply(Failure(http.StatusNotFound, "no such job"))
		return
	}
	request.Job = id
	f.admit(request, reply)
}

// allowOnly reports whether a request has the method that its path allows, and refuses
// it otherwise.
func allowOnly(method string, m *transport.Message, reply transport.Reply) bool {
	if m.Method != method {
		reply(Failure(http.StatusMethodNotAllowed, "method not allowed"))
		return false
	}
	return true
}

// health answers health checks: 200 while this controller is a member, knows the machine
// types, and holds its lease. While the key-value store is out for all controllers it
// stays 200: requests get their 503 with the time to come back at once, and the load
// balancer need not find every controller healthy anew when the outage is over.
func (f *Frontend) health(reply transport.Reply) {
	if !f.controller.Ready() {
		reply(Failure(http.StatusServiceUnavailable, "not ready"))
		return
	}
	reply(&transport.Message{Status: http.StatusOK})
}

func (f *Frontend) heartbeat(m *transport.Message, reply transport.Reply) {
	heartbeat, err := protocol.ParseHeartbeat(m.Body)
	if err != nil {
		f.log.Info("heartbeat refused", "err", err)
		reply(Failure(http.StatusBadRequest, err.Error()))
		return
	}
	f.controller.QueueHeartbeat(heartbeat, reply)
}
