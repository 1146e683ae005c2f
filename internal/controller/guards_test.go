package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/placement"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// bench is one core, alone or with peers that the test plays.
type bench struct {
	t       testing.TB
	c       *Core
	now     Time
	version protocol.Version
	seq     protocol.Seq
}

func newBench(t testing.TB, members ...protocol.NodeName) *bench {
	s := fake.Settings()
	s.Name = "node-0"
	b := &bench{t: t, c: NewCore(s, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler)), now: 1}
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8}}})
	b.step(message.Snapshot{Session: 100})
	b.step(message.LeaseExtended{Until: Time(time.Hour)})
	b.view(1, append([]protocol.NodeName{"node-0"}, members...)...)
	return b
}

func (b *bench) step(msg any) []message.Action {
	b.now += Time(placement.Interval)
	return b.c.Step(b.now, msg)
}

func (b *bench) put(key string, v any) []message.Action {
	raw, err := protocol.Encode(v)
	if err != nil {
		b.t.Fatal(err)
	}
	b.version++
	return b.step(message.RecordChanged{Event: protocol.Event{Put: key, Value: raw, Version: b.version}})
}

func (b *bench) view(term protocol.Term, names ...protocol.NodeName) []message.Action {
	v := record.View{Term: term, Members: map[protocol.NodeName]protocol.LeaseID{}}
	for i, n := range names {
		v.Members[n] = protocol.LeaseID(100 + i)
		b.put(record.NodeKey(n), record.Node{Session: v.Members[n]})
	}
	b.put(record.ViewKey, v)
	return b.step(message.CommitDone{Tag: membership.ViewTag{}, Outcome: message.OutcomeDone})
}

func (b *bench) machine(id protocol.MachineID, session protocol.AgentEpoch) {
	b.put(record.MachineKey(id), record.Machine{Session: session, Address: "x", Type: "small", Zone: "a"})
}

func (b *bench) job(id protocol.JobID, team protocol.Team, tasks uint32) {
	b.put(record.LiveKey(id), protocol.Job{
		ID: id, Team: team, Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
	})
}

// report sends a worker's report and returns the answer.
func (b *bench) report(id protocol.MachineID, session protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	b.seq++
	return b.reportSeq(id, session, b.seq, term, tasks...)
}

func (b *bench) reportSeq(id protocol.MachineID, session protocol.AgentEpoch, seq protocol.Seq, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{
		Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: session, Seq: seq, Term: term, Tasks: tasks,
	}}) {
		if r, ok := a.(message.ReplyHeartbeat); ok {
			return r
		}
	}
	b.t.Fatal("a report was not answered")
	return message.ReplyHeartbeat{}
}

func commands(actions []message.Action) []protocol.Order {
	var os []protocol.Order
	for _, a := range actions {
		if c, ok := a.(message.Command); ok {
			os = append(os, c.Commands.Orders...)
		}
	}
	return os
}

func starts(os []protocol.Order) int {
	n := 0
	for _, o := range os {
		if o.Op == protocol.OpStart {
			n++
		}
	}
	return n
}

// keptBy is a machine that one of the members keeps.
func (b *bench) keptBy(n protocol.NodeName) protocol.MachineID {
	id := protocol.MachineID("vm-0")
	for i := 0; clusterstate.RendezvousDispatcher(b.c.View, id) != n; i++ {
		id = protocol.MachineID("vm-" + string(rune('a'+i)))
	}
	return id
}

// kept is the attempt of a task that the core keeps on a machine.
func (b *bench) kept(id protocol.MachineID, task protocol.TaskID) (found dispatcher.Attempt) {
	for _, a := range b.c.dispatcher.Attempts(id) {
		if a.Task == task {
			found = a
		}
	}
	return found
}

// ready brings one machine into service, term and inventory settled.
func (b *bench) ready(id protocol.MachineID) {
	b.report(id, 1, 0)
	b.machine(id, 1)
	b.report(id, 1, b.c.View.Term)
	b.now += Time(1100 * time.Millisecond)
	b.step(message.Tick{})
}

