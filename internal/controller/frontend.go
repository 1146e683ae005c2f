package controller

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// frontend is the actor around an intake.Intake: it routes requests, carries the
// intake's messages, and passes workers' reports on to the core.
type frontend struct {
	n       *Node
	core    *admission.Admission
	mailbox chan any
	local   []any // messages of a step to itself
	lastID  atomic.Uint64
	replies map[admission.RequestID]transport.Reply
	slots   chan struct{} // of operators' requests
	// configured holds the configuration in force that the intake has not taken yet.
	configured chan *dynamicconfig.Effective
	peers      map[protocol.NodeName]*transport.Peer // not the outbox's, whose calls may wait
}

// userRequest is a request with whom to answer.
type userRequest struct {
	admission.Request
	reply transport.Reply
}

// operatorBudget is how long an operator's request may take, and
// operatorRequestsMost how many wait at a time.
const (
	operatorBudget       = 1800 * time.Millisecond
	operatorRequestsMost = 64
)

func newFrontend(n *Node) *frontend {
	f := &frontend{
		n: n, core: admission.New(n.settings, n.op, n.log), mailbox: make(chan any, 4*admission.RequestsMost),
		configured: make(chan *dynamicconfig.Effective, 1),
		replies:    map[admission.RequestID]transport.Reply{}, slots: make(chan struct{}, operatorRequestsMost), peers: map[protocol.NodeName]*transport.Peer{},
	}
	for _, m := range n.settings.Members {
		f.peers[m.Name] = transport.NewPeer(m.Peer)
	}
	return f
}

