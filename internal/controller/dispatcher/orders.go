package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// forgetTimeout is how long, without shards, the order to forget an ended attempt waits for the
// term to rise for another reason while a direct start of the attempt may still be delivered.
const forgetTimeout = 15 * time.Second

// orderBuilder collects the orders of one heartbeat reply or of one message of direct
// commands.
type orderBuilder struct {
	*queue
	// direct is set for direct commands and not set for a heartbeat reply.
	direct bool
	// token is the fencing token that the orders go out with.
	token  protocol.Term
	orders []protocol.Order
}

// buildOrders builds the orders of a heartbeat reply or of direct commands: first the
// orders to forget attempts, which free resources and task ids, then the orders to stop
// attempts, then starts in order of service while they fit. Each start is marked with the
// path by which it is sent, because each path is settled by different evidence.
func (q *queue) buildOrders(direct bool) []protocol.Order {
	b := orderBuilder{queue: q, direct: direct, token: q.fencingToken(), orders: []protocol.Order{}}
	for _, e := range ordered.TasksWhere(q.entries, b.needsOrder) {
		b.addOrder(e)
	}
	slices.SortStableFunc(b.orders, func(x, y protocol.Order) int {
		return cmp.Compare(orderRank(x.Op), orderRank(y.Op))
	})
	for _, e := range q.takeStartable() {
		e.sent = true
		b.addStart(e)
	}
	return b.orders
}

// needsOrder reports whether an attempt that was sent may need an order: the worker lists
// it and it has ended, is to be killed or belongs to no live job, or it was started directly and
// the worker has not listed it.
func (b *orderBuilder) needsOrder(_ protocol.TaskID, e *entry) bool {
	if !e.present {
		return e.directFencingToken != 0
	}
	return e.ended() || e.kill || b.Live[e.task.Job] == nil
}

// addOrder adds the order that an attempt needs now, if any: to start it again if it is not
// present and mayResend allows it, to forget it if it has ended and its owner has processed
// that or the job is not live, or to stop it if it is to be killed or the job is not live.
func (b *orderBuilder) addOrder(e *entry) {
	jobLive := b.Live[e.task.Job] != nil
	switch {
	case !e.present:
		if b.mayResend(e) {
			b.addStart(e)
		}
	case e.ended() && (e.forget || !jobLive):
		b.addForget(e)
	case !e.ended() && (e.kill || !jobLive):
		grace := e.graceSeconds
		if !jobLive {
			grace = 0
		}
		b.orders = append(b.orders, protocol.Order{Op: protocol.OpStop, Task: e.task, Attempt: e.attempt, GraceS: &grace})
	}
}

// mayResend reports whether a direct start may be sent a second time. It may be sent directly
// again only with a later token: the worker refuses the first one once it has seen that, so at
// most one of the two can still be executed. What must not start on the machine any more is
// not sent again: a later token fences the first start.
func (b *orderBuilder) mayResend(e *entry) bool {
	if !e.sent || e.directFencingToken == 0 || e.kill {
		return false
	}
	if !b.MayStart(e.task.Job) || b.isOutdated(e) || b.inCordonedPlace() {
		return false
	}
	if task := b.reservationTask(e, b.Live[e.task.Job]); b.windowForbids(&task) {
		return false
	}
	return !b.direct || b.token > e.directFencingToken
}

// addStart adds an order to start an attempt, and records whether it goes out as a direct
// start or in a heartbeat reply.
func (b *orderBuilder) addStart(e *entry) {
	e.startResent = e.directFencingToken != 0
	if b.direct {
		e.directFencingToken = b.token
		b.statistics.directStarts++
	} else {
		e.startInLastReply = true
		b.statistics.replyStarts++
	}
	b.orders = append(b.orders, protocol.Order{Op: protocol.OpStart, Task: e.task, Attempt: e.attempt})
	b.Log.Debug("start", "machine", b.id, "task", e.task, "attempt", e.attempt, "direct", b.direct, "token", b.token, "agent_epoch", b.agentEpoch)
}

