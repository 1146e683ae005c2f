package dispatcher

import (
	"log/slog"
	"os"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// bench is one keeper, in a view of its own controller alone.
type bench struct {
	t   *testing.T
	k   *Dispatcher
	seq protocol.Seq
}

func newBench(t *testing.T) *bench {
	s := fake.Settings()
	s.Name = "node-0"
	p := clusterstate.Module{State: clusterstate.NewState(s, config.DefaultOperator(), slog.New(slog.DiscardHandler)), Output: &clusterstate.Output{}}
	p.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}
	p.Session, p.SessionStart, p.Now, p.LeaseDeadline = 100, 1, 1, clock.Time(time.Hour)
	p.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	p.Reservations.Listed = true
	return &bench{t: t, k: New(p)}
}

// machine registers a machine's first session.
func (b *bench) machine(id protocol.MachineID) {
	rec := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	m := &clusterstate.Machine{ID: id, Record: rec, Epoch: 7, Info: b.k.Types["small"]}
	b.k.Records[id] = m
	b.k.RecordUpdated(m)
}

// job accepts a job of one task.
func (b *bench) job(id protocol.JobID) {
	b.k.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i"}}
}

// place queues a job's only task.
func (b *bench) place(id protocol.JobID) {
	b.k.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// heartbeat sends a worker's report and returns the answer.
func (b *bench) report(id protocol.MachineID, session protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	b.seq++
	b.k.Actions = nil
	b.k.Heartbeat(protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: session, Seq: b.seq, Term: term, Tasks: tasks})
	for _, a := range b.k.Actions {
		if r, ok := a.(message.ReplyHeartbeat); ok {
			return r
		}
	}
	b.t.Fatal("a report was not answered")
	return message.ReplyHeartbeat{}
}

// ready brings one machine into service, its inventory given.
func (b *bench) ready(id protocol.MachineID) {
	b.machine(id)
	b.report(id, 1, b.k.View.Term)
}

// reserve promises room at a time from now.
func (b *bench) reserve(name reservation.Name, in time.Duration) {
	at := reservation.After(b.k.WallTime(), in)
	err := b.k.Reservations.Calendar.PutReservation(record.Reservation{
		Spec: record.ReservationSpec{
			Name: name, Class: string(name), When: time.UnixMilli(int64(at)).UTC().Format("2006-01-02 at 15:04:05"), HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
		},
		State: record.Accepted, StartMS: at,
	}, 1, b.k.WallTime())
	if err != nil {
		b.t.Fatal(err)
	}
	b.k.Reservations.Any = true
}

// shared has all machines kept by shares, by this keeper.
func (b *bench) shared() *record.ShardTable {
	s := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for id := range s.List {
		sharding.Assign(s, sharding.ID(id), 100)
	}
	b.k.View.Layout, b.k.Shards = record.LayoutShards, s
	return s
}

// hold holds room on a machine.
func (b *bench) hold(h reservation.Hold) {
	b.k.Reservations.List = []reservation.Hold{h}
	b.k.Reservations.Holds[h.Machine] = b.k.Reservations.List
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

// TestPreemption: who may be stopped for whom.
func TestPreemption(t *testing.T) {
	type task struct {
		team       protocol.Team
		priority   protocol.Priority
		guaranteed bool
	}
	cases := []struct {
		name       string
		head, runs task
		stopped    bool
	}{
		{"higher priority", task{"free", "high", false}, task{"free", "standard", false}, true},
		{"same priority", task{"free", "standard", false}, task{"free", "standard", false}, false},
		{"lower priority", task{"free", "standard", false}, task{"free", "high", false}, false},
		{"guaranteed against borrowed, whatever its priority", task{"bound", "standard", true}, task{"free", "production", false}, true},
		{"guaranteed against guaranteed", task{"bound", "standard", true}, task{"free", "standard", true}, false},
		{"borrowed against another team's guarantee", task{"bound", "high", false}, task{"free", "standard", true}, false},
		{"higher priority of the same team", task{"free", "high", false}, task{"free", "standard", true}, true},
	}
	for _, tc := range cases {
		b := newBench(t)
		b.ready("vm-1")
		q := b.k.queues["vm-1"]
		entry := func(id protocol.JobID, k task, cpus float64) *entry {
			b.k.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: k.team, Priority: k.priority, CPUs: cpus, Tasks: 1}}
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 900, need: resource.Amount{CPUs: cpus}, level: resource.LevelOf(k.priority, k.guaranteed)}
			q.addEntry(e)
			return e
		}
		victim := entry("job-1", tc.runs, 2)
		victim.sent, victim.present, victim.state = true, true, protocol.TaskRunning
		head := entry("job-2", tc.head, 3)
		head.queuedSince = b.k.Now
		q.waiting = append(q.waiting, head)
		b.k.touch(q)
		b.k.preempt(q)
		if victim.kill {
			t.Errorf("%s: stopped before the head has waited", tc.name)
		}
		b.k.Now += clock.Time(preemptAfter)
		b.k.preempt(q)
		if victim.kill != tc.stopped {
			t.Errorf("%s: stopped %v, want %v", tc.name, victim.kill, tc.stopped)
		}
	}
}

