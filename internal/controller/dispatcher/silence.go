package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// intervalMargin is the factor by which a healthy worker may exceed its heartbeat interval.
const intervalMargin = 1.25

// ExpireSilentMachines publishes how long machines have been silent, and requests the
// removal of the records of those whose lease has certainly expired: no controller that may
// answer them has done so for longer than the lease lasts. This includes a worker that
// restarted with a new agent epoch and became silent before it was registered: otherwise
// other controllers would wait for its old record forever. The arguments say whether all
// members have adopted the current term, and up to which shard epoch they have applied the
// shard table.
func (d *Dispatcher) ExpireSilentMachines(allAdopted bool, adoptedShardEpoch protocol.Term) {
	holdsLease := d.HoldsLease()
	d.allAdoptedSince = continuousSince(d.allAdoptedSince, d.Now, holdsLease && allAdopted)
	d.leaseHeldSince = continuousSince(d.leaseHeldSince, d.Now, holdsLease)
	d.shards.recordExclusive(adoptedShardEpoch)
	lease := d.WorkerLeaseBound()
	for _, q := range d.queues.inOrder() {
		silentFor := d.Since(d.lastPossibleAnswer(q))
		d.updateSilence(q, silentFor)
		if !d.mayExpire(q) || silentFor <= lease || q.awaitsOutcome(q.requests.removing) {
			continue
		}
		m := d.Records[q.id]
		if m == nil {
			continue
		}
		d.Log.Info("machine silent for longer than its lease: its tasks are lost", "machine", q.id, "silent", silentFor.Round(time.Second))
		q.removeRecord(m.Epoch)
	}
}

// updateSilence publishes how long a machine has been silent. Only the time during which
// this controller has continuously held its lease counts: a controller that could not
// answer can't determine which machines are silent. After an outage of the key-value store
// all machines would seem silent, and their reservations would be released.
func (d *Dispatcher) updateSilence(q *queue, silentFor time.Duration) {
	if d.leaseHeldSince == 0 {
		return
	}
	silence := classifySilence(min(silentFor, d.Since(d.leaseHeldSince)), d.Settings.Site.Workers.ReportS)
	if silence != q.silence {
		q.silence = silence
		q.markChanged()
	}
}

// mayExpire reports whether this controller may conclude that a machine's lease expired:
// with shards, if it holds its own lease and does not hand the machine's shard over;
// without, if all members have adopted its term as well.
func (d *Dispatcher) mayExpire(q *queue) bool {
	if d.Sharded() {
		return d.HoldsLease() && !q.handingOver()
	}
	return d.allAdoptedSince != 0
}

// lastPossibleAnswer returns the latest time at which any controller can have answered a
// machine. Once the machine's inventory of this term was sent, that is the last answer of
// this controller. Before that, an earlier dispatcher may have answered the machine until
// all members had adopted this term or, with shards, the record that assigned the shard
// here.
func (d *Dispatcher) lastPossibleAnswer(q *queue) clock.Time {
	exclusiveSince, answersExclusive := d.allAdoptedSince, q.inventorySent
	if d.Sharded() {
		// A worker that has seen a token of this shard epoch rejects answers of earlier
		// dispatchers.
		shard := q.shard()
		exclusiveSince, answersExclusive = shard.exclusiveSince, q.fencingTokenSeen >= shard.epoch
	}
	switch {
	case answersExclusive:
		return q.lastAnswer
	case exclusiveSince == 0:
		return d.Now
	}
	return max(q.lastAnswer, exclusiveSince)
}

// continuousSince returns the time since which a condition has held without a break, given
// the previous such time; 0 if the condition does not hold.
func continuousSince(before, now clock.Time, holds bool) clock.Time {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

// maxHealthySilence returns the longest time between two heartbeats of a healthy worker:
// the interval in seconds times intervalMargin, plus one second.
func maxHealthySilence(heartbeatSeconds float64) time.Duration {
	return time.Duration(intervalMargin*heartbeatSeconds*float64(time.Second)) + time.Second
}

// classifySilence returns the degree of a silence: none up to maxHealthySilence of the
// heartbeat interval in seconds, some up to twice that, and long beyond it.
func classifySilence(silentFor time.Duration, heartbeatSeconds float64) message.Silence {
	switch maxHealthy := maxHealthySilence(heartbeatSeconds); {
	case silentFor > 2*maxHealthy:
		return message.SilenceLong
	case silentFor > maxHealthy:
		return message.SilenceSome
	}
	return message.SilenceNone
}
