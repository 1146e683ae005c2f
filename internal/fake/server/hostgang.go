package server

import (
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// GangComplete starts to run the waiting tasks of an attempt of a gang on this host. It is
// called once all tasks of the attempt are waiting.
func (h *Host) GangComplete(job protocol.JobID, attempt protocol.Attempt) {
	h.forEachGangTask(job, attempt, (*fake.Worker).StartGangTask)
}

// GangLost ends the running tasks of an attempt of a gang on this host. It is called when the
// attempt has lost a task.
func (h *Host) GangLost(job protocol.JobID, attempt protocol.Attempt) {
	h.forEachGangTask(job, attempt, (*fake.Worker).StopGangTask)
}

// GangDone marks all tasks of a gang as completed and ends those that an attempt runs on this
// host. It is called when one of them has completed.
func (h *Host) GangDone(job protocol.JobID, attempt protocol.Attempt) {
	h.mu.Lock()
	for i := range h.jobs[job].Tasks {
		h.cfg.Results[protocol.TaskID{Job: job, Index: i}] = true
	}
	h.mu.Unlock()
	h.forEachGangTask(job, attempt, (*fake.Worker).StopGangTask)
}

// forEachGangTask calls do for each task of an attempt of a gang on this host that has not
// ended, and requests a heartbeat of its worker.
func (h *Host) forEachGangTask(job protocol.JobID, attempt protocol.Attempt, do func(*fake.Worker, protocol.TaskID)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		for _, task := range w.Tasks() {
			if a, _, _ := w.TaskAttempt(task); task.Job == job && a == attempt {
				do(w.Worker, task)
				w.requestHeartbeat()
			}
		}
	}
}
