package fake

import "damsonkeel/internal/protocol"

// cpuTolerance is the rounding tolerance when the processors of tasks are compared with those
// of the machine.
const cpuTolerance = 1e-9

// Execute executes direct commands and reports whether it did. It refuses commands with a lower
// fencing token than the highest received, or for another agent epoch.
func (w *Worker) Execute(c protocol.Commands) bool {
	if !w.Accepts(c) {
		return false
	}
	w.Term = c.Term
	w.execute(c.Orders)
	return true
}

// Accepts reports whether the worker would execute direct commands: their fencing token is not
// below the highest one received, and they are for the present agent epoch.
func (w *Worker) Accepts(c protocol.Commands) bool {
	return c.Term >= w.Term && c.AgentEpoch == w.Epoch
}

// Knows reports whether the worker lists an attempt of a task, ended or not.
func (w *Worker) Knows(task protocol.TaskID, attempt protocol.Attempt) bool {
	t := w.tasks[task]
	return t != nil && t.attempt == attempt
}

// execute executes orders to start, stop and forget attempts. Stop and forget orders for
// another attempt than the task's latest one on the machine have no effect, nor have forget
// orders for an attempt that has not ended.
func (w *Worker) execute(orders []protocol.Order) {
	for _, o := range orders {
		t := w.tasks[o.Task]
		current := t != nil && t.attempt == o.Attempt
		switch {
		case o.Op == protocol.OpStart:
			w.start(o, t)
		case o.Op == protocol.OpStop && current:
			w.stop(o, t)
		case o.Op == protocol.OpForget && current && t.state == protocol.TaskEnded:
			delete(w.tasks, o.Task)
			w.sortedTasks = nil
		}
	}
}

// start starts to fetch the image of a task, unless this attempt was already started or
// an earlier attempt has not ended. A task of an unknown job and a task that does not fit
// on the machine end at once.
func (w *Worker) start(o protocol.Order, previous *workerTask) {
	if previous != nil && (previous.attempt == o.Attempt || previous.state != protocol.TaskEnded) {
		return
	}
	j, ok := w.JobByID(o.Task.Job)
	t := &workerTask{attempt: o.Attempt, state: protocol.TaskFetching, fetchTimeLeft: defaultFetchTime}
	w.tasks[o.Task], w.sortedTasks = t, nil
	switch {
	case !ok:
		t.state, t.cause = protocol.TaskEnded, protocol.EndUnknown
	case j.CPUs > w.freeCPUs(t)+cpuTolerance:
		t.state, t.cause = protocol.TaskEnded, protocol.EndFull
	default:
		t.timeLeft = w.RunTime(o.Task)
		if w.FetchTime != nil {
			t.fetchTimeLeft = w.FetchTime(j)
		}
		if w.CachesImages && w.cachedImages[j.Image] {
			t.fetchTimeLeft = 0
		}
		if w.OnStartAccepted != nil {
			w.OnStartAccepted(w, o.Task, o.Attempt)
		}
	}
}

// freeCPUs returns the number of processors that the other tasks on the machine leave for
// the task t.
func (w *Worker) freeCPUs(t *workerTask) float64 {
	free := w.Info.CPUs
	for id, other := range w.tasks {
		if j, known := w.JobByID(id.Job); known && other != t && other.state != protocol.TaskEnded {
			free -= j.CPUs
		}
	}
	return free
}

// stop ends a task at once, unless it runs, its job saves checkpoints and the grace period is
// long enough for one: it then saves one before it ends. A task that is saving one already
// continues unless the grace period is 0.
func (w *Worker) stop(o protocol.Order, t *workerTask) {
	j, _ := w.JobByID(o.Task.Job)
	grace := 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch {
	case t.state == protocol.TaskEnded:
	case t.state == protocol.TaskRunning && j.CheckpointS > 0 && grace >= j.CheckpointDurationS:
		t.state, t.checkpointTimeLeft = protocol.TaskSaving, seconds(j.CheckpointDurationS)
	case t.state == protocol.TaskSaving && grace > 0:
	default:
		w.end(o.Task, t, protocol.EndStopped)
	}
}
