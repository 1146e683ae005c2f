package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// buildOrders fills an answer to a report, or direct commands: reaps first, so that room and
// task ids are free, then kills, then starts in order of service while they fit. Each
// start is noted by the way it goes, since each way is settled by other evidence.
func (k *Dispatcher) buildOrders(q *queue, term protocol.Term, direct bool) []protocol.Order {
	orders := []protocol.Order{}
	start := func(e *entry) {
		e.startResent = e.directToken != 0
		if direct {
			e.directToken = k.fencingToken(q)
		} else {
			e.startInLastReply = true
		}
		orders = append(orders, protocol.Order{Op: protocol.OpStart, Task: e.task, Attempt: e.attempt})
	}
	told := func(_ protocol.TaskID, e *entry) bool {
		return e.present && (e.ended() || e.kill || k.Live[e.task.Job] == nil) || e.directToken != 0
	}
	for _, e := range ordered.TasksWhere(q.entries, told) {
		live := k.Live[e.task.Job] != nil
		switch {
		case !e.present:
			// Directly once more only with a later token. With the same one, the
			// answer to the second would settle it while the first may be executed
			// still; noted with the first one's, it would be taken for settled by a
			// worker that has seen the second's from elsewhere.
			if e.sent && e.directToken != 0 && k.MayStart(e.task.Job) && !k.outdated(e) && !e.kill && (!direct || k.fencingToken(q) > e.directToken) {
				start(e)
			}
		case e.ended() && (e.reap || !live):
			// After a reap the worker no longer knows the attempt: a start that is
			// still under way, directly or in an answer, would run it again.
			switch underWay := e.directToken != 0 && term <= e.directToken; {
			case !underWay && !e.startInLastReply:
				orders = append(orders, protocol.Order{Op: protocol.OpForget, Task: e.task, Attempt: e.attempt})
			case !underWay || direct:
			case e.reapSince == 0:
				e.reapSince = k.Now
			case k.Since(e.reapSince) > reapWait:
				// No token rose for something else. Kept on, the attempt would keep its
				// machine from being returned, drained or not, for as long as none does.
				e.reapSince = k.Now
				k.settleDirect(q, e)
			}
		case !e.ended() && (e.kill || !live):
			grace := e.graceS
			if !live {
				grace = 0
			}
			orders = append(orders, protocol.Order{Op: protocol.OpStop, Task: e.task, Attempt: e.attempt, GraceS: &grace})
		}
	}
	slices.SortStableFunc(orders, func(a, b protocol.Order) int {
		return cmp.Compare(orderRank(a.Op), orderRank(b.Op))
	})
	for _, e := range k.startable(q) {
		e.sent = true
		start(e)
		k.Log.Debug("start", "machine", q.id, "task", e.task, "attempt", e.attempt)
	}
	return orders
}

// reapWait is how long an attempt that has ended, and of which a direct start may be
// under way, waits for its share's token to rise for something else.
const reapWait = 15 * time.Second

// startable takes from the queue what fits the free room.
func (k *Dispatcher) startable(q *queue) []*entry {
	if q.recordVersion == 0 || q.draining || q.noticeSeconds != nil || q.quarantined || len(q.waiting) == 0 || k.closed(q) {
		return nil
	}
	var out []*entry
	free := q.free()
	k.sortWaiting(q)
	held := false // the first that does not fit has been passed
	for i := 0; i < len(q.waiting); {
		e := q.waiting[i]
		j := k.Live[e.task.Job]
		if !k.MayStart(e.task.Job) {
			break // its record has not arrived yet, or that of its end
		}
		if k.outdated(e) {
			k.dropWaiting(q, e)
			k.notifyOwner(q, e, message.EventReleased)
			continue
		}
		e.need = resource.Need(&j.Job)
		later, reserved := k.mayStartOn(q, e, j, free)
		if !free.Covers(e.need) || later == startSoon || held && !reserved {
			if len(k.Reservations.Holds[q.id]) == 0 && later != startSoon {
				break // first come, first served: what is behind waits too
			}
			held = true // but for what room is held here for
			i++
			continue
		}
		if later == startElsewhere {
			k.dropWaiting(q, e)
			k.notifyOwner(q, e, message.EventReleased)
			continue
		}
		free = free.Minus(e.need)
		if i == 0 {
			q.waiting = q.waiting[1:] // as a rule; the queue may be long
		} else {
			q.waiting = slices.Delete(q.waiting, i, i+1)
		}
		q.idleSince = k.Now
		k.touch(q)
		out = append(out, e)
	}
	return out
}

func orderRank(op protocol.Op) int {
	if op == protocol.OpForget {
		return 0
	}
	return 1
}

// sortWaiting keeps the higher level first, then what is due first, then the
// lastArrival of arrival.
func (k *Dispatcher) sortWaiting(q *queue) {
	if q.sorted {
		return
	}
	q.sorted = true
	for _, e := range q.waiting {
		if l := k.Live[e.task.Job]; l != nil {
			e.deadline = l.Deadline
		} else {
			q.sorted = false // its record has not arrived yet
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
	})
}
