package dispatcher

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// shardState is what is kept of one share of the machines beside their queues.
type shardState struct {
	id    sharding.ID
	epoch protocol.Term
	// soleSince is since when all members are known to have followed the record by
	// which it came here: nobody answers its machines by an earlier one any more.
	// 0: not yet.
	soleSince clock.Time
	// raiseAbove is the token that a start without an answer was sent with: its worker
	// has to see a later one. 0: none.
	raiseAbove protocol.Term
	handover   *outgoingHandover
}

// handover is a share that is being handed over: nothing is started, stopped or
// concluded on it, its workers' leases are kept, placements are refused, and what
// else others say waits.
type outgoingHandover struct {
	to       protocol.NodeName
	at       clock.Time
	cause    string
	deferred []message.PeerMessage
}

// incomingHandover is a share that another controller hands over, until the records say
// that it is kept here.
type incomingHandover struct {
	epoch   protocol.Term // reservation the share as it was handed over
	at      clock.Time
	pieces  []*message.Handover
	missing int // pieces that have not come
}

const (
	// handoverTimeout is how long a share may be frozen before the move is given up.
	handoverTimeout = 2 * time.Second
	// incomingTimeout is how long one handed over waits to be taken.
	incomingTimeout = 10 * time.Second
	// firstInventoryDelay is how long the first inventory of a share that was taken waits:
	// what the keeper before refuses meanwhile its owners know to have never been
	// sent, rather than to be missing.
	firstInventoryDelay = 300 * time.Millisecond
	// machinesPerHandover is how many machines one message hands over.
	machinesPerHandover = 50
)

// shardOf is the share of a queue's machine.
func (k *Dispatcher) shardOf(q *queue) *shardState {
	return k.shardByID(sharding.Of(k.Shards, q.id, q.zone))
}

func (k *Dispatcher) shardByID(id sharding.ID) *shardState {
	tenure := k.Shards.List[id].Since
	s := k.shards[id]
	if s == nil || s.epoch != tenure {
		s = &shardState{id: id, epoch: tenure}
		k.shards[id] = s
	}
	return s
}

// fencingToken is what commands to a queue's machine carry.
func (k *Dispatcher) fencingToken(q *queue) protocol.Term { return k.FencingToken(q.id, q.zone) }

// firstOwnToken is the lowest token that tells that a worker was commanded by this
// keeper.
func (k *Dispatcher) firstOwnToken(q *queue) protocol.Term {
	if k.Sharded() {
		return k.ShardEpoch(q.id, q.zone)
	}
	return k.View.Term
}

// handover reports whether a queue is being handed over.
func (k *Dispatcher) handingOver(q *queue) bool { return k.Sharded() && k.shardOf(q).handover != nil }

// divertIfNotHeld deals with a message about a machine that is not to be commanded here: one
// that is being handed over has it kept back, and one that another keeps has it sent
// on.
func (k *Dispatcher) divertIfNotHeld(id protocol.MachineID, m message.PeerMessage) bool {
	if q := k.queues[id]; q != nil {
		if !k.handingOver(q) {
			return false
		}
		f := k.shardOf(q).handover
		f.deferred = append(f.deferred, m)
		return true
	}
	if !k.Sharded() || k.Records[id] == nil {
		return false
	}
	holder := k.Module.DispatcherOf(id)
	if holder == "" || holder == k.Self {
		return false
	}
	k.Send(holder, m)
	return true
}

// noteSoleDispatcher notes since when nobody acts by an earlier record of each share, given
// how far all members have followed it.
func (k *Dispatcher) noteSoleDispatcher(floor protocol.Term) {
	if !k.Sharded() || !k.HoldsLease() {
		return
	}
	for _, s := range k.shards {
		if s.soleSince == 0 && s.epoch <= floor {
			s.soleSince = k.Now
		}
	}
}

// answerDuringHandover answers a worker whose share is being handed over: its lease goes
// on, and nothing else happens but that what is over is killed: the move may last. What it says it says again to who takes it.
func (k *Dispatcher) answerDuringHandover(r *protocol.Heartbeat) bool {
	if !k.Sharded() {
		return false
	}
	s := k.shardByID(sharding.Of(k.Shards, r.Machine, r.Zone))
	if s.handover == nil {
		return false
	}
	q := k.queues[r.Machine]
	if q == nil || r.AgentEpoch > q.agentEpoch {
		k.Emit(message.ReplyHeartbeat{Status: 503})
		return true
	}
	k.answerOvertaken(q, r)
	return true
}

// holdsShard reports whether this controller keeps a share, by the tenure that somebody
// names.
func (k *Dispatcher) holdsShard(t message.Tenured) bool {
	return k.Sharded() && t.Share >= 0 && t.Share < len(k.Shards.List) && k.Shards.List[t.Share].Since == t.Tenure &&
		k.Shards.List[t.Share].Holder == k.Session
}

