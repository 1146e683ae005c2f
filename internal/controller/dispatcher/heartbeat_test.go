package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestOvertakenHeartbeatRenewsLease checks that a heartbeat that was overtaken by the
// answer to direct commands is answered, that the worker's lease is counted from that
// answer, and that the answer kills cancelled attempts. A heartbeat that was delayed by
// the network is rejected: an answer that is not counted must not renew a lease.
func TestOvertakenHeartbeatRenewsLease(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	cmd := f.startDirectly()
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	overtakenSeq := f.seq + 1
	f.seq++
	f.answerCommand(cmd, true, running)
	delete(f.dispatcher.Live, "job-1") // cancelled
	f.dispatcher.MarkEnded("job-1")
	f.dispatcher.Now += clock.Time(3 * time.Second)
	heartbeatAgain := func(agentEpoch protocol.AgentEpoch, seq protocol.Seq) message.ReplyHeartbeat {
		f.seq = seq - 1
		return f.heartbeat(agentEpoch, 1, running)
	}
	r := heartbeatAgain(1, overtakenSeq)
	if r.Status != 200 || !hasOrder(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("reply to the overtaken heartbeat: %+v", r)
	}
	if q := f.queue(); q.lastAnswer != f.dispatcher.Now {
		t.Errorf("answered at %v, lease counted from %v", f.dispatcher.Now, q.lastAnswer)
	}
	if r := heartbeatAgain(1, overtakenSeq); r.Status != 503 {
		t.Errorf("reply to a duplicate heartbeat: %+v", r)
	}
	if r := heartbeatAgain(0, 500); r.Status != 503 {
		t.Errorf("reply to a heartbeat of an earlier agent epoch: %+v", r)
	}
}
