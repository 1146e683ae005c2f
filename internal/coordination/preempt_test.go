package coordination

import (
	"testing"

	"damsonkeel/internal/coordination/known"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

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
		q := b.c.keeping.queues["vm-1"]
		entry := func(id protocol.JobID, k task, cpus float64) *entry {
			b.c.Live[id] = &known.LiveJob{Job: protocol.Job{ID: id, Team: k.team, Priority: k.priority, CPUs: cpus, Tasks: 1}}
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 900, need: room.Amount{CPUs: cpus}, level: room.LevelOf(k.priority, k.guaranteed)}
			q.entries[e.task] = e
			return e
		}
		victim := entry("job-1", tc.runs, 2)
		victim.sent, victim.present, victim.state = true, true, protocol.TaskRunning
		head := entry("job-2", tc.head, 3)
		head.since = b.now
		q.waiting = append(q.waiting, head)
		b.c.keeping.touch(q)
		b.c.keeping.preempt(q)
		if victim.kill {
			t.Errorf("%s: stopped before the head has waited", tc.name)
		}
		b.c.Now += Time(preemptAfter)
		b.c.keeping.preempt(q)
		if victim.kill != tc.stopped {
			t.Errorf("%s: stopped %v, want %v", tc.name, victim.kill, tc.stopped)
		}
	}
}

// TestGuaranteedJobs: a job is within its team's guarantee together with the
// team's earlier unfinished jobs only.
func TestGuaranteedJobs(t *testing.T) {
	b := newBench(t)
	for i, tasks := range []uint32{5, 3, 1} {
		id := protocol.JobID("job-" + string(rune('1'+i)))
		b.job(id, "bound", tasks) // guaranteed 8 processors
		b.c.owner.jobs[id].SubmittedMS = int64(i)
	}
	b.c.setLevels()
	for id, within := range map[protocol.JobID]bool{"job-1": true, "job-2": true, "job-3": false} {
		if o := b.c.owner.jobs[id]; o.level != room.LevelOf(o.Priority, within) {
			t.Errorf("%s is at level %d", id, o.level)
		}
	}
}

// TestNothingStoppedForRoomThatComes: what runs is not stopped for a task that
// room comes for in time anyway. Stopping it made steady days of arrays repeat
// a fifth of all they had begun.
func TestNothingStoppedForRoomThatComes(t *testing.T) {
	for _, tc := range []struct {
		runs    float64 // seconds, by estimate
		class   string  // of the one that waits
		stopped bool
	}{
		{8, "gang", false}, // to be started within 10 s
		{30, "gang", true},
		{30, "other", false}, // to be done within 600 s
		{900, "other", true},
	} {
		b := newBench(t)
		b.ready("vm-1")
		q := b.c.keeping.queues["vm-1"]
		entry := func(id protocol.JobID, p protocol.Priority, class string, s float64) *entry {
			l := &known.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Priority: p, CPUs: 3, Tasks: 1, EstimateS: s}, Since: b.now}
			l.Due = b.c.Due(l)
			b.c.Live[id] = l
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: s, since: b.now, need: room.Amount{CPUs: 3}, level: room.LevelOf(p, false)}
			q.entries[e.task] = e
			return e
		}
		runs := entry("job-1", "standard", "other", tc.runs)
		runs.sent, runs.present, runs.state, runs.runs = true, true, protocol.TaskRunning, b.now
		q.waiting = append(q.waiting, entry("job-2", "high", tc.class, 10))
		b.c.keeping.touch(q)
		b.c.Now += Time(preemptAfter)
		b.c.keeping.preempt(q)
		if runs.kill != tc.stopped {
			t.Errorf("one of %v s, for a job of class %s: stopped %v, want %v", tc.runs, tc.class, runs.kill, tc.stopped)
		}
	}
}
