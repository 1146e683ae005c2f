package admission

import (
	"log/slog"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// MaxRequests is the maximum number of requests in progress at a time, and of those that
	// wait for the confirmation of a cancellation.
	MaxRequests = 256
	// requestBudget is how long a request of a user may take before it is answered with
	// 503; one forwarded by a peer may take ForwardTimeout. Users time out a poll after 2
	// s.
	requestBudget = 1800 * time.Millisecond
	// writeRecheckDelay is how long a write may remain unanswered before the record is
	// read instead. It exceeds the usual response time of the key-value store, so a write
	// that was executed, and whose answer alone is late or lost, shows in the record.
	writeRecheckDelay = 100 * time.Millisecond
)

// Admission is the state machine that answers users' requests in one process. It is not
// safe for concurrent use: one actor owns it.
type Admission struct {
	settings *config.Settings
	log      *slog.Logger
	now      clock.Time
	actions  []Action
	wakeAt   clock.Time // the next requested tick

	// configuration is the configuration in force, as last observed by this process. If
	// it may change (configurable), submissions are accepted and refused on condition of
	// its version.
	configuration *dynamicconfig.Effective
	configurable  bool
	machineTypes  []protocol.TypeInfo // nil: not read yet

	requests map[RequestID]*request // not answered yet

	queries   map[QueryID]coreQuery
	lastQuery QueryID

	waitingPolls     []*request                  // polls that are not part of a comparison yet
	comparisons      map[QueryID]*pollComparison // those that the store has not answered
	nextComparisonAt clock.Time                  // no comparison starts before this time

	finalRecords map[protocol.JobID]record.JobRecord // cached records of finished jobs

	announcements        map[protocol.JobID]*announcement // of cancellations, by job
	awaitingConfirmation int                              // requests that wait for one of them
	nextMembersCheckAt   clock.Time                       // no query of members is sent before this time
	maxObservationDelay  time.Duration                    // see the function maxObservationDelay
}

// request is a user's request that has not been answered yet.
type request struct {
	Request
	deadline clock.Time
	attempts int // answered writes that did not settle the request
	// awaitsConfirmation is set while the request waits for the confirmation of a
	// cancellation.
	awaitsConfirmation bool

	// refusal is the answer to a submission unless its job already has a record.
	refusal *Answer
	// fallback is the answer to a forwarded submission unless the peer answers.
	fallback *Answer

	// writePending is set while a write has no answer yet. recheckAt is when the record
	// is read to find out whether the write was executed; 0: no write is pending, or its
	// record has been requested already.
	writePending bool
	recheckAt    clock.Time

	// configurationVersion is the version of the configuration that a submission's
	// transaction is conditional on. conditionFailed is set once that transaction has
	// failed, possibly only because the configuration has changed.
	configurationVersion protocol.Version
	conditionFailed      bool
}

// New returns an Admission without requests or cached records. It uses the configuration
// of the settings until it receives another one.
func New(s *config.Settings, op config.Operator, log *slog.Logger) *Admission {
	return &Admission{
		settings:      s,
		log:           log,
		configuration: dynamicconfig.Base(&s.Site, op),
		configurable:  op.Configurable(),
		requests:      map[RequestID]*request{},
		queries:       map[QueryID]coreQuery{},
		comparisons:   map[QueryID]*pollComparison{},
		finalRecords:  map[protocol.JobID]record.JobRecord{},
		announcements: map[protocol.JobID]*announcement{},

		maxObservationDelay: maxObservationDelay(op.NodeLease),
	}
}

// Step handles one message and returns the resulting actions, which the caller executes.
// The argument now is the time of a monotonic clock. A message of an unknown type has no
// effect of its own.
func (a *Admission) Step(now clock.Time, msg any) []Action {
	a.now, a.actions = now, nil
	switch m := msg.(type) {
	case Request:
		a.handleRequest(m)
	case RecordRead:
		a.handleRecordRead(m)
	case Written:
		a.handleWritten(m)
	case CoreAnswered:
		a.handleCoreAnswer(m)
	case Compared:
		a.handleCompared(m)
	case Forwarded:
		a.handleForwarded(m)
	case AnnouncementAcknowledged:
		a.handleAcknowledgement(m)
	case TypesRead:
		a.machineTypes = m.Types
	case ConfigurationChanged:
		a.applyConfiguration(m.Effective)
	case Tick:
		a.tick()
	}
	a.startComparison()
	return a.actions
}

func (a *Admission) emit(action Action) { a.actions = append(a.actions, action) }

// timeAfter returns the time d after now.
func (a *Admission) timeAfter(d time.Duration) clock.Time { return a.now + clock.Time(d) }

// wakeBy requests a tick at the given time, unless an earlier tick has been requested.
func (a *Admission) wakeBy(at clock.Time) {
	if a.wakeAt <= a.now || at < a.wakeAt {
		a.wakeAt = at
		a.emit(Wake{at})
	}
}

// handleRequest registers a user's request and starts its operation: a submission is
// checked, a poll queued, and for a cancellation the job's record is read. While
// MaxRequests requests are in progress, further ones are answered with 503.
func (a *Admission) handleRequest(m Request) {
	if len(a.requests)-a.awaitingConfirmation >= MaxRequests {
		a.emit(Reply{m.ID, Failure(statusUnavailable, "too many requests at once")})
		return
	}
	r := &request{Request: m, deadline: a.timeAfter(requestBudget)}
	if m.Forwarded {
		r.deadline = a.timeAfter(ForwardTimeout)
	}
	a.requests[m.ID] = r
	switch m.Operation {
	case Submit:
		a.submit(r)
	case Poll:
		a.poll(r)
	case Cancel:
		a.readRecord(r)
	}
}

// tick continues the announcements of cancellations, answers requests whose deadline has
// passed as unavailable, and reads the records of writes that have been unanswered for
// writeRecheckDelay.
func (a *Admission) tick() {
	a.checkAnnouncements()
	next := clock.Time(0)
	for _, r := range ordered.ByKey(a.requests) {
		switch {
		case a.now >= r.deadline && r.awaitsConfirmation:
			a.answerUnavailable(r, cancellationUnconfirmed)
		case a.now >= r.deadline:
			a.answerUnavailable(r, "not settled in time")
		case r.recheckAt == 0:
		case a.now >= r.recheckAt:
			r.recheckAt = 0
			a.emit(GetRecord{r.ID, r.Job})
		case next == 0 || r.recheckAt < next:
			next = r.recheckAt
		}
	}
	if next != 0 {
		a.wakeBy(next)
	}
}
