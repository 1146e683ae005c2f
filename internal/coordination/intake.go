package coordination

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/known"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/operators"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	maxRequests  = 256
	intakeBudget = 1800 * time.Millisecond
	maxFinals    = 20000
	retryAfterS  = 1
)

// intake answers users and passes workers' reports on. What users are told
// comes from the records, never from a guess.
type intake struct {
	n     *Node
	slots chan struct{}
	next  forward
	live  *liveChecks

	mu     sync.Mutex
	finals map[protocol.JobID]bookkeeping.JobRecord // final states never change
}

func newIntake(n *Node) *intake {
	return &intake{n: n, slots: make(chan struct{}, maxRequests), finals: map[protocol.JobID]bookkeeping.JobRecord{}, next: newForward(n), live: newLiveChecks(n)}
}

// handle routes a request. It runs on the event loop and never waits.
func (in *intake) handle(m *transport.Message, reply transport.Reply) {
	switch {
	case m.Path == "/v1/report":
		if allow(m, reply, "POST") {
			in.report(m, reply)
		}
	case m.Path == "/up":
		if allow(m, reply, "GET") {
			in.up(reply)
		}
	case m.Path == "/work":
		if allow(m, reply, "POST") {
			in.async(reply, func(ctx context.Context) *transport.Message { return in.accept(ctx, m.Body) })
		}
	case m.Path == operators.Path && in.n.op.OperatorKeys != "":
		if allow(m, reply, "POST") {
			in.async(reply, func(ctx context.Context) *transport.Message { return in.operate(ctx, m.Body) })
		}
	case strings.HasPrefix(m.Path, "/work/"):
		name, abort := strings.CutSuffix(strings.TrimPrefix(m.Path, "/work/"), "/abort")
		method := "GET"
		if abort {
			method = "POST"
		}
		if !allow(m, reply, method) {
			return
		}
		id, err := protocol.ParseJobID(name)
		if err != nil {
			reply(failure(404, "no such job"))
			return
		}
		in.async(reply, func(ctx context.Context) *transport.Message {
			if abort {
				return in.abort(ctx, id)
			}
			return in.poll(ctx, id)
		})
	default:
		reply(failure(404, "no such path"))
	}
}

func allow(m *transport.Message, reply transport.Reply, method string) bool {
	if m.Method != method {
		reply(failure(405, "method not allowed"))
		return false
	}
	return true
}

func failure(status int, what string) *transport.Message {
	body, _ := protocol.Encode(protocol.ErrorBody{Error: what}) // a struct of text always encodes
	m := &transport.Message{Status: status, Body: body}
	if status == 503 {
		m.RetryAfterS = retryAfterS
	}
	return m
}

func success(status int, v any) *transport.Message {
	body, err := protocol.Encode(v)
	if err != nil {
		return failure(500, "encoding failed")
	}
	return &transport.Message{Status: status, Body: body}
}

// async answers in a goroutine of its own, or at once if there are too many.
func (in *intake) async(reply transport.Reply, f func(context.Context) *transport.Message) {
	select {
	case in.slots <- struct{}{}:
	default:
		reply(failure(503, "too many requests at once"))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), intakeBudget)
		defer func() {
			cancel()
			<-in.slots
		}()
		reply(f(ctx))
	}()
}

// up answers health checks: 200 while this controller is a member, knows the
// machine types, and may act. While the state service is out for all it stays
// 200: requests get their 503 and when to come back at once, and the load
// balancer need not find every controller healthy anew when it is over.
func (in *intake) up(reply transport.Reply) {
	if in.n.leaving.Load() || !in.n.acting() && !in.n.waitsOut.Load() || in.n.types.Load() == nil {
		reply(failure(503, "not ready"))
		return
	}
	reply(&transport.Message{Status: 200})
}

func (in *intake) report(m *transport.Message, reply transport.Reply) {
	r, err := protocol.ParseReport(m.Body)
	if err != nil {
		in.n.log.Info("report refused", "err", err)
		reply(failure(400, err.Error()))
		return
	}
	in.n.reports.add(in.n.now(), pendingReport{r, reply})
}

