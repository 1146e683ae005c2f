// Package admission decides what users are told: of submissions, polls and
// cancellations. What they are told comes from the records, never from a guess. It
// is a step function over plain state; who calls it carries the messages.
package admission

import (
	"log/slog"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// RequestsMost bounds the requests that wait for an answer at a time.
	RequestsMost = 256
	// budget is how long a request may take: users wait 2 s for a poll.
	budget = 1800 * time.Millisecond
	// PassOnWait is how long a peer may take for a submission that is passed on.
	PassOnWait = 700 * time.Millisecond
	// AnnounceWait is how long a user waits at the most for all controllers to have
	// heard of a cancellation. The bound on tasks of cancelled jobs rests on what
	// controllers follow, not on this.
	AnnounceWait = 250 * time.Millisecond
	finalsMost   = 20000
	cancelTries  = 3
	// answerWithin is how long the state service takes as a rule, and more. Where only
	// its answer is lost, or late, the record tells what users wait for.
	answerWithin = 100 * time.Millisecond
	// RetryAfterS is when who gets 503 may come back.
	RetryAfterS = 1
)

// Admission is the state of one process between messages. It is not safe for
// concurrent use: one actor owns it.
type Admission struct {
	settings *config.Settings
	log      *slog.Logger
	now      clock.Time
	actions  []Action

	// configured is the configuration in force, as followed. Where it may change,
	// submissions are accepted and refused on its version.
	configured   *dynamicconfig.Effective
	configurable bool

	types         []protocol.TypeInfo // nil: not known yet
	requests      map[RequestID]*request
	looks         map[QueryID]*ownerQuery
	lastLook      QueryID
	polls         []*request // that wait to be compared together
	nextQuery     clock.Time // refuse comparing before
	wakeAt        clock.Time // as last asked for
	finals        map[protocol.JobID]record.JobRecord
	announcements map[protocol.JobID]*announcement
}

// request is one that waits for its answer.
type request struct {
	Request
	until   clock.Time
	refusal *Answer // reservation a submission: unless its job is known
	own     *Answer // reservation a submission that is being passed on: unless the peer answers
	tries   int     // reservation a cancellation
	// askAt is when the records are asked what became of a write that has no answer yet;
	// 0: none is under way, or they have been asked.
	askAt   clock.Time
	writing bool
	// configuredBy is the version of the configuration that a submission's transaction
	// holds on, and configuredAnew: it has failed, perhaps by that alone.
	configuredBy   protocol.Version
	configuredAnew bool
}

// ownerQuery is a question to the core, and the comparison that follows for polls.
type ownerQuery struct {
	polls    []*request
	jobs     map[protocol.JobID]LiveJob
	again    bool     // the second comparison
	one      *request // whose job is live: how far is it?
	passOn   *request // which peer acts?
	announce protocol.JobID
}

// announcement is a cancellation that controllers are being told of.
type announcement struct {
	record record.JobRecord
	left   map[protocol.NodeName]bool // have not answered; nil: not told yet
	until  clock.Time
	waits  []*request
}

// New knows nothing but the settings.
func New(s *config.Settings, op config.Operator, log *slog.Logger) *Admission {
	return &Admission{
		configured: dynamicconfig.Base(&s.Site, op), configurable: op.Configurable(),
		settings: s, log: log, requests: map[RequestID]*request{}, looks: map[QueryID]*ownerQuery{},
		finals: map[protocol.JobID]record.JobRecord{}, announcements: map[protocol.JobID]*announcement{},
	}
}

// Step handles one message at a time of the steady clock.
func (in *Admission) Step(now clock.Time, msg any) []Action {
	in.now, in.actions = now, nil
	switch m := msg.(type) {
	case Request:
		in.receive(m)
	case Read:
		in.read(m)
	case Written:
		in.written(m)
	case OwnersAnswered:
		in.ownersAnswered(m)
	case Compared:
		in.compared(m)
	case PassedOn:
		if r := in.requests[m.ID]; r != nil && r.own != nil {
			if m.Answer.Status == 0 {
				m.Answer = *r.own // it may have been accepted: a repeat finds out
			}
			in.answer(r, m.Answer)
		}
	case Announced:
		in.announced(m)
	case TypesRead:
		in.types = m.Types
	case Configured:
		in.configurationChanged(m.Effective)
	case Tick:
		in.tick()
	}
	in.comparePolls()
	return in.actions
}

func (in *Admission) emit(a Action) { in.actions = append(in.actions, a) }

func (in *Admission) after(d time.Duration) clock.Time { return in.now + clock.Time(d) }

