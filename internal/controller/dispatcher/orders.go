package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// forgetTimeout is how long an attempt that has ended, and of which a direct start may be
// under way, waits for its shard's token to rise for another reason.
const forgetTimeout = 15 * time.Second

// orderBuilder collects the orders of one reply to a heartbeat, or of one message of
// direct commands.
type orderBuilder struct {
	*queue
	// fencingTokenSeen is the token that the worker's heartbeat says to have seen; 0 for direct
	// commands.
	fencingTokenSeen protocol.Term
	direct           bool
	orders           []protocol.Order
}

// buildOrders fills a reply to a heartbeat, or direct commands: first the attempts to
// forget, so that resources and task ids are free, then those to stop, then starts in
// order of service while they fit. Each start is noted by the way it goes, since each way
// is settled by other evidence.
func (q *queue) buildOrders(fencingTokenSeen protocol.Term, direct bool) []protocol.Order {
	b := orderBuilder{queue: q, fencingTokenSeen: fencingTokenSeen, direct: direct, orders: []protocol.Order{}}
	for _, e := range ordered.TasksWhere(q.entries, b.needsOrder) {
		b.addOrder(e)
	}
	slices.SortStableFunc(b.orders, func(x, y protocol.Order) int {
		return cmp.Compare(orderRank(x.Op), orderRank(y.Op))
	})
	for _, e := range q.takeStartable() {
		e.sent = true
		b.start(e)
		q.Log.Debug("start", "machine", q.id, "task", e.task, "attempt", e.attempt)
	}
	return b.orders
}

// needsOrder picks the attempts that may need an order, of those that have been sent.
func (b *orderBuilder) needsOrder(_ protocol.TaskID, e *entry) bool {
	return e.present && (e.ended() || e.kill || b.Live[e.task.Job] == nil) || e.directFencingToken != 0
}

func (b *orderBuilder) addOrder(e *entry) {
	live := b.Live[e.task.Job] != nil
	switch {
	case !e.present:
		if b.mayResend(e) {
			b.start(e)
		}
	case e.ended() && (e.forget || !live):
		b.forget(e)
	case !e.ended() && (e.kill || !live):
		grace := e.graceSeconds
		if !live {
			grace = 0
		}
		b.orders = append(b.orders, protocol.Order{Op: protocol.OpStop, Task: e.task, Attempt: e.attempt, GraceS: &grace})
	}
}

// mayResend reports whether an unanswered direct start may be sent a second time:
// directly only with a later token. With the same one, the answer to the second would
// settle it while the first may be executed still; noted with the first one's, it would
// be taken for settled by a worker that has seen the second's from elsewhere.
func (b *orderBuilder) mayResend(e *entry) bool {
	if !e.sent || e.directFencingToken == 0 || e.kill {
		return false
	}
	if !b.MayStart(e.task.Job) || b.outdated(e) {
		return false
	}
	return !b.direct || b.fencingToken() > e.directFencingToken
}

// start adds the start of an attempt.
func (b *orderBuilder) start(e *entry) {
	e.startResent = e.directFencingToken != 0
	if b.direct {
		e.directFencingToken = b.fencingToken()
	} else {
		e.startInLastReply = true
	}
	b.orders = append(b.orders, protocol.Order{Op: protocol.OpStart, Task: e.task, Attempt: e.attempt})
}

// forget has the worker forget an attempt that has ended. After that the worker no longer
// knows the attempt: a start that is still under way, directly or in a reply, would run
// it again.
func (b *orderBuilder) forget(e *entry) {
	underWay := e.directFencingToken != 0 && b.fencingTokenSeen <= e.directFencingToken
	switch {
	case !underWay && !e.startInLastReply:
		b.orders = append(b.orders, protocol.Order{Op: protocol.OpForget, Task: e.task, Attempt: e.attempt})
	case !underWay || b.direct:
	case e.forgetSince == 0:
		e.forgetSince = b.Now
	case b.Since(e.forgetSince) > forgetTimeout:
		// No token rose for another reason. Retained, the attempt would keep its machine
		// from being terminated, drained or not, for as long as none does.
		e.forgetSince = b.Now
		b.settleDirectStart(e)
	}
}

// orderRank puts the attempts to forget before all other orders.
func orderRank(op protocol.Op) int {
	if op == protocol.OpForget {
		return 0
	}
	return 1
}

// startDecision is what happens to an attempt that waits when its machine may start some.
type startDecision uint8

const (
	decisionStart   startDecision = iota
	decisionSkip                  // it waits on; what is behind it may start
	decisionRelease               // it goes back to its owner
	decisionEnd                   // it waits on, and all behind it
)

// takeStartable takes those attempts from the queue that fit the free resources.
func (q *queue) takeStartable() []*entry {
	if q.recordVersion == 0 || q.refusesStarts() || len(q.waiting) == 0 || q.closed() {
		return nil
	}
	var starts []*entry
	free := q.free()
	q.sortWaiting()
	skipped := false // one that does not fit has been passed over
	for i := 0; i < len(q.waiting); {
		e := q.waiting[i]
		switch q.decideStart(e, free, skipped) {
		case decisionEnd:
			return starts
		case decisionSkip:
			skipped = true
			i++
		case decisionRelease:
			q.release(e)
		case decisionStart:
			free = free.Minus(e.need)
			q.removeWaiting(i)
			starts = append(starts, e)
		}
	}
	return starts
}

// decideStart decides on one attempt that waits, given what is free. Once one has been
// passed over, only jobs for which resources are reserved here start.
func (q *queue) decideStart(e *entry, free resource.Amount, skipped bool) startDecision {
	if !q.MayStart(e.task.Job) {
		return decisionEnd // its record has not arrived yet, or that of its end
	}
	if q.outdated(e) {
		return decisionRelease
	}
	job := q.Live[e.task.Job]
	e.need = resource.Need(&job.Job)
	verdict, reserved := q.checkReservations(e, job, free)
	if !free.Covers(e.need) || verdict == startAfterOthers || skipped && !reserved {
		if len(q.Reservations.Holds[q.id]) == 0 && verdict != startAfterOthers {
			return decisionEnd // first come, first served: what is behind waits too
		}
		return decisionSkip
	}
	if verdict == startElsewhere {
		return decisionRelease
	}
	return decisionStart
}

// removeWaiting takes the attempt at an index out of those that wait, to be started.
func (q *queue) removeWaiting(i int) {
	if i == 0 {
		q.waiting = q.waiting[1:] // as a rule; the queue may be long
	} else {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.idleSince = q.Now
	q.touch()
}