// TestNothingStoppedForRoomThatComes: what runs is not stopped for a task that
// room comes for in time anyway. Stopping it made steady days of arrays repeat
// a fifth of all they had begun.
func TestNothingStoppedForRoomThatComes(t *testing.T) {
	for _, tc := range []struct {
		runs    float64 // seconds, by estimate
		class   string  // reservation the one that waits
		stopped bool
	}{
		{8, "gang", false}, // to be started within 10 s
		{30, "gang", true},
		{30, "other", false}, // to be done within 600 s
		{900, "other", true},
	} {
		b := newBench(t)
		b.ready("vm-1")
		q := b.k.queues["vm-1"]
		entry := func(id protocol.JobID, p protocol.Priority, class string, s float64) *entry {
			l := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Priority: p, CPUs: 3, Tasks: 1, EstimateS: s}, Since: b.k.Now}
			l.Deadline = b.k.Deadline(l)
			b.k.Live[id] = l
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: s, queuedSince: b.k.Now, need: resource.Amount{CPUs: 3}, level: resource.LevelOf(p, false)}
			q.addEntry(e)
			return e
		}
		runs := entry("job-1", "standard", "other", tc.runs)
		runs.sent, runs.present, runs.state, runs.runningSince = true, true, protocol.TaskRunning, b.k.Now
		q.waiting = append(q.waiting, entry("job-2", "high", tc.class, 10))
		b.k.touch(q)
		b.k.Now += clock.Time(preemptAfter)
		b.k.preempt(q)
		if runs.kill != tc.stopped {
			t.Errorf("one of %v s, for a job of class %s: stopped %v, want %v", tc.runs, tc.class, runs.kill, tc.stopped)
		}
	}
}

// TestFoundTasksTeachNothing: a task that was found on its machine may have run
// for long before. Counted from then, estimates seemed good that were half of the
// truth, and reserved room was full at its time.
func TestFoundTasksTeachNothing(t *testing.T) {
	b := newBench(t)
	b.k.Reservations.Any = true
	b.k.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Class: "array"}}
	end := func(order uint64, n int) {
		for range n {
			b.k.noteError(&entry{task: protocol.TaskID{Job: "job-1"}, arrival: order, runningSince: b.k.Now - clock.Time(10*time.Second), estimate: 10, cause: protocol.EndDone})
		}
	}
	usual := b.k.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10)
	if end(0, 100); b.k.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) != usual {
		t.Error("learned from tasks that were found")
	}
	if end(7, 100); b.k.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) >= usual {
		t.Error("not learned from tasks that were started here")
	}
}