// addForget adds an order to forget an ended attempt. Afterwards the worker has no record
// of the attempt, so a start that can still be delivered would run it again: one in a reply, or
// a copy of a direct one. The order is therefore delayed until no start is in a reply, and
// goes out only with a later token than that of the direct start, which fences the start.
func (b *orderBuilder) addForget(e *entry) {
	switch {
	case e.mayArrive(b.token):
		b.awaitTermForForget(e)
	case !e.startInLastReply:
		b.statistics.forgets++
		b.orders = append(b.orders, protocol.Order{Op: protocol.OpForget, Task: e.task, Attempt: e.attempt})
		b.Log.Debug("forget", "machine", b.id, "task", e.task, "attempt", e.attempt, "direct", b.direct, "token", b.token, "start_token", e.directFencingToken)
	}
}

// awaitTermForForget requests a new term for an attempt that could not be forgotten for
// forgetTimeout. With shards, a later token is issued without one: see issueTokenIfNeeded.
func (b *orderBuilder) awaitTermForForget(e *entry) {
	switch {
	case b.direct || b.Sharded():
	case e.forgetSince == 0:
		e.forgetSince = b.Now
	case b.Since(e.forgetSince) > forgetTimeout:
		// Until the term rises, the retained attempt would keep its machine from being
		// terminated, whether the machine is drained or not.
		e.forgetSince = b.Now
		b.requestNewTerm(e)
	}
}

// orderRank sorts the orders to forget attempts before all other orders.
func orderRank(op protocol.Op) int {
	if op == protocol.OpForget {
		return 0
	}
	return 1
}

// startDecision says what happens to a waiting attempt when its machine may start attempts.
type startDecision uint8

const (
	decisionStart   startDecision = iota
	decisionSkip                  // keep it waiting; attempts behind it may start
	decisionRelease               // release it to its owner
	decisionEnd                   // keep it and all attempts behind it waiting
)

// takeStartable removes the attempts to start from the waiting ones and returns them, in
// order of service: those that fit the free resources and that decideStart allows. It
// returns none if the machine is not registered or must not start any.
func (q *queue) takeStartable() []*entry {
	if q.recordVersion == 0 || q.refusesStarts() || len(q.waiting) == 0 || q.inCordonedPlace() {
		return nil
	}
	var starts []*entry
	free := q.free()
	q.sortWaiting()
	skipped := false // an attempt that can't start now has been skipped
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

// decideStart decides whether one waiting attempt starts, given the free resources of the
// machine. An attempt that does not fit keeps all behind it waiting (decisionEnd) if no
// resources of the machine are held for reservations. It is skipped if some are, or if it
// may start only after others on the machine have ended. Once an attempt has been skipped,
// only jobs for which resources are reserved on the machine start. An attempt that is
// outdated, or fits but must not start here, is released.
func (q *queue) decideStart(e *entry, free resource.Amount, skipped bool) startDecision {
	if !q.MayStart(e.task.Job) {
		return decisionEnd // the record of the job or of its end has not arrived yet
	}
	if q.isOutdated(e) {
		return decisionRelease
	}
	job := q.Live[e.task.Job]
	e.need = resource.Need(&job.Job)
	verdict, reserved := q.checkReservations(e, job, free)
	if !free.Covers(e.need) || verdict == startAfterOthers || skipped && !reserved {
		if len(q.Reservations.Holds[q.id]) == 0 && verdict != startAfterOthers {
			return decisionEnd // first come, first served: the attempts behind it wait too
		}
		return decisionSkip
	}
	if verdict == startElsewhere {
		return decisionRelease
	}
	return decisionStart
}

// removeWaiting removes the waiting attempt at an index, which is about to be started.
func (q *queue) removeWaiting(i int) {
	if i == 0 {
		q.waiting = q.waiting[1:] // the common case: avoids moving the elements of a long queue
	} else {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.idleSince = q.Now
	q.markChanged()
}