// Failure is an answer that says what is wrong; who may come back is told when.
func Failure(status int, what string) Answer {
	body, _ := protocol.Encode(protocol.ErrorBody{Error: what}) // a struct of text always encodes
	a := Answer{Status: status, Body: body}
	if status == 503 {
		a.RetryAfterS = RetryAfterS
	}
	return a
}

func success(status int, s protocol.JobStatus) Answer {
	body, err := protocol.Encode(s)
	if err != nil {
		return Failure(500, "encoding failed")
	}
	return Answer{Status: status, Body: body}
}

// answer answers a request, once.
func (in *Admission) answer(r *request, a Answer) {
	if in.requests[r.ID] == r {
		delete(in.requests, r.ID)
		in.emit(Reply{r.ID, a})
	}
}

// unavailable answers what can't be settled now. A submission goes to a peer that
// acts first, once: the state service may refuse this controller alone.
func (in *Admission) unavailable(r *request, what string) {
	in.log.Debug("request can't be answered", "operation", r.Operation, "job", r.Job, "why", what)
	a := Failure(503, what)
	if r.Operation != Submit || r.Passed || r.own != nil || in.now >= r.until {
		in.answer(r, a)
		return
	}
	r.own, r.until = &a, min(r.until, in.after(PassOnWait))
	in.queryOwners(&ownerQuery{passOn: r})
}

func (in *Admission) receive(m Request) {
	if len(in.requests) >= RequestsMost {
		in.emit(Reply{m.ID, Failure(503, "too many requests at once")})
		return
	}
	r := &request{Request: m, until: in.after(budget)}
	if m.Passed {
		r.until = in.after(PassOnWait)
	}
	in.requests[m.ID] = r
	switch m.Operation {
	case Submit:
		in.submit(r)
	case Poll:
		if rec, ok := in.final(r.Job); ok {
			in.answerFromRecord(r, rec)
		} else {
			in.polls = append(in.polls, r)
		}
	case Cancel:
		in.get(r)
	}
}

func (in *Admission) submit(r *request) {
	j, err := protocol.ParseSubmission(r.Body)
	if err != nil {
		id, ok := protocol.SubmittedID(r.Body)
		if !ok {
			in.answer(r, Failure(400, err.Error()))
			return
		}
		r.Job = id
		in.refuse(r, Failure(400, err.Error()))
		return
	}
	r.Job = j.ID
	if rec, ok := in.final(j.ID); ok {
		in.answerFromRecord(r, rec)
		return
	}
	if in.types == nil {
		in.unavailable(r, "machine types not known yet")
		return
	}
	if why := in.whyInfeasible(&j); why != "" {
		in.refuseByConfiguration(r, Failure(422, why))
		return
	}
	j.SubmittedMS = r.WallMS
	in.write(r, in.onConfiguration(r, AcceptTransaction(&j)))
}

func (in *Admission) write(r *request, txn protocol.Transaction) {
	r.writing, r.askAt = true, in.after(answerWithin)
	in.emit(Write{r.ID, txn})
	in.wakeBy(r.askAt)
}

// wakeBy asks to be called at a time, unless that is asked for already.
func (in *Admission) wakeBy(at clock.Time) {
	if in.wakeAt <= in.now || at < in.wakeAt {
		in.wakeAt = at
		in.emit(Wake{at})
	}
}

// refuse refuses a submission, unless its id is one that was accepted.
func (in *Admission) refuse(r *request, no Answer) {
	r.refusal = &no
	in.get(r)
}

// final is a job's record if it is known to be over.
func (in *Admission) final(id protocol.JobID) (record.JobRecord, bool) {
	if h := in.announcements[id]; h != nil {
		return h.record, true
	}
	rec, ok := in.finals[id]
	return rec, ok
}

func (in *Admission) rememberFinal(id protocol.JobID, rec record.JobRecord) {
	if len(in.finals) >= finalsMost {
		for k := range in.finals { // any one: it can be read again
			delete(in.finals, k)
			break
		}
	}
	in.finals[id] = rec
}

// get reads a job's state: as kept here if it is final, else from the records.
func (in *Admission) get(r *request) {
	if rec, ok := in.final(r.Job); ok {
		in.answerFromRecord(r, rec)
		return
	}
	in.emit(Get{r.ID, r.Job})
}