// TestHeldRoomIsKept: what would overrun does not start in held room, by the
// keeper's own decision, however it came into its queue; short work does, and the
// reserved job passes what waits.
func TestHeldRoomIsKept(t *testing.T) {
	b := newBench(t)
	b.k.WallMS = 1_770_000_000_000
	b.ready("vm-1") // reservation 4 processors
	b.reserve("one", 20*time.Minute)
	now := b.k.WallTime()
	hold := reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 18*time.Minute), From: reservation.After(now, 20*time.Minute), Until: reservation.After(now, 40*time.Minute)}
	b.hold(hold)
	q := b.k.queues["vm-1"]
	wait := func(id protocol.JobID, class string, estimate float64) *entry {
		b.k.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", CPUs: 2, MemoryGB: 1, Tasks: 1, EstimateS: estimate, SubmittedMS: int64(b.k.WallTime())}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: estimate, need: resource.Amount{CPUs: 2, GB: 1}, level: 1, placedBy: "node-0"}
		q.addEntry(e)
		b.k.enqueue(q, e)
		return e
	}
	wait("job-long", "array", 1200)
	short := wait("job-short", "array", 100)
	if out := b.k.startable(q); len(out) != 1 || out[0] != short {
		t.Fatalf("%d started", len(out))
	}
	if q.entries[protocol.TaskID{Job: "job-long"}] != nil {
		t.Error("what would overrun was not given back to its owner")
	}
	b.k.Now += clock.Time(19 * time.Minute)
	wait("job-late", "array", 10)
	mine := wait("job-mine", "one", 600)
	if out := b.k.startable(q); len(out) != 1 || out[0] != mine {
		t.Errorf("%d started in room that has to be clear, want the reserved job's", len(out))
	}
}

// TestStoppedInTime: what may be stopped for a reservation uses its room until
// the last moment that lets it save; what may not is left alone.
func TestStoppedInTime(t *testing.T) {
	b := newBench(t)
	b.k.WallMS = 1_770_000_000_000
	b.ready("vm-1")
	b.reserve("one", 10*time.Minute)
	now := b.k.WallTime()
	b.hold(reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 8*time.Minute), From: reservation.After(now, 10*time.Minute), Until: reservation.After(now, 40*time.Minute)})
	q := b.k.queues["vm-1"]
	run := func(id protocol.JobID, p protocol.Priority) *entry {
		b.k.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Priority: p, Team: "free", CPUs: 2, Tasks: 1, CheckpointS: 10, SaveS: 10}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 3600, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(p, false), sent: true, present: true, state: protocol.TaskRunning}
		q.addEntry(e)
		return e
	}
	low, same := run("job-low", "best_effort"), run("job-same", "standard")
	b.k.Now += clock.Time(9 * time.Minute)
	if b.k.clearHeld(q); low.kill {
		t.Error("stopped a minute before")
	}
	b.k.Now += clock.Time(25 * time.Second) // 35 s before: it takes 21 s to save
	if b.k.clearHeld(q); !low.kill || low.graceS < 20 || same.kill {
		t.Errorf("less urgent stopped %v with %v s, same priority stopped %v", low.kill, low.graceS, same.kill)
	}
}

// TestFailingJobLeavesMachine: when a job's task fails, what waits there of the
// same job goes back to its owner.
func TestFailingJobLeavesMachine(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	q := b.k.queues["vm-1"]
	for i := range uint32(3) {
		e := &entry{task: protocol.TaskID{Job: "job-1", Index: i}, attempt: 1}
		q.addEntry(e)
		q.waiting = append(q.waiting, e)
	}
	b.k.recordResult(q, &entry{task: protocol.TaskID{Job: "job-2"}, cause: protocol.EndDone})
	if len(q.waiting) != 3 {
		t.Fatal("released for another job's success")
	}
	b.k.recordResult(q, &entry{task: protocol.TaskID{Job: "job-1", Index: 7}, cause: protocol.EndError})
	if len(q.waiting) != 0 {
		t.Errorf("%d still wait", len(q.waiting))
	}
}

// TestPutBackWhileDraining: a start that was not executed goes back to the
// queue, but on a machine that is drained meanwhile to its owner.
func TestPutBackWhileDraining(t *testing.T) {
	for _, drained := range []bool{false, true} {
		b := newBench(t)
		b.ready("vm-1")
		q := b.k.queues["vm-1"]
		e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1, sent: true}
		q.addEntry(e)
		b.k.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: "standard"}}
		if drained {
			b.k.Drain("vm-1")
		}
		b.report("vm-1", 1, b.k.View.Term) // removeWaits it
		if left := q.entries[e.task] != nil; left == drained {
			t.Errorf("drained %v: still there %v", drained, left)
		}
	}
}

