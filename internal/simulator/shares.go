package simulator

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// shares is the record of the shares, if there is one.
func (w *world) shares() (s record.ShardTable, ok bool) {
	it, there := w.state.Get(record.ShardTableKey)
	if !there {
		return s, false
	}
	if err := protocol.Decode(it.Value, &s); err != nil {
		w.fail("%v record of the shares: %v", w.now, err)
	}
	return s, true
}

// held lists the shares that a controller's session keeps by the records.
func (n *simNode) held() (ids []int) {
	w := n.world
	s, _ := w.shares()
	for i, st := range s.List {
		if n.session != 0 && st.Holder == n.session {
			ids = append(ids, i)
		}
	}
	return ids
}

// move has an operator move some shares of one controller to another; it reports
// whether anybody takes the request.
func (w *world) move(ids []int, to *simNode) bool {
	for _, n := range w.nodes {
		if n.core == nil || w.now < n.frozen {
			continue
		}
		if reply, _ := n.core.Decide("ops", &operatorapi.Request{Op: operatorapi.OpMove, Shares: ids, Controller: to.name}); reply.Code == operatorapi.Done {
			return true
		}
	}
	return false
}

// moveSome moves up to so many shares from any controller to any other.
func (w *world) moveSome(most int) {
	from, to := w.nodes[w.rng.IntN(3)], w.nodes[w.rng.IntN(3)]
	ids := from.held()
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if n := min(len(ids), 1+w.rng.IntN(most)); n > 0 && from != to {
		w.move(ids[:n], to)
	}
}

// handOverWithin is how long a controller takes to end at the most, as in reality.
const handOverWithin = 10 * time.Second

// leave tells a controller to end by a signal: it hands over what it keeps, ends
// its lease, and comes back after a while.
func (n *simNode) leave() {
	w := n.world
	life, end := n.life, w.now+handOverWithin
	n.stepNode(message.Shutdown{})
	var wait func()
	wait = func() {
		if n.life != life || n.core == nil {
			return
		}
		if n.session != 0 && !n.core.HandedOver() && w.now < end {
			w.after(100*time.Millisecond, wait)
			return
		}
		if n.session != 0 && n.stateReachable() {
			w.state.Release(n.session)
		}
		n.crash()
	}
	w.after(100*time.Millisecond, wait)
}

// noteMoves takes note of the moves of shares that a controller has seen end.
func (n *simNode) noteMoves() {
	w := n.world
	for _, m := range n.core.CompletedMoves() {
		if m.GivenUp {
			w.givenUp++
		} else {
			w.pauses, w.movedAt[m.Shard] = append(w.pauses, m.Pause), w.now
		}
	}
}

// pause99 is how long moves pause starts on a share at the 99th percentile.
func (w *world) pause99() time.Duration {
	if len(w.pauses) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.pauses))
	return sorted[(len(sorted)*99)/100]
}

// rollBySignal tells all controllers to end, one after the other.
func (w *world) rollBySignal() {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*30*time.Second, func() {
			if n.core != nil {
				n.leave()
			}
		})
	}
}

// ending is how a task's attempt ended, shortly after its machine's share moved.
type ending struct {
	why   protocol.EndCause
	moved bool
}

// afterMove is how long after a move of its machine's share an end may be due to
// that.
const afterMove = 10 * time.Second

// ends notes how a task ends.
func (p *player) ends(id protocol.MachineID, t protocol.TaskID, why protocol.EndCause) {
	s, ok := p.shares()
	sw := p.workers[id]
	if !ok || sw == nil {
		return
	}
	at, moved := p.movedAt[sharding.Of(&s, id, sw.Zone)]
	p.endings[t] = ending{why, moved && p.now-at < afterMove}
}

// startsAgain counts a task that starts once more, if a move may be why: what a move
// coincides with counts, too.
func (p *player) startsAgain(t protocol.TaskID) {
	switch e := p.endings[t]; {
	case !e.moved:
	case e.why == protocol.EndDone:
		p.lostByMoves++
	default:
		p.stoppedByMoves++
	}
}