// HandOver begins to hand shares over: from here on nothing is started on them, and
// all that is known of them goes to who is to take them. What is under way is named
// in it: a start without an answer is settled by the new keeper's token, as it
// would be by a raise.
func (k *Dispatcher) HandOver(m *message.MoveShards) {
	if m.Term != k.View.Term || !k.HoldsLease() || m.To == k.Self || k.View.Members[m.To] == 0 {
		return
	}
	byShare := map[sharding.ID][]*queue{}
	moving := map[sharding.ID]bool{}
	for _, t := range m.Shares {
		if k.holdsShard(t) && k.shardByID(sharding.ID(t.Share)).handover == nil {
			moving[sharding.ID(t.Share)] = true
		}
	}
	if len(moving) == 0 {
		return
	}
	for _, q := range k.queuesInOrder() {
		if id := sharding.Of(k.Shards, q.id, q.zone); moving[id] {
			byShare[id] = append(byShare[id], q)
		}
	}
	for id := range ordered.Of(moving) {
		s := k.shardByID(id)
		k.shardChangeDue = true
		s.handover = &outgoingHandover{to: m.To, at: k.Now, cause: m.Cause}
		qs := byShare[id]
		h := message.Handover{Term: k.View.Term, Tenured: message.Tenured{Share: int(id), Tenure: s.epoch}, Epoch: k.Shards.List[id].Epoch, Pieces: max(1, (len(qs)+machinesPerHandover-1)/machinesPerHandover)}
		for h.Piece = range h.Pieces {
			piece := h
			for _, q := range qs[h.Piece*machinesPerHandover : min(len(qs), (h.Piece+1)*machinesPerHandover)] {
				piece.Queues = append(piece.Queues, k.handoverOf(q))
			}
			k.Send(m.To, message.PeerMessage{Hand: &piece})
		}
	}
}

// handoverOf is what is known of one machine, for who takes it.
func (k *Dispatcher) handoverOf(q *queue) message.HandoverQueue {
	h := message.HandoverQueue{
		Machine: q.id, Epoch: q.recordVersion, Session: q.agentEpoch, Seq: q.lastSeq, Seen: q.tokenSeen, Known: q.inventoryKnown, Sole: q.exclusive, Everseen: q.everSeen,
		NoticeS: q.noticeSeconds, Draining: q.draining, Suspect: q.quarantined, Images: slices.Clone(q.images), Idle: k.Since(q.idleSince),
	}
	for job := range ordered.Of(q.failedJobs) {
		h.Failed = append(h.Failed, job)
	}
	add := func(e *entry) {
		ran := time.Duration(-1)
		if e.runningSince != 0 {
			ran = k.Since(e.runningSince)
		}
		h.Entries = append(h.Entries, message.HandoverEntry{
			Task: e.task, Attempt: e.attempt, EstimateS: e.estimate, Need: e.need, Found: e.arrival == 0, Age: k.Since(e.queuedSince), Ran: ran,
			Level: e.level, Guessed: e.levelGuessed, Together: e.inGang, From: e.placedBy, Sent: e.sent, Direct: e.directToken, Present: e.present,
			State: e.state, Cause: e.cause, Saved: e.checkpointed, Kill: e.kill, GraceS: e.graceS, Reap: e.reap, Noticed: e.noticed, Configuration: e.configuration,
		})
	}
	for _, e := range ordered.Tasks(q.entries) {
		if e.sent || e.present {
			add(e)
		}
	}
	waiting := slices.Clone(q.waiting)
	slices.SortStableFunc(waiting, func(a, b *entry) int { return int(a.arrival) - int(b.arrival) })
	for _, e := range waiting {
		add(e)
	}
	return h
}

// ReceiveHandover takes a piece of a share that another controller hands over, until the
// records give it to this one.
func (k *Dispatcher) ReceiveHandover(h *message.Handover) {
	id := sharding.ID(h.Share)
	if h.Term != k.View.Term || !k.HoldsLease() || h.Pieces < 1 || h.Piece < 0 || h.Piece >= h.Pieces ||
		!k.Sharded() || h.Share < 0 || h.Share >= len(k.Shards.List) || k.Shards.List[id].Since != h.Tenure || k.Shards.List[id].Epoch != h.Epoch {
		return
	}
	st := k.incoming[id]
	if st == nil || st.epoch != h.Epoch || len(st.pieces) != h.Pieces {
		st = &incomingHandover{epoch: h.Epoch, pieces: make([]*message.Handover, h.Pieces), missing: h.Pieces}
		k.incoming[id] = st
	}
	if st.pieces[h.Piece] == nil {
		st.missing--
	}
	st.pieces[h.Piece], st.at = h, k.Now
	k.shardChangeDue = true
}

