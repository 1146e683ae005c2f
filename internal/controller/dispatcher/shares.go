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

// share is what is kept of one share of the machines beside their queues.
type share struct {
	id     sharding.ID
	tenure protocol.Term
	// alone is since when all members are known to have followed the record by
	// which it came here: nobody answers its machines by an earlier one any more.
	// 0: not yet.
	alone clock.Time
	// raise is the token that a start without an answer was sent with: its worker
	// has to see a later one. 0: none.
	raise  protocol.Term
	frozen *frozen
}

// frozen is a share that is being handed over: nothing is started, stopped or
// concluded on it, its workers' leases are kept, placements are refused, and what
// else others say waits.
type frozen struct {
	to    protocol.NodeName
	at    clock.Time
	cause string
	held  []message.PeerMessage
}

// staged is a share that another controller hands over, until the records say
// that it is kept here.
type staged struct {
	epoch  protocol.Term // of the share as it was handed over
	at     clock.Time
	pieces []*message.Hand
	left   int // pieces that have not come
}

const (
	// handAtMost is how long a share may be frozen before the move is given up.
	handAtMost = 2 * time.Second
	// stageAtMost is how long one handed over waits to be taken.
	stageAtMost = 10 * time.Second
	// crossing is how long the first inventory of a share that was taken waits:
	// what the keeper before refuses meanwhile its owners know to have never been
	// sent, rather than to be missing.
	crossing = 300 * time.Millisecond
	// handPiece is how many machines one message hands over.
	handPiece = 50
)

// shareOf is the share of a queue's machine.
func (k *Keeper) shareOf(q *queue) *share { return k.shareAt(sharding.Of(k.Shares, q.id, q.zone)) }

func (k *Keeper) shareAt(id sharding.ID) *share {
	tenure := k.Shares.List[id].Since
	s := k.shares[id]
	if s == nil || s.tenure != tenure {
		s = &share{id: id, tenure: tenure}
		k.shares[id] = s
	}
	return s
}

// token is what commands to a queue's machine carry.
func (k *Keeper) token(q *queue) protocol.Term { return k.Token(q.id, q.zone) }

// ownToken is the lowest token that tells that a worker was commanded by this
// keeper.
func (k *Keeper) ownToken(q *queue) protocol.Term {
	if k.Sharing() {
		return k.Tenure(q.id, q.zone)
	}
	return k.View.Term
}

// frozen reports whether a queue is being handed over.
func (k *Keeper) frozen(q *queue) bool { return k.Sharing() && k.shareOf(q).frozen != nil }

// notHere deals with a message about a machine that is not to be commanded here: one
// that is being handed over has it kept back, and one that another keeps has it sent
// on.
func (k *Keeper) notHere(id protocol.MachineID, m message.PeerMessage) bool {
	if q := k.queues[id]; q != nil {
		if !k.frozen(q) {
			return false
		}
		f := k.shareOf(q).frozen
		f.held = append(f.held, m)
		return true
	}
	if !k.Sharing() || k.Records[id] == nil {
		return false
	}
	holder := k.Part.Keeper(id)
	if holder == "" || holder == k.Self {
		return false
	}
	k.Send(holder, m)
	return true
}

// noteAlone notes since when nobody acts by an earlier record of each share, given
// how far all members have followed it.
func (k *Keeper) noteAlone(floor protocol.Term) {
	if !k.Sharing() || !k.Acting() {
		return
	}
	for _, s := range k.shares {
		if s.alone == 0 && s.tenure <= floor {
			s.alone = k.Now
		}
	}
}

// answerFrozen answers a worker whose share is being handed over: its lease goes
// on, and nothing else happens but that what is over is killed: the move may last. What it says it says again to who takes it.
func (k *Keeper) answerFrozen(r *protocol.Report) bool {
	if !k.Sharing() {
		return false
	}
	s := k.shareAt(sharding.Of(k.Shares, r.Machine, r.Zone))
	if s.frozen == nil {
		return false
	}
	q := k.queues[r.Machine]
	if q == nil || r.Session > q.session {
		k.Do(message.ReplyReport{Status: 503})
		return true
	}
	k.answerOnly(q, r)
	return true
}

// holds reports whether this controller keeps a share, by the tenure that somebody
// names.
func (k *Keeper) holds(t message.Tenured) bool {
	return k.Sharing() && t.Share >= 0 && t.Share < len(k.Shares.List) && k.Shares.List[t.Share].Since == t.Tenure &&
		k.Shares.List[t.Share].Holder == k.Session
}