// TestKeeperRefusesBlockedGang: a task whose gang waits for it is not queued
// behind what can't be stopped for it; behind what can, that is stopped.
func TestKeeperRefusesBlockedGang(t *testing.T) {
	for _, tc := range []struct {
		runs    protocol.Priority
		refused bool
	}{{"high", true}, {"standard", false}} {
		b := newBench(t)
		b.ready("vm-1")
		q := b.k.queues["vm-1"]
		b.k.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: tc.runs, CPUs: 2, Tasks: 1}}
		b.k.Live["job-2"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-2", Team: "free", Kind: protocol.KindGang, Priority: "high", CPUs: 4, Tasks: 2}}
		runs := &entry{
			task: protocol.TaskID{Job: "job-1"}, attempt: 1, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(tc.runs, false),
			sent: true, present: true, state: protocol.TaskRunning,
		}
		q.addEntry(runs)
		b.k.Place("node-0", &message.Place{Number: 1, Term: b.k.View.Term, Tasks: []message.Placement{{
			Task: protocol.TaskID{Job: "job-2"}, Attempt: 1, Machine: "vm-1", Epoch: q.recordVersion, CPUs: 4, Level: int(resource.LevelOf("high", false)), Together: true,
		}}})
		if refused := len(q.waiting) == 0; refused != tc.refused || runs.kill == tc.refused {
			t.Errorf("behind %s: refused %v, other stopped %v", tc.runs, refused, runs.kill)
		}
	}
}

// TestHeldPlacement: a placement of an earlier term or of a machine's earlier
// record starts nothing.
func TestHeldPlacement(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	epoch := b.k.Records["vm-1"].Epoch
	place := func(term protocol.Term, epoch protocol.Version) {
		b.k.Place("node-0", &message.Place{Term: term, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-9"}, Attempt: 1, Machine: "vm-1", Epoch: epoch}}})
	}
	place(0, epoch)
	place(1, epoch-1)
	if n := len(b.k.queues["vm-1"].entries); n != 0 {
		t.Fatalf("%d queued", n)
	}
	place(1, epoch)
	if n := len(b.k.queues["vm-1"].entries); n != 1 {
		t.Fatalf("%d queued, want the valid one", n)
	}
}

// TestNothingStartsUnregistered: no start before the machine's record is durable.
func TestNothingStartsUnregistered(t *testing.T) {
	b := newBench(t)
	b.report("vm-1", 1, 0)
	b.job("job-1")
	q := b.k.queues["vm-1"]
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1}
	q.addEntry(e)
	q.waiting = []*entry{e}
	if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 0 {
		t.Fatal("started on a machine without a record")
	}
	b.machine("vm-1")
	if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 1 {
		t.Fatal("not started once registered")
	}
}

// TestQueuedBeforeItsRecord: an inventory lists a queued attempt whose job's
// record has not arrived here yet, to the controller that placed it.
func TestQueuedBeforeItsRecord(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.k.Place("node-0", &message.Place{Number: 5, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-7"}, Attempt: 1, Machine: "vm-1", Epoch: b.k.Records["vm-1"].Epoch,
	}}})
	b.k.Local = nil
	b.k.sendInventory(b.k.queues["vm-1"])
	for _, m := range b.k.Local {
		if m.Inventory != nil && len(m.Inventory.Held) == 1 && m.Inventory.Held[0].Attempt == 1 {
			return
		}
	}
	t.Fatalf("not listed: %+v", b.k.Local)
}

