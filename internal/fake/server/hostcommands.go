package server

import (
	"maps"
	"net/http"
	"slices"

	"damsonkeel/internal/protocol"
)

// command serves the direct commands of controllers to a worker.
func (h *Host) command(w *worker, rw http.ResponseWriter, r *http.Request) {
	commands, ok := read[protocol.Commands](rw, r)
	if !ok {
		return
	}
	h.Traffic.Add(trafficCommands, 1, 0, 0)
	h.readJobs(commands.Orders)
	status, heartbeat, up := h.execute(w, commands)
	if !up {
		panic(http.ErrAbortHandler) // the connection is closed without an answer
	}
	w.heartbeatSoon()
	answer(rw, status, heartbeat)
}

// execute has a worker execute commands, if it is up.
func (h *Host) execute(w *worker, commands protocol.Commands) (status int, heartbeat protocol.Heartbeat, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.Dead || w.restarting {
		return 0, protocol.Heartbeat{}, false
	}
	h.advance(w)
	status = http.StatusConflict
	if w.Execute(commands) {
		status = http.StatusOK
	}
	return status, w.heartbeat(), true
}

// readJobs reads the descriptions of jobs that are to be started. Without one a start is
// refused as of an unknown job.
func (h *Host) readJobs(orders []protocol.Order) {
	unknown := h.unknownJobs(orders)
	if len(unknown) == 0 {
		return
	}
	found, err := h.cfg.Jobs.Describe(unknown)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.Copy(h.jobs, found)
}

// unknownJobs lists the jobs to be started whose description is not known here.
func (h *Host) unknownJobs(orders []protocol.Order) []protocol.JobID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unknown []protocol.JobID
	for _, o := range orders {
		if o.Op != protocol.OpStart {
			continue
		}
		if _, known := h.jobs[o.Task.Job]; !known && !slices.Contains(unknown, o.Task.Job) {
			unknown = append(unknown, o.Task.Job)
		}
	}
	return unknown
}
