package simulator

import "damsonkeel/internal/protocol"

// gangTask is the latest attempt of a gang's task on one worker, and its state.
type gangTask struct {
	worker  *worker
	id      protocol.TaskID
	attempt protocol.Attempt
	state   protocol.TaskState
}

// advanceGangs calls advanceGang for each gang of two or more tasks that is not in a final
// state.
func (w *world) advanceGangs() {
	for _, id := range w.jobOrder {
		j := w.jobs[id]
		if j.Kind == protocol.KindGang && j.Tasks >= 2 && w.finalState[id] == "" {
			w.advanceGang(j)
		}
	}
}

// advanceGang starts the tasks of an attempt if all tasks of the gang are waiting in it, and
// stops the running tasks of an attempt if only some of the gang's tasks are running in it.
func (w *world) advanceGang(j protocol.Job) {
	waiting, running := map[protocol.Attempt]int{}, map[protocol.Attempt]int{}
	w.eachGangTask(j, func(t gangTask) {
		switch t.state {
		case protocol.TaskWaiting:
			waiting[t.attempt]++
		case protocol.TaskRunning:
			running[t.attempt]++
		}
	})
	w.eachGangTask(j, func(t gangTask) {
		switch {
		case waiting[t.attempt] == int(j.Tasks):
			t.worker.StartGangTask(t.id)
		case running[t.attempt] > 0 && running[t.attempt] < int(j.Tasks):
			t.worker.StopGangTask(t.id)
		}
	})
}

// eachGangTask calls do for each task of the job on each worker that has an attempt of it, in
// a fixed order.
func (w *world) eachGangTask(j protocol.Job, do func(gangTask)) {
	for _, m := range w.machineOrder {
		for i := range j.Tasks {
			id := protocol.TaskID{Job: j.ID, Index: i}
			if attempt, state, ok := w.workers[m].TaskAttempt(id); ok {
				do(gangTask{w.workers[m], id, attempt, state})
			}
		}
	}
}
