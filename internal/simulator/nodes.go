package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

type simNode struct {
	world    *world
	name     protocol.NodeName
	core     *controller.Core
	life     int // counts processes and sessions: answers to earlier ones are lost
	outboxes map[protocol.NodeName]*simOutbox
	session  protocol.LeaseID
	followed int
	layout   record.Layout
	frozen   time.Duration // until when its process stands still, clocks running on
	extendAt time.Duration
	// slowBy is how many times slower its process ticks until slowUntil.
	slowBy    int
	slowUntil time.Duration
	born      time.Duration
}

type simOutbox struct {
	*controller.Outbox
	busyUntil time.Duration
}

func (n *simNode) stateReachable() bool {
	w := n.world
	c, ok := w.cuts[string(n.name)+">state"]
	return w.outage <= w.now && (!ok || c.until <= w.now)
}

// settingsOf are a controller's own settings.
func (n *simNode) settingsOf() *config.Settings {
	w := n.world
	s := *w.settings
	s.Name, s.Members = n.name, nil
	for i, o := range w.nodes {
		if o == n {
			s.Zone = w.zoneOf(i)
		} else {
			s.Members = append(s.Members, config.Member{Name: o.name, Zone: w.zoneOf(i)})
		}
	}
	return &s
}

func (n *simNode) startNode() {
	w := n.world
	n.life++
	life := n.life
	level := slog.LevelError + 1
	if os.Getenv("WORLD_LOG") != "" {
		level = slog.LevelDebug
	}
	var out io.Writer = os.Stderr
	simulated := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Duration("at", w.now)
		}
		return a
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: simulated})).With("node", n.name)
	n.core = controller.NewCore(n.settingsOf(), w.operator, rand.New(rand.NewPCG(w.rng.Uint64(), 2)), log)
	n.born = w.now
	n.session = 0
	n.outboxes = map[protocol.NodeName]*simOutbox{}
	for i := range w.settings.Site.Count {
		name := protocol.NodeName(fmt.Sprint("node-", i))
		n.outboxes[name] = &simOutbox{Outbox: controller.NewOutbox(n.name, nil, log)}
	}
	n.stepNode(message.CatalogueRead{Types: w.types})
	w.after(w.delay(), func() { n.openSession(life) })
}

func (n *simNode) crash() { n.crashFor(6 * time.Second) }

// crashFor ends a controller's process, and starts it again after a while.
func (n *simNode) crashFor(d time.Duration) {
	w := n.world
	n.life++
	n.core = nil
	life := n.life
	w.after(d, func() {
		if n.life == life {
			n.layout = w.layout
			n.startNode()
		}
	})
}

// openSession does what Node.runSession does.
func (n *simNode) openSession(life int) {
	w := n.world
	if n.life != life {
		return
	}
	if !n.stateReachable() {
		w.after(300*time.Millisecond, func() { n.openSession(life) })
		return
	}
	items, at := w.state.List(record.FollowedPrefix), w.state.Changes()
	lease := w.state.Lease(w.now, simNodeLease)
	key := record.NodeKey(n.name)
	it, _ := w.state.Get(key)
	w.state.Txn(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: it.Version}},
		Changes:    []protocol.Change{{Put: key, Value: record.Node{Session: lease, Layout: n.layout}, Lease: &lease}},
	})
	n.session, n.followed, n.extendAt = lease, at, w.now
	n.stepNode(message.Snapshot{Session: lease, Items: items, WallMS: w.wallMS()})
}

func (n *simNode) clock() controller.Time {
	w := n.world
	return controller.Time(w.now-n.born) + 1
}

func (n *simNode) stepNode(msg any) []message.Action {
	w := n.world
	if n.core == nil {
		return nil
	}
	if w.now < n.frozen { // handled when it goes on; who waits for the answer has given up
		life := n.life
		w.after(n.frozen-w.now, func() {
			if n.life == life {
				n.stepNode(msg)
			}
		})
		return nil
	}
	actions := n.core.Step(n.clock(), msg)
	n.noteMoves()
	n.carryOut(actions)
	if w.exact && n.core != nil {
		for _, to := range slices.Sorted(maps.Keys(n.outboxes)) {
			n.flush(to, n.outboxes[to])
		}
	}
	return actions
}

// later gives a node's core a message, unless that process has ended.
func (n *simNode) later(msg any) {
	w := n.world
	n.alive(w.delay(), func() { n.stepNode(msg) })
}

