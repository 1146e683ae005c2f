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
	t          *testing.T
	dispatcher *Dispatcher
	seq        protocol.Seq
}

func newBench(t *testing.T) *bench {
	s := fake.Settings()
	s.Name = "node-0"
	p := clusterstate.Module{State: clusterstate.NewState(s, config.DefaultOperator(), slog.New(slog.DiscardHandler)), Output: &clusterstate.Output{}}
	p.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}
	p.Session, p.SessionStart, p.Now, p.LeaseDeadline = 100, 1, 1, clock.Time(time.Hour)
	p.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	p.Reservations.Listed = true
	return &bench{t: t, dispatcher: New(p)}
}

// queue returns the queue of a machine that is held here.
func (b *bench) queue(id protocol.MachineID) *queue { return b.dispatcher.queues.get(id) }

// machine registers a machine's first session.
func (b *bench) machine(id protocol.MachineID) {
	rec := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	m := &clusterstate.Machine{ID: id, Record: rec, Epoch: 7, Info: b.dispatcher.Types["small"]}
	b.dispatcher.Records[id] = m
	b.dispatcher.RecordUpdated(m)
}

// job accepts a job of one task.
func (b *bench) job(id protocol.JobID) {
	b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i"}}
}

// place queues a job's only task.
func (b *bench) place(id protocol.JobID) {
	b.dispatcher.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// heartbeat sends a worker's report and returns the answer.
func (b *bench) report(id protocol.MachineID, session protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	b.seq++
	b.dispatcher.Actions = nil
	b.dispatcher.Heartbeat(protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: session, Seq: b.seq, Term: term, Tasks: tasks})
	for _, a := range b.dispatcher.Actions {
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
	b.report(id, 1, b.dispatcher.View.Term)
}

// reserve promises room at a time from now.
func (b *bench) reserve(name reservation.Name, in time.Duration) {
	at := reservation.After(b.dispatcher.WallTime(), in)
	err := b.dispatcher.Reservations.Calendar.PutReservation(record.Reservation{
		Spec: record.ReservationSpec{
			Name: name, Class: string(name), When: time.UnixMilli(int64(at)).UTC().Format("2006-01-02 at 15:04:05"), HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
		},
		State: record.Accepted, StartMS: at,
	}, 1, b.dispatcher.WallTime())
	if err != nil {
		b.t.Fatal(err)
	}
	b.dispatcher.Reservations.Any = true
}

// shared has all machines kept by shares, by this keeper.
func (b *bench) shared() *record.ShardTable {
	s := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for id := range s.List {
		sharding.Assign(s, sharding.ID(id), 100)
	}
	b.dispatcher.View.Layout, b.dispatcher.Shards = record.LayoutShards, s
	return s
}

// hold holds room on a machine.
func (b *bench) hold(h reservation.Hold) {
	b.dispatcher.Reservations.List = []reservation.Hold{h}
	b.dispatcher.Reservations.Holds[h.Machine] = b.dispatcher.Reservations.List
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
		q := b.queue("vm-1")
		entry := func(id protocol.JobID, k task, cpus float64) *entry {
			b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: k.team, Priority: k.priority, CPUs: cpus, Tasks: 1}}
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 900, need: resource.Amount{CPUs: cpus}, level: resource.LevelOf(k.priority, k.guaranteed)}
			q.addEntry(e)
			return e
		}
		victim := entry("job-1", tc.runs, 2)
		victim.sent, victim.present, victim.state = true, true, protocol.TaskRunning
		head := entry("job-2", tc.head, 3)
		head.queuedSince = b.dispatcher.Now
		q.waiting = append(q.waiting, head)
		q.touch()
		q.preempt()
		if victim.kill {
			t.Errorf("%s: stopped before the head has waited", tc.name)
		}
		b.dispatcher.Now += clock.Time(preemptAfter)
		q.preempt()
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
		q := b.queue("vm-1")
		entry := func(id protocol.JobID, p protocol.Priority, class string, s float64) *entry {
			l := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Priority: p, CPUs: 3, Tasks: 1, EstimateS: s}, Since: b.dispatcher.Now}
			l.Deadline = b.dispatcher.Deadline(l)
			b.dispatcher.Live[id] = l
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: s, queuedSince: b.dispatcher.Now, need: resource.Amount{CPUs: 3}, level: resource.LevelOf(p, false)}
			q.addEntry(e)
			return e
		}
		runs := entry("job-1", "standard", "other", tc.runs)
		runs.sent, runs.present, runs.state, runs.runningSince = true, true, protocol.TaskRunning, b.dispatcher.Now
		q.waiting = append(q.waiting, entry("job-2", "high", tc.class, 10))
		q.touch()
		b.dispatcher.Now += clock.Time(preemptAfter)
		q.preempt()
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
	b.dispatcher.Reservations.Any = true
	b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Class: "array"}}
	q := newQueue(b.dispatcher.environment, "vm-1", "a")
	end := func(order uint64, n int) {
		for range n {
			q.noteEstimateError(&entry{task: protocol.TaskID{Job: "job-1"}, arrival: order, runningSince: b.dispatcher.Now - clock.Time(10*time.Second), estimate: 10, cause: protocol.EndDone})
		}
	}
	usual := b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10)
	if end(0, 100); b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) != usual {
		t.Error("learned from tasks that were found")
	}
	if end(7, 100); b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) >= usual {
		t.Error("not learned from tasks that were started here")
	}
}

