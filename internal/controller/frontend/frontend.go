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

// Controller is the interface of the front end to the controller that it serves.
type Controller interface {
	// Now returns the time of the controller's monotonic clock.
	Now() clock.Time
	// Ready reports whether the load balancer may send requests to this controller: the answer to
	// health checks.
	Ready() bool
	// QueueHeartbeat queues a worker's heartbeat for the core; reply receives the answer.
	// It never blocks.
	QueueHeartbeat(heartbeat protocol.Heartbeat, reply transport.Reply)
	// QueryCore asks the core for the state of live jobs, the peers that hold their lease and the
	// members, and calls answer with them. It never blocks. If the core is too busy, since its
	// mailbox is full, it returns false and answer is not called.
	QueryCore(query admission.QueryCore, answer func(admission.CoreAnswered)) bool
	// CancelJob notifies the core of a cancelled job, unless the core is too busy. It calls done
	// once the core has handled the notification, and never otherwise. It never blocks.
	CancelJob(job protocol.JobID, done func())
	// DecideOperation has the core decide an operator's request, made with the key named by, and
	// waits for the decision. It returns false if the core is too busy or has ended.
	DecideOperation(by string, request *operatorapi.Request) (operatorrequest.Decision, bool)
	// ForwardSubmission sends a submission to a peer and waits for the answer, which is
	// empty if there is an error.
	ForwardSubmission(to protocol.NodeName, body []byte) (admission.Answer, error)
	// AnnounceCancellation notifies a peer of a cancelled job and waits until the peer has
	// handled the notification.
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

// maxOperatorRequests is the maximum number of concurrent operators' requests.
const maxOperatorRequests = 64

// Frontend routes HTTP requests, and is the actor around an admission.Admission, which answers
// users' requests. It passes heartbeats to the core, which also decides operators' requests.
type Frontend struct {
	controller Controller
	settings   *config.Settings
	operator   config.Operator
	store      *kvstore.Client
	log        *slog.Logger

	// Only the actor's goroutine, Run, accesses these fields.
	admission *admission.Admission
	stepQueue []any                                   // messages that the current step has not handled yet
	replies   map[admission.RequestID]transport.Reply // replies to the requests without an answer

	mailbox chan any // messages to the actor
	// configurations holds the configuration in force until Admission has received it.
	configurations chan *dynamicconfig.Effective
	lastRequest    atomic.Uint64 // ID of the last user's request
	operatorSlots  chan struct{} // holds one element for each operator's request in progress
}

// userRequest is a request to Admission with the function that sends the answer.
type userRequest struct {
	admission.Request
	reply transport.Reply
}

// New returns the front end of a controller. Run runs its actor.
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

// Handle routes a request by its path to the code that answers it, and refuses an unknown path
// with 404 and a wrong method with 405. It runs on the server's event loop and never blocks.
func (f *Frontend) Handle(m *transport.Message, reply transport.Reply) {
	switch {
	case m.Path == pathHeartbeat:
		if allowOnly(http.MethodPost, m, reply) {
			f.handleHeartbeat(m, reply)
		}
	case m.Path == pathHealth:
		if allowOnly(http.MethodGet, m, reply) {
			f.handleHealthCheck(reply)
		}
	case m.Path == pathSubmit:
		if allowOnly(http.MethodPost, m, reply) {
			f.enqueueRequest(admission.Request{Operation: admission.Submit, Body: m.Body}, reply)
		}
	case m.Path == operatorapi.Path && f.operator.OperatorKeys != "":
		if allowOnly(http.MethodPost, m, reply) {
			f.handleOperatorRequest(m.Body, reply)
		}
	case strings.HasPrefix(m.Path, pathJobs):
		f.handleJobRequest(m, reply)
	default:
		reply(Failure(http.StatusNotFound, "no such path"))
	}
}

// SubmitForwarded handles a submission that a peer has forwarded because it could not settle
// it, for example while the key-value store is unreachable from the peer. It is not forwarded
// again. Any goroutine may call it.
func (f *Frontend) SubmitForwarded(body []byte, reply transport.Reply) {
	f.enqueueRequest(admission.Request{Operation: admission.Submit, Body: body, Forwarded: true}, reply)
}

// handleJobRequest passes a poll or a cancellation of one job to Admission. It refuses a path
// without a valid job ID with 404.
func (f *Frontend) handleJobRequest(m *transport.Message, reply transport.Reply) {
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
	f.enqueueRequest(request, reply)
}

// allowOnly reports whether a request has the method that its path allows. It refuses the
// request with 405 otherwise.
func allowOnly(method string, m *transport.Message, reply transport.Reply) bool {
	if m.Method != method {
		reply(Failure(http.StatusMethodNotAllowed, "method not allowed"))
		return false
	}
	return true
}

// handleHealthCheck answers health checks. The status is 200 while this controller is a member,
// has read the machine types, holds its lease and is not shutting down, and 503 otherwise. It
// remains 200 while the key-value store is unavailable to all controllers: requests get a 503
// with a retry time at once, and the load balancer doesn't have to find every controller
// healthy again when the outage is over.
func (f *Frontend) handleHealthCheck(reply transport.Reply) {
	if !f.controller.Ready() {
		reply(Failure(http.StatusServiceUnavailable, "not ready"))
		return
	}
	reply(&transport.Message{Status: http.StatusOK})
}

// handleHeartbeat queues a worker's heartbeat for the core, which answers it. It refuses a
// heartbeat that is not valid with 400.
func (f *Frontend) handleHeartbeat(m *transport.Message, reply transport.Reply) {
	heartbeat, err := protocol.ParseHeartbeat(m.Body)
	if err != nil {
		f.log.Info("heartbeat refused", "err", err)
		reply(Failure(http.StatusBadRequest, err.Error()))
		return
	}
	f.controller.QueueHeartbeat(heartbeat, reply)
}