func (n *simNode) carryOut(actions []message.Action) {
	w := n.world
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			n.outboxes[a.To].Add(a)
		case message.Commit:
			n.commit(a)
		case message.ConfigurationChanged:
			w.configured(n, a.Effective)
		case message.LoadBitmap:
			ok := n.stateReachable()
			n.later(message.BitmapLoaded{Job: a.Job, Chunks: w.state.List(record.BitmapPrefix(a.Job)), OK: ok})
		case message.Command:
			w.ordered(n, a.Commands.Orders)
			n.command(a)
		case message.Provision:
			if w.silent > w.now {
				n.later(message.ProvisionDone{Request: a.Request, Outcome: message.OutcomeUnknown})
				continue
			}
			all, fresh := w.cloud.Rent(a.Request)
			for _, id := range fresh {
				w.rented(id, a.Request)
				w.after(w.bootTime(a.Request), func() {
					if _, ok := w.cloud.Machines[id]; ok {
						w.boot(id, a.Request)
					}
				})
			}
			out := message.OutcomeDone
			if len(all) == 0 {
				out = message.OutcomeFailed
			}
			n.later(message.ProvisionDone{Request: a.Request, Machines: all, Outcome: out})
		case message.Terminate:
			if w.silent > w.now {
				n.later(message.TerminateDone{Machines: a.Machines})
				continue
			}
			for _, id := range a.Machines {
				w.kill(id)
				delete(w.cloud.Machines, id)
			}
			n.later(message.TerminateDone{Machines: a.Machines, OK: true})
		case message.ListMachines:
			if w.silent > w.now {
				n.later(message.MachinesListed{})
				continue
			}
			var list []protocol.ListedMachine
			for _, id := range slices.Sorted(maps.Keys(w.cloud.Machines)) {
				r := w.cloud.Machines[id]
				st := "booting"
				if w.workers[id] != nil {
					st = "running"
				}
				list = append(list, protocol.ListedMachine{ID: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: st, AgeS: w.heldS(id)})
			}
			n.later(message.MachinesListed{Machines: list, OK: true})
		}
	}
}

// commit applies a core's transaction.
func (n *simNode) commit(a message.Commit) {
	w := n.world
	w.checkSize(a)
	n.transact(a.Txn, func(out message.Outcome, at protocol.Revision) {
		n.stepNode(message.CommitDone{Tag: a.Tag, Outcome: out, Revision: at})
	})
}

// transact applies a transaction of a process, which is told of the outcome unless it
// has ended; behind a cut it may be applied late, with no answer.
func (n *simNode) transact(txn protocol.Transaction, done func(message.Outcome, protocol.Revision)) {
	w := n.world
	if !n.stateReachable() {
		c := w.cuts[string(n.name)+">state"]
		if c.hold && w.outage <= w.now {
			w.after(c.until-w.now+w.delay(), func() { w.state.Txn(txn) })
			n.unanswered(done)
			return
		}
		n.alive(w.delay(), func() { done(message.OutcomeRefused, 0) })
		return
	}
	if w.lateWrites > 0 && w.rng.Float64() < w.lateWrites {
		w.after(2*time.Second+time.Duration(w.rng.IntN(10_000))*time.Millisecond, func() { w.state.Txn(txn) })
		n.unanswered(done)
		return
	}
	if w.slow > 0 {
		w.after(w.slow/2, func() { n.execute(txn, done) })
		return
	}
	n.execute(txn, done)
}

// alive does something later, unless a process has ended by then.
func (n *simNode) alive(d time.Duration, do func()) {
	w := n.world
	life := n.life
	w.after(d, func() {
		if n.life == life {
			do()
		}
	})
}

// unanswered has a process give a transaction up.
func (n *simNode) unanswered(done func(message.Outcome, protocol.Revision)) {
	n.alive(1500*time.Millisecond, func() { done(message.OutcomeUnknown, 0) })
}

func (n *simNode) execute(txn protocol.Transaction, done func(message.Outcome, protocol.Revision)) {
	w := n.world
	out := message.OutcomeFailed
	if w.state.Txn(txn) {
		out = message.OutcomeDone
		w.followSoon()
	}
	at := w.state.Revision
	if w.rng.IntN(20) == 0 || w.lostAnswers > 0 && w.rng.Float64() < w.lostAnswers {
		out = message.OutcomeUnknown // the answer is lost
	}
	n.alive(w.slow/2, func() {
		n.alive(w.delay(), func() { done(out, at) })
	})
}

// checkSize holds a transaction against the limits of the state service.
func (w *world) checkSize(a message.Commit) {
	s := w.settings.Site.State
	if ops := len(a.Txn.Changes); ops > s.TxnOps || len(a.Txn.Conditions) > 4*s.TxnOps {
		w.fail("%v transaction %T of %d conditions and %d changes", w.now, a.Tag, len(a.Txn.Conditions), ops)
	}
	total := 0
	for _, ch := range a.Txn.Changes {
		if b, ok := ch.Value.(record.Block); ok {
			w.blockWrites++
			text, err := json.Marshal(b)
			if total += len(text); err != nil || float64(len(text)) > 1024*s.ValueKB || total > 64<<10 {
				w.fail("%v value of %d bytes, %d in all, %v", w.now, len(text), total, err)
			}
		}
	}
}