// TestHeldRoomIsKept: what would overrun does not start in held room, by the
// keeper's own decision, however it came into its queue; short work does, and the
// reserved job passes what waits.
func TestHeldRoomIsKept(t *testing.T) {
	b := newBench(t)
	b.dispatcher.WallMS = 1_770_000_000_000
	b.ready("vm-1") // reservation 4 processors
	b.reserve("one", 20*time.Minute)
	now := b.dispatcher.WallTime()
	hold := reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 18*time.Minute), From: reservation.After(now, 20*time.Minute), Until: reservation.After(now, 40*time.Minute)}
	b.hold(hold)
	q := b.queue("vm-1")
	wait := func(id protocol.JobID, class string, estimate float64) *entry {
		b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", CPUs: 2, MemoryGB: 1, Tasks: 1, EstimateS: estimate, SubmittedMS: int64(b.dispatcher.WallTime())}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: estimate, need: resource.Amount{CPUs: 2, GB: 1}, level: 1, placedBy: "node-0"}
		q.addEntry(e)
		q.enqueue(e)
		return e
	}
	wait("job-long", "array", 1200)
	short := wait("job-short", "array", 100)
	if out := q.takeStartable(); len(out) != 1 || out[0] != short {
		t.Fatalf("%d started", len(out))
	}
	if q.entries[protocol.TaskID{Job: "job-long"}] != nil {
		t.Error("what would overrun was not given back to its owner")
	}
	b.dispatcher.Now += clock.Time(19 * time.Minute)
	wait("job-late", "array", 10)
	mine := wait("job-mine", "one", 600)
	if out := q.takeStartable(); len(out) != 1 || out[0] != mine {
		t.Errorf("%d started in room that has to be clear, want the reserved job's", len(out))
	}
}

