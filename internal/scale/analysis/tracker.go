package analysis

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// taskTracker tracks which tasks are on which machine. Events must be applied in order of time.
type taskTracker struct {
	machineOf  map[protocol.TaskID]protocol.MachineID
	machinesUp int
	// onChange, if set, is called with 1 for each task that starts on a machine and with -1
	// for each task that no longer occupies one.
	onChange func(task protocol.TaskID, delta float64)
}

// newTaskTracker returns a tracker without machines.
func newTaskTracker() *taskTracker {
	return &taskTracker{machineOf: map[protocol.TaskID]protocol.MachineID{}}
}

// running returns the number of tasks on machines.
func (t *taskTracker) running() int { return len(t.machineOf) }

// apply updates the tracked tasks and machines with the next event.
func (t *taskTracker) apply(e rules.MachineEvent) {
	switch e.Kind {
	case rules.MachineUp:
		t.machinesUp++
	case rules.MachineLost:
		t.machinesUp--
		for task, machine := range t.machineOf {
			if machine == e.Machine {
				t.remove(task)
			}
		}
	case rules.TaskStarted:
		if _, placed := t.machineOf[e.Task]; !placed {
			t.notifyChange(e.Task, 1)
		}
		t.machineOf[e.Task] = e.Machine
	case rules.TaskEnded:
		t.remove(e.Task)
	}
}

// remove removes a task from its machine and calls onChange. It does nothing if the task is on no
// machine.
func (t *taskTracker) remove(task protocol.TaskID) {
	if _, placed := t.machineOf[task]; placed {
		delete(t.machineOf, task)
		t.notifyChange(task, -1)
	}
}

// notifyChange calls onChange, if it is set.
func (t *taskTracker) notifyChange(task protocol.TaskID, delta float64) {
	if t.onChange != nil {
		t.onChange(task, delta)
	}
}
