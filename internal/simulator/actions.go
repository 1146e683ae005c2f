package simulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// States of machines in the list that the cloud returns.
const (
	machineBooting = "booting"
	machineRunning = "running"
)

// isWatched reports whether a change of the key-value store is to a record that every
// controller watches, that is, whose key begins with record.FollowedPrefix.
func isWatched(ev protocol.Event) bool {
	return strings.HasPrefix(ev.Put+ev.Delete, record.FollowedPrefix)
}

// execute carries out the actions that the core has returned: it queues messages to peers,
// applies transactions, and sends commands to workers and requests to the cloud. The outcomes
// reach the core later, as messages.
func (n *node) execute(actions []message.Action) {
	w := n.world
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			n.outboxes[a.To].Add(a)
		case message.Commit:
			n.commit(a)
		case message.ConfigurationChanged:
			w.onConfiguration(n, a.Effective)
		case message.LoadBitmap:
			ok := n.stateReachable()
			n.deliver(message.BitmapLoaded{Job: a.Job, Term: a.Term, Chunks: w.state.List(record.BitmapPrefix(a.Job)), OK: ok})
		case message.Command:
			n.sendCommands(a)
		case message.Provision:
			n.provision(a)
		case message.Terminate:
			n.terminate(a)
		case message.ListMachines:
			n.listMachines()
		}
	}
}

// isCloudSilent reports whether the cloud currently does not answer, because of an injected
// fault.
func (w *world) isCloudSilent() bool { return w.cloudSilentUntil > w.now }

// provision requests machines from the cloud and passes the outcome to the core: unknown if
// the cloud does not answer, failed if it grants no machine. Each new machine boots after its
// boot time, unless it has been terminated by then.
func (n *node) provision(a message.Provision) {
	w := n.world
	if w.isCloudSilent() {
		n.deliver(message.ProvisionDone{Request: a.Request, Outcome: message.OutcomeUnknown})
		return
	}
	machines, newMachines := w.cloud.Provision(a.Request)
	for _, id := range newMachines {
		w.onProvisioned(id, a.Request)
		w.after(w.bootTime(a.Request), func() {
			if _, ok := w.cloud.Machines[id]; ok {
				w.bootMachine(id, a.Request)
			}
		})
	}
	outcome := message.OutcomeDone
	if len(machines) == 0 {
		outcome = message.OutcomeFailed
	}
	n.deliver(message.ProvisionDone{Request: a.Request, Machines: machines, Outcome: outcome})
}

// terminate makes the cloud terminate machines at once and reports the outcome to the core. If
// the cloud does not answer, the machines stay and the outcome is not OK.
func (n *node) terminate(a message.Terminate) {
	w := n.world
	if w.isCloudSilent() {
		n.deliver(message.TerminateDone{Machines: a.Machines})
		return
	}
	for _, id := range a.Machines {
		w.killMachine(id)
		delete(w.cloud.Machines, id)
	}
	n.deliver(message.TerminateDone{Machines: a.Machines, OK: true})
}

// listMachines passes the cloud's list of all existing machines, booting or running, to the
// core; if the cloud does not answer, an empty list that is not OK.
func (n *node) listMachines() {
	w := n.world
	if w.isCloudSilent() {
		n.deliver(message.MachinesListed{})
		return
	}
	var list []protocol.ListedMachine
	for _, id := range slices.Sorted(maps.Keys(w.cloud.Machines)) {
		r := w.cloud.Machines[id]
		state := machineBooting
		if w.workers[id] != nil {
			state = machineRunning
		}
		list = append(list, protocol.ListedMachine{ID: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: state, AgeS: w.ageS(id)})
	}
	n.deliver(message.MachinesListed{Machines: list, OK: true})
}

// commandExchange is a command in flight to a worker, until the reply arrives or the command
// times out.
type commandExchange struct {
	node        *node
	incarnation int              // incarnation of the node that sent the command
	session     protocol.LeaseID // session in which it was sent
	worker      *worker
	commands    protocol.Commands
	done        message.CommandDone
	finished    bool
}

// sendCommands sends commands to a worker and passes the reply to the core; without a reply
// within dispatcher.DirectCommandTimeout, it reports the commands as unanswered. The fraction
// commandWaitFraction waits for a command slot first.
func (n *node) sendCommands(a message.Command) {
	w := n.world
	x := &commandExchange{
		node: n, incarnation: n.incarnation, session: n.core.Session, worker: w.workers[a.Machine], commands: a.Commands,
		done: a.Done(),
	}
	if x.worker == nil {
		x.worker = &worker{world: w, Worker: &fake.Worker{Dead: true}}
	}
	if w.commandWaitFraction > 0 && w.rng.Float64() < w.commandWaitFraction {
		n.afterIfAlive(time.Duration(w.rng.Int64N(int64(dispatcher.DirectCommandTimeout))), x.sendAfterWait)
		return
	}
	x.send()
}

// send sends the commands to the worker.
func (x *commandExchange) send() {
	w := x.node.world
	w.onOrders(x.node, x.commands.Orders)
	x.node.sendToZone(x.worker.Zone, x.execute)
	w.after(dispatcher.DirectCommandTimeout, func() {
		x.done.Answered = false
		x.finish()
	})
}

// sendAfterWait sends the commands if the core would still send them, and otherwise reports them
// as withheld. A paused process does so when it resumes.
func (x *commandExchange) sendAfterWait() {
	n := x.node
	switch w := n.world; {
	case w.now < n.pausedUntil:
		n.afterIfAlive(n.pausedUntil-w.now, x.sendAfterWait)
	case n.core.MaySend(n.clock(), x.session, &x.commands):
		x.send()
	default:
		x.done.Withheld = true
		x.finish()
	}
}

// execute makes the worker execute the commands and reply. A terminated worker, or one that
// commands do not reach, does nothing; a paused one executes them when it resumes. One reply
// in thirty is lost.
func (x *commandExchange) execute() {
	m, w := x.worker, x.node.world
	if m.Dead || w.now < m.inboundLostUntil {
		return
	}
	if m.deferWhilePaused(x.execute) {
		return
	}
	m.advanceBeforeMessage()
	x.done.Executed = m.Execute(x.commands)
	m.nextEvent = w.now
	x.done.Heartbeat = m.Heartbeat()
	if w.commandCopyFraction > 0 && x.done.Executed && w.rng.Float64() < w.commandCopyFraction {
		w.after(fake.CopyDelay(w.rng, maxCopyDelay), x.executeCopy)
	}
	x.done.Answered = true
	if w.rng.IntN(30) == 0 {
		x.done.Answered = false // the reply is lost
		return
	}
	w.after(w.workerDelay(), x.finish)
}

// executeCopy makes the worker execute the commands once more, as if the network had held back
// a copy of them. Nobody waits for the reply.
func (x *commandExchange) executeCopy() {
	m, w := x.worker, x.node.world
	if m.Dead || m.deferWhilePaused(x.executeCopy) {
		return
	}
	m.advanceBeforeMessage()
	w.commandCopies++
	for _, task := range m.ExecuteCopy(x.commands) {
		w.onRepeatedStart(repeatedStart{at: w.now, machine: m.ID, task: task})
	}
	m.nextEvent = w.now
}

// finish passes the outcome of the commands to the core, at most once and only if the process
// that sent them still runs.
func (x *commandExchange) finish() {
	if !x.finished && x.node.incarnation == x.incarnation {
		x.finished = true
		x.node.stepInSession(x.session, x.done)
	}
}