func reportAnswer(rr message.ReplyReport) *transport.Message {
	switch rr.Status {
	case 200:
		return success(200, rr.Reply)
	case 421:
		return success(421, protocol.Redirect{ReportTo: rr.ReportTo})
	}
	return failure(rr.Status, "not entitled")
}

func (in *intake) final(id protocol.JobID) (bookkeeping.JobRecord, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.finals[id]
	return r, ok
}

func (in *intake) keepFinal(id protocol.JobID, r bookkeeping.JobRecord) {
	if r.State == bookkeeping.RecordLive {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.finals) >= maxFinals {
		for k := range in.finals { // any one: it can be read again
			delete(in.finals, k)
			break
		}
	}
	in.finals[id] = r
}

// read reads a job's state: from its own copy if it is final, else from the
// state service.
func (in *intake) read(ctx context.Context, id protocol.JobID) (bookkeeping.JobRecord, protocol.Version, error) {
	if r, ok := in.final(id); ok {
		return r, 0, nil
	}
	it, err := in.n.state.Get(ctx, bookkeeping.JobKey(id))
	if err != nil {
		return bookkeeping.JobRecord{}, 0, err
	}
	var r bookkeeping.JobRecord
	if err := protocol.Decode(it.Value, &r); err != nil {
		return r, 0, err
	}
	in.keepFinal(id, r)
	return r, it.Version, nil
}

// status is what a user is told of a job with a record.
func (in *intake) status(id protocol.JobID, r bookkeeping.JobRecord) protocol.JobStatus {
	s := protocol.JobStatus{ID: id}
	var done, running uint32
	switch r.State {
	case bookkeeping.RecordDone:
		s.State, done = protocol.JobDone, r.Tasks
	case bookkeeping.RecordCancelled:
		s.State = protocol.JobCancelled
	default:
		p, _ := ask(in.n, func(c *Core) message.Progress { p, _ := c.JobProgress(id); return p })
		return underWay(id, p)
	}
	s.Done, s.Running = &done, &running
	return s
}

// underWay is what a user is told of a job that is live.
func underWay(id protocol.JobID, p message.Progress) protocol.JobStatus {
	s := protocol.JobStatus{ID: id, State: protocol.JobQueued, Done: &p.Done, Running: &p.Running}
	if p.Running > 0 {
		s.State = protocol.JobRunning
	}
	return s
}

// unavailable answers when the state service could not be asked.
func (in *intake) unavailable(what string, err error) *transport.Message {
	in.n.log.Debug(what, "err", err)
	return failure(503, "state service can't be asked")
}

func (in *intake) poll(ctx context.Context, id protocol.JobID) *transport.Message {
	if _, over := in.final(id); !over {
		switch progress, err := in.live.of(ctx, id); {
		case err == nil:
			return success(200, underWay(id, progress))
		case !errors.Is(err, errNotLive):
			return in.unavailable("poll", err)
		}
	}
	r, _, err := in.read(ctx, id)
	switch {
	case err == nil:
		return success(200, in.status(id, r))
	case errors.Is(err, bookkeeping.ErrNotFound):
		return failure(404, "no such job")
	}
	return in.unavailable("poll", err)
}

