package fake

import (
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// mistakeDelay is how long a task of a mistaken job runs before it fails.
	mistakeDelay = time.Second
	// defaultFetchTime is how long an image takes to fetch, if nothing else is said.
	defaultFetchTime = time.Second
)

// workerTask is a task on a machine.
type workerTask struct {
	attempt      protocol.Attempt
	state        protocol.TaskState
	cause        protocol.EndCause
	checkpointed bool
	remaining    time.Duration // until it is done, or has waited for its gang long enough
	ran          time.Duration
	fetch        time.Duration // until its image is there
	checkpoint   time.Duration // until its checkpoint is saved
}

// nextChange is after how long time next changes the task's state, if it does.
func (t *workerTask) nextChange() (in time.Duration, ok bool) {
	switch t.state {
	case protocol.TaskFetching:
		in = t.fetch
	case protocol.TaskSaving:
		in = t.checkpoint
	case protocol.TaskRunning, protocol.TaskWaiting:
		in = t.remaining
	default:
		return 0, false
	}
	return in, in >= 0
}

// tickTask lets time pass on a task.
func (w *Worker) tickTask(id protocol.TaskID, t *workerTask, passed time.Duration) {
	switch t.state {
	case protocol.TaskFetching:
		if t.fetch -= passed; t.fetch <= 0 {
			w.fetched(id, t)
		}
	case protocol.TaskWaiting:
		if t.remaining -= passed; t.remaining <= 0 {
			w.end(id, t, protocol.EndIncomplete)
		}
	case protocol.TaskSaving:
		if t.checkpoint -= passed; t.checkpoint <= 0 {
			t.checkpointed = true
			w.end(id, t, protocol.EndStopped)
		}
	case protocol.TaskRunning:
		t.remaining -= passed
		t.ran += passed
		w.tickRunning(id, t)
	}
}

// fetched has a task come onto the machine once its image is there.
func (w *Worker) fetched(id protocol.TaskID, t *workerTask) {
	t.state = protocol.TaskRunning
	w.changes++
	w.Started(w, id, t.attempt)
	j, _ := w.Jobs(id.Job)
	w.cachedImages[j.Image] = true
	switch {
	case w.Results[id]:
		w.end(id, t, protocol.EndDone)
	case j.Kind == protocol.KindGang && j.Tasks > 1:
		t.state, t.remaining = protocol.TaskWaiting, w.GangWait
	}
}

// tickRunning ends a running task that has failed or is done. The tasks of a gang
// complete together; a service is never done.
func (w *Worker) tickRunning(id protocol.TaskID, t *workerTask) {
	j, _ := w.Jobs(id.Job)
	mistaken := w.IsFaulty != nil && w.IsFaulty(id.Job) && t.ran >= mistakeDelay
	switch {
	case w.Faulty || mistaken:
		w.end(id, t, protocol.EndError)
	case t.remaining <= 0 && j.Kind == protocol.KindGang:
		for i := range j.Tasks {
			w.Results[protocol.TaskID{Job: id.Job, Index: i}] = true
		}
		w.end(id, t, protocol.EndDone)
	case t.remaining <= 0 && j.Kind != protocol.KindService:
		w.Results[id] = true
		w.end(id, t, protocol.EndDone)
	}
}

// end ends a task.
func (w *Worker) end(id protocol.TaskID, t *workerTask, cause protocol.EndCause) {
	w.changes++
	w.Ended(w, id, cause)
	if t.checkpointed && w.OnCheckpoint != nil {
		w.OnCheckpoint(id, t.remaining)
	}
	t.state, t.cause = protocol.TaskEnded, cause
}

// Gang is the attempt and state of a gang's task here, if it is on the machine.
func (w *Worker) Gang(id protocol.TaskID) (protocol.Attempt, protocol.TaskState, bool) {
	t := w.tasks[id]
	if w.Dead || t == nil {
		return 0, "", false
	}
	return t.attempt, t.state, true
}

// StartGangTask lets a waiting task of a gang run, once all of its attempt wait.
func (w *Worker) StartGangTask(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskWaiting {
		t.state, t.remaining = protocol.TaskRunning, w.RunTime(id)
	}
}

// StopGangTask ends a running task of a gang that lost another.
func (w *Worker) StopGangTask(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskRunning {
		cause := protocol.EndGangLost
		if w.Results[id] {
			cause = protocol.EndDone
		}
		w.end(id, t, cause)
	}
}