// TestStoppedInTime: what may be stopped for a reservation uses its room until
// the last moment that lets it save; what may not is left alone.
func TestStoppedInTime(t *testing.T) {
	b := newBench(t)
	b.dispatcher.WallMS = 1_770_000_000_000
	b.ready("vm-1")
	b.reserve("one", 10*time.Minute)
	now := b.dispatcher.WallTime()
	b.hold(reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 8*time.Minute), From: reservation.After(now, 10*time.Minute), Until: reservation.After(now, 40*time.Minute)})
	q := b.queue("vm-1")
	run := func(id protocol.JobID, p protocol.Priority) *entry {
		b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Priority: p, Team: "free", CPUs: 2, Tasks: 1, CheckpointS: 10, SaveS: 10}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 3600, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(p, false), sent: true, present: true, state: protocol.TaskRunning}
		q.addEntry(e)
		return e
	}
	low, same := run("job-low", "best_effort"), run("job-same", "standard")
	b.dispatcher.Now += clock.Time(9 * time.Minute)
	if q.clearReserved(); low.kill {
		t.Error("stopped a minute before")
	}
	b.dispatcher.Now += clock.Time(25 * time.Second) // 35 s before: it takes 21 s to save
	if q.clearReserved(); !low.kill || low.graceSeconds < 20 || same.kill {
		t.Errorf("less urgent stopped %v with %v s, same priority stopped %v", low.kill, low.graceSeconds, same.kill)
	}
}

