package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// DirectTimeout is how long a direct command may stay unanswered. If its worker sends a
// heartbeat after that, the fencing token is raised, which settles it.
const DirectTimeout = 4 * time.Second

// directSchedule lists the queues whose commands are to be sent at the end of the step.
type directSchedule struct {
	due []*queue
}

// take empties the list and returns it.
func (s *directSchedule) take() []*queue {
	due := s.due
	s.due = nil
	return due
}

// requestDirect has the queue's commands sent at the end of the step.
func (q *queue) requestDirect() {
	if !q.directRequested {
		q.directRequested = true
		q.direct.due = append(q.direct.due, q)
	}
}

// SendDirectCommands sends commands straight to workers whose queue or resources have
// changed, instead of waiting for their next heartbeat, one message at a time. A new term
// does not interrupt that: what is on the machine is known here as long as its queue is,
// and the commands themselves bring the term.
func (d *Dispatcher) SendDirectCommands() {
	if !d.HoldsLease() {
		return
	}
	for _, q := range d.direct.take() {
		if !q.directRequested || q.directInFlight || d.queues.get(q.id) != q || q.handingOver() {
			continue // the answer to commands in flight requests it again
		}
		q.directRequested = false
		if q.reachable() {
			q.sendCommands()
		}
	}
}

// reachable reports whether the worker can be sent commands.
func (q *queue) reachable() bool {
	return q.inventoryKnown && q.recordVersion != 0 && q.address != "" && q.everSeen
}

// sendCommands sends the worker the commands that are due, if there are any.
func (q *queue) sendCommands() {
	orders := q.buildOrders(0, true)
	if len(orders) == 0 {
		return
	}
	q.directInFlight = true
	q.Emit(message.Command{Machine: q.id, Address: q.address, Commands: protocol.Commands{
		Term: q.fencingToken(), AgentEpoch: q.agentEpoch, Orders: orders,
	}})
}

// CommandDone takes the answer to direct commands, or that there was none.
func (d *Dispatcher) CommandDone(m message.CommandDone) {
	q := d.queues.get(m.Machine)
	if q == nil {
		return
	}
	q.directInFlight = false
	if q.handingOver() {
		return // the next heartbeat settles it
	}
	if q.directRequested {
		q.directRequested = false
		q.requestDirect()
	}
	if q.agentEpoch != m.AgentEpoch || !m.Answered {
		return // nothing is known of these starts: see settleDirectStart
	}
	q.settleAnswered(&m)
	if q.isNewAnswer(&m.Heartbeat) {
		q.lastSeq = m.Heartbeat.Seq
		q.applyHeartbeat(&m.Heartbeat, false)
	}
	if !m.Executed {
		q.requeueRefused(m.Orders)
	}
}

// isNewAnswer reports whether the status in an answer to direct commands is of this
// machine and agent epoch, and newer than what is known.
func (q *queue) isNewAnswer(r *protocol.Heartbeat) bool {
	return q.HoldsLease() && r.Machine == q.id && r.AgentEpoch == q.agentEpoch && r.Seq > q.lastSeq && r.Term <= q.fencingToken()
}

// startedBy returns the entry of an order to start an attempt; nil for another order, or
// if the attempt is not known any more.
func (q *queue) startedBy(o protocol.Order) *entry {
	e := q.entries[o.Task]
	if o.Op != protocol.OpStart || e == nil || e.attempt != o.Attempt {
		return nil // a kill that is answered says nothing of a start sent before
	}
	return e
}

// settleAnswered notes that answered starts were executed or refused: they are not under
// way any more.
func (q *queue) settleAnswered(m *message.CommandDone) {
	for _, o := range m.Orders {
		if e := q.startedBy(o); e != nil && e.directFencingToken == m.Term {
			e.directFencingToken = 0
		}
	}
}

// requeueRefused queues refused starts again, but for those that are on the machine, or
// may be: a reply to a heartbeat that has overtaken these commands brought them, or still
// will.
func (q *queue) requeueRefused(orders []protocol.Order) {
	for _, o := range orders {
		if e := q.startedBy(o); e != nil && e.sent && !e.present && e.directFencingToken == 0 && !e.startInLastReply {
			q.requeue(e)
		}
	}
}

// settleDirectStart has the fencing token raised, of its shard or, where there are none,
// by a new term, for a direct start that had no answer and is not listed in its worker's
// heartbeat: a token that the worker has seen makes sure that the start is not executed
// from then on. While the worker is silent no token settles anything, and most that stay
// silent are lost.
func (q *queue) settleDirectStart(e *entry) {
	if q.directInFlight || e.directFencingToken != q.fencingToken() {
		return
	}
	q.Log.Info("a direct start had no answer: raising its token", "machine", q.id, "task", e.task, "token", e.directFencingToken)
	if q.Sharded() {
		q.shards.requestRaise(q.shard(), e.directFencingToken)
	} else {
		q.newTermNeeded = true
	}
}
