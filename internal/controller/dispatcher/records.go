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
func (k *Keeper) register(q *queue, r protocol.Report) {
	if k.awaits(q, q.registering) {
		return
	}
	q.registering, q.asked = true, k.Now
	var have protocol.Version
	if m := k.Records[q.id]; m != nil {
		have = m.Epoch
	}
	rec := record.Machine{Session: r.Session, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	k.ChangeRecord(RegisterTag{q.id, r.Session}, message.RecordChange{Machine: q.id, Have: have, To: &rec}, k.InThisView())
}

// awaits reports whether what was asked for is still to be waited for. A
// transaction of this controller's own is answered; what the registrar was
// asked for shows in the records, or is asked for again.
func (k *Keeper) awaits(q *queue, asked bool) bool {
	return asked && !(k.InBlocks() && k.Since(q.asked) > askAgain)
}

// RegistrationDone takes the outcome of a registration.
func (k *Keeper) RegistrationDone(tag RegisterTag, _ message.Outcome) {
	if q := k.queues[tag.machine]; q != nil {
		q.registering = false // the followed record says whether it is there
	}
}

// ExpireSilent notices which machines fall silent, and removes the records of
// those whose lease is surely over: nobody entitled has answered them for longer
// than it lasts. That holds for a worker that came back with a new session and
// fell silent before it could be registered, too: its old record would be waited
// for without end.
func (k *Keeper) ExpireSilent(allAdopted bool, sharesFloor protocol.Term) {
	k.allSince = k.holdsSince(k.allSince, k.Acting() && allAdopted) // the count starts when all act by this term
	k.actsSince = k.holdsSince(k.actsSince, k.Acting())
	k.noteAlone(sharesFloor)
	lease := k.LeaseOver()
	for _, q := range k.queuesInOrder() {
		quiet := k.Since(k.answered(q))
		// Who may not answer can't tell who is silent: after an outage of the state
		// service all machines would seem to be, and their holds be given up.
		if s := k.silenceAfter(min(quiet, k.Since(k.actsSince))); k.actsSince != 0 && s != q.silence {
			q.silence = s
			k.touch(q)
		}
		if !k.Sharing() && k.allSince == 0 || k.Sharing() && (!k.Acting() || k.frozen(q)) || quiet <= lease || k.awaits(q, q.removing) {
			continue
		}
		m := k.Records[q.id]
		if m == nil {
			continue
		}
		q.removing, q.asked = true, k.Now
		k.Log.Info("machine silent for longer than its lease: its tasks are gone", "machine", q.id, "silent", quiet.Round(time.Second))
		k.ChangeRecord(RemoveTag{q.id}, message.RecordChange{Machine: q.id, Have: m.Epoch, Tenure: k.Tenure(q.id, q.zone)}, k.InThisView())
	}
}

// holdsSince is since when something holds without a break, given since when it did
// before; 0: it does not.
func (k *Keeper) holdsSince(before clock.Time, holds bool) clock.Time {
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
func (k *Keeper) answered(q *queue) clock.Time {
	alone, proven := k.allSince, q.inventoried
	if k.Sharing() {
		// A worker that has seen a token of this tenure takes no answer of an
		// earlier keeper.
		s := k.shareOf(q)
		alone, proven = s.alone, q.seen >= s.tenure
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
// asked once more.
const askAgain = 2 * time.Second