// TestFailingJobLeavesMachine: when a job's task fails, what waits there of the
// same job goes back to its owner.
func TestFailingJobLeavesMachine(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	q := b.queue("vm-1")
	for i := range uint32(3) {
		e := &entry{task: protocol.TaskID{Job: "job-1", Index: i}, attempt: 1}
		q.addEntry(e)
		q.waiting = append(q.waiting, e)
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-2"}, cause: protocol.EndDone})
	if len(q.waiting) != 3 {
		t.Fatal("released for another job's success")
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-1", Index: 7}, cause: protocol.EndError})
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
		q := b.queue("vm-1")
		e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1, sent: true}
		q.addEntry(e)
		b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: "standard"}}
		if drained {
			b.dispatcher.Drain("vm-1")
		}
		b.report("vm-1", 1, b.dispatcher.View.Term) // removeWaits it
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
		q := b.queue("vm-1")
		b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: tc.runs, CPUs: 2, Tasks: 1}}
		b.dispatcher.Live["job-2"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-2", Team: "free", Kind: protocol.KindGang, Priority: "high", CPUs: 4, Tasks: 2}}
		runs := &entry{
			task: protocol.TaskID{Job: "job-1"}, attempt: 1, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(tc.runs, false),
			sent: true, present: true, state: protocol.TaskRunning,
		}
		q.addEntry(runs)
		b.dispatcher.Place("node-0", &message.Place{Number: 1, Term: b.dispatcher.View.Term, Tasks: []message.Placement{{
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
	epoch := b.dispatcher.Records["vm-1"].Epoch
	place := func(term protocol.Term, epoch protocol.Version) {
		b.dispatcher.Place("node-0", &message.Place{Term: term, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-9"}, Attempt: 1, Machine: "vm-1", Epoch: epoch}}})
	}
	place(0, epoch)
	place(1, epoch-1)
	if n := len(b.queue("vm-1").entries); n != 0 {
		t.Fatalf("%d queued", n)
	}
	place(1, epoch)
	if n := len(b.queue("vm-1").entries); n != 1 {
		t.Fatalf("%d queued, want the valid one", n)
	}
}

// TestNothingStartsUnregistered: no start before the machine's record is durable.
func TestNothingStartsUnregistered(t *testing.T) {
	b := newBench(t)
	b.report("vm-1", 1, 0)
	b.job("job-1")
	q := b.queue("vm-1")
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
	b.dispatcher.Place("node-0", &message.Place{Number: 5, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-7"}, Attempt: 1, Machine: "vm-1", Epoch: b.dispatcher.Records["vm-1"].Epoch,
	}}})
	b.dispatcher.Local = nil
	b.dispatcher.sendInventory(b.queue("vm-1"))
	for _, m := range b.dispatcher.Local {
		if m.Inventory != nil && len(m.Inventory.Held) == 1 && m.Inventory.Held[0].Attempt == 1 {
			return
		}
	}
	t.Fatalf("not listed: %+v", b.dispatcher.Local)
}

// TestOverBeforePlaced: an attempt of a job that is over is not queued.
func TestOverBeforePlaced(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1")
	delete(b.dispatcher.Live, "job-1")
	b.dispatcher.MarkEnded("job-1")
	b.dispatcher.JobOver("job-1", false)
	b.dispatcher.Place("node-0", &message.Place{Number: 6, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-1"}, Attempt: 9, Machine: "vm-1", Epoch: b.dispatcher.Records["vm-1"].Epoch,
	}}})
	if n := len(b.queue("vm-1").waiting); n != 0 {
		t.Fatalf("%d waiting: it would stand at the head for ever", n)
	}
}

// TestCrossingAnswers: the answer to direct commands may cross the answer to a
// heartbeat; it does not settle the starts in that one.
func TestCrossingAnswers(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.queue("vm-1").directInFlight = true // a direct command is under way
	b.job("job-1")
	b.place("job-1")
	if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 1 {
		t.Fatalf("not started by the report's answer: %+v", r)
	}
	b.seq++
	b.dispatcher.CommandDone(message.CommandDone{
		Machine: "vm-1", Term: 1, AgentEpoch: 1, Answered: true, Executed: true,
		Heartbeat: protocol.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: 1},
	})
	if e := b.queue("vm-1").entries[protocol.TaskID{Job: "job-1"}]; e == nil || !e.sent {
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
	q := b.queue("vm-1")
	mistakes := map[protocol.JobID]bool{}
	fail := func(job protocol.JobID, after time.Duration) {
		q.recordResult(&entry{task: protocol.TaskID{Job: job}, cause: protocol.EndError})
		q.quarantineIfFailing(func(id protocol.JobID) bool { return mistakes[id] })
		b.dispatcher.Now += clock.Time(after)
		q.quarantineIfFailing(func(id protocol.JobID) bool { return mistakes[id] })
	}
	if fail("job-1", 10*time.Second); q.quarantine.active {
		t.Error("set aside for one job's failures")
	}
	if fail("job-2", time.Second); q.quarantine.active {
		t.Error("set aside before the job's owner could say anything")
	}
	mistakes["job-2"] = true
	if fail("job-2", 10*time.Second); q.quarantine.active {
		t.Error("set aside for a job that fails everywhere")
	}
	if fail("job-3", 10*time.Second); !q.quarantine.active {
		t.Error("a machine that fails two jobs is not set aside")
	}
	mistakes["job-3"] = true
	if fail("job-3", time.Second); q.quarantine.active {
		t.Error("not taken back")
	}
}

// TestDueOrder: in a queue, what can still be done in time goes before what is
// lateRuns.
func TestDueOrder(t *testing.T) {
	b := newBench(t)
	job := func(id protocol.JobID, deadline float64) *entry {
		l := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, Since: b.dispatcher.Now}
		l.Deadline = b.dispatcher.Deadline(l)
		b.dispatcher.Live[id] = l
		return &entry{task: protocol.TaskID{Job: id}, level: 1}
	}
	q := b.dispatcher.addQueue("vm-1", "a")
	late, soon := job("job-1", 20), job("job-2", 60)
	q.enqueue(soon)
	q.enqueue(late)
	if q.sortWaiting(); q.waiting[0] != late {
		t.Fatal("what is due first does not go first")
	}
	b.dispatcher.Now += clock.Time(35 * time.Second)
	for _, l := range b.dispatcher.Live {
		l.Deadline = b.dispatcher.Deadline(l)
	}
	b.dispatcher.InvalidateOrder()
	if q.sortWaiting(); q.waiting[0] != soon {
		t.Error("what is late anyway goes before what is not")
	}
}

// TestLevelIsLearned: how urgent something found on a machine is, its owner says.
func TestLevelIsLearned(t *testing.T) {
	b := newBench(t)
	b.dispatcher.Reservations.Any = true
	b.ready("vm-1")
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 3, level: resource.LevelOf("best_effort", true), levelGuessed: true, present: true, sent: true}
	q := b.queue("vm-1")
	q.addEntry(e)
	q.learnLevels(func(protocol.JobID) (resource.Level, bool) { return 0, true })
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
	b.dispatcher.agentEpochFloor["vm-1"] = 2
	b.report("vm-1", 1, 0)
	if len(b.dispatcher.Machines()) != 1 {
		t.Fatal("no queue: nothing to test")
	}
	b.dispatcher.Shards = sharding.Copy(old)
	sharding.Assign(b.dispatcher.Shards, sharding.Of(old, "vm-1", "a"), 101)
	if b.dispatcher.AdoptShards(old); len(b.dispatcher.Machines()) != 0 {
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
		m := *b.dispatcher.Records["vm-1"]
		m.Record.Session, m.Epoch = 2, 8
		b.dispatcher.Records["vm-1"] = &m
		b.dispatcher.RecordUpdated(&m)
		b.report("vm-1", 2, 1)
		b.job("job-1")
		b.dispatcher.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: "vm-1", Epoch: 8, CPUs: 1, GB: 1}}})
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
	b.dispatcher.Actions = nil
	b.dispatcher.SendDirectCommands()
	for _, a := range b.dispatcher.Actions {
		if cmd, ok := a.(message.Command); ok {
			c = cmd
		}
	}
	return c
}

