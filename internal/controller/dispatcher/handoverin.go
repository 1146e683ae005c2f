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
	// incomingTimeout is how long a shard that was handed over waits to be taken.
	incomingTimeout = 10 * time.Second
	// firstInventoryDelay is how long the first inventory of a shard that was taken waits:
	// what the previous dispatcher refuses meanwhile its owners know to have never been
	// sent, rather than to be missing.
	firstInventoryDelay = 300 * time.Millisecond
)

// incomingHandover is a shard that another controller hands over, until the records say
// that it is held here.
type incomingHandover struct {
	epoch      protocol.Term // of the shard as it was handed over
	receivedAt clock.Time    // the latest piece
	pieces     []*message.Handover
	missing    int // pieces that have not come
}

// ReceiveHandover takes a piece of a shard that another controller hands over, until the
// records assign it to this one.
func (d *Dispatcher) ReceiveHandover(h *message.Handover) { d.shards.receive(h) }

func (s *shardSet) receive(h *message.Handover) {
	if h.Term != s.View.Term || !s.HoldsLease() || !s.isCurrentHandover(h) {
		return
	}
	id := sharding.ID(h.Share)
	incoming := s.incoming[id]
	if incoming == nil || incoming.epoch != h.Epoch || len(incoming.pieces) != h.Pieces {
		incoming = &incomingHandover{epoch: h.Epoch, pieces: make([]*message.Handover, h.Pieces), missing: h.Pieces}
		s.incoming[id] = incoming
	}
	if incoming.pieces[h.Piece] == nil {
		incoming.missing--
	}
	incoming.pieces[h.Piece], incoming.receivedAt = h, s.Now
	s.changeDue = true
}

// isCurrentHandover reports whether a piece is one of a shard in its present epoch.
func (s *shardSet) isCurrentHandover(h *message.Handover) bool {
	if h.Pieces < 1 || h.Piece < 0 || h.Piece >= h.Pieces {
		return false
	}
	if !s.Sharded() || h.Share < 0 || h.Share >= len(s.Shards.List) {
		return false
	}
	assignment := &s.Shards.List[h.Share]
	return assignment.Since == h.Tenure && assignment.Epoch == h.Epoch
}

// takeShards begins to hold shards: with what was handed over, or knowing of their
// machines only what the records say.
func (d *Dispatcher) takeShards(gained map[sharding.ID]bool, old *record.ShardTable) {
	for id := range ordered.Of(gained) {
		d.shards.byID(id)
		if h := d.shards.incoming[id]; h != nil && h.missing == 0 && h.epoch == old.List[id].Epoch {
			d.takeHandover(h)
		}
		delete(d.shards.incoming, id)
	}
	for id, m := range ordered.Of(d.Records) {
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

// takeHandover begins to hold the machines of a complete handover.
func (d *Dispatcher) takeHandover(h *incomingHandover) {
	for _, piece := range h.pieces {
		for i := range piece.Queues {
			d.takeQueue(&piece.Queues[i])
		}
	}
}

// takeQueue begins to hold one machine with all that its previous dispatcher knew.
func (d *Dispatcher) takeQueue(h *message.HandoverQueue) {
	m := d.Records[h.Machine]
	if m == nil || m.Epoch != h.Epoch || d.queues.get(h.Machine) != nil {
		return // another agent epoch has been registered, or the machine was removed
	}
	q := d.addQueue(h.Machine, m.Record.Zone)
	q.applyRecord(m)
	q.agentEpoch, q.lastSeq, q.fencingTokenSeen = max(q.agentEpoch, h.Session), h.Seq, h.Seen
	if q.agentEpoch != h.Session {
		return // nothing of an earlier agent epoch runs any more
	}
	q.inventoryKnown, q.exclusive, q.everSeen = h.Known, h.Sole, h.Everseen
	q.noticeSeconds, q.draining, q.images = h.NoticeS, h.Draining, h.Images
	q.quarantine.active = h.Suspect
	q.idleSince = d.Now - clock.Time(h.Idle)
	for _, job := range h.Failed {
		q.quarantine.failedJobs[job] = d.Now
	}
	for i := range h.Entries {
		d.takeEntry(q, &h.Entries[i])
	}
	q.requestDirect()
}

// takeEntry adds one attempt with all that its machine's previous dispatcher knew.
func (d *Dispatcher) takeEntry(q *queue, h *message.HandoverEntry) {
	e := entryOfHandover(h, d.Now)
	if !h.Found {
		d.lastArrival++
		e.arrival = d.lastArrival
	}
	if !e.sent && !e.present {
		if d.HasEnded(e.task.Job) {
			return // the inventory will not list it
		}
		q.enqueue(e)
	}
	q.addEntry(e)
}

// entryOfHandover returns the entry of an attempt that was handed over.
func entryOfHandover(h *message.HandoverEntry, now clock.Time) *entry {
	e := &entry{
		task:               h.Task,
		attempt:            h.Attempt,
		estimate:           h.EstimateS,
		need:               h.Need,
		queuedSince:        now - clock.Time(h.Age),
		level:              h.Level,
		levelGuessed:       h.Guessed,
		inGang:             h.Together,
		placedBy:           h.From,
		configuration:      h.Configuration,
		sent:               h.Sent,
		directFencingToken: h.Direct,
		startResent:        h.Direct != 0, // perhaps
		present:            h.Present,
		state:              h.State,
		cause:              h.Cause,
		checkpointed:       h.Saved,
		kill:               h.Kill,
		graceSeconds:       h.GraceS,
		forget:             h.Reap,
		noticed:            h.Noticed,
	}
	if h.Ran >= 0 {
		e.runningSince = now - clock.Time(h.Ran)
	}
	return e
}
