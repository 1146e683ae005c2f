package controller

import (
	"net/http"
	"sync"
	"time"

	"damsonkeel/internal/controller/frontend"
	"damsonkeel/internal/controller/heartbeat"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// maxPendingHeartbeats bounds the heartbeats that are queued for the core. A single
	// controller receives as many in a second if all workers of a large site send to it.
	maxPendingHeartbeats = 1024
	// maxHeartbeatWait bounds the time for which a heartbeat may be queued: workers time
	// out after 4 s, and an answer after the timeout renews no lease.
	maxHeartbeatWait = 3500 * time.Millisecond
)

// pendingHeartbeat is a heartbeat that is queued for the core, and the function that answers it.
type pendingHeartbeat struct {
	heartbeat protocol.Heartbeat
	reply     transport.Reply
}

// heartbeatQueue passes workers' heartbeats from the server to the core. If it receives more
// of them than the core can handle, the workers that were answered longest ago, and whose
// leases therefore expire first, are served first.
type heartbeatQueue struct {
	ready chan struct{} // holds an element while heartbeats are queued

	mu    sync.Mutex
	queue *heartbeat.Queue[pendingHeartbeat]
}

func newHeartbeatQueue() *heartbeatQueue {
	return &heartbeatQueue{ready: make(chan struct{}, 1), queue: heartbeat.NewQueue[pendingHeartbeat](maxPendingHeartbeats, maxHeartbeatWait)}
}

// add queues a heartbeat. If the queue is full, it refuses the heartbeat that would be answered
// last, which may be this one. It runs on the server's event loop and never blocks.
func (q *heartbeatQueue) add(now Time, pending pendingHeartbeat) {
	q.mu.Lock()
	refused, full := q.queue.Add(now, pending.heartbeat.Machine, pending)
	q.mu.Unlock()
	if full {
		refused.reply(frontend.Failure(http.StatusServiceUnavailable, "busy"))
	}
	q.signal()
}

// signal wakes the core actor, which then takes the next heartbeat. It never blocks.
func (q *heartbeatQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// next removes the heartbeat that has to be answered next and returns its message to the
// core, or false if none is queued. It refuses heartbeats that have been queued for longer
// than maxHeartbeatWait.
func (q *heartbeatQueue) next(now func() Time) (envelope, bool) {
	q.mu.Lock()
	pending, ok, expired := q.queue.Next(now())
	more := q.queue.Len() > 0
	q.mu.Unlock()
	for _, p := range expired {
		p.reply(frontend.Failure(http.StatusServiceUnavailable, "too late"))
	}
	if more {
		q.signal()
	}
	if !ok {
		return envelope{}, false
	}
	reply := func(actions []message.Action) {
		answer := frontend.Failure(http.StatusServiceUnavailable, "not entitled")
		for _, action := range actions {
			if r, ok := action.(message.ReplyHeartbeat); ok {
				answer = frontend.HeartbeatResponse(r)
				if r.Status == http.StatusOK {
					q.recordAnswer(now(), pending.Machine)
				}
			}
		}
		pending.Heartbeat.reply(answer)
	}
	return envelope{msg: message.HeartbeatReceived{Heartbeat: pending.Heartbeat.heartbeat}, reply: reply}, true
}

// recordAnswer records that a worker's lease has been renewed now by an answer to its heartbeat,
// which puts its next heartbeat behind those of workers that were answered earlier.
func (q *heartbeatQueue) recordAnswer(now Time, machine protocol.MachineID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordAnswer(now, machine)
}
