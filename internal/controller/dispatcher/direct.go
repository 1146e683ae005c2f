package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// DirectTimeout is how long a direct command may stay unanswered. If its worker
// is heard after that, the term is raised, which settles it.
const DirectTimeout = 4 * time.Second

// requestDirect has a queue's commands sent at once, at the end of the step.
func (k *Dispatcher) requestDirect(q *queue) {
	if !q.directRequested {
		q.directRequested = true
		k.directDue = append(k.directDue, q)
	}
}

// SendDirectCommands sends commands straight to workers whose queue or room has changed,
// instead of waiting for their next report, one message at a time. A new term
// does not interrupt that: what is on the machine is known here as long as its
// queue is, and the commands themselves bring the term.
func (k *Dispatcher) SendDirectCommands() {
	if !k.HoldsLease() {
		return
	}
	woken := k.directDue
	k.directDue = nil
	for _, q := range woken {
		if !q.directRequested || q.directInFlight || k.queues[q.id] != q || k.handingOver(q) {
			continue // one with a command under way is woken by its answer
		}
		q.directRequested = false
		if !q.inventoryKnown || q.recordVersion == 0 || q.addr == "" || !q.everSeen {
			continue
		}
		orders := k.buildOrders(q, 0, true)
		if len(orders) == 0 {
			continue
		}
		q.directInFlight = true
		k.Emit(message.Command{Machine: q.id, Address: q.addr, Commands: protocol.Commands{
			Term: k.fencingToken(q), AgentEpoch: q.agentEpoch, Orders: orders,
		}})
	}
}

// CommandDone takes the answer to direct commands, or that there was none.
func (k *Dispatcher) CommandDone(m message.CommandDone) {
	q := k.queues[m.Machine]
	if q == nil {
		return
	}
	q.directInFlight = false
	if k.handingOver(q) {
		return // the next report tells
	}
	if q.directRequested {
		q.directRequested = false
		k.requestDirect(q)
	}
	if q.agentEpoch != m.AgentEpoch {
		return
	}
	if !m.Answered {
		return // nothing is known of these starts: settleDirect sees to them
	}
	for _, o := range m.Orders {
		// A kill that is answered says nothing of a start sent before.
		if e := q.entries[o.Task]; o.Op == protocol.OpStart && e != nil && e.attempt == o.Attempt && e.directToken == m.Term {
			e.directToken = 0 // executed or refused, not under way any more
		}
	}
	if r := m.Heartbeat; k.HoldsLease() && r.Machine == q.id && r.AgentEpoch == q.agentEpoch && r.Seq > q.lastSeq && r.Term <= k.fencingToken(q) {
		q.lastSeq = r.Seq
		k.applyHeartbeat(q, &r, false)
	}
	if m.Executed {
		return
	}
	for _, o := range m.Orders {
		// Refused, so it goes back, unless it is there, or may be: an answer to a
		// heartbeat that has overtaken these commands brought it, or still will.
		e := q.entries[o.Task]
		if o.Op == protocol.OpStart && e != nil && e.attempt == o.Attempt && e.sent && !e.present && e.directToken == 0 && !e.startInLastReply {
			k.requeue(q, e)
		}
	}
}

// settleDirect has the token raised, of its share or, where there are none, by a
// new term, for a direct start that had no answer and
// is not in its worker's report: a term that the worker has seen makes sure
// that it is not executed from then on. While the worker is silent no term
// settles anything, and most that stay silent are gone.
func (k *Dispatcher) settleDirect(q *queue, e *entry) {
	if q.directInFlight || e.directToken != k.fencingToken(q) {
		return
	}
	k.Log.Info("a direct start had no answer: raising its token", "machine", q.id, "task", e.task, "token", e.directToken)
	if k.Sharded() {
		k.shardOf(q).raiseAbove, k.shardChangeDue = e.directToken, true
	} else {
		k.newTermNeeded = true
	}
}
