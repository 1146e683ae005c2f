package coordination

import (
	"testing"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/known"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/operators"
	"damsonkeel/internal/protocol"
)

// wall is the time of day when these tests begin.
const wall = 1_770_000_000_000

// promising is a core that knows the time of day and rents from a catalogue.
func promising(t *testing.T) *bench {
	b := planner(t)
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}}})
	b.step(message.Tick{WallMS: wall})
	return b
}

// in is the text of a moment so much later.
func (b *bench) in(d time.Duration) string {
	return time.UnixMilli(int64(b.c.Moment())).Add(d).UTC().Format("2006-01-02 at 15:04:05")
}

func (b *bench) operate(r operators.Request) (operators.Reply, *protocol.Txn) {
	return b.c.Operate("ops", &r)
}

// do puts a request and has its transaction followed.
func (b *bench) do(r operators.Request) operators.Reply {
	reply, txn := b.operate(r)
	if txn != nil {
		for _, ch := range txn.Then {
			b.put(ch.Put, ch.Value)
		}
	}
	return reply
}

func reserve(name, when string, tasks int) *bookkeeping.ReservationSpec {
	return &bookkeeping.ReservationSpec{
		Name: calendar.Name(name), Class: name, When: when, HoldS: 600, LengthS: 600, Tasks: tasks, CPUs: 2, MemoryGB: 1, Priority: "standard",
	}
}

// TestRepeatedRequest: a repeated request gets the same answer and changes
// nothing; a dry run neither; what was decided on an older calendar fails in the
// state service, and what is made anew is not cancelled by who meant the one before.
func TestRepeatedRequest(t *testing.T) {
	b := promising(t)
	add := operators.Request{Op: operators.OpAdd, ID: "1", Reservation: reserve("one", b.in(time.Hour), 2)}
	dry := add
	dry.DryRun = true
	if reply, txn := b.operate(dry); reply.Code != operators.Done || txn != nil || reply.Reservations[0].State != bookkeeping.Proposed {
		t.Fatalf("dry run: %+v, %v", reply, txn)
	}
	_, stale := b.operate(operators.Request{Op: operators.OpAdd, ID: "2", Reservation: reserve("two", b.in(time.Hour), 2)})
	if reply := b.do(add); reply.Code != operators.Done {
		t.Fatalf("%+v", reply)
	}
	if stale.If[0].Key != bookkeeping.CalendarKey || stale.If[0].Version == b.c.promised.Version {
		t.Error("decided before the first was accepted, and not conditional on that")
	}
	if reply, txn := b.operate(add); reply.Code != operators.Done || txn != nil || len(reply.Reservations) != 1 {
		t.Errorf("repeated: %+v", reply)
	}
	add.ID = "3"
	if reply, _ := b.operate(add); reply.Code != operators.Refused {
		t.Errorf("its name is taken: %+v", reply)
	}
	made := b.c.promised.Book.Reservation("one").Reservation.MadeMS
	if reply := b.do(operators.Request{Op: operators.OpCancel, Name: "one", Made: made - 1}); reply.Code != operators.Refused {
		t.Errorf("another one is cancelled: %+v", reply)
	}
	for range 2 {
		if reply := b.do(operators.Request{Op: operators.OpCancel, Name: "one", Made: made}); reply.Code != operators.Done {
			t.Errorf("cancel: %+v", reply)
		}
	}
	if b.c.promised.Book.Reservation("one").State != bookkeeping.Cancelled || len(b.c.promised.Book.Overlapping(0, 1<<41)) != 0 {
		t.Error("not cancelled")
	}
}

// TestHeldRoomIsKept: what would overrun does not start in held room, by the
// keeper's own decision, however it came into its queue; short work does, and the
// reserved job passes what waits.
func TestHeldRoomIsKept(t *testing.T) {
	b := promising(t)
	b.ready("vm-1") // of 4 processors
	b.do(operators.Request{Op: operators.OpAdd, ID: "1", Reservation: reserve("one", b.in(20*time.Minute), 2)})
	now := b.c.Moment()
	hold := calendar.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: room.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: calendar.After(now, 18*time.Minute), From: calendar.After(now, 20*time.Minute), Until: calendar.After(now, 40*time.Minute)}
	b.c.promised.Listed = true
	b.c.setHolds([]calendar.Hold{hold})
	q := b.c.keeping.queues["vm-1"]
	wait := func(id protocol.JobID, class string, estimate float64) *entry {
		b.c.Live[id] = &known.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Kind: protocol.KindArray, Priority: "standard", CPUs: 2, MemoryGB: 1, Tasks: 1, EstimateS: estimate, SubmittedMS: int64(b.c.Moment())}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: estimate, need: room.Amount{CPUs: 2, GB: 1}, level: 1, from: "node-0"}
		q.entries[e.task] = e
		b.c.keeping.enqueue(q, e)
		return e
	}
	wait("job-long", "array", 1200)
	short := wait("job-short", "array", 100)
	if out := b.c.keeping.startable(q); len(out) != 1 || out[0] != short {
		t.Fatalf("%d started", len(out))
	}
	if q.entries[protocol.TaskID{Job: "job-long"}] != nil {
		t.Error("what would overrun was not given back to its owner")
	}
	b.c.Now += Time(19 * time.Minute)
	wait("job-late", "array", 10)
	mine := wait("job-mine", "one", 600)
	if out := b.c.keeping.startable(q); len(out) != 1 || out[0] != mine {
		t.Errorf("%d started in room that has to be clear, want the reserved job's", len(out))
	}
	b.do(operators.Request{Op: operators.OpCancel, Name: "one"})
	if len(b.c.promised.Holds["vm-1"]) != 0 {
		t.Error("held after it was cancelled")
	}
}

