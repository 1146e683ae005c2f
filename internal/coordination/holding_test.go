package coordination

import (
	"testing"
	"time"

	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/known"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// TestLeadIsSteady: how long before its time room has to be clear does not
// depend on what the cloud has just refused. It did: with a full cloud room was
// thought clear that was not, and let go a moment later.
func TestLeadIsSteady(t *testing.T) {
	b := promising(t)
	before := b.c.Lead(reserve("one", "daily at 04:00", 2))
	for _, z := range []protocol.Zone{"a", "b"} {
		for _, spot := range []bool{true, false} {
			b.c.fleet.refused[kind{Type: "small", Zone: z, Spot: spot}] = refusal{until: b.c.After(time.Minute)}
		}
	}
	if after := b.c.Lead(reserve("one", "daily at 04:00", 2)); after != before || before <= known.LeadSlack {
		t.Errorf("%v before, %v after", before, after)
	}
}

// TestFoundTasksTeachNothing: a task that was found on its machine may have run
// for long before. Counted from then, estimates seemed good that were half of the
// truth, and reserved room was full at its time.
func TestFoundTasksTeachNothing(t *testing.T) {
	b := promising(t)
	b.c.promised.Any = true
	b.c.Live["job-1"] = &known.LiveJob{Job: protocol.Job{ID: "job-1", Class: "array"}}
	end := func(order uint64, n int) {
		for range n {
			b.c.keeping.noteError(&entry{task: protocol.TaskID{Job: "job-1"}, order: order, runs: b.c.Now - Time(10*time.Second), estimate: 10, cause: protocol.EndDone})
		}
	}
	usual := b.c.LikelyS(&protocol.Job{Class: "array"}, 10)
	if end(0, 100); b.c.LikelyS(&protocol.Job{Class: "array"}, 10) != usual {
		t.Error("learned from tasks that were found")
	}
	if end(7, 100); b.c.LikelyS(&protocol.Job{Class: "array"}, 10) >= usual {
		t.Error("not learned from tasks that were started here")
	}
}

// TestTakenOverRoom: what the next keeper of a machine finds there it can't judge
// by itself: how far it is the table still knows from the keeper before, and how
// urgent it is its owner says. Without either, each controller that ended lost all
// that was held on its machines.
func TestTakenOverRoom(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	b.c.promised.Any = true
	m, q := b.c.machines["vm-1"], b.c.keeping.queues["vm-1"]
	task := protocol.TaskID{Job: "job-1"}
	soon := calendar.After(b.c.Moment(), time.Minute)
	m.told.Runs = []calendar.Run{{Task: task, Attempt: 3, Ends: soon, Level: 0}}
	told := message.MachineState{Machine: "vm-1", Epoch: m.Epoch, Heard: true, Runs: []calendar.Run{{Task: task, Attempt: 3, Ends: soon + 1e6, Level: 4}}}
	b.c.takeState("node-0", b.c.peers["node-0"], message.MachineState{Machine: "vm-1", Epoch: m.Epoch}) // not heard yet
	b.c.takeState("node-0", b.c.peers["node-0"], told)
	if r := m.told.Runs[0]; r.Ends != soon {
		t.Errorf("ends %d, want %d", r.Ends, soon)
	}
	e := &entry{task: task, attempt: 3, level: room.LevelOf("best_effort", true), guessed: true, present: true, sent: true}
	q.entries[task] = e
	b.job("job-1", "free", 1)
	b.c.owner.jobs["job-1"].level = 0
	if b.c.keeping.learnLevels(q, b.c.levelTold); e.level != 0 || e.guessed {
		t.Errorf("at level %d", e.level)
	}
}

// TestRefusedIsNotClosed: a machine that refused a placement is not placed on
// until its keeper says why, but room stays held there. It was let go, and
// filled by others within a second.
func TestRefusedIsNotClosed(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	m := b.c.machines["vm-1"]
	m.refused = true
	if b.c.usable(m) || !m.open() || len(b.c.holders()) != 1 {
		t.Errorf("usable %v, open %v, %d machines to hold room on", b.c.usable(m), m.open(), len(b.c.holders()))
	}
}
