package dispatcher

import (
	"net/http"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// Heartbeat handles a worker's heartbeat and replies to it.
func (d *Dispatcher) Heartbeat(r protocol.Heartbeat) {
	machineType, known := d.Types[r.Type]
	if !known {
		d.rejectHeartbeat()
		return
	}
	if d.answerDuringHandover(&r) {
		return
	}
	q := d.queues.get(r.Machine)
	if q == nil {
		q = d.addQueue(r.Machine, r.Zone)
		if m := d.Records[r.Machine]; m != nil {
			q.applyRecord(m)
		}
	}
	if r.AgentEpoch < q.agentEpoch || r.AgentEpoch == q.agentEpoch && r.Seq <= q.lastSeq {
		q.answerOvertaken(&r)
		return
	}
	reply := protocol.HeartbeatReply{Term: q.fencingToken()}
	q.noteContact(&r, machineType)
	if m := d.Records[q.id]; m == nil || m.Record.Session != r.AgentEpoch {
		q.register(&r)
	}
	q.applyHeartbeat(&r, true)
	q.exclusive = q.exclusive || r.Term >= q.firstOwnFencingToken()
	q.fencingTokenSeen = max(q.fencingTokenSeen, r.Term)
	d.sendInventoryIfDue(q)
	q.directRequested = false
	reply.Orders = q.buildOrders(r.Term, false)
	q.computeState() // while the queue's entries are in the processor's cache
	d.Emit(message.ReplyHeartbeat{Status: http.StatusOK, Reply: reply})
}

// answerDuringHandover answers a worker whose shard is being handed over: its lease goes
// on, since the handover may last, and nothing else happens but that what is over is
// killed. What the worker says it says again to the new dispatcher.
func (d *Dispatcher) answerDuringHandover(r *protocol.Heartbeat) bool {
	if !d.shards.handingOver(r.Machine, r.Zone) {
		return false
	}
	q := d.queues.get(r.Machine)
	if q == nil || r.AgentEpoch > q.agentEpoch {
		d.rejectHeartbeat()
		return true
	}
	q.answerOvertaken(r)
	return true
}

// rejectHeartbeat replies that this controller does not renew a worker's lease.
func (env *environment) rejectHeartbeat() {
	env.Emit(message.ReplyHeartbeat{Status: http.StatusServiceUnavailable})
}

// noteContact notes who the worker is, and that it is in contact and answered now.
func (q *queue) noteContact(r *protocol.Heartbeat, machineType protocol.TypeInfo) {
	q.machineType, q.address, q.zone = machineType, r.Address, r.Zone
	if r.AgentEpoch > q.agentEpoch {
		q.beginAgentEpoch(r.AgentEpoch)
	}
	q.lastSeq, q.heartbeatSeq = r.Seq, r.Seq
	q.lastAnswer, q.everSeen = q.Now, true
	if q.silence != message.SilenceNone {
		q.silence = message.SilenceNone
		q.touch()
	}
}

// answerOvertaken answers a heartbeat and takes nothing from it. One that an answer to
// direct commands has overtaken is its worker's latest: it is answered, so its lease goes
// on from now, and silence has to be counted from this answer, too. Without that, a
// machine would be taken for lost up to a heartbeat interval before its lease expired.
// Any other was delayed by the network, and its worker has given it up: an answer would
// renew nothing that is known here.
func (q *queue) answerOvertaken(r *protocol.Heartbeat) {
	if r.AgentEpoch < q.agentEpoch || r.Seq <= q.heartbeatSeq {
		q.Log.Debug("rejected a delayed heartbeat", "machine", q.id, "agent_epoch", r.AgentEpoch, "seq", r.Seq)
		q.rejectHeartbeat()
		return
	}
	q.answerWithKillsOnly(r)
}

// answerWithKillsOnly renews a worker's lease, and has it kill what is over, but nothing
// else: what keeps a worker alive has to kill what is cancelled there.
func (q *queue) answerWithKillsOnly(r *protocol.Heartbeat) {
	q.lastSeq, q.heartbeatSeq, q.lastAnswer = max(q.lastSeq, r.Seq), r.Seq, q.Now
	reply := protocol.HeartbeatReply{Term: q.fencingToken(), Orders: []protocol.Order{}}
	for _, t := range r.Tasks {
		if t.State != protocol.TaskEnded && q.Live[t.Task.Job] == nil {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	q.Emit(message.ReplyHeartbeat{Status: http.StatusOK, Reply: reply})
}

// applyTerminationNotice moves the machine's work when the cloud is about to terminate it.
func (q *queue) applyTerminationNotice(r *protocol.Heartbeat) {
	if r.NoticeS == nil {
		if q.noticeSeconds != nil {
			q.noticeSeconds = nil
			q.touch()
		}
		return
	}
	if q.noticeSeconds == nil {
		q.touch()
		q.Log.Info("received termination notice", "machine", q.id, "notice_s", *r.NoticeS)
		q.releaseWaiting()
	}
	q.noticeSeconds = r.NoticeS
	for _, e := range ordered.Tasks(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			q.notifyOwner(e, message.EventNotice)
		}
	}
}