// ShardChangesWanted lists the changes of the record of shares that this keeper asks for: the
// shards handed over to it whole, to take, and those whose epoch has to rise: for a
// start without an answer, or to give up a move.
func (k *Dispatcher) ShardChangesWanted() (take, raise []sharding.ID) {
	if !k.shardChangeDue || !k.Sharded() || !k.HoldsLease() {
		return nil, nil
	}
	k.shardChangeDue = false
	for id, st := range ordered.Of(k.incoming) {
		switch {
		case st.epoch != k.Shards.List[id].Epoch || k.Since(st.at) > incomingTimeout:
			delete(k.incoming, id)
			continue
		case st.missing == 0:
			take = append(take, id)
		}
		k.shardChangeDue = true // until it is taken, or void
	}
	for id, s := range ordered.Of(k.shards) {
		now := &k.Shards.List[id]
		if now.Holder != k.Session || s.epoch != now.Since {
			continue
		}
		settles := s.raiseAbove != 0 && s.raiseAbove >= now.Epoch
		if settles || s.handover != nil && k.Since(s.handover.at) > handoverTimeout {
			raise = append(raise, id)
		}
		k.shardChangeDue = k.shardChangeDue || settles || s.handover != nil
	}
	return take, raise
}

// adoptedView ends all moves: a share is taken in the view it was handed over in,
// or not at all, so what this controller keeps still in the new one nobody else
// will take by what was handed over.
func (k *Dispatcher) adoptedView() {
	clear(k.incoming)
	if !k.Sharded() {
		return
	}
	for id, s := range ordered.Of(k.shards) {
		if k.Shards.List[id].Holder != k.Session || k.Shards.List[id].Since != s.epoch {
			delete(k.shards, id)
		} else if s.handover != nil {
			k.noteMove(s, true)
			k.abortHandover(s)
		}
	}
}

// CompletedMove is a move of a share that has ended.
type CompletedMove struct {
	Shard   sharding.ID
	Pause   time.Duration // for how long nothing was started on it
	GivenUp bool
}

func (k *Dispatcher) noteMove(s *shardState, givenUp bool) {
	m := CompletedMove{Shard: s.id, Pause: k.Since(s.handover.at), GivenUp: givenUp}
	k.completedMoves = append(k.completedMoves[max(0, len(k.completedMoves)-movedMost):], m)
	what := "share moved"
	if givenUp {
		what = "move given up"
	}
	k.Log.Info(what, "share", int(s.id), "to", s.handover.to, "cause", s.handover.cause, "pause", m.Pause.Round(time.Millisecond))
}

// movedMost bounds the moves that are remembered for who asks.
const movedMost = 1000

// TakeCompletedMoves returns the moves that have ended since it was asked last.
func (k *Dispatcher) TakeCompletedMoves() []CompletedMove {
	ended := k.completedMoves
	k.completedMoves = nil
	return ended
}

// AdoptShards goes over to a new record of the shares: what is kept here no more is
// dropped, what has come is kept, and what else has changed notices nothing but a
// later token.
func (k *Dispatcher) AdoptShards(old *record.ShardTable) {
	lost, come := map[sharding.ID]bool{}, map[sharding.ID]bool{}
	for i, now := range k.Shards.List {
		id := sharding.ID(i)
		was := record.ShardAssignment{}
		if old != nil && i < len(old.List) {
			was = old.List[i]
		}
		switch mine, had := now.Holder == k.Session, was.Holder == k.Session; {
		case was.Since == now.Since && mine:
			if s := k.shardByID(id); s.handover != nil && now.Epoch != was.Epoch {
				k.noteMove(s, true)
				k.abortHandover(s)
			}
		case was.Since == now.Since:
		case had && !mine:
			lost[id] = true
		case mine:
			come[id] = true
		}
	}
	if len(lost) > 0 {
		k.loseShards(lost)
	}
	if len(come) > 0 {
		k.takeShards(come, old)
	}
	for id, st := range k.incoming { // what came is taken; what its keeper goes on with is void
		if st.epoch != k.Shards.List[id].Epoch {
			delete(k.incoming, id)
		}
	}
}

// loseShards drops what is kept of shares that others keep now, and passes on what was
// deferred back for them.
func (k *Dispatcher) loseShards(lost map[sharding.ID]bool) {
	for _, q := range slices.Clone(k.queuesInOrder()) {
		if lost[sharding.Of(k.Shards, q.id, q.zone)] {
			k.dropQueue(q.id)
		}
	}
	for id := range ordered.Of(lost) {
		s := k.shards[id]
		if s == nil {
			continue
		}
		delete(k.shards, id)
		if s.handover == nil {
			continue
		}
		k.noteMove(s, false)
		for _, m := range s.handover.deferred {
			k.redeliver(m)
		}
	}
}