// TestOverBeforePlaced: an attempt of a job that is over is not queued.
func TestOverBeforePlaced(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1")
	delete(b.k.Live, "job-1")
	b.k.MarkEnded("job-1")
	b.k.JobOver("job-1", false)
	b.k.Place("node-0", &message.Place{Number: 6, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-1"}, Attempt: 9, Machine: "vm-1", Epoch: b.k.Records["vm-1"].Epoch,
	}}})
	if n := len(b.k.queues["vm-1"].waiting); n != 0 {
		t.Fatalf("%d waiting: it would stand at the head for ever", n)
	}
}

// TestCrossingAnswers: the answer to direct commands may cross the answer to a
// heartbeat; it does not settle the starts in that one.
func TestCrossingAnswers(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.k.queues["vm-1"].directInFlight = true // a direct command is under way
	b.job("job-1")
	b.place("job-1")
	if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 1 {
		t.Fatalf("not started by the report's answer: %+v", r)
	}
	b.seq++
	b.k.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Answered: true, Executed: true,
		Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: 1}})
	if e := b.k.queues["vm-1"].entries[protocol.TaskID{Job: "job-1"}]; e == nil || !e.sent {
		t.Fatalf("a start under way is taken for not executed: %+v", e)
	}
	b.report("vm-1", 1, 1) // the worker's next report does settle it: sent again
}

// TestFailingMachine: one job's failures do not set a machine aside, those of two
// do, unless these fail wherever they run, as their owners say a moment later. One
// that turns out to be good is taken back.
func TestFailingMachine(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	q := b.k.queues["vm-1"]
	mistakes := map[protocol.JobID]bool{}
	fail := func(job protocol.JobID, after time.Duration) {
		b.k.recordResult(q, &entry{task: protocol.TaskID{Job: job}, cause: protocol.EndError})
		b.k.quarantineIfFailing(q, func(id protocol.JobID) bool { return mistakes[id] })
		b.k.Now += clock.Time(after)
		b.k.quarantineIfFailing(q, func(id protocol.JobID) bool { return mistakes[id] })
	}
	if fail("job-1", 10*time.Second); q.quarantined {
		t.Error("set aside for one job's failures")
	}
	if fail("job-2", time.Second); q.quarantined {
		t.Error("set aside before the job's owner could say anything")
	}
	mistakes["job-2"] = true
	if fail("job-2", 10*time.Second); q.quarantined {
		t.Error("set aside for a job that fails everywhere")
	}
	if fail("job-3", 10*time.Second); !q.quarantined {
		t.Error("a machine that fails two jobs is not set aside")
	}
	mistakes["job-3"] = true
	if fail("job-3", time.Second); q.quarantined {
		t.Error("not taken back")
	}
}

// TestDueOrder: in a queue, what can still be done in time goes before what is
// lateRuns.
func TestDueOrder(t *testing.T) {
	b := newBench(t)
	job := func(id protocol.JobID, deadline float64) *entry {
		l := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, Since: b.k.Now}
		l.Deadline = b.k.Deadline(l)
		b.k.Live[id] = l
		return &entry{task: protocol.TaskID{Job: id}, level: 1}
	}
	q := b.k.addQueue("vm-1", "a")
	late, soon := job("job-1", 20), job("job-2", 60)
	b.k.enqueue(q, soon)
	b.k.enqueue(q, late)
	if b.k.sortWaiting(q); q.waiting[0] != late {
		t.Fatal("what is due first does not go first")
	}
	b.k.Now += clock.Time(35 * time.Second)
	for _, l := range b.k.Live {
		l.Deadline = b.k.Deadline(l)
	}
	b.k.InvalidateOrder()
	if b.k.sortWaiting(q); q.waiting[0] != soon {
		t.Error("what is late anyway goes before what is not")
	}
}

// TestLevelIsLearned: how urgent something found on a machine is, its owner says.
func TestLevelIsLearned(t *testing.T) {
	b := newBench(t)
	b.k.Reservations.Any = true
	b.ready("vm-1")
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 3, level: resource.LevelOf("best_effort", true), levelGuessed: true, present: true, sent: true}
	q := b.k.queues["vm-1"]
	q.addEntry(e)
	b.k.learnLevels(q, func(protocol.JobID) (resource.Level, bool) { return 0, true })
	if e.level != 0 || e.levelGuessed {
		t.Errorf("at level %d", e.level)
	}
}