// Move begins to hand shares over: from here on nothing is started on them, and
// all that is known of them goes to who is to take them. What is under way is named
// in it: a start without an answer is settled by the new keeper's token, as it
// would be by a raise.
func (k *Keeper) Move(m *message.Move) {
	if m.Term != k.View.Term || !k.Acting() || m.To == k.Self || k.View.Members[m.To] == 0 {
		return
	}
	byShare := map[sharding.ID][]*queue{}
	moving := map[sharding.ID]bool{}
	for _, t := range m.Shares {
		if k.holds(t) && k.shareAt(sharding.ID(t.Share)).frozen == nil {
			moving[sharding.ID(t.Share)] = true
		}
	}
	if len(moving) == 0 {
		return
	}
	for _, q := range k.queuesInOrder() {
		if id := sharding.Of(k.Shares, q.id, q.zone); moving[id] {
			byShare[id] = append(byShare[id], q)
		}
	}
	for id := range ordered.Of(moving) {
		s := k.shareAt(id)
		k.asking = true
		s.frozen = &frozen{to: m.To, at: k.Now, cause: m.Cause}
		qs := byShare[id]
		h := message.Hand{Term: k.View.Term, Tenured: message.Tenured{Share: int(id), Tenure: s.tenure}, Epoch: k.Shares.List[id].Epoch, Pieces: max(1, (len(qs)+handPiece-1)/handPiece)}
		for h.Piece = range h.Pieces {
			piece := h
			for _, q := range qs[h.Piece*handPiece : min(len(qs), (h.Piece+1)*handPiece)] {
				piece.Queues = append(piece.Queues, k.handed(q))
			}
			k.Send(m.To, message.PeerMessage{Hand: &piece})
		}
	}
}

// handed is what is known of one machine, for who takes it.
func (k *Keeper) handed(q *queue) message.HandedQueue {
	h := message.HandedQueue{
		Machine: q.id, Epoch: q.epoch, Session: q.session, Seq: q.seq, Seen: q.seen, Known: q.known, Sole: q.sole, Everseen: q.everSeen,
		NoticeS: q.notice, Draining: q.draining, Suspect: q.suspect, Images: slices.Clone(q.images), Idle: k.Since(q.idleSince),
	}
	for job := range ordered.Of(q.failed) {
		h.Failed = append(h.Failed, job)
	}
	add := func(e *entry) {
		ran := time.Duration(-1)
		if e.runs != 0 {
			ran = k.Since(e.runs)
		}
		h.Entries = append(h.Entries, message.HandedEntry{
			Task: e.task, Attempt: e.attempt, EstimateS: e.estimate, Need: e.need, Found: e.order == 0, Age: k.Since(e.since), Ran: ran,
			Level: e.level, Guessed: e.guessed, Together: e.together, From: e.from, Sent: e.sent, Direct: e.direct, Present: e.present,
			State: e.state, Cause: e.cause, Saved: e.saved, Kill: e.kill, GraceS: e.graceS, Reap: e.reap, Noticed: e.noticed, Configuration: e.configuration,
		})
	}
	for _, e := range ordered.Tasks(q.entries) {
		if e.sent || e.present {
			add(e)
		}
	}
	waiting := slices.Clone(q.waiting)
	slices.SortStableFunc(waiting, func(a, b *entry) int { return int(a.order) - int(b.order) })
	for _, e := range waiting {
		add(e)
	}
	return h
}

// Hand takes a piece of a share that another controller hands over, until the
// records give it to this one.
func (k *Keeper) Hand(h *message.Hand) {
	id := sharding.ID(h.Share)
	if h.Term != k.View.Term || !k.Acting() || h.Pieces < 1 || h.Piece < 0 || h.Piece >= h.Pieces ||
		!k.Sharing() || h.Share < 0 || h.Share >= len(k.Shares.List) || k.Shares.List[id].Since != h.Tenure || k.Shares.List[id].Epoch != h.Epoch {
		return
	}
	st := k.staged[id]
	if st == nil || st.epoch != h.Epoch || len(st.pieces) != h.Pieces {
		st = &staged{epoch: h.Epoch, pieces: make([]*message.Hand, h.Pieces), left: h.Pieces}
		k.staged[id] = st
	}
	if st.pieces[h.Piece] == nil {
		st.left--
	}
	st.pieces[h.Piece], st.at = h, k.Now
	k.asking = true
}

