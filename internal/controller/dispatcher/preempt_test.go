package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestPreemptionEligibility checks which tasks may be stopped in favor of which others.
func TestPreemptionEligibility(t *testing.T) {
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
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		q := f.queue()
		addEntry := func(id protocol.JobID, spec task, cpus float64) *entry {
			f.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: spec.team, Priority: spec.priority, CPUs: cpus, Tasks: 1}}
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 900, need: resource.Amount{CPUs: cpus}, level: resource.LevelOf(spec.priority, spec.guaranteed)}
			q.addEntry(e)
			return e
		}
		victim := addEntry("job-1", tc.runs, 2)
		victim.sent, victim.present, victim.state = true, true, protocol.TaskRunning
		head := addEntry("job-2", tc.head, 3)
		head.queuedSince = f.dispatcher.Now
		q.waiting = append(q.waiting, head)
		q.markChanged()
		q.preempt()
		if victim.kill {
			t.Errorf("%s: stopped before the head of the queue has waited long enough", tc.name)
		}
		f.dispatcher.Now += clock.Time(preemptAfter)
		q.preempt()
		if victim.kill != tc.stopped {
			t.Errorf("%s: stopped %v, want %v", tc.name, victim.kill, tc.stopped)
		}
	}
}

// TestNoPreemptionWhenResourcesFreeInTime checks that no attempt is stopped for a task
// for which resources become free in time anyway. Stopping such attempts made arrays
// under steady load repeat a fifth of the work they had begun.
func TestNoPreemptionWhenResourcesFreeInTime(t *testing.T) {
	for _, tc := range []struct {
		runs    float64 // estimated run time in seconds
		class   string  // class of the waiting job
		stopped bool
	}{
		{8, "gang", false}, // its objective: started within 10 s
		{30, "gang", true},
		{30, "other", false}, // its objective: done within 600 s
		{900, "other", true},
	} {
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		q := f.queue()
		addEntry := func(id protocol.JobID, p protocol.Priority, class string, s float64) *entry {
			live := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Priority: p, CPUs: 3, Tasks: 1, EstimateS: s}, SubmittedAt: f.dispatcher.Now}
			live.Deadline = f.dispatcher.Deadline(live)
			f.dispatcher.Live[id] = live
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: s, queuedSince: f.dispatcher.Now, need: resource.Amount{CPUs: 3}, level: resource.LevelOf(p, false)}
			q.addEntry(e)
			return e
		}
		running := addEntry("job-1", "standard", "other", tc.runs)
		running.sent, running.present, running.state, running.runningSince = true, true, protocol.TaskRunning, f.dispatcher.Now
		q.waiting = append(q.waiting, addEntry("job-2", "high", tc.class, 10))
		q.markChanged()
		f.dispatcher.Now += clock.Time(preemptAfter)
		q.preempt()
		if running.kill != tc.stopped {
			t.Errorf("attempt of %v s, for a job of class %s: stopped %v, want %v", tc.runs, tc.class, running.kill, tc.stopped)
		}
	}
}
