package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// register records that the machine's session may hold tasks. Nothing is
// started on it before that is durable, so that whoever takes work over knows
// every machine that has to be asked. It holds only in the present view:
// who reads the records after a new view misses none.
func (k *Dispatcher) register(q *queue, r protocol.Heartbeat) {
	if k.awaits(q, q.registering) {
		return
	}
	q.registering, q.registrarAskedAt = true, k.Now
	var have protocol.Version
	if m := k.Records[q.id]; m != nil {
		have = m.Epoch
	}
	rec := record.Machine{Session: r.AgentEpoch, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	k.ChangeRecord(RegisterTag{q.id, r.AgentEpoch}, message.RecordChange{Machine: q.id, Have: have, To: &rec}, k.ViewUnchanged())
}

// awaits reports whether what was asked for is still to be waited for. A
// transaction of this controller's own is answered; what the registrar was
// registrarAskedAt for shows in the records, or is asked for again.
func (k *Dispatcher) awaits(q *queue, asked bool) bool {
	return asked && !(k.UsesBlocks() && k.Since(q.registrarAskedAt) > askAgain)
}

// RegistrationDone takes the outcome of a registration.
func (k *Dispatcher) RegistrationDone(tag RegisterTag, _ message.Outcome) {
	if q := k.queues[tag.machine]; q != nil {
		q.registering = false // the followed record says whether it is there
	}
}

// ExpireSilent notices which machines fall silent, and removes the records of
// those whose lease is surely over: nobody entitled has answered them for longer
// than it lasts. That holds for a worker that came back with a new session and
// fell silent before it could be registered, too: its old record would be waited
// for without end.
func (k *Dispatcher) ExpireSilent(allAdopted bool, sharesFloor protocol.Term) {
	k.allAdoptedSince = k.holdsSince(k.allAdoptedSince, k.HoldsLease() && allAdopted) // the count starts when all act by this term
	k.leaseHeldSince = k.holdsSince(k.leaseHeldSince, k.HoldsLease())
	k.noteSoleDispatcher(sharesFloor)
	lease := k.WorkerLeaseBound()
	for _, q := range k.queuesInOrder() {
		quiet := k.Since(k.answered(q))
		// Who may not answer can't tell who is silent: after an outage of the state
		// service all machines would seem to be, and their holds be given up.
		if s := k.silenceAfter(min(quiet, k.Since(k.leaseHeldSince))); k.leaseHeldSince != 0 && s != q.silence {
			q.silence = s
			k.touch(q)
		}
		if !k.Sharded() && k.allAdoptedSince == 0 || k.Sharded() && (!k.HoldsLease() || k.handingOver(q)) || quiet <= lease || k.awaits(q, q.removing) {
			continue
		}
		m := k.Records[q.id]
		if m == nil {
			continue
		}
		q.removing, q.registrarAskedAt = true, k.Now
		k.Log.Info("machine silent for longer than its lease: its tasks are gone", "machine", q.id, "silent", quiet.Round(time.Second))
		k.ChangeRecord(RemoveTag{q.id}, message.RecordChange{Machine: q.id, Have: m.Epoch, Tenure: k.ShardEpoch(q.id, q.zone)}, k.ViewUnchanged())
	}
}

// holdsSince is since when something holds without a break, given since when it did
// before; 0: it does not.
func (k *Dispatcher) holdsSince(before clock.Time, holds bool) clock.Time {
	switch {
	case !holds:
		return 0
	case before == 0:
		return k.Now
	}
	return before
}

// answered is since when nobody entitled can have answered a machine: since it
// was answered here, or, before its inventory of this term, since all act by
// this term. Until then an earlier keeper may answer it.
func (k *Dispatcher) answered(q *queue) clock.Time {
	alone, proven := k.allAdoptedSince, q.inventoried
	if k.Sharded() {
		// A worker that has seen a token of this tenure takes no answer of an
		// earlier keeper.
		s := k.shardOf(q)
		alone, proven = s.soleSince, q.tokenSeen >= s.epoch
	}
	switch {
	case proven:
		return q.lastAnswer
	case alone == 0:
		return k.Now
	}
	return max(q.lastAnswer, alone)
}

// askAgain is after how long without a change of the record the registrar is
// registrarAskedAt once more.
const askAgain = 2 * time.Second
