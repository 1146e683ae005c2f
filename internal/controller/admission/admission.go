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
	// MaxRequests bounds the requests that wait for an answer at a time.
	MaxRequests = 256
	// requestBudget is how long a request may take: users wait 2 s for a poll.
	requestBudget = 1800 * time.Millisecond
	// writeRecheckDelay is how long the key-value store takes to answer a write as a
	// rule, and more. Where only its answer is lost or late, the record itself can be
	// read after this time.
	writeRecheckDelay = 100 * time.Millisecond
)

// Admission is the state of one process between messages. It is not safe for
// concurrent use: one actor owns it.
type Admission struct {
	settings *config.Settings
	log      *slog.Logger
	now      clock.Time
	actions  []Action
	wakeAt   clock.Time // the next tick that was asked for

	// configuration is the one in force, as followed. Where it may change
	// (configurable), submissions are accepted and refused on its version.
	configuration *dynamicconfig.Effective
	configurable  bool
	machineTypes  []protocol.TypeInfo // nil: not read yet

	requests map[RequestID]*request

	queries   map[QueryID]ownerQuery
	lastQuery QueryID

	waitingPolls     []*request // polls whose comparison has not begun
	comparisons      map[QueryID]*pollComparison
	nextComparisonAt clock.Time

	finalRecords  map[protocol.JobID]record.JobRecord
	announcements map[protocol.JobID]*announcement
}

// request is a user's request that waits for its answer.
type request struct {
	Request
	deadline clock.Time
	attempts int // writes that were carried out without settling the request

	// refusal answers a submission unless its job turns out to be known.
	refusal *Answer
	// fallback answers a submission that was forwarded, unless the peer answers.
	fallback *Answer

	// writePending is set while a write has no answer yet, and recheckAt is when the
	// record is read to find out what became of it; 0: no write is pending, or the
	// record has been read.
	writePending bool
	recheckAt    clock.Time

	// configurationVersion is the version that a submission's transaction holds on.
	// conditionFailed is set once that transaction failed, perhaps because of the
	// configuration alone.
	configurationVersion protocol.Version
	conditionFailed      bool
}

// New makes an Admission that knows nothing but its settings.
func New(s *config.Settings, op config.Operator, log *slog.Logger) *Admission {
	return &Admission{
		settings:      s,
		log:           log,
		configuration: dynamicconfig.Base(&s.Site, op),
		configurable:  op.Configurable(),
		requests:      map[RequestID]*request{},
		queries:       map[QueryID]ownerQuery{},
		comparisons:   map[QueryID]*pollComparison{},
		finalRecords:  map[protocol.JobID]record.JobRecord{},
		announcements: map[protocol.JobID]*announcement{},
	}
}

// Step handles one message and returns the actions that follow from it. Now is the
// time of a monotonic clock.
func (a *Admission) Step(now clock.Time, msg any) []Action {
	a.now, a.actions = now, nil
	switch m := msg.(type) {
	case Request:
		a.receive(m)
	case Read:
		a.recordRead(m)
	case Written:
		a.written(m)
	case OwnersAnswered:
		a.ownersAnswered(m)
	case Compared:
		a.compared(m)
	case Forwarded:
		a.forwarded(m)
	case Announced:
		a.announced(m)
	case TypesRead:
		a.machineTypes = m.Types
	case Configured:
		a.configurationChanged(m.Effective)
	case Tick:
		a.tick()
	}
	a.startComparison()
	return a.actions
}

func (a *Admission) emit(action Action) { a.actions = append(a.actions, action) }

// after is the time that lies so long after now.
func (a *Admission) after(d time.Duration) clock.Time { return a.now + clock.Time(d) }

// wakeBy asks for a tick at a time, unless an earlier one was asked for already.
func (a *Admission) wakeBy(at clock.Time) {
	if a.wakeAt <= a.now || at < a.wakeAt {
		a.wakeAt = at
		a.emit(Wake{at})
	}
}

// receive begins a user's request.
func (a *Admission) receive(m Request) {
	if len(a.requests) >= MaxRequests {
		a.emit(Reply{m.ID, Failure(statusUnavailable, "too many requests at once")})
		return
	}
	r := &request{Request: m, deadline: a.after(requestBudget)}
	if m.Forwarded {
		r.deadline = a.after(ForwardTimeout)
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

// tick ends announcements and requests whose time is over, and reads the records of
// writes that have had no answer for long.
func (a *Admission) tick() {
	for id, announcement := range ordered.ByKey(a.announcements) {
		a.finishAnnouncement(id, announcement)
	}
	next := clock.Time(0)
	for _, r := range ordered.ByKey(a.requests) {
		switch {
		case a.now >= r.deadline:
			a.unavailable(r, "not settled in time")
		case r.recheckAt == 0:
		case a.now >= r.recheckAt:
			r.recheckAt = 0
			a.emit(Get{r.ID, r.Job})
		case next == 0 || r.recheckAt < next:
			next = r.recheckAt
		}
	}
	if next != 0 {
		a.wakeBy(next)
	}
}
