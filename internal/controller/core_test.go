package controller

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestUnansweredDirectStart: an attempt whose direct start has no answer is neither
// forgotten nor released before the worker has seen a later term, which is raised for that
// once the worker sends heartbeats again.
func TestUnansweredDirectStart(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	var cmd message.Command
	for _, a := range b.put(record.LiveKey("job-1"), protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 1, Image: "i",
	}) {
		if c, ok := a.(message.Command); ok {
			cmd = c
		}
	}
	if starts(cmd.Commands.Orders) != 1 {
		t.Fatalf("no direct start: %+v", cmd)
	}
	task, attempt := cmd.Commands.Orders[0].Task, cmd.Commands.Orders[0].Attempt
	raised := func() (raised bool) {
		for _, a := range b.step(message.Tick{}) {
			c, ok := a.(message.Commit)
			raised = raised || ok && c.Tag == membership.ViewTag{}
		}
		return raised
	}
	b.heartbeat("vm-1", 1, 1)
	if raised() {
		t.Error("the term is raised while an answer may come")
	}
	b.step(message.CommandDone{Machine: "vm-1", Term: cmd.Commands.Term, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	if raised() {
		t.Error("the term is raised for a silent worker")
	}
	b.heartbeat("vm-1", 1, 1) // not listed, and proves nothing
	if !raised() {
		t.Error("the term is not raised")
	}
	if e := b.attempt(task); !e.Sent {
		t.Fatalf("counted as never started: %+v", e)
	}
	ended := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	for range 2 {
		for _, o := range b.heartbeat("vm-1", 1, 1, ended).Reply.Orders {
			if o.Op == protocol.OpForget && o.Task == task && o.Attempt == attempt {
				t.Fatal("forgotten while its start may be under way")
			}
		}
	}
	b.view(2, "node-0")
	b.heartbeat("vm-1", 1, 1, ended)
	forgotten := false
	for _, o := range b.heartbeat("vm-1", 1, 2, ended).Reply.Orders {
		forgotten = forgotten || o.Op == protocol.OpForget && o.Attempt == attempt
	}
	if !forgotten {
		t.Error("not forgotten after the worker has seen a later term")
	}
}

// TestHeldReportOfEarlierSession: a delayed heartbeat of an earlier agent epoch registers
// nothing, even after the machine's record and queue have been removed.
func TestHeldReportOfEarlierSession(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.step(message.RecordChanged{Event: protocol.Event{Delete: record.MachineKey("vm-1"), Version: 99}})
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: 500, Term: 1}}) {
		if c, ok := a.(message.Commit); ok {
			t.Fatalf("an earlier agent epoch is registered: %+v", c)
		}
	}
	registered := false
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 2, Seq: 1, Term: 1}}) {
		_, ok := a.(message.Commit)
		registered = registered || ok
	}
	if !registered {
		t.Error("the next agent epoch is not registered")
	}
}

// TestDeafController: workers that have to be redirected again and again show that their
// controller is unreachable for them; the next view says so and others dispatch to them.
func TestDeafController(t *testing.T) {
	b := newBench(t, "node-1")
	var theirs []protocol.MachineID
	for i := 0; len(theirs) < 4; i++ {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		if clusterstate.RendezvousDispatcher(b.c.View, id) == "node-1" {
			theirs = append(theirs, id)
			b.machine(id, 1)
		}
	}
	var next record.View
	for range 2 {
		b.now += Time(5 * time.Second)
		for _, id := range theirs {
			if r := b.heartbeat(id, 1, 1); r.Status != 421 || r.Leader != "node-1" {
				t.Fatalf("%+v", r)
			}
		}
	}
	for _, a := range b.step(message.Tick{}) {
		if c, ok := a.(message.Commit); ok && c.Tag == (membership.ViewTag{}) {
			next = c.Transaction.Changes[0].Value.(record.View)
		}
	}
	if len(next.Deaf) != 1 || next.Deaf[0] != "node-1" {
		t.Fatalf("next view: %+v", next)
	}
	b.put(record.ViewKey, next)
	if r := b.heartbeat(theirs[0], 1, 1); r.Status != 200 {
		t.Errorf("its machine is not dispatched to from here: %+v", r)
	}
}

// TestExpiredLeaseStartsNothing: a controller whose own clock has reached the end of its
// lease answers workers 503 and starts nothing.
func TestExpiredLeaseStartsNothing(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.step(message.LeaseExtended{Until: b.now + 1})
	if r := b.heartbeat("vm-1", 1, 1); r.Status != 503 {
		t.Errorf("answered %+v", r)
	}
	if a := b.put(record.LiveKey("job-1"), protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Tasks: 1, CPUs: 1}); len(commands(a)) > 0 {
		t.Errorf("commands %+v", a)
	}
}

// TestHeartbeatOfALaterTermIsNotAnswered: a heartbeat with a later term stops a controller
// that has not read that term yet.
func TestHeartbeatOfALaterTermIsNotAnswered(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	if r := b.heartbeat("vm-1", 1, 7); r.Status != 503 {
		t.Errorf("answered %+v", r)
	}
}

