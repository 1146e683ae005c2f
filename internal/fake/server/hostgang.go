package server

import (
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// GangComplete lets the waiting tasks of a gang's attempt run.
func (h *Host) GangComplete(job protocol.JobID, attempt protocol.Attempt) {
	h.eachOfGang(job, attempt, (*fake.Worker).StartGangTask)
}

// GangLost ends the running tasks of a gang's attempt that lost another.
func (h *Host) GangLost(job protocol.JobID, attempt protocol.Attempt) {
	h.eachOfGang(job, attempt, (*fake.Worker).StopGangTask)
}

// GangDone has all tasks of a gang completed, as one of them has.
func (h *Host) GangDone(job protocol.JobID, attempt protocol.Attempt) {
	h.mu.Lock()
	for i := range h.jobs[job].Tasks {
		h.cfg.Results[protocol.TaskID{Job: job, Index: i}] = true
	}
	h.mu.Unlock()
	h.eachOfGang(job, attempt, (*fake.Worker).StopGangTask)
}

// eachOfGang does something with each task here of a gang's attempt.
func (h *Host) eachOfGang(job protocol.JobID, attempt protocol.Attempt, do func(*fake.Worker, protocol.TaskID)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		for _, task := range w.Tasks() {
			if a, _, _ := w.Gang(task); task.Job == job && a == attempt {
				do(w.Worker, task)
				w.heartbeatSoon()
			}
		}
	}
}