// TestUnansweredDirectStart: an attempt whose direct start has no answer is
// neither reaped nor released before the worker has seen a later term, which
// is raised for that once the worker is heard again.
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
	b.report("vm-1", 1, 1)
	if raised() {
		t.Error("the term is raised while an answer may come")
	}
	b.step(message.CommandDone{Machine: "vm-1", Term: cmd.Commands.Term, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	if raised() {
		t.Error("the term is raised for a silent worker")
	}
	b.report("vm-1", 1, 1) // not listed, and proves nothing
	if !raised() {
		t.Error("the term is not raised")
	}
	if e := b.kept("vm-1", task); !e.Sent {
		t.Fatalf("taken for never started: %+v", e)
	}
	ended := protocol.TaskStatus{Task: task, Attempt: attempt, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	for range 2 {
		for _, o := range b.report("vm-1", 1, 1, ended).Reply.Orders {
			if o.Op == protocol.OpForget && o.Task == task && o.Attempt == attempt {
				t.Fatal("reaped while its start may be under way")
			}
		}
	}
	b.view(2, "node-0")
	b.report("vm-1", 1, 1, ended)
	reaped := false
	for _, o := range b.report("vm-1", 1, 2, ended).Reply.Orders {
		reaped = reaped || o.Op == protocol.OpForget && o.Attempt == attempt
	}
	if !reaped {
		t.Error("not reaped after the worker has seen a later term")
	}
}

// TestHeldReportOfEarlierSession: a report of a session that is over says
// nothing, even after the machine's record and queue have gone.
func TestHeldReportOfEarlierSession(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.step(message.RecordChanged{Event: protocol.Event{Delete: record.MachineKey("vm-1"), Version: 99}})
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: 500, Term: 1}}) {
		if c, ok := a.(message.Commit); ok {
			t.Fatalf("a session that is over is registered: %+v", c)
		}
	}
	registered := false
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 2, Seq: 1, Term: 1}}) {
		_, ok := a.(message.Commit)
		registered = registered || ok
	}
	if !registered {
		t.Error("the next session is not registered")
	}
}

// TestDeafController: workers that come astray again and again show that their
// controller can't be reached; the next view says so and others keep them.
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
			if r := b.report(id, 1, 1); r.Status != 421 || r.Leader != "node-1" {
				t.Fatalf("%+v", r)
			}
		}
	}
	for _, a := range b.step(message.Tick{}) {
		if c, ok := a.(message.Commit); ok && c.Tag == (membership.ViewTag{}) {
			next = c.Txn.Changes[0].Value.(record.View)
		}
	}
	if len(next.Deaf) != 1 || next.Deaf[0] != "node-1" {
		t.Fatalf("next view: %+v", next)
	}
	b.put(record.ViewKey, next)
	if r := b.report(theirs[0], 1, 1); r.Status != 200 {
		t.Errorf("its machine is not kept here: %+v", r)
	}
}

// TestLapsed: a controller whose own clock has reached the end of its lease
// answers workers 503 and starts nothing.
func TestLapsed(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.step(message.LeaseExtended{Until: b.now + 1})
	if r := b.report("vm-1", 1, 1); r.Status != 503 {
		t.Errorf("answered %+v", r)
	}
	if a := b.put(record.LiveKey("job-1"), protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Tasks: 1, CPUs: 1}); len(commands(a)) > 0 {
		t.Errorf("commands %+v", a)
	}
}

// TestHigherTerm: a report with a later term stops a controller that has not
// read it yet.
func TestHigherTerm(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	if r := b.report("vm-1", 1, 7); r.Status != 503 {
		t.Errorf("answered %+v", r)
	}
}

