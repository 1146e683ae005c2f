package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestCrossingAnswers: the answer to direct commands may cross the reply to a heartbeat;
// it does not settle the starts in that one.
func TestCrossingAnswers(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.queue().directInFlight = true // a direct command is under way
	b.job("job-1")
	b.place("job-1")
	if r := b.heartbeat(1, 1); starts(r.Reply.Orders) != 1 {
		t.Fatalf("not started by the reply to the heartbeat: %+v", r)
	}
	b.seq++
	b.dispatcher.CommandDone(message.CommandDone{
		Machine: "vm-1", Term: 1, AgentEpoch: 1, Answered: true, Executed: true,
		Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: 1},
	})
	if e := b.queue().entries[protocol.TaskID{Job: "job-1"}]; e == nil || !e.sent {
		t.Fatalf("a start under way is taken for not executed: %+v", e)
	}
	b.heartbeat(1, 1) // the worker's next heartbeat does settle it: sent again
}

// TestRefusedButThere: a direct start is refused, since a reply to a heartbeat has overtaken
// it, with a later token and the same start. What is there, or may be, is not queued
// again: given a termination notice, its machine released it, and its owner started it a
// second time elsewhere.
func TestRefusedButThere(t *testing.T) {
	for _, listed := range []bool{true, false} {
		b := newBench(t)
		b.ready()
		cmd := b.direct()
		task := protocol.TaskID{Job: "job-1"}
		b.dispatcher.View.Term = 2 // raised, for another reason
		if r := b.heartbeat(1, 1); starts(r.Reply.Orders) != 1 {
			t.Fatalf("not in the answer: %+v", r)
		}
		if listed {
			b.answered(cmd, false, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
		} else {
			b.answered(cmd, false)
		}
		b.dispatcher.Local = nil
		b.dispatcher.Drain("vm-1")
		if b.released(task) {
			t.Errorf("listed %v: released while it runs, or is about to", listed)
		}
		if e := b.queue().entries[task]; e == nil || !e.sent {
			t.Errorf("listed %v: taken for not there: %+v", listed, e)
		}
	}
}

// TestThereAfterAll: an attempt that was queued again and turns out to be on its machine
// waits no more.
func TestThereAfterAll(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.job("job-1")
	b.place("job-1")
	task, q := protocol.TaskID{Job: "job-1"}, b.queue()
	q.quarantine.active = true // nothing is started
	b.heartbeat(1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.dispatcher.Local = nil
	b.dispatcher.Drain("vm-1")
	if len(q.waiting) != 0 || b.released(task) {
		t.Errorf("waits, or is released, while it runs: %+v", q.waiting)
	}
}

// TestNoReapWhileAStartIsUnderWay: an attempt started directly and in a reply is
// forgotten only once both are settled: the later one to arrive would run it again.
func TestNoReapWhileAStartIsUnderWay(t *testing.T) {
	b := newBench(t)
	b.ready()
	cmd := b.direct()
	task := protocol.TaskID{Job: "job-1"}
	b.heartbeat(1, 1) // crosses the direct start; its reply brings it too
	full := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndFull}
	b.answered(cmd, true, full)
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	b.queue().requestDirect()
	if c := b.pushed(); has(c.Commands.Orders, protocol.OpForget) {
		t.Error("forgotten directly while a reply with its start is under way")
	}
	if r := b.heartbeat(1, 1, full); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten once the worker's next heartbeat has settled that")
	}
}

// TestEndedAttemptRaisesTokenAfterTimeout: an attempt that has ended, while a start of
// it may be under way, keeps its machine for a while, not until the token happens to rise:
// a machine that was to be terminated stayed, idle and closed to all.
func TestEndedAttemptRaisesTokenAfterTimeout(t *testing.T) {
	b := newBench(t)
	b.ready()
	cmd := b.direct()
	task := protocol.TaskID{Job: "job-1"}
	b.heartbeat(1, 1) // the reply brings the start once more
	b.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	done := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndDone}
	b.heartbeat(1, 1, done)
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.heartbeat(1, 1, done); has(r.Reply.Orders, protocol.OpForget) || b.dispatcher.NeedsNewTerm() {
		t.Error("forgotten, or a token asked for, at once")
	}
	b.dispatcher.Now += clock.Time(forgetTimeout)
	b.heartbeat(1, 1, done)
	b.dispatcher.Now += clock.Time(time.Second)
	if b.heartbeat(1, 1, done); !b.dispatcher.NeedsNewTerm() {
		t.Fatal("no later token is asked for")
	}
	b.dispatcher.View.Term = 2
	b.heartbeat(1, 1, done)
	if r := b.heartbeat(1, 2, done); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten though its worker has seen a later token")
	}
}

// TestStartsSentAgain: a direct start without an answer is sent directly again only with a
// later token, on which the worker's refusal of the first rests; and a kill that is
// answered settles no start.
func TestStartsSentAgain(t *testing.T) {
	b := newBench(t)
	b.ready()
	cmd := b.direct()
	q, task := b.queue(), protocol.TaskID{Job: "job-1"}
	b.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	q.requestDirect()
	if c := b.pushed(); starts(c.Commands.Orders) != 0 {
		t.Error("sent again with the same token")
	}
	b.heartbeat(1, 1) // in the reply too
	b.heartbeat(1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.dispatcher.Stop(message.Stop{TaskRef: message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"}, Kill: true})
	kill := b.pushed()
	if !has(kill.Commands.Orders, protocol.OpStop) {
		t.Fatalf("not killed: %+v", kill)
	}
	stopped := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	b.answered(kill, true, stopped)
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.heartbeat(1, 1, stopped); has(r.Reply.Orders, protocol.OpForget) {
		t.Error("forgotten though the first direct start may still be executed")
	}
	b.dispatcher.View.Term = 2
	b.heartbeat(1, 1, stopped)
	if r := b.heartbeat(1, 2, stopped); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten after the worker has seen a later token")
	}

	again := newBench(t)
	again.ready()
	cmd = again.direct()
	again.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	again.dispatcher.View.Term = 2
	again.queue().requestDirect()
	if c := again.pushed(); starts(c.Commands.Orders) != 1 || c.Commands.Term != 2 {
		t.Fatalf("not sent again with the later token: %+v", c)
	}
	again.heartbeat(1, 2) // the worker has seen it from elsewhere; the command is under way
	if e := again.queue().entries[task]; e == nil || !e.sent {
		t.Errorf("taken for never started while its command is under way: %+v", e)
	}
}
