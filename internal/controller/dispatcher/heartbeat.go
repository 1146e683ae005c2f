package dispatcher

import (
	"net/http"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// HandleHeartbeat updates a machine's queue from a worker's heartbeat and replies with the
// orders that are due, which renews the worker's lease. It begins to hold a machine that it
// doesn't hold yet and has the worker's agent epoch registered. A heartbeat of an unknown
// machine type gets a reply that renews no lease. The content of a heartbeat that is out of
// date, or that arrives during a handover, is not applied.
func (d *Dispatcher) HandleHeartbeat(heartbeat protocol.Heartbeat) {
	machineType, known := d.Types[heartbeat.Type]
	if !known {
		d.rejectHeartbeat()
		return
	}
	if d.answerDuringHandover(&heartbeat) {
		return
	}
	q := d.queues.get(heartbeat.Machine)
	if q == nil {
		q = d.addQueue(heartbeat.Machine, heartbeat.Zone)
		if m := d.Records[heartbeat.Machine]; m != nil {
			q.applyRecord(m)
		}
	}
	if heartbeat.AgentEpoch < q.agentEpoch || heartbeat.AgentEpoch == q.agentEpoch && heartbeat.Seq <= q.lastSeq {
		q.answerOvertaken(&heartbeat)
		return
	}
	q.recordContact(&heartbeat, machineType)
	q.adoptSeenToken(heartbeat.Term)
	if m := d.Records[q.id]; m == nil || m.Record.Session != heartbeat.AgentEpoch {
		q.register(&heartbeat)
	}
	q.applyHeartbeat(&heartbeat, true)
	q.exclusive = q.exclusive || heartbeat.Term >= q.firstOwnFencingToken()
	q.fencingTokenSeen = max(q.fencingTokenSeen, heartbeat.Term)
	d.sendInventoryIfDue(q)
	q.directRequested = false
	q.issueTokenIfNeeded()
	reply := protocol.HeartbeatReply{Term: q.fencingToken(), Orders: q.buildOrders(false)}
	q.computeState() // while the queue's entries are in the processor's cache
	d.Emit(message.ReplyHeartbeat{Status: http.StatusOK, Reply: reply})
}

// answerDuringHandover answers the heartbeat of a worker whose shard is being handed over,
// and reports whether there is such a handover. It renews the worker's lease, since the
// handover may take long, and has the worker kill the attempts of ended jobs. Everything
// else in the heartbeat is ignored: the worker reports it again to the new dispatcher.
func (d *Dispatcher) answerDuringHandover(heartbeat *protocol.Heartbeat) bool {
	if !d.shards.handingOver(heartbeat.Machine, heartbeat.Zone) {
		return false
	}
	q := d.queues.get(heartbeat.Machine)
	if q == nil || heartbeat.AgentEpoch > q.agentEpoch {
		d.rejectHeartbeat()
		return true
	}
	q.answerOvertaken(heartbeat)
	return true
}

// rejectHeartbeat replies with status 503: this controller does not renew the worker's
// lease.
func (env *environment) rejectHeartbeat() {
	env.Emit(message.ReplyHeartbeat{Status: http.StatusServiceUnavailable})
}

// recordContact stores the worker's address, machine type, zone, agent epoch and sequence
// number and the time of the answer, and ends the machine's silence. With a higher agent
// epoch, the attempts of the earlier one are dropped.
func (q *queue) recordContact(heartbeat *protocol.Heartbeat, machineType protocol.TypeInfo) {
	q.machineType, q.address, q.zone = machineType, heartbeat.Address, heartbeat.Zone
	if heartbeat.AgentEpoch > q.agentEpoch {
		q.beginAgentEpoch(heartbeat.AgentEpoch)
	}
	q.lastSeq, q.heartbeatSeq = heartbeat.Seq, heartbeat.Seq
	q.lastAnswer, q.everSeen = q.Now, true
	if q.silence != message.SilenceNone {
		q.silence = message.SilenceNone
		q.markChanged()
	}
}

// answerOvertaken answers a heartbeat without applying its content. A heartbeat that was
// overtaken by an answer to direct commands is the latest of its worker: it is answered,
// the worker's lease is renewed from now, and the time of silence has to be counted from
// this answer, too. Without that, a machine would be considered lost up to a heartbeat
// interval before its lease expired. Any other heartbeat was delayed by the network, and
// its worker no longer waits for the reply: an answer would renew no lease that is tracked
// here, so it is rejected with status 503.
func (q *queue) answerOvertaken(heartbeat *protocol.Heartbeat) {
	if heartbeat.AgentEpoch < q.agentEpoch || heartbeat.Seq <= q.heartbeatSeq {
		q.Log.Debug("rejected a delayed heartbeat", "machine", q.id, "agent_epoch", heartbeat.AgentEpoch, "seq", heartbeat.Seq)
		q.rejectHeartbeat()
		return
	}
	q.answerWithKillsOnly(heartbeat)
}

// answerWithKillsOnly renews a worker's lease and orders it to kill, without a grace time,
// the listed attempts whose jobs are not live, but nothing else. A reply that keeps a
// worker alive must also kill what was cancelled on it.
func (q *queue) answerWithKillsOnly(heartbeat *protocol.Heartbeat) {
	q.lastSeq, q.heartbeatSeq, q.lastAnswer = max(q.lastSeq, heartbeat.Seq), heartbeat.Seq, q.Now
	reply := protocol.HeartbeatReply{Term: q.fencingToken(), Orders: []protocol.Order{}}
	for _, status := range heartbeat.Tasks {
		if status.State != protocol.TaskEnded && q.Live[status.Task.Job] == nil {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStop, Task: status.Task, Attempt: status.Attempt, GraceS: new(float64)})
		}
	}
	q.Emit(message.ReplyHeartbeat{Status: http.StatusOK, Reply: reply})
}

// applyTerminationNotice applies the heartbeat's notice that the cloud is about to
// terminate the machine, or its absence. With the first notice the waiting attempts are
// released; the owner of each present attempt is notified once.
func (q *queue) applyTerminationNotice(heartbeat *protocol.Heartbeat) {
	if heartbeat.NoticeS == nil {
		if q.noticeSeconds != nil {
			q.noticeSeconds = nil
			q.markChanged()
		}
		return
	}
	if q.noticeSeconds == nil {
		q.markChanged()
		q.Log.Info("received termination notice", "machine", q.id, "notice_s", *heartbeat.NoticeS)
		q.releaseWaiting()
	}
	q.noticeSeconds = heartbeat.NoticeS
	for _, e := range ordered.Tasks(q.entries) {
		if e.present && !e.ended() && !e.noticeSent {
			e.noticeSent = true
			q.notifyOwner(e, message.EventNotice)
		}
	}
}