// answered gives the keeper the answer to a direct command, or none.
func (b *bench) answered(c message.Command, executed bool, tasks ...protocol.TaskStatus) {
	b.seq++
	b.dispatcher.CommandDone(message.CommandDone{
		Machine: c.Machine, Term: c.Commands.Term, AgentEpoch: c.Commands.AgentEpoch, Orders: c.Commands.Orders, Answered: true, Executed: executed,
		Heartbeat: protocol.Heartbeat{Machine: c.Machine, Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: b.dispatcher.View.Term, Tasks: tasks},
	})
}

func has(os []protocol.Order, op protocol.Op) bool {
	return slices.ContainsFunc(os, func(o protocol.Order) bool { return o.Op == op })
}

// released reports whether an owner was told that a task's attempt never started.
func (b *bench) released(task protocol.TaskID) bool {
	return slices.ContainsFunc(b.dispatcher.Local, func(m message.PeerMessage) bool {
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
		b.dispatcher.View.Term = 2 // raised, for something else
		if r := b.report("vm-1", 1, 1); starts(r.Reply.Orders) != 1 {
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
		if e := b.queue("vm-1").entries[task]; e == nil || !e.sent {
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
	task, q := protocol.TaskID{Job: "job-1"}, b.queue("vm-1")
	q.quarantine.active = true // nothing is started
	b.report("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.dispatcher.Local = nil
	b.dispatcher.Drain("vm-1")
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
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	b.queue("vm-1").requestDirect()
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
	b.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	done := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndDone}
	b.report("vm-1", 1, 1, done)
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.report("vm-1", 1, 1, done); has(r.Reply.Orders, protocol.OpForget) || b.dispatcher.NeedsNewTerm() {
		t.Error("reaped, or a token asked for, at once")
	}
	b.dispatcher.Now += clock.Time(reapTimeout)
	b.report("vm-1", 1, 1, done)
	b.dispatcher.Now += clock.Time(time.Second)
	if b.report("vm-1", 1, 1, done); !b.dispatcher.NeedsNewTerm() {
		t.Fatal("no later token is asked for")
	}
	b.dispatcher.View.Term = 2
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
	q, task := b.queue("vm-1"), protocol.TaskID{Job: "job-1"}
	b.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	q.requestDirect()
	if c := b.pushed(); starts(c.Commands.Orders) != 0 {
		t.Error("sent again with the same token")
	}
	b.report("vm-1", 1, 1) // in the answer too
	b.report("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning})
	b.dispatcher.Stop(message.Stop{TaskRef: message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"}, Kill: true})
	kill := b.pushed()
	if !has(kill.Commands.Orders, protocol.OpStop) {
		t.Fatalf("not killed: %+v", kill)
	}
	stopped := protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndStopped}
	b.answered(kill, true, stopped)
	b.dispatcher.Forget(message.TaskRef{Task: task, Attempt: 1, Machine: "vm-1"})
	if r := b.report("vm-1", 1, 1, stopped); has(r.Reply.Orders, protocol.OpForget) {
		t.Error("reaped though the first direct start may still be executed")
	}
	b.dispatcher.View.Term = 2
	b.report("vm-1", 1, 1, stopped)
	if r := b.report("vm-1", 1, 2, stopped); !has(r.Reply.Orders, protocol.OpForget) {
		t.Error("not reaped after the worker has seen a later token")
	}

	again := newBench(t)
	again.ready("vm-1")
	cmd = again.direct("job-1")
	again.dispatcher.CommandDone(message.CommandDone{Machine: "vm-1", Term: 1, AgentEpoch: 1, Orders: cmd.Commands.Orders})
	again.dispatcher.View.Term = 2
	again.queue("vm-1").requestDirect()
	if c := again.pushed(); starts(c.Commands.Orders) != 1 || c.Commands.Term != 2 {
		t.Fatalf("not sent again with the later token: %+v", c)
	}
	again.report("vm-1", 1, 2) // the worker has seen it from elsewhere; the command is under way
	if e := again.queue("vm-1").entries[task]; e == nil || !e.sent {
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
	delete(b.dispatcher.Live, "job-1") // cancelled
	b.dispatcher.MarkEnded("job-1")
	b.dispatcher.Now += clock.Time(3 * time.Second)
	stale := func(session protocol.AgentEpoch, seq protocol.Seq) message.ReplyHeartbeat {
		b.seq = seq - 1
		return b.report("vm-1", session, 1, running)
	}
	r := stale(1, sent)
	if r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("overtaken: %+v", r)
	}
	if q := b.queue("vm-1"); q.lastAnswer != b.dispatcher.Now {
		t.Errorf("answered at %v, counted at %v", b.dispatcher.Now, q.lastAnswer)
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
	b.dispatcher.View.Members["node-1"] = 101
	id := sharding.Of(s, "vm-1", "a")
	b.machine("vm-1")
	b.report("vm-1", 1, s.List[id].Epoch)
	b.job("job-1")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	b.report("vm-1", 1, s.List[id].Epoch, running)
	b.dispatcher.HandOver(&message.MoveShards{Term: 1, Shares: []message.Tenured{{Share: int(id), Tenure: s.List[id].Since}}, To: "node-1"})
	if !b.queue("vm-1").handingOver() {
		t.Fatal("not handed over: nothing to test")
	}
	if r := b.report("vm-1", 1, s.List[id].Epoch, running); r.Status != 200 || len(r.Reply.Orders) != 0 {
		t.Errorf("before the cancellation: %+v", r)
	}
	delete(b.dispatcher.Live, "job-1")
	b.dispatcher.JobOver("job-1", false)
	if r := b.report("vm-1", 1, s.List[id].Epoch, running); r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("kept alive and not killed: %+v", r)
	}
}

// TestNobodyIsSilentDuringAnOutage: who may not answer workers does not take them for
// silent afterwards.
func TestNobodyIsSilentDuringAnOutage(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.dispatcher.LeaseDeadline = b.dispatcher.Now
	for range 40 {
		b.dispatcher.Now += clock.Time(time.Second)
		b.dispatcher.ExpireSilent(true, 0)
	}
	b.dispatcher.LeaseDeadline = b.dispatcher.Now + clock.Time(time.Minute)
	if b.dispatcher.ExpireSilent(true, 0); b.queue("vm-1").silence != message.SilenceNone {
		t.Error("taken for silent")
	}
	for range 30 {
		b.dispatcher.Now += clock.Time(time.Second)
		b.dispatcher.ExpireSilent(true, 0)
	}
	if b.queue("vm-1").silence != message.SilenceLong {
		t.Error("not taken for silent when it is")
	}
}