// TestQueueOfAHeldBackReport: the first that is heard of a machine may be a report
// that the network held back, of a session that is over. Its queue goes with its
// shardState all the same. One that stayed had a machine taken for silent that another
// sortedQueues.
func TestQueueOfAHeldBackReport(t *testing.T) {
	b := newBench(t)
	old := b.shared()
	b.k.agentEpochFloor["vm-1"] = 2
	b.report("vm-1", 1, 0)
	if len(b.k.Machines()) != 1 {
		t.Fatal("no queue: nothing to test")
	}
	b.k.Shards = sharding.Copy(old)
	sharding.Assign(b.k.Shards, sharding.Of(old, "vm-1", "a"), 101)
	if b.k.AdoptShards(old); len(b.k.Machines()) != 0 {
		t.Error("kept though its share has moved")
	}
}

// TestRegisteredByTheKeeperBefore: a session that the keeper before has registered
// is known here by its record, before its worker is heard or after. One that was not
// had nothing started for good.
func TestRegisteredByTheKeeperBefore(t *testing.T) {
	for _, heardFirst := range []bool{false, true} {
		b := newBench(t)
		b.ready("vm-1")
		if heardFirst {
			b.report("vm-1", 2, 1)
		}
		m := *b.k.Records["vm-1"]
		m.Record.Session, m.Epoch = 2, 8
		b.k.Records["vm-1"] = &m
		b.k.RecordUpdated(&m)
		b.report("vm-1", 2, 1)
		b.job("job-1")
		b.k.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: "vm-1", Epoch: 8, CPUs: 1, GB: 1}}})
		if r := b.report("vm-1", 2, 1); starts(r.Reply.Orders) != 1 {
			t.Errorf("heard first %v: nothing is started", heardFirst)
		}
	}
}

// directToken places a job's only task and returns the direct command that starts it.
func (b *bench) direct(id protocol.JobID) message.Command {
	b.job(id)
	b.place(id)
	return b.pushed()
}

// pushed is the direct command that the keeper sends now; none if it sends none.
func (b *bench) pushed() (c message.Command) {
	b.k.Actions = nil
	b.k.SendDirectCommands()
	for _, a := range b.k.Actions {
		if cmd, ok := a.(message.Command); ok {
			c = cmd
		}
	}
	return c
}

// answered gives the keeper the answer to a direct command, or none.
func (b *bench) answered(c message.Command, executed bool, tasks ...protocol.TaskStatus) {
	b.seq++
	b.k.CommandDone(message.CommandDone{Machine: c.Machine, Term: c.Commands.Term, AgentEpoch: c.Commands.AgentEpoch, Orders: c.Commands.Orders, Answered: true, Executed: executed,
		Heartbeat: protocol.Heartbeat{Machine: c.Machine, Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: b.k.View.Term, Tasks: tasks}})
}

func has(os []protocol.Order, op protocol.Op) bool {
	return slices.ContainsFunc(os, func(o protocol.Order) bool { return o.Op == op })
}

// released reports whether an owner was told that a task's attempt never started.
func (b *bench) released(task protocol.TaskID) bool {
	return slices.ContainsFunc(b.k.Local, func(m message.PeerMessage) bool {
		return m.Event != nil && m.Event.What == message.EventReleased && m.Event.Task == task
	})
}