func (n *simNode) command(a message.Command) {
	w := n.world
	life := n.life
	answered := false
	done := message.CommandDone{Machine: a.Machine, Term: a.Commands.Term, AgentEpoch: a.Commands.AgentEpoch, Orders: a.Commands.Orders}
	sw := w.workers[a.Machine]
	if sw == nil {
		sw = &simWorker{world: w, Worker: &fake.Worker{Dead: true}}
	}
	var execute func()
	execute = func() {
		if sw.Dead || w.now < sw.deaf {
			return
		}
		if w.now < sw.hung { // executed when it goes on, before or after what else has come
			w.after(sw.hung-w.now+w.delay(), execute)
			return
		}
		sw.tickWorker()
		done.Executed = sw.Do(a.Commands)
		sw.due = w.now
		done.Heartbeat = sw.Report()
		done.Answered = true
		if w.rng.IntN(30) == 0 {
			done.Answered = false // the answer is lost
			return
		}
		w.after(w.workerDelay(), func() {
			if !answered && n.life == life {
				answered = true
				n.stepNode(done)
			}
		})
	}
	n.carryToZone(sw.Zone, execute)
	w.after(dispatcher.DirectTimeout, func() {
		if !answered && n.life == life {
			answered = true
			done.Answered = false
			n.stepNode(done)
		}
	})
}

// tickMS is the time of day that ticks bring; in worlds of a minute or two that of
// the session will do.
func (w *world) tickMS() int64 {
	if !w.exact {
		return 0
	}
	return w.wallMS()
}

// age is how long ago a change of the state service happened.
func (w *world) age(i int) time.Duration {
	if i -= w.state.Before; i >= len(w.loggedAt) {
		return 0 // in this step
	}
	return w.now - w.loggedAt[i]
}

// follow brings a controller the changes that it follows.
func (n *simNode) follow() {
	w := n.world
	for n.followed < w.state.Changes() && w.age(n.followed) >= w.slow+w.lag {
		ev := w.state.Change(n.followed)
		n.followed++
		if strings.HasPrefix(ev.Put+ev.Delete, record.FollowedPrefix) {
			n.stepNode(message.RecordChanged{Event: ev})
		}
	}
}

// followSoon has all controllers follow what has just changed, where events happen
// at their own times.
func (w *world) followSoon() {
	if !w.exact {
		return
	}
	for _, n := range w.nodes {
		life := n.life
		w.after(w.delay(), func() {
			if n.life == life && n.core != nil && n.session != 0 && w.now >= n.frozen && n.stateReachable() {
				n.follow()
			}
		})
	}
}

func (n *simNode) tickNode() {
	w := n.world
	if n.core == nil || w.now < n.frozen {
		return
	}
	if n.session != 0 && n.stateReachable() {
		n.follow()
		if w.now >= n.extendAt {
			n.extendAt = w.now + time.Second
			if !w.state.Extend(w.now, n.session) {
				n.session = 0
				n.stepNode(message.SessionEnded{})
				for _, o := range n.outboxes {
					o.busyUntil = 0
				}
				life := n.life
				w.after(300*time.Millisecond, func() { n.openSession(life) })
				return
			}
			n.stepNode(message.LeaseExtended{Until: controller.LeaseDeadline(w.ownLease, n.clock(), n.clock()-controller.Time(w.slow+w.lag))})
		}
	}
	if n.slowBy > 1 && w.now < n.slowUntil && int(w.now/w.step)%n.slowBy != 0 {
		return // it computes so many times slower
	}
	if w.exact || w.now%(2*w.step) == 0 {
		n.stepNode(message.Tick{WallMS: w.tickMS()})
	}
	for _, to := range slices.Sorted(maps.Keys(n.outboxes)) {
		n.flush(to, n.outboxes[to])
	}
}

func (n *simNode) flush(to protocol.NodeName, o *simOutbox) {
	w := n.world
	if w.now < o.busyUntil {
		return
	}
	b, ok := o.Batch()
	if !ok {
		return
	}
	o.busyUntil = w.now + controller.PeerTimeout
	life := n.life
	var peer *simNode
	for _, p := range w.nodes {
		if p.name == to {
			peer = p
		}
	}
	w.carry(string(n.name), string(to), func() {
		for _, a := range peer.stepNode(message.BatchReceived{Batch: b}) {
			if rb, ok := a.(message.ReplyBatch); ok {
				w.carry(string(to), string(n.name), func() {
					if n.life == life {
						o.HandleReply(b, rb.Reply)
						o.busyUntil = w.now
					}
				})
			}
		}
	})
}
