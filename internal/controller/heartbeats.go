package controller

import (
	"sync"
	"time"

	"damsonkeel/internal/controller/heartbeat"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// maxPendingHeartbeats bounds the reports that wait for the core: as many as come in
	// a second when all workers of a large site turn to one controller.
	maxPendingHeartbeats = 1024
	// heartbeatPatience is how long a report may wait: workers give its answer up
	// after 4 s, and one given up renews no lease.
	heartbeatPatience = 3500 * time.Millisecond
)

// pendingHeartbeat is a report that waits for the core.
type pendingHeartbeat struct {
	heartbeat protocol.Heartbeat
	reply     transport.Reply
}

// reports are the workers' reports between the server and the core. When more
// come than the core can take, those are answered whose leases are shortest.
type heartbeatQueue struct {
	ready chan struct{} // holds one while any wait

	mu    sync.Mutex
	queue *heartbeat.Queue[pendingHeartbeat]
}

func newHeartbeatQueue() *heartbeatQueue {
	return &heartbeatQueue{ready: make(chan struct{}, 1), queue: heartbeat.New[pendingHeartbeat](maxPendingHeartbeats, heartbeatPatience)}
}

// Add takes a report. It runs on the event loop and never waits.
func (r *heartbeatQueue) add(now Time, p pendingHeartbeat) {
	r.mu.Lock()
	refused, any := r.queue.Add(now, p.heartbeat.Machine, p)
	r.mu.Unlock()
	if any {
		refused.reply(failure(503, "busy"))
	}
	r.signal()
}

func (r *heartbeatQueue) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// next is the message to the core for the report to be answered next.
func (r *heartbeatQueue) next(now func() Time) (envelope, bool) {
	r.mu.Lock()
	w, ok, late := r.queue.Next(now())
	more := r.queue.Len() > 0
	r.mu.Unlock()
	for _, p := range late {
		p.reply(failure(503, "too late"))
	}
	if more {
		r.signal()
	}
	if !ok {
		return envelope{}, false
	}
	return envelope{msg: message.HeartbeatReceived{Heartbeat: w.Heartbeat.heartbeat}, reply: func(actions []message.Action) {
		answer := failure(503, "not entitled")
		for _, a := range actions {
			if rr, ok := a.(message.ReplyHeartbeat); ok {
				answer = reportAnswer(rr)
				if rr.Status == 200 {
					r.answered(now(), w.Machine)
				}
			}
		}
		w.Heartbeat.reply(answer)
	}}, true
}

func (r *heartbeatQueue) answered(now Time, m protocol.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Answered(now, m)
}