// TestBatchCountsOnceAndInItsSession: a batch between other sessions is dropped, one of a
// term not read yet has to wait, a repeated one is handled once.
func TestBatchCountsOnceAndInItsSession(t *testing.T) {
	b := newBench(t, "node-1")
	deliver := func(batch message.Batch) message.BatchReply {
		for _, a := range b.step(message.BatchReceived{Batch: batch}) {
			if r, ok := a.(message.ReplyBatch); ok {
				return r.Reply
			}
		}
		return 0
	}
	good := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1, Messages: []message.PeerMessage{{Added: &message.WaitsAdded{
		Term: 1, Numbers: map[protocol.NodeName]uint64{clusterstate.RendezvousDispatcher(b.c.View, "vm-1"): 1},
		Waits: []message.WaitChange{{Machine: "vm-1", Add: 5, Taken: []message.LevelUse{{CPUs: 1}}}},
	}}}}
	b.machine("vm-1", 1)
	for range 2 {
		if r := deliver(good); r != message.BatchAccepted {
			t.Fatalf("reply %v", r)
		}
	}
	if got := b.c.waitTable.Machines["vm-1"].PendingSum; got != 5 {
		t.Errorf("wait %v: a repeated batch counts again", got)
	}
	old, late, ahead := good, good, good
	old.FromSession = 55
	late.ToSession = 55
	ahead.Term = 2
	if deliver(old) != message.BatchExcluded || deliver(late) != message.BatchStale || deliver(ahead) != message.BatchBehind {
		t.Error("a batch of another session or term is accepted")
	}
	if got := b.c.waitTable.Machines["vm-1"].PendingSum; got != 5 {
		t.Errorf("wait %v: a batch that is dropped counts", got)
	}
}

// TestJobEndIsConditionalOnItsRecord: a job's end is written on the condition that its
// record is unchanged, once all its tasks are done.
func TestJobEndIsConditionalOnItsRecord(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 2)
	version := b.version
	var finish *message.Commit
	for i := range uint32(2) {
		task := protocol.TaskID{Job: "job-1", Index: i}
		b.step(message.Tick{})
		b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: task, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
		for _, a := range b.c.Actions {
			if c, ok := a.(message.Commit); ok && c.Tag == (jobs.FinishTag{Job: "job-1"}) {
				if i == 0 {
					t.Fatal("finished with a task left")
				}
				finish = &c
			}
		}
	}
	if finish == nil {
		t.Fatal("the end is not written")
	}
	for _, cond := range finish.Transaction.Conditions {
		if cond.Version != version {
			t.Errorf("condition %+v, want version %d", cond, version)
		}
	}
}

// TestJobThatFailsEverywhereBacksOff: a job that fails on every machine is retried after
// growing delays.
func TestJobThatFailsEverywhereBacksOff(t *testing.T) {
	b := newBench(t)
	o := func() *jobs.Job { return b.c.jobs.ByID["job-1"] }
	b.job("job-1", "free", 1)
	for i := range 3 {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		b.machine(id, 1)
		ref := message.TaskRef{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: id}
		o().Placed[ref.Task] = &jobs.Attempt{Task: ref.Task, Number: 1, Machine: id}
		b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: protocol.EndError})
	}
	if o().NotBefore <= b.now {
		t.Error("it is retried at once")
	}
}

// TestNewTermKeepsStarting: a new term does not stop direct starts where the queue goes
// on; a controller that missed a term waits for the inventory of the machine.
func TestNewTermKeepsStarting(t *testing.T) {
	for _, tc := range []struct {
		term protocol.Term
		want int
	}{{2, 1}, {3, 0}} {
		b := newBench(t)
		b.ready("vm-1")
		b.view(tc.term, "node-0")
		job := protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 1, Image: "i"}
		if n := starts(commands(b.put(record.LiveKey("job-1"), job))); n != tc.want {
			t.Errorf("after term %d: %d direct starts before the worker's heartbeat, want %d", tc.term, n, tc.want)
		}
	}
}

// TestHeldBackReport: owners are not notified of what a heartbeat of an earlier term lists
// before the machine's inventory is complete. The network may have delayed it, and an
// attempt that it lists may have ended long ago: its owner would have it killed.
func TestHeldBackReport(t *testing.T) {
	b := newBench(t)
	b.machine("vm-2", 1)
	b.job("job-1", "free", 1) // placed there
	b.machine("vm-1", 1)
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 77, State: protocol.TaskRunning}
	b.heartbeat("vm-1", 1, 0, running)
	e := b.attempt(running.Task)
	if e.Attempt != 77 {
		t.Fatalf("not in the queue: %+v", e)
	}
	if e.Kill {
		t.Error("to be killed because of a heartbeat of an earlier term")
	}
	b.heartbeat("vm-1", 1, b.c.View.Term, running)
	if !b.attempt(running.Task).Kill {
		t.Error("an attempt that its owner never placed goes on")
	}
}

// TestOnlyMachineIsRetriedAfterADelay: a job that failed on the only machine that fits is
// retried there after a delay.
func TestOnlyMachineIsRetriedAfterADelay(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 1)
	o := b.c.jobs.ByID["job-1"]
	for _, p := range o.Placed {
		b.heartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: p.Task, Attempt: p.Number, State: protocol.TaskEnded, Cause: protocol.EndError})
	}
	b.heartbeat("vm-1", 1, 1) // forgotten there
	b.step(message.Tick{})
	if len(o.Placed) > 0 {
		t.Error("retried at once")
	}
	b.now += Time(6 * time.Second)
	b.heartbeat("vm-1", 1, 1)
	b.step(message.Tick{})
	if b.step(message.Tick{}); len(o.Placed) == 0 {
		t.Error("not retried")
	}
	b.machine("vm-2", 1)
	if b.c.placer.Feasible(o, nil)(b.c.waitTable.Machines["vm-1"]) {
		t.Error("retried there though there is another machine")
	}
}
