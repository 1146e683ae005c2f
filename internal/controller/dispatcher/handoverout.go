package dispatcher

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
)

const (
	// handoverTimeout is how long a shard may be frozen before its move is given up.
	handoverTimeout = 2 * time.Second
	// machinesPerHandover is how many machines one message hands over.
	machinesPerHandover = 50
)

// outgoingHandover is a shard that is being handed over: nothing is started, stopped or
// concluded on it, its workers' leases are renewed, placements are refused, and what else
// peers send of it is deferred.
type outgoingHandover struct {
	to       protocol.NodeName
	beganAt  clock.Time
	cause    string
	deferred []message.PeerMessage
}

// HandOver begins to hand shards over: from here on nothing is started on them, and all
// that is known of them goes to the controller that is to take them. What is under way is
// named in it: an unanswered start is settled by the new dispatcher's token, as it would
// be by a raise.
func (d *Dispatcher) HandOver(m *message.MoveShards) {
	if m.Term != d.View.Term || !d.HoldsLease() || m.To == d.Self || d.View.Members[m.To] == 0 {
		return
	}
	moving := d.shards.movable(m.Shares)
	if len(moving) == 0 {
		return
	}
	queues := map[sharding.ID][]*queue{}
	for _, q := range d.queues.inOrder() {
		if id := q.shardID(); moving[id] {
			queues[id] = append(queues[id], q)
		}
	}
	for id := range ordered.Of(moving) {
		d.beginHandover(id, queues[id], m)
	}
}

// movable picks those shards that are held here and not being handed over.
func (s *shardSet) movable(shards []message.Tenured) map[sharding.ID]bool {
	moving := map[sharding.ID]bool{}
	for _, t := range shards {
		id := sharding.ID(t.Share)
		if s.isHeld(t) && s.byID(id).handover == nil {
			moving[id] = true
		}
	}
	return moving
}

// beginHandover freezes a shard and sends its queues, in pieces.
func (d *Dispatcher) beginHandover(id sharding.ID, queues []*queue, m *message.MoveShards) {
	shard := d.shards.byID(id)
	d.shards.changeDue = true
	shard.handover = &outgoingHandover{to: m.To, beganAt: d.Now, cause: m.Cause}
	pieces := max(1, (len(queues)+machinesPerHandover-1)/machinesPerHandover)
	for piece := range pieces {
		first := piece * machinesPerHandover
		last := min(len(queues), first+machinesPerHandover)
		handover := &message.Handover{
			Term:    d.View.Term,
			Tenured: message.Tenured{Share: int(id), Tenure: shard.epoch},
			Epoch:   d.Shards.List[id].Epoch,
			Piece:   piece,
			Pieces:  pieces,
		}
		for _, q := range queues[first:last] {
			handover.Queues = append(handover.Queues, q.handover())
		}
		d.Send(m.To, message.PeerMessage{Hand: handover})
	}
}

// handover is all that is known of the machine, for the new dispatcher.
func (q *queue) handover() message.HandoverQueue {
	h := message.HandoverQueue{
		Machine:  q.id,
		Epoch:    q.recordVersion,
		Session:  q.agentEpoch,
		Seq:      q.lastSeq,
		Seen:     q.fencingTokenSeen,
		Known:    q.inventoryKnown,
		Sole:     q.exclusive,
		Everseen: q.everSeen,
		NoticeS:  q.noticeSeconds,
		Draining: q.draining,
		Suspect:  q.quarantine.active,
		Images:   slices.Clone(q.images),
		Idle:     q.Since(q.idleSince),
	}
	for job := range ordered.Of(q.quarantine.failedJobs) {
		h.Failed = append(h.Failed, job)
	}
	for _, e := range ordered.Tasks(q.entries) {
		if e.sent || e.present {
			h.Entries = append(h.Entries, q.handoverEntry(e))
		}
	}
	waiting := slices.Clone(q.waiting)
	slices.SortStableFunc(waiting, func(a, b *entry) int { return int(a.arrival) - int(b.arrival) })
	for _, e := range waiting {
		h.Entries = append(h.Entries, q.handoverEntry(e))
	}
	return h
}

// handoverEntry is all that is known of one attempt. Times are sent as ages, since clocks
// differ; a run time below 0 says that it was not seen to run.
func (q *queue) handoverEntry(e *entry) message.HandoverEntry {
	ran := time.Duration(-1)
	if e.runningSince != 0 {
		ran = q.Since(e.runningSince)
	}
	return message.HandoverEntry{
		Task:          e.task,
		Attempt:       e.attempt,
		EstimateS:     e.estimate,
		Need:          e.need,
		Found:         e.arrival == 0,
		Age:           q.Since(e.queuedSince),
		Ran:           ran,
		Level:         e.level,
		Guessed:       e.levelGuessed,
		Together:      e.inGang,
		From:          e.placedBy,
		Configuration: e.configuration,
		Sent:          e.sent,
		Direct:        e.directFencingToken,
		Present:       e.present,
		State:         e.state,
		Cause:         e.cause,
		Saved:         e.checkpointed,
		Kill:          e.kill,
		GraceS:        e.graceSeconds,
		Reap:          e.forget,
		Noticed:       e.noticed,
	}
}

// divertIfNotHeld handles a message about a machine that is not to be commanded here: that
// of one that is being handed over is deferred, and that of one that another controller
// holds is forwarded.
func (d *Dispatcher) divertIfNotHeld(id protocol.MachineID, m message.PeerMessage) bool {
	if q := d.queues.get(id); q != nil {
		if !q.handingOver() {
			return false
		}
		handover := q.shard().handover
		handover.deferred = append(handover.deferred, m)
		return true
	}
	if !d.Sharded() || d.Records[id] == nil {
		return false
	}
	holder := d.DispatcherOf(id)
	if holder == "" || holder == d.Self {
		return false
	}
	d.Send(holder, m)
	return true
}

// handleDeferred handles a message that was deferred, here or by the new dispatcher.
func (d *Dispatcher) handleDeferred(m message.PeerMessage) {
	switch {
	case m.Stop != nil:
		d.Stop(*m.Stop)
	case m.Forget != nil:
		d.Forget(*m.Forget)
	case m.Drain != nil:
		d.Drain(*m.Drain)
	}
}

// abortHandover goes on with a shard that is not handed over after all.
func (d *Dispatcher) abortHandover(shard *shardState) {
	d.shards.noteMove(shard, true)
	deferred := shard.handover.deferred
	shard.handover = nil
	for _, m := range deferred {
		d.handleDeferred(m)
	}
	for _, q := range d.queues.inOrder() {
		if q.shardID() != shard.id {
			continue
		}
		q.endJobsThatAreOver()
		q.requestDirect()
		d.sendInventoryIfDue(q)
	}
}

// endJobsThatAreOver releases or ends the attempts of all jobs that ended during a
// handover.
func (q *queue) endJobsThatAreOver() {
	over := map[protocol.JobID]bool{}
	for task := range q.entries {
		if q.HasEnded(task.Job) {
			over[task.Job] = true
		}
	}
	for job := range ordered.Of(over) {
		q.endJob(job)
	}
}