// TestRefusedButThere: a direct start is refused, since an answer to a report has
// overtaken it, with a later token and the same start. What is there, or may be, is not
// queued again: given notice, its machine released it, and its owner started it a
// second time elsewhere.
func TestRefusedButThere(t *testing.T) {
	for _, listed := range []bool{true, false} {
		b := newBench(t)
		b.ready("vm-1")
		cmd := b.direct("job-1")
		task := protocol.TaskID{Job: "job-1"}
		b.k.View.Term = 2 // raised, for something else
		if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 1 {
			t.Fatalf("not in the answer: %+v", r)
		}
		if listed {
			b.answered(cmd, false, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
		} else {
			b.answered(cmd, false)
		}
		b.k.Local = nil
		b.k.Drain("vm-1")
		if b.released(task) {
			t.Errorf("listed %v: released while it runs, or is about to", listed)
		}
		if e := b.k.queues["vm-1"].entries[task]; e == nil || !e.sent {
			t.Errorf("listed %v: taken for not there: %+v", listed, e)
		}
	}
}

// TestThereAfterAll: an attempt that was put back and turns out to be on its machine is
// in the queue no more.
func TestThereAfterAll(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1")
	b.place("job-1")
	task, q := protocol.TaskID{Job: "job-1"}, b.k.queues["vm-1"]
	q.quarantined = true // nothing is started
	b.report("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.k.Local = nil
	b.k.Drain("vm-1")
	if len(q.waiting) != 0 || b.released(task) {
		t.Errorf("waits, or is released, while it runs: %+v", q.waiting)
	}
}

// TestNoReapWhileAStartIsUnderWay: a start that went directly and in an answer is
// reaped only once both are settled: the later one to arrive would run it again.
func TestNoReapWhileAStartIsUnderWay(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	cmd := b.direct("job-1")
	task := protocol.TaskID{Job: "job-1"}
	b.report("vm-1", 1, 1) // crosses the direct start; its answer brings it too
	full := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndFull}
	b.answered(cmd, true, full)
	b.k.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	b.k.requestDirect(b.k.queues["vm-1"])
	if c := b.pushed(); has(c.Commands.Orders, protocol.OpForget) {
		t.Error("reaped directly while a report's answer with its start is under way")
	}
	if r := b.report("vm-1", 1, 1, full); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not reaped once the worker's next report has settled that")
	}
}

// TestReapedInTheEnd: an attempt that has ended, while a start of it may be under way,
// keeps its machine for a while, not until the token happens to rise: a machine that
// was to go stayed, idle and closed to all.
func TestReapedInTheEnd(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	cmd := b.direct("job-1")
	task := protocol.TaskID{Job: "job-1"}
	b.report("vm-1", 1, 1) // the answer brings the start once more
	b.k.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	done := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndDone}
	b.report("vm-1", 1, 1, done)
	b.k.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.report("vm-1", 1, 1, done); has(r.Reply.Orders, protocol.OpForget) || b.k.NeedsNewTerm() {
		t.Error("reaped, or a token asked for, at once")
	}
	b.k.Now += clock.Time(reapWait)
	b.report("vm-1", 1, 1, done)
	b.k.Now += clock.Time(time.Second)
	if b.report("vm-1", 1, 1, done); !b.k.NeedsNewTerm() {
		t.Fatal("no later token is asked for")
	}
	b.k.View.Term = 2
	b.report("vm-1", 1, 1, done)
	if r := b.report("vm-1", 1, 2, done); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not reaped though its worker has seen a later token")
	}
}

// TestStartsSentAgain: a direct start without an answer is sent directly again only
// with a later token, which the worker's refusal of the first rests on; and a kill
// that is answered settles no start.
func TestStartsSentAgain(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	cmd := b.direct("job-1")
	q, task := b.k.queues["vm-1"], protocol.TaskID{Job: "job-1"}
	b.k.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	b.k.requestDirect(q)
	if c := b.pushed(); starts(c.Commands.Orders) != 0 {
		t.Error("sent again with the same token")
	}
	b.report("vm-1", 1, 1) // in the answer too
	b.report("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.k.Stop(message.Stop{TaskRef: message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"}, Kill: true})
	kill := b.pushed()
	if !has(kill.Commands.Orders, protocol.OpStop) {
		t.Fatalf("not killed: %+v", kill)
	}
	stopped := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	b.answered(kill, true, stopped)
	b.k.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.report("vm-1", 1, 1, stopped); has(r.Reply.Orders, protocol.OpForget) {
		t.Error("reaped though the first direct start may still be executed")
	}
	b.k.View.Term = 2
	b.report("vm-1", 1, 1, stopped)
	if r := b.report("vm-1", 1, 2, stopped); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not reaped after the worker has seen a later token")
	}

	again := newBench(t)
	again.ready("vm-1")
	cmd = again.direct("job-1")
	again.k.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	again.k.View.Term = 2
	again.k.requestDirect(again.k.queues["vm-1"])
	if c := again.pushed(); starts(c.Commands.Orders) != 1 || c.Commands.Term != 2 {
		t.Fatalf("not sent again with the later token: %+v", c)
	}
	again.report("vm-1", 1, 2) // the worker has seen it from elsewhere; the command is under way
	if e := again.k.queues["vm-1"].entries[task]; e == nil || !e.sent {
		t.Errorf("taken for never started while its command is under way: %+v", e)
	}
}

