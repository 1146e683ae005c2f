package scale

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// tracker follows what is on machines by the events seen there, in order of time.
type tracker struct {
	on       map[protocol.TaskID]protocol.MachineID
	machines int // that are up
	// changed, if set, hears of each task that comes onto a machine (1) or leaves it (-1).
	changed func(task protocol.TaskID, by float64)
}

func newTracker() *tracker { return &tracker{on: map[protocol.TaskID]protocol.MachineID{}} }

// running is how many tasks are on machines.
func (t *tracker) running() int { return len(t.on) }

// take takes the next event.
func (t *tracker) take(e rules.MachineEvent) {
	switch e.Kind {
	case rules.MachineUp:
		t.machines++
	case rules.MachineLost:
		t.machines--
		for task, machine := range t.on {
			if machine == e.Machine {
				t.left(task)
			}
		}
	case rules.TaskStarted:
		if _, there := t.on[e.Task]; !there {
			t.tell(e.Task, 1)
		}
		t.on[e.Task] = e.Machine
	case rules.TaskEnded:
		t.left(e.Task)
	}
}

func (t *tracker) left(task protocol.TaskID) {
	if _, there := t.on[task]; there {
		delete(t.on, task)
		t.tell(task, -1)
	}
}

func (t *tracker) tell(task protocol.TaskID, by float64) {
	if t.changed != nil {
		t.changed(task, by)
	}
}
