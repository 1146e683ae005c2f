package fake

import "damsonkeel/internal/protocol"

// cpuSlack is how much the processors of tasks may exceed those of the machine by
// rounding.
const cpuSlack = 1e-9

// Execute takes direct commands and reports whether they were executed.
func (w *Worker) Execute(c protocol.Commands) bool {
	if c.Term < w.Term || c.AgentEpoch != w.Epoch {
		return false
	}
	w.Term = c.Term
	w.execute(c.Orders)
	return true
}

// execute executes orders. Those for another attempt than the one here have no effect.
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
			w.order = nil
		}
	}
}

// start begins to fetch the image of a task, unless an earlier attempt is still here. A
// task that is not known or does not fit ends at once.
func (w *Worker) start(o protocol.Order, earlier *workerTask) {
	if earlier != nil && (earlier.attempt == o.Attempt || earlier.state != protocol.TaskEnded) {
		return
	}
	j, ok := w.Jobs(o.Task.Job)
	t := &workerTask{attempt: o.Attempt, state: protocol.TaskFetching, fetch: defaultFetchTime}
	w.tasks[o.Task], w.order = t, nil
	switch {
	case !ok:
		t.state, t.cause = protocol.TaskEnded, protocol.EndUnknown
	case j.CPUs > w.freeCPUs(t)+cpuSlack:
		t.state, t.cause = protocol.TaskEnded, protocol.EndFull
	default:
		t.remaining = w.RunTime(o.Task)
		if w.FetchTime != nil {
			t.fetch = w.FetchTime(j)
		}
		if w.CachesImages && w.cachedImages[j.Image] {
			t.fetch = 0
		}
		if w.Ordered != nil {
			w.Ordered(w, o.Task, o.Attempt)
		}
	}
}

// freeCPUs is how many processors the tasks here leave to one of them.
func (w *Worker) freeCPUs(t *workerTask) float64 {
	free := w.Info.CPUs
	for id, other := range w.tasks {
		if j, known := w.Jobs(id.Job); known && other != t && other.state != protocol.TaskEnded {
			free -= j.CPUs
		}
	}
	return free
}

// stop stops a task, after a checkpoint if it can save one in the grace period.
func (w *Worker) stop(o protocol.Order, t *workerTask) {
	j, _ := w.Jobs(o.Task.Job)
	grace := 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch {
	case t.state == protocol.TaskEnded:
	case t.state == protocol.TaskRunning && j.CheckpointS > 0 && grace >= j.CheckpointDurationS:
		t.state, t.checkpoint = protocol.TaskSaving, seconds(j.CheckpointDurationS)
	case t.state == protocol.TaskSaving && grace > 0:
	default:
		w.end(o.Task, t, protocol.EndStopped)
	}
}
