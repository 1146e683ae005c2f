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
	// maxPendingHeartbeats bounds the heartbeats that wait for the core: as many as come
	// in a second when all workers of a large site turn to one controller.
	maxPendingHeartbeats = 1024
	// heartbeatPatience is how long a heartbeat may wait: workers give up on its answer
	// after 4 s, and one that they have given up on renews no lease.
	heartbeatPatience = 3500 * time.Millisecond
)

// pendingHeartbeat is a heartbeat that waits for the core.
type pendingHeartbeat struct {
	heartbeat protocol.Heartbeat
	reply     transport.Reply
}

// heartbeatQueue holds the workers' heartbeats between the server and the core. When more
// come than the core can handle, those are answered whose leases expire first.
type heartbeatQueue struct {
	ready chan struct{} // holds one while any wait

	mu    sync.Mutex
	queue *heartbeat.Queue[pendingHeartbeat]
}

func newHeartbeatQueue() *heartbeatQueue {
	return &heartbeatQueue{ready: make(chan struct{}, 1), queue: heartbeat.NewQueue[pendingHeartbeat](maxPendingHeartbeats, heartbeatPatience)}
}

// add queues a heartbeat. It runs on the server's event loop and never waits.
func (q *heartbeatQueue) add(now Time, pending pendingHeartbeat) {
	q.mu.Lock()
	refused, full := q.queue.Add(now, pending.heartbeat.Machine, pending)
	q.mu.Unlock()
	if full {
		refused.reply(frontend.Failure(http.StatusServiceUnavailable, "busy"))
	}
	q.signal()
}

func (q *heartbeatQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// next is the message to the core for the heartbeat to be answered next. Those that have
// waited for too long are refused.
func (q *heartbeatQueue) next(now func() Time) (envelope, bool) {
	q.mu.Lock()
	pending, ok, late := q.queue.Next(now())
	more := q.queue.Len() > 0
	q.mu.Unlock()
	for _, p := range late {
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
					q.answered(now(), pending.Machine)
				}
			}
		}
		pending.Heartbeat.reply(answer)
	}
	return envelope{msg: message.HeartbeatReceived{Heartbeat: pending.Heartbeat.heartbeat}, reply: reply}, true
}

// answered notes that a worker's lease has been renewed.
func (q *heartbeatQueue) answered(now Time, machine protocol.MachineID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordAnswer(now, machine)
}
