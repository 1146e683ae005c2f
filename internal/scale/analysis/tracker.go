package analysis

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// tracker follows which tasks are on which machine. Events are applied in order of time.
type tracker struct {
	machineOf map[protocol.TaskID]protocol.MachineID
	machines  int // that are up
	// onChange, if set, is called for each task that comes onto a machine (1) or leaves
	// it (-1).
	onChange func(task protocol.TaskID, by float64)
}

// newTracker returns a tracker without machines.
func newTracker() *tracker { return &tracker{machineOf: map[protocol.TaskID]protocol.MachineID{}} }

// running returns how many tasks are on machines.
func (t *tracker) running() int { return len(t.machineOf) }

// apply applies the next event.
func (t *tracker) apply(e rules.MachineEvent) {
	switch e.Kind {
	case rules.MachineUp:
		t.machines++
	case rules.MachineLost:
		t.machines--
		for task, machine := range t.machineOf {
			if machine == e.Machine {
				t.remove(task)
			}
		}
	case rules.TaskStarted:
		if _, placed := t.machineOf[e.Task]; !placed {
			t.changed(e.Task, 1)
		}
		t.machineOf[e.Task] = e.Machine
	case rules.TaskEnded:
		t.remove(e.Task)
	}
}

// remove takes a task off its machine.
func (t *tracker) remove(task protocol.TaskID) {
	if _, placed := t.machineOf[task]; placed {
		delete(t.machineOf, task)
		t.changed(task, -1)
	}
}

func (t *tracker) changed(task protocol.TaskID, by float64) {
	if t.onChange != nil {
		t.onChange(task, by)
	}
}
