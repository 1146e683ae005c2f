package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestDirectAnswerDoesNotSettleStartsInReply checks that the answer to direct commands,
// which may cross the reply to a heartbeat, does not settle the starts in that reply.
func TestDirectAnswerDoesNotSettleStartsInReply(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.queue().commandInFlight = 7 // a direct command is not answered yet
	f.addJob("job-1")
	f.placeTask("job-1")
	if r := f.heartbeat(1, 1); countStarts(r.Reply.Orders) != 1 {
		t.Fatalf("the reply to the heartbeat does not start the attempt: %+v", r)
	}
	f.seq++
	f.dispatcher.HandleCommandDone(message.CommandDone{
		Number: 7, Machine: "vm-1", Term: 1, AgentEpoch: 1, Answered: true, Executed: true,
		Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: f.seq, Term: 1},
	})
	if e := f.queue().entries[protocol.TaskID{Job: "job-1"}]; e == nil || !e.sent {
		t.Fatalf("a start that may still be delivered counts as not executed: %+v", e)
	}
	f.heartbeat(1, 1) // the worker's next heartbeat settles the start: it is sent again
}

// TestRefusedStartOfPresentAttemptIsNotRequeued checks a direct start that is refused because a
// heartbeat reply with a later token and the same start has overtaken it. The attempt is or may
// be on the machine: if it were queued again, a termination notice would release it, and its
// owner would start it a second time elsewhere.
func TestRefusedStartOfPresentAttemptIsNotRequeued(t *testing.T) {
	for _, listed := range []bool{true, false} {
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		cmd := f.startDirectly()
		task := protocol.TaskID{Job: "job-1"}
		f.dispatcher.View.Term = 2 // raised for another reason
		if r := f.heartbeat(1, 1); countStarts(r.Reply.Orders) != 1 {
			t.Fatalf("the reply does not start the attempt: %+v", r)
		}
		if listed {
			f.answerCommand(cmd, false, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
		} else {
			f.answerCommand(cmd, false)
		}
		f.dispatcher.Local = nil
		f.dispatcher.DrainMachine("vm-1")
		if f.wasReleased(task) {
			t.Errorf("listed %v: released while it runs or may be started", listed)
		}
		if e := f.queue().entries[task]; e == nil || !e.sent {
			t.Errorf("listed %v: no longer counts as sent: %+v", listed, e)
		}
	}
}

// TestRequeuedAttemptFoundRunningNoLongerWaits checks that an attempt that was queued
// again and then turns out to be on its machine no longer waits.
func TestRequeuedAttemptFoundRunningNoLongerWaits(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.addJob("job-1")
	f.placeTask("job-1")
	task, q := protocol.TaskID{Job: "job-1"}, f.queue()
	q.quarantine.active = true // prevents starts
	f.heartbeat(1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	f.dispatcher.Local = nil
	f.dispatcher.DrainMachine("vm-1")
	if len(q.waiting) != 0 || f.wasReleased(task) {
		t.Errorf("attempt waits or was released while it runs: %+v", q.waiting)
	}
}

// TestAttemptNotForgottenWhileStartIsUnsettled checks that an attempt that was started
// both directly and in a heartbeat reply is forgotten only after the start in the reply is
// settled, and only with a later token than that of the direct start: the one that arrives
// later, or a copy of the direct one, would run it again.
func TestAttemptNotForgottenWhileStartIsUnsettled(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	task := protocol.TaskID{Job: "job-1"}
	f.heartbeat(1, 1) // crosses the direct start; the reply contains the start, too
	full := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndFull}
	f.answerCommand(cmd, true, full)
	f.dispatcher.ForgetAttempt(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	f.queue().requestDirect()
	if c := f.sendDirectCommands(); hasOrder(c.Commands.Orders, protocol.OpForget) {
		t.Error("forgotten directly while a reply with its start may still be delivered")
	}
	if r := f.heartbeat(1, 1, full); hasOrder(r.Reply.Orders, protocol.OpForget) {
		t.Error("forgotten with the token of the direct start, of which a copy may still be delivered")
	}
	f.dispatcher.View.Term = 2
	if r := f.heartbeat(1, 1, full); !hasOrder(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten after the worker's next heartbeat settled the start in the reply and the token rose")
	}
}

// TestEndedAttemptRaisesTokenAfterTimeout checks that an ended attempt whose start may
// still be delivered occupies its machine only until a timeout, not until the token rises
// for another reason. Without the timeout, a machine that was to be terminated remained,
// idle and closed to starts.
func TestEndedAttemptRaisesTokenAfterTimeout(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	task := protocol.TaskID{Job: "job-1"}
	f.heartbeat(1, 1) // the reply contains the start again
	f.dispatcher.HandleCommandDone(cmd.Done())
	done := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndDone}
	f.heartbeat(1, 1, done)
	f.dispatcher.ForgetAttempt(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := f.heartbeat(1, 1, done); hasOrder(r.Reply.Orders, protocol.OpForget) || f.dispatcher.NeedsNewTerm() {
		t.Error("forgotten, or a later token requested, before the timeout")
	}
	f.dispatcher.Now += clock.Time(forgetTimeout)
	f.heartbeat(1, 1, done)
	f.dispatcher.Now += clock.Time(time.Second)
	if f.heartbeat(1, 1, done); !f.dispatcher.NeedsNewTerm() {
		t.Fatal("no later token was requested")
	}
	f.dispatcher.View.Term = 2
	f.heartbeat(1, 1, done)
	if r := f.heartbeat(1, 2, done); !hasOrder(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten although its worker has seen a later token")
	}
}

// TestDirectStartIsResentOnlyWithLaterToken checks that an unanswered direct start is
// sent directly again only with a later token, because the worker refuses the first start
// by that token, and that an answered kill settles no start.
func TestDirectStartIsResentOnlyWithLaterToken(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	q, task := f.queue(), protocol.TaskID{Job: "job-1"}
	f.dispatcher.HandleCommandDone(cmd.Done())
	q.requestDirect()
	if c := f.sendDirectCommands(); countStarts(c.Commands.Orders) != 0 {
		t.Error("start was sent again with the same token")
	}
	f.heartbeat(1, 1) // the reply contains the start, too
	f.heartbeat(1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	f.dispatcher.StopAttempt(message.Stop{TaskRef: message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"}, Kill: true})
	kill := f.sendDirectCommands()
	if !hasOrder(kill.Commands.Orders, protocol.OpStop) {
		t.Fatalf("no order to kill the attempt: %+v", kill)
	}
	stopped := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	f.answerCommand(kill, true, stopped)
	f.dispatcher.ForgetAttempt(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := f.heartbeat(1, 1, stopped); hasOrder(r.Reply.Orders, protocol.OpForget) {
		t.Error("forgotten although the first direct start may still be executed")
	}
	f.dispatcher.View.Term = 2
	f.heartbeat(1, 1, stopped)
	if r := f.heartbeat(1, 2, stopped); !hasOrder(r.Reply.Orders, protocol.OpForget) {
		t.Error("not forgotten after the worker saw a later token")
	}

	again := newFixture(t)
	again.registerAndSendHeartbeat()
	cmd = again.startDirectly()
	again.dispatcher.HandleCommandDone(cmd.Done())
	again.dispatcher.View.Term = 2
	again.queue().requestDirect()
	if c := again.sendDirectCommands(); countStarts(c.Commands.Orders) != 1 || c.Commands.Term != 2 {
		t.Fatalf("start was not sent again with the later token: %+v", c)
	}
	again.heartbeat(1, 2) // the worker saw the token by another path; the command is not answered yet
	if e := again.queue().entries[task]; e == nil || !e.sent {
		t.Errorf("counts as never started while its command is not answered: %+v", e)
	}
}

// TestWithheldStartIsQueuedAgain checks that a start that was not sent is queued again and sent
// with the next commands, without a later token: it can't be delivered. It guards against a start
// that is settled only by a token raise, and against one that is lost.
func TestWithheldStartIsQueuedAgain(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	result := cmd.Done()
	result.Withheld = true
	f.dispatcher.HandleCommandDone(result)
	if next := f.sendDirectCommands(); countStarts(next.Commands.Orders) != 1 || next.Commands.Term != cmd.Commands.Term {
		t.Errorf("the start was not sent again: %+v", next)
	}
}

// TestResultOfEarlierQueueIsIgnored checks that the result of commands that an earlier queue of a
// machine sent neither ends the flight of the present queue's commands nor is applied. It guards
// against two commands in flight to a worker, of which one settles the starts of the other.
func TestResultOfEarlierQueueIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	late := cmd.Done()
	late.Number, late.Answered, late.Executed = cmd.Number+1, true, true
	f.dispatcher.HandleCommandDone(late)
	if q := f.queue(); q.commandInFlight != cmd.Number || q.entries[protocol.TaskID{Job: "job-1"}].directFencingToken == 0 {
		t.Errorf("applied the result of other commands: %d in flight, want %d", q.commandInFlight, cmd.Number)
	}
}

// TestStartIsNotResentIntoWindow checks that an unanswered direct start is not sent again, with a
// heartbeat's reply or directly, once a maintenance window covers the machine or its zone is
// cordoned, and that a later token then releases the attempt. It guards against a start that was
// decided before the window and is executed in it.
func TestStartIsNotResentIntoWindow(t *testing.T) {
	for name, closePlace := range map[string]func(*fixture){
		"window": func(f *fixture) {
			now := f.dispatcher.WallTime()
			f.dispatcher.Reservations.Windows = []clusterstate.OpenWindow{{Spec: &record.WindowSpec{Zone: "a"}, Start: reservation.After(now, -time.Minute), End: reservation.After(now, time.Hour)}}
		},
		"cordoned zone": func(f *fixture) {
			id := record.NewEntryID(record.EntryZone, "a")
			f.dispatcher.Configuration.ApplyEntry(id, record.ConfigurationEntry{Revision: 1, Place: &record.PlaceEntry{Closed: true}})
			f.dispatcher.Configuration.ApplyRevision(record.Configuration{Revision: 1, Entries: []record.EntryID{id}}, 5)
			f.dispatcher.AdoptConfiguration()
		},
		"no closed place": func(*fixture) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatcher.WallMS = 1_770_000_000_000
			f.registerAndSendHeartbeat()
			cmd := f.startDirectly()
			f.dispatcher.HandleCommandDone(cmd.Done()) // not answered
			closePlace(f)
			resent := countStarts(f.heartbeat(1, 1).Reply.Orders) > 0
			f.dispatcher.View.Term = 2
			f.queue().requestDirect()
			resent = resent || countStarts(f.sendDirectCommands().Commands.Orders) > 0
			if resent != (name == "no closed place") {
				t.Fatalf("start sent again: %v", resent)
			}
			if resent {
				return
			}
			if r := f.heartbeat(1, 2); countStarts(r.Reply.Orders) > 0 || !f.wasReleased(protocol.TaskID{Job: "job-1"}) {
				t.Error("not released once the worker had seen a later token")
			}
		})
	}
}

// TestUnexecutedStartOfEndedJobIsReleased checks that a direct start that was refused or withheld is
// not queued again if its job has ended, or its attempt was to be killed, while it was under way.
// It guards against a queue that waits forever: the head would wait for a job that never comes.
func TestUnexecutedStartOfEndedJobIsReleased(t *testing.T) {
	task := protocol.TaskID{Job: "job-1"}
	for name, end := range map[string]func(*fixture){
		"job has ended": func(f *fixture) {
			delete(f.dispatcher.Live, "job-1")
			f.dispatcher.MarkEnded("job-1")
			f.dispatcher.JobEnded("job-1", false)
		},
		"to be killed": func(f *fixture) {
			f.dispatcher.StopAttempt(message.Stop{TaskRef: message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"}, Kill: true})
		},
	} {
		for _, withheld := range []bool{false, true} {
			f := newFixture(t)
			f.registerAndSendHeartbeat()
			cmd := f.startDirectly()
			end(f)
			if withheld {
				result := cmd.Done()
				result.Withheld = true
				f.dispatcher.HandleCommandDone(result)
			} else {
				f.answerCommand(cmd, false)
			}
			if q := f.queue(); len(q.waiting) > 0 || q.entries[task] != nil {
				t.Errorf("%s, withheld %v: %d attempts wait", name, withheld, len(q.waiting))
			}
		}
	}
}
