package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// incomingTimeout is how long a complete incoming handover is kept until the records
	// assign its shard to this controller.
	incomingTimeout = 10 * time.Second
	// firstInventoryDelay delays the first inventory of an acquired shard. Placements that
	// the previous dispatcher refuses in the meantime are then known to their owners as
	// never sent, rather than as missing.
	firstInventoryDelay = 300 * time.Millisecond
)

// incomingHandover collects the pieces of a shard that another controller hands over, until
// the records assign the shard to this controller.
type incomingHandover struct {
	epoch         protocol.Term // epoch of the shard when it was handed over
	receivedAt    clock.Time    // when the latest piece arrived
	pieces        []*message.Handover
	missingPieces int // number of pieces that have not arrived
}

// ReceiveHandover stores one piece of a shard that another controller hands over, until the
// records assign the shard to this controller. A piece of another term or shard epoch is
// dropped.
func (d *Dispatcher) ReceiveHandover(h *message.Handover) { d.shards.receivePiece(h) }

// receivePiece stores one piece of an incoming handover and requests the shard once all
// pieces have arrived. A piece of another handover than the one in progress replaces that
// one.
func (s *shardSet) receivePiece(piece *message.Handover) {
	if piece.Term != s.View.Term || !s.HoldsLease() || !s.isCurrentHandover(piece) {
		return
	}
	id := sharding.ID(piece.Share)
	incoming := s.incoming[id]
	if incoming == nil || incoming.epoch != piece.Epoch || len(incoming.pieces) != piece.Pieces {
		incoming = &incomingHandover{epoch: piece.Epoch, pieces: make([]*message.Handover, piece.Pieces), missingPieces: piece.Pieces}
		s.incoming[id] = incoming
	}
	if incoming.pieces[piece.Piece] == nil {
		incoming.missingPieces--
	}
	incoming.pieces[piece.Piece], incoming.receivedAt = piece, s.Now
	s.changeDue = true
}

// isCurrentHandover reports whether the numbers of a piece are in range, and whether its
// shard still has the same epoch and fencing token as when the handover began.
func (s *shardSet) isCurrentHandover(piece *message.Handover) bool {
	if piece.Pieces < 1 || piece.Piece < 0 || piece.Piece >= piece.Pieces {
		return false
	}
	if !s.Sharded() || piece.Share < 0 || piece.Share >= len(s.Shards.List) {
		return false
	}
	assignment := &s.Shards.List[piece.Share]
	return assignment.Since == piece.Tenure && assignment.Epoch == piece.Epoch
}

// acquireShards begins to hold the machines of the shards gained. If the handover of a
// shard is complete, its machines have the state that was handed over; otherwise only what
// their records say. Their inventories are sent after firstInventoryDelay.
func (d *Dispatcher) acquireShards(gained map[sharding.ID]bool, old *record.ShardTable) {
	for id := range ordered.ByKey(gained) {
		d.shards.byID(id)
		if h := d.shards.incoming[id]; h != nil && h.missingPieces == 0 && h.epoch == old.List[id].Epoch {
			d.acquireHandedOverMachines(h)
		}
		delete(d.shards.incoming, id)
	}
	for id, m := range ordered.ByKey(d.Records) {
		if !gained[sharding.ShardOf(d.Shards, id, m.Record.Zone)] {
			continue
		}
		q := d.queues.get(id)
		if q == nil {
			q = d.addQueue(id, m.Record.Zone)
			q.applyRecord(m)
		}
		q.inventoryAfter = d.After(firstInventoryDelay)
		d.inventories.add(q)
	}
}

// acquireHandedOverMachines adds a queue for each machine of a complete handover.
func (d *Dispatcher) acquireHandedOverMachines(h *incomingHandover) {
	for _, piece := range h.pieces {
		for i := range piece.Queues {
			d.addHandedOverQueue(&piece.Queues[i])
		}
	}
}

// addHandedOverQueue begins to hold one machine, with all the state that its previous
// dispatcher had. The machine is skipped if it was removed, its record has changed, or it
// is held here already; and its attempts are dropped if a newer agent epoch has begun.
func (d *Dispatcher) addHandedOverQueue(handedOver *message.HandoverQueue) {
	m := d.Records[handedOver.Machine]
	if m == nil || m.Epoch != handedOver.Epoch || d.queues.get(handedOver.Machine) != nil {
		return // another agent epoch was registered, or the machine was removed
	}
	q := d.addQueue(handedOver.Machine, m.Record.Zone)
	q.applyRecord(m)
	q.agentEpoch, q.lastSeq, q.fencingTokenSeen = max(q.agentEpoch, handedOver.Session), handedOver.Seq, handedOver.Seen
	if q.agentEpoch != handedOver.Session {
		return // attempts of an earlier agent epoch no longer run
	}
	q.inventoryKnown, q.exclusive, q.everSeen = handedOver.Known, handedOver.Sole, handedOver.Everseen
	q.noticeSeconds, q.draining, q.images = handedOver.NoticeS, handedOver.Draining, handedOver.Images
	q.quarantine.active = handedOver.Suspect
	q.idleSince = d.Now - clock.Time(handedOver.Idle)
	for _, job := range handedOver.Failed {
		q.quarantine.failedJobs[job] = d.Now
	}
	for i := range handedOver.Entries {
		d.addHandedOverEntry(q, &handedOver.Entries[i])
	}
	q.requestDirect()
}

// addHandedOverEntry adds one attempt, with all the state that its machine's previous
// dispatcher had. A waiting attempt whose job has ended is not added.
func (d *Dispatcher) addHandedOverEntry(q *queue, handedOver *message.HandoverEntry) {
	e := entryFromHandover(handedOver, d.Now)
	if !handedOver.Found {
		d.lastArrival++
		e.arrival = d.lastArrival
	}
	if !e.sent && !e.present {
		if d.HasEnded(e.task.Job) {
			return // the inventory will not list the attempt
		}
		q.enqueue(e)
	}
	q.addEntry(e)
}

// entryFromHandover returns the entry of an attempt that was handed over.
func entryFromHandover(handedOver *message.HandoverEntry, now clock.Time) *entry {
	e := &entry{
		task:               handedOver.Task,
		attempt:            handedOver.Attempt,
		estimate:           handedOver.EstimateS,
		need:               handedOver.Need,
		queuedSince:        now - clock.Time(handedOver.Age),
		level:              handedOver.Level,
		levelGuessed:       handedOver.Guessed,
		inGang:             handedOver.Together,
		placedBy:           handedOver.From,
		configuration:      handedOver.Configuration,
		sent:               handedOver.Sent,
		directFencingToken: handedOver.Direct,
		startResent:        handedOver.Direct != 0, // not handed over: assume that it was resent
		present:            handedOver.Present,
		state:              handedOver.State,
		cause:              handedOver.Cause,
		checkpointed:       handedOver.Saved,
		kill:               handedOver.Kill,
		graceSeconds:       handedOver.GraceS,
		forget:             handedOver.Reap,
		noticeSent:         handedOver.Noticed,
	}
	if handedOver.Ran >= 0 {
		e.runningSince = now - clock.Time(handedOver.Ran)
	}
	return e
}
