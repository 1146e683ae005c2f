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
	// reportsMost bounds the reports that wait for the core: as many as come in
	// a second when all workers of a large site turn to one controller.
	reportsMost = 1024
	// reportPatience is how long a report may wait: workers give its answer up
	// after 4 s, and one given up renews no lease.
	reportPatience = 3500 * time.Millisecond
)

// pendingReport is a report that waits for the core.
type pendingReport struct {
	report protocol.Report
	reply  transport.Reply
}

// reports are the workers' reports between the server and the core. When more
// come than the core can take, those are answered whose leases are shortest.
type reports struct {
	ready chan struct{} // holds one while any wait

	mu    sync.Mutex
	queue *heartbeat.Queue[pendingReport]
}

func newReports() *reports {
	return &reports{ready: make(chan struct{}, 1), queue: heartbeat.New[pendingReport](reportsMost, reportPatience)}
}

// add takes a report. It runs on the event loop and never waits.
func (r *reports) add(now Time, p pendingReport) {
	r.mu.Lock()
	refused, any := r.queue.Add(now, p.report.Machine, p)
	r.mu.Unlock()
	if any {
		refused.reply(failure(503, "busy"))
	}
	r.signal()
}

func (r *reports) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// next is the message to the core for the report to be answered next.
func (r *reports) next(now func() Time) (envelope, bool) {
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
	return envelope{msg: message.Reported{Report: w.Report.report}, reply: func(actions []message.Action) {
		answer := failure(503, "not entitled")
		for _, a := range actions {
			if rr, ok := a.(message.ReplyReport); ok {
				answer = reportAnswer(rr)
				if rr.Status == 200 {
					r.answered(now(), w.Machine)
				}
			}
		}
		w.Report.reply(answer)
	}}, true
}

func (r *reports) answered(now Time, m protocol.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Answered(now, m)
}
