package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestSlowMachineIsDrained checks that a machine is drained if several tasks run there far
// longer than the other tasks of their job run on other machines. A machine is not drained
// because of one long task, because of a job whose tasks run long on every machine, or
// without recent updates, and only a limited number of machines is drained at the same time.
func TestSlowMachineIsDrained(t *testing.T) {
	for _, tc := range []struct {
		name          string
		slowTasks     int           // slow tasks, all on the first machine
		otherRunTime  time.Duration // run time of the other tasks
		extraRunTime  time.Duration // how much longer the slow tasks run
		recentUpdates bool          // the machine's dispatcher has sent recent updates
		otherDraining int           // other machines that are draining
		drained       bool
	}{
		{"two slow tasks", 2, 10 * time.Second, 10 * time.Second, true, 0, true},
		{"one long task", 1, 10 * time.Second, 10 * time.Second, true, 0, false},
		{"one task that does not end", 1, 10 * time.Second, 30 * time.Second, true, 0, true},
		{"long on every machine", 2, 40 * time.Second, 10 * time.Second, true, 0, false},
		{"without recent updates", 2, 10 * time.Second, 10 * time.Second, false, 0, false},
		{"too many machines draining", 2, 10 * time.Second, 10 * time.Second, true, 3, false},
	} {
		owned := newOwned(t)
		addMachines(owned.table, 20)
		job := owned.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 10, CheckpointS: 5, CheckpointDurationS: 1,
		}})
		job.Loaded = true
		machines := owned.table.InOrder()
		ref := func(i int) message.TaskRef {
			if i < tc.slowTasks { // the slow tasks share the first machine
				return taskRef(uint32(i), machines[0].ID)
			}
			return taskRef(uint32(i), machines[i-tc.slowTasks+1].ID)
		}
		for i := range 12 {
			startAttempt(owned, job, ref(i))
		}
		owned.Now += clock.Time(tc.otherRunTime)
		for i := tc.slowTasks; i < 12; i++ {
			endAttempt(owned, ref(i), protocol.EndDone)
		}
		owned.Actions, owned.Local = nil, nil
		for range 2 {
			owned.Now += clock.Time(tc.extraRunTime / 2)
			for i, m := range machines {
				m.StateFrom = owned.table.Peers[owned.DispatcherOf(m.ID)]
				if tc.recentUpdates {
					m.StateFrom.Updates.MachinesReceivedAt = owned.Now
				}
				m.State.Draining = i > 0 && i <= tc.otherDraining
			}
			owned.DetectSlowMachines()
		}
		if drained := sentDrain(owned); drained != tc.drained {
			t.Errorf("%s: drained %v, want %v", tc.name, drained, tc.drained)
		}
		if tc.drained != job.Placed[protocol.TaskID{Job: "job-1"}].Stopping {
			t.Errorf("%s: a task that can save a checkpoint is stopped: %v", tc.name, !tc.drained)
		}
	}
}

// sentDrain reports whether a Drain message was sent to a dispatcher.
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