func (in *intake) submit(ctx context.Context, body []byte) *transport.Message {
	j, err := protocol.ParseSubmission(body)
	if err != nil {
		id, ok := protocol.SubmittedID(body)
		if !ok {
			return failure(400, err.Error())
		}
		return in.refuse(ctx, id, failure(400, err.Error()))
	}
	if _, ok := in.final(j.ID); !ok {
		types := in.n.types.Load()
		if types == nil {
			return failure(503, "machine types not known yet")
		}
		if why := in.neverRuns(&j, *types); why != "" {
			return in.refuse(ctx, j.ID, failure(422, why))
		}
	}
	j.SubmittedMS = time.Now().UnixMilli()
	_, err = in.n.state.Txn(ctx, AcceptTxn(&j), bookkeeping.First)
	switch {
	case err == nil:
		return success(201, protocol.JobStatus{ID: j.ID, State: protocol.JobQueued})
	case errors.Is(err, bookkeeping.ErrRefused):
		return in.unavailable("submit", err)
	case errors.Is(err, bookkeeping.ErrMalformed):
		in.n.log.Error("state service refuses a job's record", "job", j.ID, "err", err)
		return failure(503, "can't be stored")
	}
	// It is known already, or the answer was lost: the record tells. One not
	// there yet may still come, so that says nothing either way.
	r, _, rerr := in.read(ctx, j.ID)
	if rerr != nil {
		return in.unavailable("submit", errors.Join(err, rerr))
	}
	return success(200, in.status(j.ID, r))
}

// AcceptTxn accepts a job: it holds only if no job with its id is known.
func AcceptTxn(j *protocol.Job) protocol.Txn {
	return protocol.Txn{
		If: []protocol.Condition{{Key: bookkeeping.JobKey(j.ID)}},
		Then: []protocol.Change{
			{Put: bookkeeping.JobKey(j.ID), Value: bookkeeping.JobRecord{State: bookkeeping.RecordLive, Tasks: j.Tasks}},
			{Put: bookkeeping.LiveKey(j.ID), Value: j},
		},
	}
}

// CancelTxn cancels a job: it holds only if the job is still as it was read.
// Both of its records change together, always, so they have one version.
func CancelTxn(id protocol.JobID, version protocol.Version, r bookkeeping.JobRecord) protocol.Txn {
	r.State = bookkeeping.RecordCancelled
	return protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.JobKey(id), Version: version}, {Key: bookkeeping.LiveKey(id), Version: version}},
		Then: []protocol.Change{{Put: bookkeeping.JobKey(id), Value: r}, {Delete: bookkeeping.LiveKey(id)}},
	}
}

// refuse refuses a submission, unless its id is one that was accepted.
func (in *intake) refuse(ctx context.Context, id protocol.JobID, no *transport.Message) *transport.Message {
	r, _, err := in.read(ctx, id)
	switch {
	case err == nil:
		return success(200, in.status(id, r))
	case errors.Is(err, bookkeeping.ErrNotFound):
		return no
	}
	return in.unavailable("submit", err)
}

// neverRuns says why a job can never run, or nothing.
func (in *intake) neverRuns(j *protocol.Job, types []protocol.TypeInfo) string {
	team, ok := in.n.settings.Team(j.Team)
	if !ok {
		return "unknown team"
	}
	l := known.LiveJob{Job: *j}
	l.Zone = "" // the zone may offer the type another day
	fits := false
	for _, t := range types {
		fits = fits || l.AllowsKind(t, "", false)
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Kind != protocol.KindArray {
		n = float64(j.Tasks)
	}
	if team.MaxCPUs > 0 && n*j.CPUs > team.MaxCPUs+room.Slack || team.MaxGPUs > 0 && n*j.GPUs > team.MaxGPUs+room.Slack {
		return "more than the team's limit"
	}
	return ""
}

func (in *intake) abort(ctx context.Context, id protocol.JobID) *transport.Message {
	for range 3 {
		r, version, err := in.read(ctx, id)
		switch {
		case errors.Is(err, bookkeeping.ErrNotFound):
			return failure(404, "no such job")
		case err != nil:
			return in.unavailable("abort", err)
		case r.State != bookkeeping.RecordLive:
			return success(200, protocol.JobStatus{ID: id, State: in.status(id, r).State})
		}
		r.State = bookkeeping.RecordCancelled
		_, err = in.n.state.Txn(ctx, CancelTxn(id, version, r), bookkeeping.First)
		switch {
		case err == nil:
			in.keepFinal(id, r)
			return success(200, protocol.JobStatus{ID: id, State: protocol.JobCancelled})
		case errors.Is(err, bookkeeping.ErrRefused):
			return in.unavailable("abort", err)
		}
	}
	return failure(503, "not settled yet")
}