func (in *Admission) read(m Read) {
	r := in.requests[m.ID]
	if r == nil {
		return
	}
	settled := m.Outcome == message.OutcomeDone && (r.Operation == Submit || m.Record.State != record.RecordLive)
	switch {
	case r.writing && !settled: // its answer may still come
	case m.Outcome == message.OutcomeDone && m.Record.State == record.RecordLive && r.Operation == Cancel:
		in.write(r, CancelTransaction(r.Job, m.Version, m.Record))
	case m.Outcome == message.OutcomeDone:
		in.answerFromRecord(r, m.Record)
	case m.Outcome != message.OutcomeFailed:
		in.unavailable(r, "state service can't be asked")
	case r.refusal != nil:
		in.answer(r, *r.refusal)
	case r.configuredAnew:
		in.resubmit(r)
	case r.Operation == Submit:
		// Not there yet, but it may still come: that says nothing either way.
		in.unavailable(r, "not settled yet")
	default:
		in.answer(r, Failure(404, "no such job"))
	}
}

func (in *Admission) written(m Written) {
	r := in.requests[m.ID]
	if r == nil {
		return
	}
	r.writing, r.askAt = false, 0
	switch {
	case m.Outcome == message.OutcomeRefused:
		in.unavailable(r, "state service can't be asked")
	case r.Operation == Submit && m.Outcome == message.OutcomeDone && r.refusal != nil:
		in.answer(r, *r.refusal) // reportedBy the configuration in force, and the job is not known
	case r.Operation == Submit && m.Outcome == message.OutcomeDone:
		in.answer(r, success(201, protocol.JobStatus{ID: r.Job, State: protocol.JobQueued}))
	case r.Operation == Cancel && m.Outcome == message.OutcomeDone:
		in.answerFromRecord(r, record.JobRecord{State: record.RecordCancelled})
	default:
		// It is not as it was read, known already, or the answer was lost: the record
		// tells.
		if r.tries++; r.tries >= cancelTries {
			in.unavailable(r, "not settled yet")
			return
		}
		if r.configuredAnew = r.Operation == Submit && in.configurable && m.Outcome == message.OutcomeFailed; r.configuredAnew {
			r.refusal = nil
		}
		in.get(r)
	}
}

// answerFromRecord answers with a job's record.
func (in *Admission) answerFromRecord(r *request, rec record.JobRecord) {
	switch rec.State {
	case record.RecordLive:
		in.queryOwners(&ownerQuery{one: r})
	case record.RecordCancelled:
		in.answerCancelled(r, rec)
	default:
		in.rememberFinal(r.Job, rec)
		in.answer(r, in.finalAnswer(r, rec))
	}
}

// finalAnswer is what users are told of a job that is over.
func (in *Admission) finalAnswer(r *request, rec record.JobRecord) Answer {
	s := protocol.JobStatus{ID: r.Job, State: protocol.JobCancelled}
	done, running := uint32(0), uint32(0)
	if rec.State == record.RecordDone {
		s.State, done = protocol.JobDone, rec.Tasks
	}
	if r.Operation != Cancel {
		s.Done, s.Running = &done, &running
	}
	return success(200, s)
}

// liveAnswer is what users are told of a job that is live.
func liveAnswer(id protocol.JobID, p message.Progress) Answer {
	s := protocol.JobStatus{ID: id, State: protocol.JobQueued, Done: &p.Done, Running: &p.Running}
	if p.Running > 0 {
		s.State = protocol.JobRunning
	}
	return success(200, s)
}

// answerCancelled answers that a job is cancelled. Before the first such answer all
// controllers are told: each follows the records, but some milliseconds late, or
// seconds, and may start a task until then, which from the answer on none may be.
func (in *Admission) answerCancelled(r *request, rec record.JobRecord) {
	if _, ok := in.finals[r.Job]; ok {
		in.answer(r, in.finalAnswer(r, rec))
		return
	}
	h := in.announcements[r.Job]
	if h == nil {
		h = &announcement{record: rec, until: in.after(AnnounceWait)}
		in.announcements[r.Job] = h
		in.queryOwners(&ownerQuery{announce: r.Job})
	}
	r.until = max(r.until, h.until+1)
	h.waits = append(h.waits, r)
}

// announce tells all controllers of a cancellation. Those are waited for that may act by
// the view: others can't start anything. One that has ended, or stands still, is
// waited for until the view leaves it out.
func (in *Admission) announce(id protocol.JobID, members []protocol.NodeName) {
	h := in.announcements[id]
	if h == nil {
		return // it has taken too long
	}
	h.left = map[protocol.NodeName]bool{}
	all := []protocol.NodeName{in.settings.Name}
	for _, m := range in.settings.Members {
		all = append(all, m.Name)
	}
	for _, to := range all {
		if len(members) == 0 || slices.Contains(members, to) {
			h.left[to] = true
		}
		in.emit(Announce{id, to})
	}
}

