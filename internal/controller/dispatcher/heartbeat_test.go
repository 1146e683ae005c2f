package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestEveryAnswerCounts: a heartbeat that the answer to direct commands has overtaken is
// answered, and its worker's lease counted from that; what is cancelled on the machine is
// killed by it. A heartbeat that the network delayed is not answered: an answer that is
// not counted must renew no lease.
func TestEveryAnswerCounts(t *testing.T) {
	b := newBench(t)
	b.ready()
	cmd := b.direct()
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	sent := b.seq + 1
	b.seq++
	b.answered(cmd, true, running)
	delete(b.dispatcher.Live, "job-1") // cancelled
	b.dispatcher.MarkEnded("job-1")
	b.dispatcher.Now += clock.Time(3 * time.Second)
	stale := func(agentEpoch protocol.AgentEpoch, seq protocol.Seq) message.ReplyHeartbeat {
		b.seq = seq - 1
		return b.heartbeat(agentEpoch, 1, running)
	}
	r := stale(1, sent)
	if r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("overtaken: %+v", r)
	}
	if q := b.queue(); q.lastAnswer != b.dispatcher.Now {
		t.Errorf("answered at %v, counted at %v", b.dispatcher.Now, q.lastAnswer)
	}
	if r := stale(1, sent); r.Status != 503 {
		t.Errorf("a copy: %+v", r)
	}
	if r := stale(0, 500); r.Status != 503 {
		t.Errorf("of an earlier agent epoch: %+v", r)
	}
}
