package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestSlowMachineIsDrained: a machine is drained when several tasks run there far longer than
// the others of their job do elsewhere. One long task, tasks of a job that runs long
// everywhere, and a machine without recent updates are no proof, and of many that seem slow
// most stay.
func TestSlowMachineIsDrained(t *testing.T) {
	for _, tc := range []struct {
		name      string
		slow      int           // tasks that go on, on the first machine
		elsewhere time.Duration // how long the others run
		goesOn    time.Duration // how long the slow ones run after that
		updated   bool          // the machine's dispatcher has sent recent updates
		draining  int           // other machines
		drained   bool
	}{
		{"slow", 2, 10 * time.Second, 10 * time.Second, true, 0, true},
		{"one long task", 1, 10 * time.Second, 10 * time.Second, true, 0, false},
		{"one that does not end", 1, 10 * time.Second, 30 * time.Second, true, 0, true},
		{"long everywhere", 2, 40 * time.Second, 10 * time.Second, true, 0, false},
		{"without updates", 2, 10 * time.Second, 10 * time.Second, false, 0, false},
		{"too many", 2, 10 * time.Second, 10 * time.Second, true, 3, false},
	} {
		owned := newOwned(t)
		addMachines(owned.table, 20)
		job := owned.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 10, CheckpointS: 5, CheckpointDurationS: 1,
		}})
		job.Loaded = true
		machines := owned.table.InOrder()
		ref := func(i int) message.TaskRef {
			if i < tc.slow { // the slow ones share the first machine
				return taskRef(uint32(i), machines[0].ID)
			}
			return taskRef(uint32(i), machines[i-tc.slow+1].ID)
		}
		for i := range 12 {
			start(owned, job, ref(i))
		}
		owned.Now += clock.Time(tc.elsewhere)
		for i := tc.slow; i < 12; i++ {
			end(owned, ref(i), protocol.EndDone)
		}
		owned.Actions, owned.Local = nil, nil
		for range 2 {
			owned.Now += clock.Time(tc.goesOn / 2)
			for i, m := range machines {
				m.StateFrom = owned.table.Peers[owned.DispatcherOf(m.ID)]
				if tc.updated {
					m.StateFrom.Updates.At = owned.Now
				}
				m.State.Draining = i > 0 && i <= tc.draining
			}
			owned.WatchSlow()
		}
		if drained := sentDrain(owned); drained != tc.drained {
			t.Errorf("%s: drained %v, want %v", tc.name, drained, tc.drained)
		}
		if tc.drained != job.Placed[protocol.TaskID{Job: "job-1"}].Stopping {
			t.Errorf("%s: a task that can save a checkpoint is stopped: %v", tc.name, !tc.drained)
		}
	}
}

// sentDrain reports whether a dispatcher was asked to drain a machine.
func sentDrain(owned *Owned) bool {
	for _, m := range owned.Local {
		if m.Drain != nil {
			return true
		}
	}
	for _, action := range owned.Actions {
		if send, ok := action.(message.Send); ok && send.Message.Drain != nil {
			return true
		}
	}
	return false
}
