package server

import (
	"maps"
	"net/http"
	"slices"

	"damsonkeel/internal/protocol"
)

// serveCommands serves a request with direct commands for a worker. It responds with a
// heartbeat that shows their effect, with status 200, or 409 if the worker refuses the
// commands. A worker that has stopped or is restarting closes the connection without a
// response.
func (h *Host) serveCommands(w *worker, rw http.ResponseWriter, r *http.Request) {
	commands, ok := decodeRequest[protocol.Commands](rw, r)
	if !ok {
		return
	}
	h.Traffic.Add(trafficCommands, 1, 0, 0)
	h.readJobs(commands.Orders)
	status, heartbeat, up := h.execute(w, commands)
	if !up {
		panic(http.ErrAbortHandler) // makes the HTTP server close the connection without a response
	}
	w.requestHeartbeat()
	writeResponse(rw, status, heartbeat)
}

// execute makes a worker execute commands, and returns the status code and the body of the
// response. The result up is false if the worker has stopped or is restarting.
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
		h.scheduleCopy(w, commands)
	}
	return status, w.nextHeartbeat(), true
}

// readJobs reads those descriptions of the jobs whose tasks the orders start that the host does
// not have yet. If it can't read a description, the worker ends the task as one of an unknown
// job.
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

// unknownJobs returns the jobs whose tasks the orders start and whose description the host
// does not have.
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
