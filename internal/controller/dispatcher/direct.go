package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// DirectTimeout is how long a direct command may stay unanswered. If its worker
// is heard after that, the term is raised, which settles it.
const DirectTimeout = 4 * time.Second

// wake has a queue's commands sent at once, at the end of the step.
func (k *Keeper) wake(q *queue) {
	if !q.push {
		q.push = true
		k.pushing = append(k.pushing, q)
	}
}

// Push sends commands straight to workers whose queue or room has changed,
// instead of waiting for their next report, one message at a time. A new term
// does not interrupt that: what is on the machine is known here as long as its
// queue is, and the commands themselves bring the term.
func (k *Keeper) Push() {
	if !k.Acting() {
		return
	}
	woken := k.pushing
	k.pushing = nil
	for _, q := range woken {
		if !q.push || q.commanding || k.queues[q.id] != q || k.frozen(q) {
			continue // one with a command under way is woken by its answer
		}
		q.push = false
		if !q.known || q.epoch == 0 || q.addr == "" || !q.everSeen {
			continue
		}
		orders := k.orders(q, 0, true)
		if len(orders) == 0 {
			continue
		}
		q.commanding = true
		k.Do(message.Command{Machine: q.id, Address: q.addr, Commands: protocol.Commands{
			Term: k.token(q), Session: q.session, Orders: orders,
		}})
	}
}

// Commanded takes the answer to direct commands, or that there was none.
func (k *Keeper) Commanded(m message.Commanded) {
	q := k.queues[m.Machine]
	if q == nil {
		return
	}
	q.commanding = false
	if k.frozen(q) {
		return // the next report tells
	}
	if q.push {
		q.push = false
		k.wake(q)
	}
	if q.session != m.Session {
		return
	}
	if !m.Answered {
		return // nothing is known of these starts: settleDirect sees to them
	}
	for _, o := range m.Orders {
		// A kill that is answered says nothing of a start sent before.
		if e := q.entries[o.Task]; o.Op == protocol.OpStart && e != nil && e.attempt == o.Attempt && e.direct == m.Term {
			e.direct = 0 // executed or refused, not under way any more
		}
	}
	if r := m.Report; k.Acting() && r.Machine == q.id && r.Session == q.session && r.Seq > q.seq && r.Term <= k.token(q) {
		q.seq = r.Seq
		k.takeReport(q, &r, false)
	}
	if m.Executed {
		return
	}
	for _, o := range m.Orders {
		// Refused, so it goes back, unless it is there, or may be: an answer to a
		// report that has overtaken these commands brought it, or still will.
		e := q.entries[o.Task]
		if o.Op == protocol.OpStart && e != nil && e.attempt == o.Attempt && e.sent && !e.present && e.direct == 0 && !e.inAnswer {
			k.putBack(q, e)
		}
	}
}

// settleDirect has the token raised, of its share or, where there are none, by a
// new term, for a direct start that had no answer and
// is not in its worker's report: a term that the worker has seen makes sure
// that it is not executed from then on. While the worker is silent no term
// settles anything, and most that stay silent are gone.
func (k *Keeper) settleDirect(q *queue, e *entry) {
	if q.commanding || e.direct != k.token(q) {
		return
	}
	k.Log.Info("a direct start had no answer: raising its token", "machine", q.id, "task", e.task, "token", e.direct)
	if k.Sharing() {
		k.shareOf(q).raise, k.asking = e.direct, true
	} else {
		k.needsTerm = true
	}
}
