package simulator

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// nodePrefix is the prefix of node names; the index of the node follows.
	nodePrefix = "node-"
	// restartDelay is how long a process is down after a crash or exit.
	restartDelay = 6 * time.Second
	// sessionRetryDelay is the time between two attempts to open a session.
	sessionRetryDelay = 300 * time.Millisecond
	// renewInterval is the interval at which a session's lease is renewed.
	renewInterval = time.Second
	// logEnvVar is the environment variable that, if not empty, enables the logs of
	// controllers, at all levels, on standard error.
	logEnvVar = "WORLD_LOG"
)

// node is a simulated node that runs the core of a controller.
type node struct {
	world          *world
	name           protocol.NodeName
	core           *controller.Core // nil while the process is down
	incarnation    int              // number of the process; replies to earlier processes are lost
	startedAt      time.Duration
	outboxes       map[protocol.NodeName]*outbox
	session        protocol.LeaseID // session of the key-value store; 0 if there is none
	renewAt        time.Duration    // when the session's lease is next renewed
	watchedChanges int              // number of changes that the session's watches have returned so far
	// slowWatch is the session's watch whose answer is on its way; nil if there is none.
	slowWatch     *slowWatch
	nextWatchSlow bool // the next watch that returns changes is answered slowly
	layout        record.Layout
	pausedUntil   time.Duration // the process is paused until then, while its clocks run on
	// slowdown is the factor by which the process ticks less often, until slowdownUntil.
	slowdown      int
	slowdownUntil time.Duration
}

// outbox queues the messages of a node to one peer, which are sent in batches, one at a time.
type outbox struct {
	*controller.Outbox
	busyUntil time.Duration // a batch is in flight until then
}

// settings returns the world's settings with the node's own name and zone and the list of the
// other nodes.
func (n *node) settings() *config.Settings {
	w := n.world
	s := *w.settings
	s.Name, s.Members = n.name, nil
	for i, other := range w.nodes {
		if other == n {
			s.Zone = w.nodeZone(i)
		} else {
			s.Members = append(s.Members, config.Member{Name: other.name, Zone: w.nodeZone(i)})
		}
	}
	return &s
}

// logger returns the logger of the node's controller. It logs simulated time to standard error
// if logEnvVar is set, and otherwise logs nothing.
func (n *node) logger() *slog.Logger {
	level := slog.LevelError + 1
	if os.Getenv(logEnvVar) != "" {
		level = slog.LevelDebug
	}
	simulatedTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Duration("at", n.world.now)
		}
		return a
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: simulatedTime})
	return slog.New(handler).With("node", n.name)
}

// start starts the node's process: it creates the core and empty outboxes, passes the
// catalogue of machine types to the core, and opens a session after a network delay.
func (n *node) start() {
	w := n.world
	n.incarnation++
	incarnation := n.incarnation
	log := n.logger()
	n.core = controller.NewCore(n.settings(), w.operator, rand.New(rand.NewPCG(w.rng.Uint64(), 2)), log)
	n.startedAt = w.now
	n.session = 0
	n.outboxes = map[protocol.NodeName]*outbox{}
	for i := range w.settings.Site.Count {
		name := protocol.NodeName(fmt.Sprint(nodePrefix, i))
		n.outboxes[name] = &outbox{Outbox: controller.NewOutbox(n.name, nil, log)}
	}
	n.step(message.CatalogueRead{Types: w.types})
	w.after(w.delay(), func() { n.openSession(incarnation) })
}

// crash ends the node's process and restarts it after restartDelay.
func (n *node) crash() { n.crashFor(restartDelay) }

// crashFor ends the node's process and restarts it after the duration d.
func (n *node) crashFor(d time.Duration) {
	w := n.world
	n.incarnation++
	n.core = nil
	n.afterIfAlive(d, func() {
		n.layout = w.layout
		n.start()
	})
}

// openSession opens a session of the key-value store, writes the node's record under its
// lease, and passes a snapshot of the watched records to the core, as the controller's real
// node does. While the key-value store is unreachable, it retries every sessionRetryDelay. It
// does nothing if the process of the given incarnation has ended.
func (n *node) openSession(incarnation int) {
	w := n.world
	if n.incarnation != incarnation {
		return
	}
	if !n.stateReachable() {
		w.after(sessionRetryDelay, func() { n.openSession(incarnation) })
		return
	}
	items, at, revision := w.state.List(record.FollowedPrefix), w.state.Changes(), w.state.Revision
	lease := w.state.GrantLease(w.now, nodeLeaseDuration)
	key := record.NodeKey(n.name)
	it, _ := w.state.Get(key)
	w.state.Execute(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: it.Version}},
		Changes:    []protocol.Change{{Put: key, Value: record.Node{Session: lease, Layout: n.layout}, Lease: &lease}},
	})
	n.session, n.watchedChanges, n.renewAt, n.slowWatch = lease, at, w.now, nil
	n.step(message.Snapshot{Session: lease, Items: items, Revision: revision, WallMS: w.wallMS()})
}

// clock returns the time of the node's monotonic clock, which starts near zero with the
// process.
func (n *node) clock() controller.Time { return controller.Time(n.world.now-n.startedAt) + 1 }