// WantedShares lists the changes of the record of shares that this keeper asks for: the
// shares handed over to it whole, to take, and those whose epoch has to rise: for a
// start without an answer, or to give up a move.
func (k *Keeper) WantedShares() (take, raise []sharding.ID) {
	if !k.asking || !k.Sharing() || !k.Acting() {
		return nil, nil
	}
	k.asking = false
	for id, st := range ordered.Of(k.staged) {
		switch {
		case st.epoch != k.Shares.List[id].Epoch || k.Since(st.at) > stageAtMost:
			delete(k.staged, id)
			continue
		case st.left == 0:
			take = append(take, id)
		}
		k.asking = true // until it is taken, or void
	}
	for id, s := range ordered.Of(k.shares) {
		now := &k.Shares.List[id]
		if now.Holder != k.Session || s.tenure != now.Since {
			continue
		}
		settles := s.raise != 0 && s.raise >= now.Epoch
		if settles || s.frozen != nil && k.Since(s.frozen.at) > handAtMost {
			raise = append(raise, id)
		}
		k.asking = k.asking || settles || s.frozen != nil
	}
	return take, raise
}

// adoptedView ends all moves: a share is taken in the view it was handed over in,
// or not at all, so what this controller keeps still in the new one nobody else
// will take by what was handed over.
func (k *Keeper) adoptedView() {
	clear(k.staged)
	if !k.Sharing() {
		return
	}
	for id, s := range ordered.Of(k.shares) {
		if k.Shares.List[id].Holder != k.Session || k.Shares.List[id].Since != s.tenure {
			delete(k.shares, id)
		} else if s.frozen != nil {
			k.noteMove(s, true)
			k.thaw(s)
		}
	}
}

// Moved is a move of a share that has ended.
type Moved struct {
	Share   sharding.ID
	Pause   time.Duration // for how long nothing was started on it
	GivenUp bool
}

func (k *Keeper) noteMove(s *share, givenUp bool) {
	m := Moved{Share: s.id, Pause: k.Since(s.frozen.at), GivenUp: givenUp}
	k.moved = append(k.moved[max(0, len(k.moved)-movedMost):], m)
	what := "share moved"
	if givenUp {
		what = "move given up"
	}
	k.Log.Info(what, "share", int(s.id), "to", s.frozen.to, "cause", s.frozen.cause, "pause", m.Pause.Round(time.Millisecond))
}

// movedMost bounds the moves that are remembered for who asks.
const movedMost = 1000

// MovesEnded returns the moves that have ended since it was asked last.
func (k *Keeper) MovesEnded() []Moved {
	ended := k.moved
	k.moved = nil
	return ended
}

// AdoptShares goes over to a new record of the shares: what is kept here no more is
// dropped, what has come is kept, and what else has changed notices nothing but a
// later token.
func (k *Keeper) AdoptShares(old *record.Shares) {
	lost, come := map[sharding.ID]bool{}, map[sharding.ID]bool{}
	for i, now := range k.Shares.List {
		id := sharding.ID(i)
		was := record.ShareState{}
		if old != nil && i < len(old.List) {
			was = old.List[i]
		}
		switch mine, had := now.Holder == k.Session, was.Holder == k.Session; {
		case was.Since == now.Since && mine:
			if s := k.shareAt(id); s.frozen != nil && now.Epoch != was.Epoch {
				k.noteMove(s, true)
				k.thaw(s)
			}
		case was.Since == now.Since:
		case had && !mine:
			lost[id] = true
		case mine:
			come[id] = true
		}
	}
	if len(lost) > 0 {
		k.lose(lost)
	}
	if len(come) > 0 {
		k.take(come, old)
	}
	for id, st := range k.staged { // what came is taken; what its keeper goes on with is void
		if st.epoch != k.Shares.List[id].Epoch {
			delete(k.staged, id)
		}
	}
}

// lose drops what is kept of shares that others keep now, and passes on what was
// held back for them.
func (k *Keeper) lose(lost map[sharding.ID]bool) {
	for _, q := range slices.Clone(k.queuesInOrder()) {
		if lost[sharding.Of(k.Shares, q.id, q.zone)] {
			k.dropQueue(q.id)
		}
	}
	for id := range ordered.Of(lost) {
		s := k.shares[id]
		if s == nil {
			continue
		}
		delete(k.shares, id)
		if s.frozen == nil {
			continue
		}
		k.noteMove(s, false)
		for _, m := range s.frozen.held {
			k.again(m)
		}
	}
}