// TestStaleBatch: a batch between other sessions is dropped, one of a term not
// read yet has to wait, a repeated one is taken once.
func TestStaleBatch(t *testing.T) {
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
	if got := b.c.table.Machines["vm-1"].PendingSum; got != 5 {
		t.Errorf("wait %v: a repeated batch counts again", got)
	}
	old, late, ahead := good, good, good
	old.FromSession = 55
	late.ToSession = 55
	ahead.Term = 2
	if deliver(old) != message.BatchExcluded || deliver(late) != message.BatchStale || deliver(ahead) != message.BatchBehind {
		t.Error("a batch of another session or term is taken")
	}
	if got := b.c.table.Machines["vm-1"].PendingSum; got != 5 {
		t.Errorf("wait %v: a batch that is dropped counts", got)
	}
}

// TestFinishIsWrittenFirst: a job's end is written on the condition that its
// record is unchanged, once all its tasks are done.
func TestFinishIsWrittenFirst(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 2)
	version := b.version
	var finish *message.Commit
	for i := range uint32(2) {
		task := protocol.TaskID{Job: "job-1", Index: i}
		b.step(message.Tick{})
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: task, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
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
	for _, cond := range finish.Txn.Conditions {
		if cond.Version != version {
			t.Errorf("condition %+v, want version %d", cond, version)
		}
	}
}

// TestBadJobWaits: a job that fails on every machine waits ever longer.
func TestBadJobWaits(t *testing.T) {
	b := newBench(t)
	o := func() *jobs.Job { return b.c.jobs.ByID["job-1"] }
	b.job("job-1", "free", 1)
	for i := range 3 {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		b.machine(id, 1)
		ref := message.TaskRef{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: id}
		o().Placed[ref.Task] = &jobs.Attempt{Task: ref.Task, Number: 1, Machine: id}
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: protocol.EndError})
	}
	if o().NotBefore <= b.now {
		t.Error("it is tried again at once")
	}
}

// TestNewTermKeepsStarting: a new term does not stop direct starts where the
// queue is kept on; who missed a term waits until it knows what is on the
// machine.
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
			t.Errorf("after term %d: %d direct starts before the worker's report, want %d", tc.term, n, tc.want)
		}
	}
}

// TestHeldBackReport: what a report of an earlier term lists is told to nobody
// before the machine's inventory. The network may have held it back, and an
// attempt it lists may be long gone: its owner would have it killed.
func TestHeldBackReport(t *testing.T) {
	b := newBench(t)
	b.machine("vm-2", 1)
	b.job("job-1", "free", 1) // placed there
	b.machine("vm-1", 1)
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 77, State: protocol.TaskRunning}
	b.report("vm-1", 1, 0, running)
	e := b.kept("vm-1", running.Task)
	if e.Attempt != 77 {
		t.Fatalf("not taken: %+v", e)
	}
	if e.Kill {
		t.Error("to be killed on the word of an old report")
	}
	b.report("vm-1", 1, b.c.View.Term, running)
	if !b.kept("vm-1", running.Task).Kill {
		t.Error("an attempt that its owner never placed goes on")
	}
}

// TestOnlyMachineFailed: a job that failed on the only machine there is for it
// waits a moment and is tried there again.
func TestOnlyMachineFailed(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 1)
	o := b.c.jobs.ByID["job-1"]
	for _, p := range o.Placed {
		b.report("vm-1", 1, 1, protocol.TaskStatus{Task: p.Task, Attempt: p.Number, State: protocol.TaskEnded, Cause: protocol.EndError})
	}
	b.report("vm-1", 1, 1) // forgotten there
	b.step(message.Tick{})
	if len(o.Placed) > 0 {
		t.Error("tried again at once")
	}
	b.now += Time(6 * time.Second)
	b.report("vm-1", 1, 1)
	b.step(message.Tick{})
	if b.step(message.Tick{}); len(o.Placed) == 0 {
		t.Error("not tried again")
	}
	b.machine("vm-2", 1)
	if b.c.placer.Feasible(o, nil)(b.c.table.Machines["vm-1"]) {
		t.Error("tried there again though there is another machine")
	}
}
