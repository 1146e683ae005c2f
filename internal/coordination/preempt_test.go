package coordination

import (
	"testing"

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
		q := b.c.queues["vm-1"]
		entry := func(id protocol.JobID, k task, cpus float64) *entry {
			b.c.live[id] = &liveJob{Job: protocol.Job{ID: id, Team: k.team, Priority: k.priority, CPUs: cpus, Tasks: 1}}
			e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, need: resources{cpus: cpus}, level: levelOf(k.priority, k.guaranteed)}
			q.entries[e.task] = e
			return e
		}
		victim := entry("job-1", tc.runs, 2)
		victim.sent, victim.present, victim.state = true, true, protocol.TaskRunning
		head := entry("job-2", tc.head, 3)
		head.since = b.now
		q.waiting = append(q.waiting, head)
		b.c.preempt(q)
		if victim.kill {
			t.Errorf("%s: stopped before the head has waited", tc.name)
		}
		b.c.now += Time(preemptAfter)
		b.c.preempt(q)
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
		if o := b.c.owner.jobs[id]; o.level != levelOf(o.Priority, within) {
			t.Errorf("%s is at level %d", id, o.level)
		}
	}
}
