package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestPreemption checks which tasks may be stopped for which.
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
		b.ready()
		q := b.queue()
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

// TestNothingStoppedForRoomThatComes: what runs is not stopped for a task for which
// resources become free in time anyway. Stopping it made steady days of arrays repeat a
// fifth of all they had begun.
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
		b.ready()
		q := b.queue()
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