// handle routes a request. It runs on the event loop and never waits.
func (f *frontend) handle(m *transport.Message, reply transport.Reply) {
	switch {
	case m.Path == "/v1/report":
		if allow(m, reply, "POST") {
			f.heartbeat(m, reply)
		}
	case m.Path == "/up":
		if allow(m, reply, "GET") {
			f.health(reply)
		}
	case m.Path == "/work":
		if allow(m, reply, "POST") {
			f.ask(admission.Request{Operation: admission.Submit, Body: m.Body}, reply)
		}
	case m.Path == operatorapi.Path && f.n.op.OperatorKeys != "":
		if allow(m, reply, "POST") {
			f.operator(reply, m.Body)
		}
	case strings.HasPrefix(m.Path, "/work/"):
		name, abort := strings.CutSuffix(strings.TrimPrefix(m.Path, "/work/"), "/abort")
		asked, method := admission.Request{Operation: admission.Poll}, "GET"
		if abort {
			asked, method = admission.Request{Operation: admission.Cancel}, "POST"
		}
		if !allow(m, reply, method) {
			return
		}
		id, err := protocol.ParseJobID(name)
		if err != nil {
			reply(failure(404, "no such job"))
			return
		}
		asked.Job = id
		f.ask(asked, reply)
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

func response(a admission.Answer) *transport.Message {
	return &transport.Message{Status: a.Status, Body: a.Body, RetryAfterS: a.RetryAfterS}
}

func failure(status int, what string) *transport.Message {
	return response(admission.Failure(status, what))
}

func success(status int, v any) *transport.Message {
	body, err := protocol.Encode(v)
	if err != nil {
		return failure(500, "encoding failed")
	}
	return &transport.Message{Status: status, Body: body}
}

// ask gives the intake a request, or answers at once if too many wait.
func (f *frontend) ask(a admission.Request, reply transport.Reply) {
	a.ID, a.WallMS = admission.RequestID(f.lastID.Add(1)), time.Now().UnixMilli()
	select {
	case f.mailbox <- userRequest{a, reply}:
	default:
		reply(failure(503, "too many requests at once"))
	}
}

// run is the intake's actor.
func (f *frontend) run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case m := <-f.mailbox:
			if u, ok := m.(userRequest); ok {
				f.replies[u.ID] = u.reply
				m = u.Request
			}
			f.step(ctx, m)
		case effective := <-f.configured:
			f.step(ctx, admission.Configured{Effective: effective})
		case <-t.C:
			f.step(ctx, admission.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// configure gives the intake the configuration in force, instead of one that it has
// not taken yet. Only the core's actor calls it.
func (f *frontend) configure(effective *dynamicconfig.Effective) {
	select {
	case <-f.configured:
	default:
	}
	f.configured <- effective
}

func (f *frontend) step(ctx context.Context, m any) {
	f.local = append(f.local, m)
	for len(f.local) > 0 {
		m := f.local[0]
		f.local = f.local[1:]
		for _, a := range f.core.Step(f.n.now(), m) {
			f.carryOut(ctx, a)
		}
	}
}

// carryOut executes an action; none of them waits here.
func (f *frontend) carryOut(ctx context.Context, a admission.Action) {
	later := func(do func() any) {
		go func() { f.mailbox <- do() }()
	}
	switch a := a.(type) {
	case admission.Reply:
		f.replies[a.ID](response(a.Answer))
		delete(f.replies, a.ID)
	case admission.Get:
		later(func() any { return f.get(ctx, a) })
	case admission.Write:
		later(func() any {
			_, err := f.n.state.CompareAndSwap(ctx, a.Txn, kvstore.First)
			if errors.Is(err, serviceclient.ErrMalformed) {
				f.n.log.Error("state service refuses a job's record", "err", err)
			}
			return admission.Written{ID: a.ID, Outcome: outcome(err)}
		})
	case admission.QueryOwners:
		look := func(c *Core) { f.mailbox <- c.AnswerOwnerQuery(a) }
		if !f.n.offer(envelope{ask: look}) {
			f.local = append(f.local, admission.OwnersAnswered{Query: a.Look})
		}
	case admission.Compare:
		later(func() any {
			differ, err := f.n.state.Compare(ctx, a.Conditions)
			return admission.Compared{Look: a.Look, Outcome: outcome(err), Differ: differ}
		})
	case admission.PassOn:
		later(func() any {
			var r admission.Answer
			if err := f.peers[a.To].Call("Peer.Submit", ForwardedSubmission{a.Body}, &r, admission.PassOnWait); err != nil {
				r = admission.Answer{}
			}
			return admission.PassedOn{ID: a.ID, Answer: r}
		})
	case admission.Announce:
		if a.To == f.n.settings.Name {
			f.n.offer(envelope{msg: message.JobCancelled{Job: a.Job}, reply: func([]message.Action) { f.mailbox <- admission.Announced{Job: a.Job, By: a.To} }})
			return
		}
		go func() {
			if f.peers[a.To].Call("Peer.Halt", a.Job, new(bool), admission.AnnounceWait) == nil {
				f.mailbox <- admission.Announced{Job: a.Job, By: a.To}
			}
		}()
	case admission.Wake:
		time.AfterFunc(time.Duration(a.At-f.n.now()), func() { f.mailbox <- admission.Tick{} })
	}
}

func (f *frontend) get(ctx context.Context, a admission.Get) admission.Read {
	it, err := f.n.state.Get(ctx, record.JobKey(a.Job))
	r := admission.Read{ID: a.ID, Outcome: outcome(err), Version: it.Version}
	if err == nil {
		err = protocol.Decode(it.Value, &r.Record)
	}
	switch {
	case errors.Is(err, serviceclient.ErrNotFound):
		r.Outcome = message.OutcomeFailed
	case err != nil && r.Outcome != message.OutcomeRefused:
		r.Outcome = message.OutcomeUnknown
	}
	return r
}

// health answers health checks: 200 while this controller is a member, knows the
// machine types, and may act. While the state service is out for all it stays
// 200: requests get their 503 and when to come back at once, and the load
// balancer need not find every controller healthy anew when it is over.
func (f *frontend) health(reply transport.Reply) {
	n := f.n
	if n.leaving.Load() || !n.holdsLease() && !n.shouldWaitOut.Load() || !n.typesKnown.Load() {
		reply(failure(503, "not ready"))
		return
	}
	reply(&transport.Message{Status: 200})
}

func (f *frontend) heartbeat(m *transport.Message, reply transport.Reply) {
	r, err := protocol.ParseHeartbeat(m.Body)
	if err != nil {
		f.n.log.Info("report refused", "err", err)
		reply(failure(400, err.Error()))
		return
	}
	f.n.heartbeats.add(f.n.now(), pendingHeartbeat{r, reply})
}

func reportAnswer(rr message.ReplyHeartbeat) *transport.Message {
	switch rr.Status {
	case 200:
		return success(200, rr.Reply)
	case 421:
		return success(421, protocol.Redirect{Leader: rr.Leader})
	}
	return failure(rr.Status, "not entitled")
}

// operator answers an operator's request in a goroutine of its own.
func (f *frontend) operator(reply transport.Reply, body []byte) {
	select {
	case f.slots <- struct{}{}:
	default:
		reply(failure(503, "too many requests at once"))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorBudget)
		defer func() {
			cancel()
			<-f.slots
		}()
		reply(f.operate(ctx, body))
	}()
}

// ForwardedSubmission is a user's submission, passed on to a peer.
type ForwardedSubmission struct{ Body []byte }

// Submit answers a submission that a peer could not take.
func (s *peerService) Submit(m ForwardedSubmission, reply *admission.Answer) error {
	done := make(chan *transport.Message, 1)
	s.node.frontend.ask(admission.Request{Operation: admission.Submit, Body: m.Body, Passed: true}, func(a *transport.Message) { done <- a })
	a := <-done
	*reply = admission.Answer{Status: a.Status, Body: a.Body, RetryAfterS: a.RetryAfterS}
	return nil
}

// Halt has nothing more of a cancelled job started here. Earlier versions call it by this
// name.
func (s *peerService) Halt(id protocol.JobID, halted *bool) error {
	done := make(chan struct{})
	s.node.mailbox <- envelope{msg: message.JobCancelled{Job: id}, reply: func([]message.Action) { close(done) }}
	<-done
	*halted = true
	return nil
}
