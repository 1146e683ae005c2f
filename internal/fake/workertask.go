package fake

import (
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// faultyJobRunTime is the run time of a task of a faulty job before it fails.
	faultyJobRunTime = time.Second
	// defaultFetchTime is the time to fetch an image if Worker.FetchTime is not set.
	defaultFetchTime = time.Second
)

// workerTask is the state of a task on a machine.
type workerTask struct {
	attempt            protocol.Attempt
	state              protocol.TaskState
	cause              protocol.EndCause // why it ended
	checkpointed       bool              // it has saved a checkpoint
	timeLeft           time.Duration     // run time left; for a waiting task, time until its gang wait expires
	runTime            time.Duration     // run time since the start
	fetchTimeLeft      time.Duration     // time left to fetch the image
	checkpointTimeLeft time.Duration     // time left to save the checkpoint
}

// nextChange returns the time until the next change of the task's state. It reports false
// if the passage of time does not change the state.
func (t *workerTask) nextChange() (in time.Duration, ok bool) {
	switch t.state {
	case protocol.TaskFetching:
		in = t.fetchTimeLeft
	case protocol.TaskSaving:
		in = t.checkpointTimeLeft
	case protocol.TaskRunning, protocol.TaskWaiting:
		in = t.timeLeft
	default:
		return 0, false
	}
	return in, in >= 0
}

// tickTask advances a task by the time that has passed, and changes its state when its fetch,
// gang wait, checkpoint or run is over.
func (w *Worker) tickTask(id protocol.TaskID, t *workerTask, elapsed time.Duration) {
	switch t.state {
	case protocol.TaskFetching:
		if t.fetchTimeLeft -= elapsed; t.fetchTimeLeft <= 0 {
			w.startFetchedTask(id, t)
		}
	case protocol.TaskWaiting:
		if t.timeLeft -= elapsed; t.timeLeft <= 0 {
			w.end(id, t, protocol.EndIncomplete)
		}
	case protocol.TaskSaving:
		if t.checkpointTimeLeft -= elapsed; t.checkpointTimeLeft <= 0 {
			t.checkpointed = true
			w.end(id, t, protocol.EndStopped)
		}
	case protocol.TaskRunning:
		t.timeLeft -= elapsed
		t.runTime += elapsed
		w.endIfFailedOrDone(id, t)
	}
}

// startFetchedTask starts a task whose image is fetched. A task that has completed before ends at
// once, and a task of a gang waits for the others.
func (w *Worker) startFetchedTask(id protocol.TaskID, t *workerTask) {
	t.state = protocol.TaskRunning
	w.stateChanges++
	w.OnStarted(w, id, t.attempt)
	j, _ := w.JobByID(id.Job)
	w.cachedImages[j.Image] = true
	switch {
	case w.Results[id]:
		w.end(id, t, protocol.EndDone)
	case j.Kind == protocol.KindGang && j.Tasks > 1:
		t.state, t.timeLeft = protocol.TaskWaiting, w.GangWait
	}
}

// endIfFailedOrDone ends a running task if its machine or job is faulty, or if it has run for
// its run time. The first task of a gang to do so marks all its tasks as completed. The tasks
// of a service never complete.
func (w *Worker) endIfFailedOrDone(id protocol.TaskID, t *workerTask) {
	j, _ := w.JobByID(id.Job)
	jobFailureDue := w.IsFaultyJob != nil && w.IsFaultyJob(id.Job) && t.runTime >= faultyJobRunTime
	switch {
	case w.Faulty || jobFailureDue:
		w.end(id, t, protocol.EndError)
	case t.timeLeft <= 0 && j.Kind == protocol.KindGang:
		for i := range j.Tasks {
			w.Results[protocol.TaskID{Job: id.Job, Index: i}] = true
		}
		w.end(id, t, protocol.EndDone)
	case t.timeLeft <= 0 && j.Kind != protocol.KindService:
		w.Results[id] = true
		w.end(id, t, protocol.EndDone)
	}
}

// end notifies the observers and ends a task for the given cause.
func (w *Worker) end(id protocol.TaskID, t *workerTask, cause protocol.EndCause) {
	w.stateChanges++
	w.OnEnded(w, id, cause)
	if t.checkpointed && w.OnCheckpoint != nil {
		w.OnCheckpoint(id, t.timeLeft)
	}
	t.state, t.cause = protocol.TaskEnded, cause
}

// TaskAttempt returns the latest attempt of a task on the machine and its state, which may be
// ended, and reports whether the machine runs and has the task.
func (w *Worker) TaskAttempt(id protocol.TaskID) (protocol.Attempt, protocol.TaskState, bool) {
	t := w.tasks[id]
	if w.Dead || t == nil {
		return 0, "", false
	}
	return t.attempt, t.state, true
}

// StartGangTask starts to run a task that waits for the others of its gang; a task in another
// state is left alone. The caller calls it once all tasks of the attempt are waiting.
func (w *Worker) StartGangTask(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskWaiting {
		t.state, t.timeLeft = protocol.TaskRunning, w.RunTime(id)
	}
}

// StopGangTask ends a running task of a gang: as completed if its result exists, else because
// the gang has lost another task. A task in another state is left alone.
func (w *Worker) StopGangTask(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskRunning {
		cause := protocol.EndGangLost
		if w.Results[id] {
			cause = protocol.EndDone
		}
		w.end(id, t, cause)
	}
}
