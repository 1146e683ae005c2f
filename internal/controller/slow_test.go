package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestSlowMachineIsDrained: a machine is drained when several tasks run there far longer than
// the others of their job do elsewhere. One long task, tasks of a job that runs long
// everywhere, and a machine without recent updates are no proof, and of many that seem slow
// most stay.
func TestSlowMachineIsDrained(t *testing.T) {
	for _, tc := range []struct {
		name      string
		slow      int // tasks that go on on the first machine
		elsewhere time.Duration
		goesOn    time.Duration // how long the slow ones run after that
		heard     bool
		draining  int // other machines
		drained   bool
	}{
		{"slow", 2, 10 * time.Second, 10 * time.Second, true, 0, true},
		{"one long task", 1, 10 * time.Second, 10 * time.Second, true, 0, false},
		{"one that does not end", 1, 10 * time.Second, 30 * time.Second, true, 0, true},
		{"long everywhere", 2, 40 * time.Second, 10 * time.Second, true, 0, false},
		{"not heard of", 2, 10 * time.Second, 10 * time.Second, false, 0, false},
		{"too many", 2, 10 * time.Second, 10 * time.Second, true, 3, false},
	} {
		b := newBench(t, "node-1")
		b.zoned("a", 20, false, resource.Uses{})
		o := b.c.jobs.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 10, CheckpointS: 5, SaveS: 1,
		}})
		o.Loaded = true
		ref := func(i int) message.TaskRef {
			m := b.c.table.InOrder()[max(0, i-tc.slow+1)] // the slow ones share the first
			if i < tc.slow {
				m = b.c.table.InOrder()[0]
			}
			return message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: uint32(i)}, Attempt: 1, Machine: m.ID}
		}
		for i := range 12 {
			r := ref(i)
			p := b.c.placer.PlaceAttempt(o, uint32(i), b.c.table.Machines[r.Machine], 1)
			b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: p.Task, Attempt: p.Attempt, Machine: p.Machine}, What: message.EventRunning})
		}
		b.c.Now += Time(tc.elsewhere)
		for i := tc.slow; i < 12; i++ {
			b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: ref(i), What: message.EventEnded, Cause: protocol.EndDone})
		}
		b.c.Actions, b.c.Local = nil, nil
		for range 2 {
			b.c.Now += Time(tc.goesOn / 2)
			for i, m := range b.c.table.InOrder() {
				if m.ReportedBy = b.c.table.Peers[b.c.DispatcherOf(m.ID)]; tc.heard {
					m.ReportedBy.Updates.At = b.c.Now
				}
				m.Reported.Draining = i > 0 && i <= tc.draining
			}
			b.c.jobs.WatchSlow()
		}
		drained := false
		for _, m := range b.c.Local {
			drained = drained || m.Drain != nil
		}
		for _, a := range b.c.Actions {
			s, ok := a.(message.Send)
			drained = drained || ok && s.Message.Drain != nil
		}
		if drained != tc.drained {
			t.Errorf("%s: given up %v, want %v", tc.name, drained, tc.drained)
		}
		if tc.drained != o.Placed[protocol.TaskID{Job: "job-1"}].Stopping {
			t.Errorf("%s: a task that can save is stopped: %v", tc.name, !tc.drained)
		}
	}
}
