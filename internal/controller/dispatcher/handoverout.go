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
	// handoverTimeout is how long a shard may be frozen, so that nothing is started on it,
	// before its handover is aborted.
	handoverTimeout = 2 * time.Second
	// machinesPerHandover is the maximum number of machines in one handover message.
	machinesPerHandover = 50
)

// outgoingHandover is the state of a shard that this controller hands over. During the
// handover no attempt is started or stopped and no conclusion is drawn about its
// machines. The leases of its workers are renewed, placements are refused, and all other
// peer messages about it are deferred.
type outgoingHandover struct {
	to       protocol.NodeName
	beganAt  clock.Time
	cause    string
	deferred []message.PeerMessage
}

// HandOverShards begins to hand shards over to another controller. From this point nothing
// is started on them, and their complete state is sent to that controller. The state
// includes the tokens of direct starts: the new dispatcher's higher fencing token fences
// them. Shards that are not held here are ignored, and the whole message if it is of
// another term or names a controller that is not a member.
func (d *Dispatcher) HandOverShards(move *message.MoveShards) {
	if move.Term != d.View.Term || !d.HoldsLease() || move.To == d.Self || d.View.Members[move.To] == 0 {
		return
	}
	moving := d.shards.movableShards(move.Shares)
	if len(moving) == 0 {
		return
	}
	queues := map[sharding.ID][]*queue{}
	for _, q := range d.queues.inOrder() {
		if id := q.shardID(); moving[id] {
			queues[id] = append(queues[id], q)
		}
	}
	for id := range ordered.ByKey(moving) {
		d.beginHandover(id, queues[id], move)
	}
}

// movableShards returns the set of those of the given shards that this controller holds in
// the given shard epoch and does not hand over already.
func (s *shardSet) movableShards(shards []message.Tenured) map[sharding.ID]bool {
	moving := map[sharding.ID]bool{}
	for _, tenured := range shards {
		id := sharding.ID(tenured.Share)
		if s.isHeld(tenured) && s.byID(id).handover == nil {
			moving[id] = true
		}
	}
	return moving
}

// beginHandover freezes a shard, so that nothing is started on it, and sends its queues in
// pieces of machinesPerHandover machines.
func (d *Dispatcher) beginHandover(id sharding.ID, queues []*queue, move *message.MoveShards) {
	shard := d.shards.byID(id)
	d.shards.changeDue = true
	shard.handover = &outgoingHandover{to: move.To, beganAt: d.Now, cause: move.Cause}
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
			handover.Queues = append(handover.Queues, q.buildHandover())
		}
		d.Send(move.To, message.PeerMessage{Hand: handover})
	}
}

// buildHandover returns the complete state of the machine, for the new dispatcher. The
// attempts that were sent or are present come first, then the waiting ones in order of
// arrival.
func (q *queue) buildHandover() message.HandoverQueue {
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
	for job := range ordered.ByKey(q.quarantine.failedJobs) {
		h.Failed = append(h.Failed, job)
	}
	for _, e := range ordered.Tasks(q.entries) {
		if e.sent || e.present {
			h.Entries = append(h.Entries, q.buildHandoverEntry(e))
		}
	}
	waiting := slices.Clone(q.waiting)
	slices.SortStableFunc(waiting, func(a, b *entry) int { return int(a.arrival) - int(b.arrival) })
	for _, e := range waiting {
		h.Entries = append(h.Entries, q.buildHandoverEntry(e))
	}
	return h
}

// buildHandoverEntry returns the complete state of one attempt, for the new dispatcher.
// Times are sent as ages because the clocks of controllers differ. A negative run time
// means that the attempt was not seen running.
func (q *queue) buildHandoverEntry(e *entry) message.HandoverEntry {
	runTime := time.Duration(-1)
	if e.runningSince != 0 {
		runTime = q.Since(e.runningSince)
	}
	return message.HandoverEntry{
		Task:          e.task,
		Attempt:       e.attempt,
		EstimateS:     e.estimate,
		Need:          e.need,
		Found:         e.arrival == 0,
		Age:           q.Since(e.queuedSince),
		Ran:           runTime,
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
		Noticed:       e.noticeSent,
	}
}

// divertIfNotHeld defers or forwards a message about a machine that this controller must
// not command now: it is deferred while the machine's shard is being handed over, and
// forwarded if another controller holds the machine. It returns true if it did either, and
// false if the caller has to handle the message.
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

// handleDeferred executes a message that was deferred during a handover: a request to stop
// or forget an attempt or to drain a machine. If another controller holds the machine now,
// the message is forwarded to it.
func (d *Dispatcher) handleDeferred(m message.PeerMessage) {
	switch {
	case m.Stop != nil:
		d.StopAttempt(*m.Stop)
	case m.Forget != nil:
		d.ForgetAttempt(*m.Forget)
	case m.Drain != nil:
		d.DrainMachine(*m.Drain)
	}
}

// abortHandover resumes the dispatch to a shard that this controller keeps: it executes the
// deferred messages, ends the attempts of jobs that ended during the handover, schedules
// direct commands and sends the inventories that are due.
func (d *Dispatcher) abortHandover(shard *shardState) {
	d.shards.recordMove(shard, true)
	deferred := shard.handover.deferred
	shard.handover = nil
	for _, m := range deferred {
		d.handleDeferred(m)
	}
	for _, q := range d.queues.inOrder() {
		if q.shardID() != shard.id {
			continue
		}
		q.endFinishedJobs()
		q.requestDirect()
		d.sendInventoryIfDue(q)
	}
}

// endFinishedJobs applies endJob to each job that has ended and has attempts in the queue:
// attempts never sent are released, and the worker kills or forgets the other ones.
func (q *queue) endFinishedJobs() {
	finished := map[protocol.JobID]bool{}
	for task := range q.entries {
		if q.HasEnded(task.Job) {
			finished[task.Job] = true
		}
	}
	for job := range ordered.ByKey(finished) {
		q.endJob(job)
	}
}