// TestWindowLetsRun: while a window is open nothing new starts on what it
// covers, nor what would run into it; what runs is let run, and its overrun told.
func TestWindowLetsRun(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	b.job("job-1", "free", 1) // of 10 s
	b.do(operators.Request{Op: operators.OpAdd, Window: true, ID: "w", Spec: &bookkeeping.WindowSpec{Name: "w", When: b.in(20 * time.Second), LengthS: 600, Zone: "a"}})
	q := b.c.keeping.queues["vm-1"]
	task := protocol.TaskID{Job: "job-1"}
	e := q.entries[task]
	if e == nil {
		t.Fatal("not placed")
	}
	b.report("vm-1", 1, 1, protocol.TaskReport{Task: task, Attempt: e.attempt, State: protocol.TaskRunning})
	b.now += Time(time.Second)
	b.step(message.Tick{})
	b.job("job-2", "free", 1)
	b.step(message.Tick{})
	if q.entries[protocol.TaskID{Job: "job-2"}] != nil {
		t.Error("placed where it would run into the window")
	}
	reply, _ := b.operate(operators.Request{Op: operators.OpShow, Window: true, Name: "w"})
	if len(reply.Windows) != 1 || len(reply.Windows[0].Overruns) != 1 || reply.Windows[0].Overruns[0].ByS < 5 {
		t.Errorf("overruns: %+v", reply.Windows)
	}
	b.now += Time(time.Minute)
	b.step(message.Tick{})
	if os := b.report("vm-1", 1, 1, protocol.TaskReport{Task: task, Attempt: e.attempt, State: protocol.TaskRunning}).Reply.Orders; len(os) != 0 || e.kill {
		t.Errorf("told %+v while the window is open", os)
	}
	b.now += Time(10 * time.Minute)
	b.report("vm-1", 1, 1, protocol.TaskReport{Task: task, Attempt: e.attempt, State: protocol.TaskRunning})
	b.relay()
	b.step(message.Tick{})
	if q.entries[protocol.TaskID{Job: "job-2"}] == nil {
		t.Error("not placed after the window")
	}
}

// TestStoppedInTime: what may be stopped for a reservation uses its room until
// the last moment that lets it save; what may not is left alone.
func TestStoppedInTime(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	b.do(operators.Request{Op: operators.OpAdd, ID: "1", Reservation: reserve("one", b.in(10*time.Minute), 2)})
	now := b.c.Moment()
	b.c.setHolds([]calendar.Hold{{For: "one", Machine: "vm-1", Tasks: 2, Need: room.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: calendar.After(now, 8*time.Minute), From: calendar.After(now, 10*time.Minute), Until: calendar.After(now, 40*time.Minute)}})
	q := b.c.keeping.queues["vm-1"]
	run := func(id protocol.JobID, p protocol.Priority) *entry {
		b.c.Live[id] = &known.LiveJob{Job: protocol.Job{ID: id, Priority: p, Team: "free", CPUs: 2, Tasks: 1, CheckpointS: 10, SaveS: 10}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 3600, need: room.Amount{CPUs: 2}, level: room.LevelOf(p, false), sent: true, present: true, state: protocol.TaskRunning}
		q.entries[e.task] = e
		return e
	}
	low, same := run("job-low", "best_effort"), run("job-same", "standard")
	b.c.Now += Time(9 * time.Minute)
	if b.c.keeping.clearHeld(q); low.kill {
		t.Error("stopped a minute before")
	}
	b.c.Now += Time(25 * time.Second) // 35 s before: it takes 21 s to save
	if b.c.keeping.clearHeld(q); !low.kill || low.graceS < 20 || same.kill {
		t.Errorf("less urgent stopped %v with %v s, same priority stopped %v", low.kill, low.graceS, same.kill)
	}
}