// thaw goes on with a share that is not handed over.
func (k *Keeper) thaw(s *share) {
	held := s.frozen.held
	s.frozen = nil
	for _, m := range held {
		k.again(m)
	}
	for _, q := range k.queuesInOrder() {
		if sharding.Of(k.Shares, q.id, q.zone) != s.id {
			continue
		}
		over := map[protocol.JobID]bool{}
		for t := range q.entries {
			over[t.Job] = k.IsOver(t.Job)
		}
		for job, is := range ordered.Of(over) {
			if is {
				k.overIn(q, job)
			}
		}
		k.wake(q)
		k.giveInventory(q)
	}
}

// again handles what was held back, here or by its new keeper.
func (k *Keeper) again(m message.PeerMessage) {
	switch {
	case m.Stop != nil:
		k.Stop(*m.Stop)
	case m.Forget != nil:
		k.Forget(*m.Forget)
	case m.Drain != nil:
		k.Drain(*m.Drain)
	}
}

// take begins to keep shares: with what was handed over, or knowing of their
// machines only what the records say.
func (k *Keeper) take(come map[sharding.ID]bool, old *record.Shares) {
	for id := range ordered.Of(come) {
		k.shareAt(id)
		if st := k.staged[id]; st != nil && st.left == 0 && st.epoch == old.List[id].Epoch {
			for _, h := range st.pieces {
				for i := range h.Queues {
					k.takeHanded(&h.Queues[i])
				}
			}
		}
		delete(k.staged, id)
	}
	for id, m := range ordered.Of(k.Records) {
		if !come[sharding.Of(k.Shares, id, m.Record.Zone)] {
			continue
		}
		q := k.queues[id]
		if q == nil {
			q = k.keep(id, m.Record.Zone)
			q.registered(m)
		}
		q.inventoryAfter = k.After(crossing)
		k.inventoryDue = append(k.inventoryDue, q)
	}
}

// takeHanded begins to keep one machine with all that its keeper before knew.
func (k *Keeper) takeHanded(h *message.HandedQueue) {
	m := k.Records[h.Machine]
	if m == nil || m.Epoch != h.Epoch || k.queues[h.Machine] != nil {
		return // another session has been registered, or it has gone
	}
	q := k.keep(h.Machine, m.Record.Zone)
	q.registered(m)
	q.session, q.seq, q.seen = max(q.session, h.Session), h.Seq, h.Seen
	if q.session != h.Session {
		return // nothing of an earlier session is left
	}
	q.known, q.sole, q.everSeen = h.Known, h.Sole, h.Everseen
	q.notice, q.draining, q.suspect, q.images = h.NoticeS, h.Draining, h.Suspect, h.Images
	q.idleSince = k.Now - clock.Time(h.Idle)
	for _, job := range h.Failed {
		q.failed[job] = k.Now
	}
	for i := range h.Entries {
		x := &h.Entries[i]
		e := &entry{
			task: x.Task, attempt: x.Attempt, estimate: x.EstimateS, need: x.Need, since: k.Now - clock.Time(x.Age),
			level: x.Level, guessed: x.Guessed, together: x.Together, from: x.From, sent: x.Sent, direct: x.Direct, present: x.Present,
			state: x.State, cause: x.Cause, saved: x.Saved, kill: x.Kill, graceS: x.GraceS, reap: x.Reap, noticed: x.Noticed, configuration: x.Configuration,
			again: x.Direct != 0, // perhaps
		}
		if x.Ran >= 0 {
			e.runs = k.Now - clock.Time(x.Ran)
		}
		if !x.Found {
			k.order++
			e.order = k.order
		}
		if !e.sent && !e.present {
			if k.IsOver(e.task.Job) {
				continue // the inventory says that it is gone
			}
			k.enqueue(q, e)
		}
		q.put(e)
	}
	k.wake(q)
}

// SharesKept is how many shares are kept.
func (k *Keeper) SharesKept() (n int) {
	if !k.Sharing() {
		return 0
	}
	for _, s := range k.Shares.List {
		if s.Holder == k.Session {
			n++
		}
	}
	return n
}