// afterIfAlive schedules do to run after the duration d, unless the node's process has ended
// by then.
func (n *node) afterIfAlive(d time.Duration, do func()) {
	incarnation := n.incarnation
	n.world.after(d, func() {
		if n.incarnation == incarnation {
			do()
		}
	})
}

// step passes a message to the core, executes the actions that the core returns, and returns
// them too. It returns nil if the process is down or paused; a paused process handles the
// message on resume.
func (n *node) step(msg any) []message.Action {
	w := n.world
	if n.core == nil {
		return nil
	}
	if w.now < n.pausedUntil { // handled on resume; whoever waits for the reply has timed out by then
		n.afterIfAlive(n.pausedUntil-w.now, func() { n.step(msg) })
		return nil
	}
	actions := n.core.Step(n.clock(), msg)
	n.recordMoves()
	n.execute(actions)
	if w.eventDriven && n.core != nil {
		n.flushAll()
	}
	return actions
}

// stepInSession passes a message that belongs to a session to the core.
func (n *node) stepInSession(session protocol.LeaseID, msg message.SessionMessage) {
	n.step(message.InSession{Session: session, Message: msg})
}

// deliver passes the result of a request of the core's current session to the core after a
// network delay, unless the process has ended by then.
func (n *node) deliver(msg message.SessionMessage) {
	session := n.core.Session
	n.afterIfAlive(n.world.delay(), func() { n.stepInSession(session, msg) })
}

// tick advances the node by one step: it delivers watched changes and renews the session if it
// can reach the key-value store, ticks the core, and sends queued messages to peers. It does
// nothing while the process is down or paused.
func (n *node) tick() {
	w := n.world
	if n.core == nil || w.now < n.pausedUntil {
		return
	}
	if n.session != 0 && n.stateReachable() {
		n.deliverWatchedChanges()
		if w.now >= n.renewAt && !n.renewSession() {
			return
		}
	}
	if n.slowdown > 1 && w.now < n.slowdownUntil && int(w.now/w.step)%n.slowdown != 0 {
		return // a slowed process misses most ticks
	}
	if w.eventDriven || w.now%(2*w.step) == 0 {
		n.step(message.Tick{WallMS: w.tickMS()})
	}
	n.flushAll()
}

// renewSession renews the session's lease and reports the new deadline to the core. If the
// lease has expired, it reports the end of the session to the core, schedules the opening of
// another session and returns false.
func (n *node) renewSession() bool {
	w := n.world
	n.renewAt = w.now + renewInterval
	if w.state.ExtendLease(w.now, n.session) {
		n.stepInSession(n.session, message.LeaseExtended{Until: controller.LeaseDeadline(w.nodeLease, n.clock(), n.watchOpenedAt())})
		return true
	}
	n.stepInSession(n.session, message.SessionEnded{})
	n.session = 0
	for _, o := range n.outboxes {
		o.busyUntil = 0
	}
	incarnation := n.incarnation
	w.after(sessionRetryDelay, func() { n.openSession(incarnation) })
	return false
}

// tickMS returns the time of day that ticks carry. Worlds that are not event-driven last
// only a few minutes, so there the time of day from the session's snapshot is enough and
// ticks carry 0.
func (w *world) tickMS() int64 {
	if !w.eventDriven {
		return 0
	}
	return w.wallMS()
}

// scheduleWatch makes all nodes deliver the latest changes after a network delay, in an
// event-driven world.
func (w *world) scheduleWatch() {
	if !w.eventDriven {
		return
	}
	for _, n := range w.nodes {
		n.afterIfAlive(w.delay(), func() {
			if n.core != nil && n.session != 0 && w.now >= n.pausedUntil && n.stateReachable() {
				n.deliverWatchedChanges()
			}
		})
	}
}

// flushAll sends the next batch of queued messages to each peer, in order of the peers' names,
// unless one to that peer is in flight.
func (n *node) flushAll() {
	for _, to := range slices.Sorted(maps.Keys(n.outboxes)) {
		n.flush(to, n.outboxes[to])
	}
}

// flush sends the next batch to a peer unless one is in flight. A batch counts as in flight
// until its reply arrives, the session expires, or controller.PeerTimeout has passed.
func (n *node) flush(to protocol.NodeName, o *outbox) {
	w := n.world
	if w.now < o.busyUntil {
		return
	}
	batch, ok := o.NextBatch()
	if !ok {
		return
	}
	o.busyUntil = w.now + controller.PeerTimeout
	incarnation := n.incarnation
	peer := w.nodeByName(to)
	w.send(string(n.name), string(to), func() {
		for _, a := range peer.step(message.BatchReceived{Batch: batch}) {
			if reply, ok := a.(message.ReplyBatch); ok {
				w.send(string(to), string(n.name), func() {
					if n.incarnation == incarnation {
						o.HandleReply(batch, reply.Reply)
						o.busyUntil = w.now
					}
				})
			}
		}
	})
}

// nodeByName returns the node with the given name, or nil if there is none.
func (w *world) nodeByName(name protocol.NodeName) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}