// abortHandover goes on with a share that is not handed over.
func (k *Dispatcher) abortHandover(s *shardState) {
	held := s.handover.deferred
	s.handover = nil
	for _, m := range held {
		k.redeliver(m)
	}
	for _, q := range k.queuesInOrder() {
		if sharding.Of(k.Shards, q.id, q.zone) != s.id {
			continue
		}
		over := map[protocol.JobID]bool{}
		for t := range q.entries {
			over[t.Job] = k.HasEnded(t.Job)
		}
		for job, is := range ordered.Of(over) {
			if is {
				k.endJobIn(q, job)
			}
		}
		k.requestDirect(q)
		k.giveInventory(q)
	}
}

// redeliver handles what was held back, here or by its new keeper.
func (k *Dispatcher) redeliver(m message.PeerMessage) {
	switch {
	case m.Stop != nil:
		k.Stop(*m.Stop)
	case m.Forget != nil:
		k.Forget(*m.Forget)
	case m.Drain != nil:
		k.Drain(*m.Drain)
	}
}

// takeShards begins to keep shares: with what was handed over, or knowing of their
// machines only what the records say.
func (k *Dispatcher) takeShards(come map[sharding.ID]bool, old *record.ShardTable) {
	for id := range ordered.Of(come) {
		k.shardByID(id)
		if st := k.incoming[id]; st != nil && st.missing == 0 && st.epoch == old.List[id].Epoch {
			for _, h := range st.pieces {
				for i := range h.Queues {
					k.takeHandedOver(&h.Queues[i])
				}
			}
		}
		delete(k.incoming, id)
	}
	for id, m := range ordered.Of(k.Records) {
		if !come[sharding.Of(k.Shards, id, m.Record.Zone)] {
			continue
		}
		q := k.queues[id]
		if q == nil {
			q = k.addQueue(id, m.Record.Zone)
			q.registered(m)
		}
		q.inventoryAfter = k.After(firstInventoryDelay)
		k.inventoriesPending = append(k.inventoriesPending, q)
	}
}

// takeHandedOver begins to keep one machine with all that its keeper before knew.
func (k *Dispatcher) takeHandedOver(h *message.HandoverQueue) {
	m := k.Records[h.Machine]
	if m == nil || m.Epoch != h.Epoch || k.queues[h.Machine] != nil {
		return // another session has been registered, or it has gone
	}
	q := k.addQueue(h.Machine, m.Record.Zone)
	q.registered(m)
	q.agentEpoch, q.lastSeq, q.tokenSeen = max(q.agentEpoch, h.Session), h.Seq, h.Seen
	if q.agentEpoch != h.Session {
		return // nothing of an earlier session is left
	}
	q.inventoryKnown, q.exclusive, q.everSeen = h.Known, h.Sole, h.Everseen
	q.noticeSeconds, q.draining, q.quarantined, q.images = h.NoticeS, h.Draining, h.Suspect, h.Images
	q.idleSince = k.Now - clock.Time(h.Idle)
	for _, job := range h.Failed {
		q.failedJobs[job] = k.Now
	}
	for i := range h.Entries {
		x := &h.Entries[i]
		e := &entry{
			task: x.Task, attempt: x.Attempt, estimate: x.EstimateS, need: x.Need, queuedSince: k.Now - clock.Time(x.Age),
			level: x.Level, levelGuessed: x.Guessed, inGang: x.Together, placedBy: x.From, sent: x.Sent, directToken: x.Direct, present: x.Present,
			state: x.State, cause: x.Cause, checkpointed: x.Saved, kill: x.Kill, graceS: x.GraceS, reap: x.Reap, noticed: x.Noticed, configuration: x.Configuration,
			startResent: x.Direct != 0, // perhaps
		}
		if x.Ran >= 0 {
			e.runningSince = k.Now - clock.Time(x.Ran)
		}
		if !x.Found {
			k.lastArrival++
			e.arrival = k.lastArrival
		}
		if !e.sent && !e.present {
			if k.HasEnded(e.task.Job) {
				continue // the inventory says that it is gone
			}
			k.enqueue(q, e)
		}
		q.addEntry(e)
	}
	k.requestDirect(q)
}

// ShardsHeld is how many shares are kept.
func (k *Dispatcher) ShardsHeld() (n int) {
	if !k.Sharded() {
		return 0
	}
	for _, s := range k.Shards.List {
		if s.Holder == k.Session {
			n++
		}
	}
	return n
}