func (in *Admission) announced(m Announced) {
	if h := in.announcements[m.Job]; h != nil {
		delete(h.left, m.By)
		in.checkAnnouncement(m.Job, h)
	}
}

// checkAnnouncement answers those who wait for a cancellation once all have heard of it, or
// it has taken long enough.
func (in *Admission) checkAnnouncement(id protocol.JobID, h *announcement) {
	if (h.left == nil || len(h.left) > 0) && in.now < h.until {
		return
	}
	delete(in.announcements, id)
	in.rememberFinal(id, h.record)
	for _, r := range h.waits {
		in.answer(r, in.finalAnswer(r, h.record))
	}
}

func (in *Admission) tick() {
	for id, h := range ordered.Of(in.announcements) {
		in.checkAnnouncement(id, h)
	}
	next := clock.Time(0)
	for _, r := range ordered.Of(in.requests) {
		switch {
		case in.now >= r.until:
			in.unavailable(r, "not settled in time")
		case r.askAt == 0:
		case in.now >= r.askAt:
			r.askAt = 0
			in.emit(Get{r.ID, r.Job})
		case next == 0 || r.askAt < next:
			next = r.askAt
		}
	}
	if next != 0 {
		in.wakeBy(next)
	}
}

// ownerQuery asks the core.
func (in *Admission) queryOwners(l *ownerQuery, jobs ...protocol.JobID) {
	in.lastLook++
	in.looks[in.lastLook] = l
	if l.one != nil {
		jobs = append(jobs, l.one.Job)
	}
	in.emit(QueryOwners{in.lastLook, jobs})
}

func (in *Admission) ownersAnswered(m OwnersAnswered) {
	l := in.looks[m.Query]
	if l == nil {
		return
	}
	switch {
	case l.one != nil:
		delete(in.looks, m.Query)
		in.answer(l.one, liveAnswer(l.one.Job, m.Jobs[l.one.Job].Progress))
	case l.announce != "":
		delete(in.looks, m.Query)
		in.announce(l.announce, m.Members)
	case l.passOn != nil:
		delete(in.looks, m.Query)
		in.forward(l.passOn, m.Leading)
	default:
		l.jobs = m.Jobs
		in.compare(m.Query, l)
	}
}

// forward has a peer that acts answer a submission. One hop is all, and one peer.
func (in *Admission) forward(r *request, acting []protocol.NodeName) {
	for _, m := range in.settings.Members {
		if len(acting) > 0 && m.Name == acting[0] && in.requests[r.ID] == r {
			in.emit(PassOn{r.ID, m.Name, r.Body})
			return
		}
	}
	in.answer(r, *r.own)
}

// AcceptTransaction accepts a job: it holds only if no job with its id is known.
func AcceptTransaction(j *protocol.Job) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(j.ID)}},
		Changes: []protocol.Change{
			{Put: record.JobKey(j.ID), Value: record.JobRecord{State: record.RecordLive, Tasks: j.Tasks}},
			{Put: record.LiveKey(j.ID), Value: j},
		},
	}
}

// CancelTransaction cancels a job: it holds only if the job is still as it was read.
// Both of its records change together, always, so they have one version.
func CancelTransaction(id protocol.JobID, version protocol.Version, r record.JobRecord) protocol.Transaction {
	r.State = record.RecordCancelled
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(id), Version: version}, {Key: record.LiveKey(id), Version: version}},
		Changes:    []protocol.Change{{Put: record.JobKey(id), Value: r}, {Delete: record.LiveKey(id)}},
	}
}

// whyInfeasible says why a job can never run, or nothing.
func (in *Admission) whyInfeasible(j *protocol.Job) string {
	team, ok := in.configured.Team(j.Team)
	if !ok {
		return "unknown team"
	}
	if team.Closed {
		return "the team is closed to new jobs"
	}
	l := clusterstate.LiveJob{Job: *j}
	l.Zone = "" // the zone may offer the type another day
	fits := false
	for _, t := range in.types {
		fits = fits || l.AllowsKind(t, "", false)
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Kind != protocol.KindJobArray {
		n = float64(j.Tasks)
	}
	if team.MaxCPUs > 0 && n*j.CPUs > team.MaxCPUs+resource.Slack || team.MaxGPUs > 0 && n*j.GPUs > team.MaxGPUs+resource.Slack {
		return "more than the team's limit"
	}
	return ""
}