// TestEveryAnswerCounts: a report that the answer to direct commands has overtaken is
// answered, and its worker's lease counted from that; what is cancelled on the machine
// is killed by it. A report that the network held back is not answered: what nobody
// counts keeps no machine alive.
func TestEveryAnswerCounts(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	cmd := b.direct("job-1")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	sent := b.seq + 1
	b.seq++
	b.answered(cmd, true, running)
	delete(b.k.Live, "job-1") // cancelled
	b.k.MarkEnded("job-1")
	b.k.Now += clock.Time(3 * time.Second)
	stale := func(session protocol.AgentEpoch, seq protocol.Seq) message.ReplyHeartbeat {
		b.seq = seq - 1
		return b.report("vm-1", session, 1, running)
	}
	r := stale(1, sent)
	if r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("overtaken: %+v", r)
	}
	if q := b.k.queues["vm-1"]; q.lastAnswer != b.k.Now {
		t.Errorf("answered at %v, counted at %v", b.k.Now, q.lastAnswer)
	}
	if r := stale(1, sent); r.Status != 503 {
		t.Errorf("a copy: %+v", r)
	}
	if r := stale(0, 500); r.Status != 503 {
		t.Errorf("of an earlier session: %+v", r)
	}
}

// TestKilledWhileHandedOver: a share that is handed over may be under way for as long
// as the state service takes; its workers are kept alive, and what is cancelled there
// is killed all the same.
func TestKilledWhileHandedOver(t *testing.T) {
	b := newBench(t)
	s := b.shared()
	b.k.View.Members["node-1"] = 101
	id := sharding.Of(s, "vm-1", "a")
	b.machine("vm-1")
	b.report("vm-1", 1, s.List[id].Epoch)
	b.job("job-1")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	b.report("vm-1", 1, s.List[id].Epoch, running)
	b.k.HandOver(&message.MoveShards{Term: 1, Shares: []message.Tenured{{Share: int(id), Tenure: s.List[id].Since}}, To: "node-1"})
	if !b.k.handingOver(b.k.queues["vm-1"]) {
		t.Fatal("not handed over: nothing to test")
	}
	if r := b.report("vm-1", 1, s.List[id].Epoch, running); r.Status != 200 || len(r.Reply.Orders) != 0 {
		t.Errorf("before the cancellation: %+v", r)
	}
	delete(b.k.Live, "job-1")
	b.k.JobOver("job-1", false)
	if r := b.report("vm-1", 1, s.List[id].Epoch, running); r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("kept alive and not killed: %+v", r)
	}
}

// TestNobodyIsSilentDuringAnOutage: who may not answer workers does not take them for
// silent afterwards.
func TestNobodyIsSilentDuringAnOutage(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.k.LeaseDeadline = b.k.Now
	for range 40 {
		b.k.Now += clock.Time(time.Second)
		b.k.ExpireSilent(true, 0)
	}
	b.k.LeaseDeadline = b.k.Now + clock.Time(time.Minute)
	if b.k.ExpireSilent(true, 0); b.k.queues["vm-1"].silence != message.SilenceNone {
		t.Error("taken for silent")
	}
	for range 30 {
		b.k.Now += clock.Time(time.Second)
		b.k.ExpireSilent(true, 0)
	}
	if b.k.queues["vm-1"].silence != message.SilenceLong {
		t.Error("not taken for silent when it is")
	}
}
