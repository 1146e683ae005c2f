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
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryDelay is how long a worker waits, after a failed heartbeat, before it
	// sends one to the next node.
	heartbeatRetryDelay = time.Second
	// changedHeartbeatDelay is the time until the next heartbeat after a reply that carried
	// orders or a new fencing token.
	changedHeartbeatDelay = 500 * time.Millisecond
	// maxRecordedHeartbeats bounds the number of heartbeats recorded for replay after the
	// next view change.
	maxRecordedHeartbeats = 200
)

// heartbeatExchange is a heartbeat in flight, until the reply arrives or the worker abandons
// the exchange.
type heartbeatExchange struct {
	worker    *worker
	node      *node
	heartbeat protocol.Heartbeat
	sent      time.Duration
	finished  bool
}

// sendHeartbeat sends a heartbeat to the worker's target node. A paused worker sends it on
// resume; one whose messages are lost tries the next node. The exchange is abandoned after
// heartbeatTimeout. The heartbeat may be sent twice or recorded for replay, as the world is
// configured.
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
	m.awaitsReply = true
	m.advanceBeforeMessage()
	x := &heartbeatExchange{worker: m, node: w.nodes[m.targetNode], sent: w.now, heartbeat: m.Heartbeat()}
	if w.recordHeartbeats && len(w.recordedHeartbeats) < maxRecordedHeartbeats {
		w.recordedHeartbeats = append(w.recordedHeartbeats, x.heartbeat)
	}
	w.after(heartbeatTimeout, x.abandon)
	if w.duplicateHeartbeatFraction > 0 && w.rng.Float64() < w.duplicateHeartbeatFraction {
		// The reply to the duplicate is dropped, but the controller acts on the duplicate.
		w.after(2*time.Second+time.Duration(w.rng.Float64()*2*w.settings.Site.Workers.LeaseS*float64(time.Second)), func() {
			x.node.step(message.HeartbeatReceived{Heartbeat: x.heartbeat})
		})
	}
	x.node.sendToZone(m.Zone, x.deliverHeartbeat)
}

// tryNextNode makes the worker send its next heartbeat to the next node, after
// heartbeatRetryDelay.
func (m *worker) tryNextNode() {
	m.targetNode = (m.targetNode + 1) % len(m.world.nodes)
	m.nextHeartbeat = m.world.now + heartbeatRetryDelay
}

// finish ends the exchange and schedules the next heartbeat after the duration next.
func (x *heartbeatExchange) finish(next time.Duration) {
	x.finished, x.worker.awaitsReply = true, false
	x.worker.nextHeartbeat = x.worker.world.now + next
}

// abandon ends an exchange that failed, unless it has already finished, and selects the next
// node.
func (x *heartbeatExchange) abandon() {
	if !x.finished {
		x.finish(heartbeatRetryDelay)
		x.worker.tryNextNode()
	}
}

// deliverHeartbeat passes the heartbeat to the node's core and sends its reply, if there is
// one, to the worker. If the node's process is down, the exchange is abandoned.
func (x *heartbeatExchange) deliverHeartbeat() {
	if x.node.core == nil {
		x.abandon()
		return
	}
	for _, a := range x.node.step(message.HeartbeatReceived{Heartbeat: x.heartbeat}) {
		if reply, ok := a.(message.ReplyHeartbeat); ok {
			w := x.worker.world
			w.onOrders(x.node, reply.Reply.Orders)
			w.after(w.workerDelay(), func() { x.deliverReply(reply) })
		}
	}
}

// deliverReply delivers the reply to the worker, unless the exchange has finished or the reply
// is lost; a paused worker receives it on resume. The worker processes a reply with status OK;
// one that names another node (misdirected request) makes it send the next heartbeat there,
// and any other status to the next node.
func (x *heartbeatExchange) deliverReply(reply message.ReplyHeartbeat) {
	m, w := x.worker, x.worker.world
	if x.finished || w.now < m.inboundLostUntil || w.now < m.outboundLostUntil {
		return
	}
	if m.deferWhilePaused(func() { x.deliverReply(reply) }) {
		return
	}
	switch reply.Status {
	case http.StatusOK:
		term := m.Term
		m.advanceBeforeMessage()
		m.ProcessReply(x.heartbeat.AgentEpoch, x.sent, reply.Reply)
		m.nextEvent = w.now
		x.finish(time.Duration(w.settings.Site.Workers.ReportS * float64(time.Second)))
		if m.Term != term || len(reply.Reply.Orders) > 0 {
			m.nextHeartbeat = w.now + changedHeartbeatDelay
		}
	case http.StatusMisdirectedRequest:
		m.targetNode = nodeIndex(reply.Leader)
		x.finish(w.delay())
	default:
		x.abandon()
	}
}

// nodeIndex returns the index of the node with the given name; 0 if the name contains no
// number.
func nodeIndex(name protocol.NodeName) int {
	i, err := strconv.Atoi(strings.TrimPrefix(string(name), nodePrefix))
	if err != nil {
		return 0
	}
	return i
}

// replayHeartbeats checks whether a new view has been written since the last step. If so, it
// delivers the recorded heartbeats again to every controller within half a second, and clears
// the record.
func (w *world) replayHeartbeats() {
	it, _ := w.state.Get(record.ViewKey)
	if it.Version == w.viewVersion {
		return
	}
	w.viewVersion = it.Version
	for _, heartbeat := range w.recordedHeartbeats {
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, func() { n.step(message.HeartbeatReceived{Heartbeat: heartbeat}) })
		}
	}
	w.recordedHeartbeats = nil
}
