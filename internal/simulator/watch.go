package simulator

import (
	"time"

	"damsonkeel/internal/controller"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

const (
	// minSlowWatch and maxSlowWatch bound how long a slow answer to a watch takes.
	minSlowWatch = 100 * time.Millisecond
	maxSlowWatch = 600 * time.Millisecond
)

// slowWatch is a watch of a session whose answer is on its way. The process receives the answer
// even if the session ends before it arrives.
type slowWatch struct {
	session  protocol.LeaseID
	composed time.Duration // when the key-value store composed the answer
	events   []protocol.Event
}

// deliverWatchedChanges passes changes of the key-value store to the core once they are older
// than the latency of the key-value store and the lag of the watch. The answer of a slow watch
// takes longer, and the session watches no further before it has arrived.
func (n *node) deliverWatchedChanges() {
	if n.slowWatch != nil {
		return
	}
	w := n.world
	if n.hasChangesToDeliver() && (n.nextWatchSlow || w.slowWatchFraction > 0 && w.rng.Float64() < w.slowWatchFraction) {
		n.nextWatchSlow = false
		n.answerSlowly()
		return
	}
	for n.hasChangesToDeliver() {
		if event := n.nextChange(); isWatched(event) {
			n.stepInSession(n.session, message.RecordChanged{Event: event})
		}
	}
}

// answerSlowly delivers the changes that are due after a random time between minSlowWatch and
// maxSlowWatch.
func (n *node) answerSlowly() {
	w := n.world
	watch := &slowWatch{session: n.session, composed: w.now}
	for n.hasChangesToDeliver() {
		if event := n.nextChange(); isWatched(event) {
			watch.events = append(watch.events, event)
		}
	}
	n.slowWatch = watch
	n.afterIfAlive(minSlowWatch+time.Duration(w.rng.Int64N(int64(maxSlowWatch-minSlowWatch))), func() {
		for _, event := range watch.events {
			n.stepInSession(watch.session, message.RecordChanged{Event: event})
		}
		if n.slowWatch == watch {
			n.slowWatch = nil
		}
	})
}

// hasChangesToDeliver reports whether there is a change that the session's watches have not
// returned yet and that is old enough to be delivered.
func (n *node) hasChangesToDeliver() bool {
	w := n.world
	return n.watchedChanges < w.state.Changes() && w.changeAge(n.watchedChanges) >= w.stateLatency+w.watchLag
}

// nextChange returns the next change and counts it as returned.
func (n *node) nextChange() protocol.Event {
	event := n.world.state.Change(n.watchedChanges)
	n.watchedChanges++
	return event
}

// watchOpenedAt returns, by the node's clock, when the last watch that was answered was opened:
// the core has received all changes up to then.
func (n *node) watchOpenedAt() controller.Time {
	w := n.world
	openedAt := n.clock() - controller.Time(w.stateLatency+w.watchLag)
	if n.slowWatch != nil {
		openedAt -= controller.Time(w.now - n.slowWatch.composed)
	}
	return openedAt
}
