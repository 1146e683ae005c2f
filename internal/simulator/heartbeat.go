package simulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryDelay is how long a worker waits before it tries the next node.
	heartbeatRetryDelay = time.Second
	// changedHeartbeatDelay is the time to the next heartbeat after an answer with orders.
	changedHeartbeatDelay = 500 * time.Millisecond
	// maxKeptHeartbeats bounds the heartbeats that are kept for a new view.
	maxKeptHeartbeats = 200
)

// heartbeatExchange is a heartbeat that is on its way, until it is answered or given up.
type heartbeatExchange struct {
	worker    *worker
	node      *node
	heartbeat protocol.Heartbeat
	sent      time.Duration
	over      bool
}

// sendHeartbeat sends a heartbeat to the worker's present node.
func (m *worker) sendHeartbeat() {
	w := m.world
	if w.now < m.pausedUntil {
		m.nextHeartbeat = m.pausedUntil + w.delay()
		return
	}
	if w.now < m.outboundLostUntil {
		m.tryNextNode()
		return
	}
	m.awaitsAnswer = true
	m.advanceBeforeMessage()
	x := &heartbeatExchange{worker: m, node: w.nodes[m.target], sent: w.now, heartbeat: m.Heartbeat()}
	if w.keepHeartbeats && len(w.keptHeartbeats) < maxKeptHeartbeats {
		w.keptHeartbeats = append(w.keptHeartbeats, x.heartbeat)
	}
	w.after(heartbeatTimeout, x.giveUp)
	if w.duplicateHeartbeatFraction > 0 && w.rng.Float64() < w.duplicateHeartbeatFraction {
		// Its answer goes to nobody, but the controller acts on the copy.
		w.after(2*time.Second+time.Duration(w.rng.Float64()*2*w.settings.Site.Workers.LeaseS*float64(time.Second)), func() {
			x.node.step(message.HeartbeatReceived{Heartbeat: x.heartbeat})
		})
	}
	x.node.sendToZone(m.Zone, x.deliver)
}

// tryNextNode has the worker try the next node after a while.
func (m *worker) tryNextNode() {
	m.target = (m.target + 1) % len(m.world.nodes)
	m.nextHeartbeat = m.world.now + heartbeatRetryDelay
}

// finish ends the exchange; the next heartbeat follows after a time.
func (x *heartbeatExchange) finish(next time.Duration) {
	x.over, x.worker.awaitsAnswer = true, false
	x.worker.nextHeartbeat = x.worker.world.now + next
}

// giveUp ends an exchange that failed, unless it is over.
func (x *heartbeatExchange) giveUp() {
	if !x.over {
		x.finish(heartbeatRetryDelay)
		x.worker.tryNextNode()
	}
}

// deliver delivers the heartbeat to its node.
func (x *heartbeatExchange) deliver() {
	if x.node.core == nil {
		x.giveUp()
		return
	}
	for _, a := range x.node.step(message.HeartbeatReceived{Heartbeat: x.heartbeat}) {
		if reply, ok := a.(message.ReplyHeartbeat); ok {
			w := x.worker.world
			w.onOrders(x.node, reply.Reply.Orders)
			w.after(w.workerDelay(), func() { x.answer(reply) })
		}
	}
}

// answer delivers the answer to the worker.
func (x *heartbeatExchange) answer(reply message.ReplyHeartbeat) {
	m, w := x.worker, x.worker.world
	if x.over || w.now < m.inboundLostUntil || w.now < m.outboundLostUntil {
		return
	}
	if w.now < m.pausedUntil {
		w.after(m.pausedUntil-w.now+w.delay(), func() { x.answer(reply) })
		return
	}
	switch reply.Status {
	case http.StatusOK:
		term := m.Term
		m.advanceBeforeMessage()
		m.TakeReply(x.heartbeat.AgentEpoch, x.sent, reply.Reply)
		m.nextEvent = w.now
		x.finish(time.Duration(w.settings.Site.Workers.ReportS * float64(time.Second)))
		if m.Term != term || len(reply.Reply.Orders) > 0 {
			m.nextHeartbeat = w.now + changedHeartbeatDelay
		}
	case http.StatusMisdirectedRequest:
		m.target = nodeIndex(reply.Leader)
		x.finish(w.delay())
	default:
		x.giveUp()
	}
}

// nodeIndex returns the index of a node by its name; 0 if it is unknown.
func nodeIndex(name protocol.NodeName) int {
	i, err := strconv.Atoi(strings.TrimPrefix(string(name), nodePrefix))
	if err != nil {
		return 0
	}
	return i
}

// deliverKeptHeartbeats delivers the kept heartbeats to every controller within half a
// second, once a new view is written.
func (w *world) deliverKeptHeartbeats() {
	it, _ := w.state.Get(record.ViewKey)
	if it.Version == w.viewVersion {
		return
	}
	w.viewVersion = it.Version
	for _, heartbeat := range w.keptHeartbeats {
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, func() { n.step(message.HeartbeatReceived{Heartbeat: heartbeat}) })
		}
	}
	w.keptHeartbeats = nil
}
