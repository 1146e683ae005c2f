package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// intervalMargin is by how much a healthy worker's heartbeat interval may be exceeded.
const intervalMargin = 1.25

// ExpireSilent notices which machines fall silent, and removes the records of those whose
// lease has surely expired: no controller that may answer them has done so for longer
// than it lasts. That includes a worker that came back with a new agent epoch and fell
// silent before it could be registered: its old record would be waited for without end.
func (d *Dispatcher) ExpireSilent(allAdopted bool, shardsFloor protocol.Term) {
	holdsLease := d.HoldsLease()
	d.allAdoptedSince = continuousSince(d.allAdoptedSince, d.Now, holdsLease && allAdopted)
	d.leaseHeldSince = continuousSince(d.leaseHeldSince, d.Now, holdsLease)
	d.shards.noteExclusive(shardsFloor)
	lease := d.WorkerLeaseBound()
	for _, q := range d.queues.inOrder() {
		quiet := d.Since(d.lastPossibleAnswer(q))
		d.updateSilence(q, quiet)
		if !d.mayExpire(q) || quiet <= lease || q.pending(q.requests.removing) {
			continue
		}
		m := d.Records[q.id]
		if m == nil {
			continue
		}
		d.Log.Info("machine silent for longer than its lease: its tasks are gone", "machine", q.id, "silent", quiet.Round(time.Second))
		q.removeRecord(m.Epoch)
	}
}

// updateSilence publishes how long a machine has been quiet. A controller that could not
// answer can't tell who is silent: after an outage of the state service all machines
// would seem to be, and their reservations be given up.
func (d *Dispatcher) updateSilence(q *queue, quiet time.Duration) {
	if d.leaseHeldSince == 0 {
		return
	}
	silence := silenceAfter(min(quiet, d.Since(d.leaseHeldSince)), d.Settings.Site.Workers.ReportS)
	if silence != q.silence {
		q.silence = silence
		q.touch()
	}
}

// mayExpire reports whether this controller may conclude that a machine's lease expired.
func (d *Dispatcher) mayExpire(q *queue) bool {
	if d.Sharded() {
		return d.HoldsLease() && !q.handingOver()
	}
	return d.allAdoptedSince != 0
}

// lastPossibleAnswer is the last time at which any controller can have answered a machine:
// when it was answered here, or, before its inventory of this term, since when all members
// have adopted this term. Until then an earlier dispatcher may answer it.
func (d *Dispatcher) lastPossibleAnswer(q *queue) clock.Time {
	exclusiveSince, proven := d.allAdoptedSince, q.inventorySent
	if d.Sharded() {
		// A worker that has seen a token of this shard epoch takes no answer of an
		// earlier dispatcher.
		shard := q.shard()
		exclusiveSince, proven = shard.exclusiveSince, q.fencingTokenSeen >= shard.epoch
	}
	switch {
	case proven:
		return q.lastAnswer
	case exclusiveSince == 0:
		return d.Now
	}
	return max(q.lastAnswer, exclusiveSince)
}

// continuousSince is since when something holds without a break, given since when it did
// before; 0: it does not.
func continuousSince(before, now clock.Time, holds bool) clock.Time {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

// maxHealthyQuiet is the longest that a healthy worker stays quiet.
func maxHealthyQuiet(intervalSeconds float64) time.Duration {
	return time.Duration(intervalMargin*intervalSeconds*float64(time.Second)) + time.Second
}

// silenceAfter is how long a quiet time is, against the interval of heartbeats.
func silenceAfter(quiet time.Duration, intervalSeconds float64) message.Silence {
	switch healthy := maxHealthyQuiet(intervalSeconds); {
	case quiet > 2*healthy:
		return message.SilenceLong
	case quiet > healthy:
		return message.SilenceSome
	}
	return message.SilenceNone
}
