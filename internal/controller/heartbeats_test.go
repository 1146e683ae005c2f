package controller

import (
	"fmt"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// TestHeartbeatsBeyondQueueLimitAreRefusedAtOnce: if the queue is full, the heartbeat of the
// machine that was answered last is refused at once, with the time until a retry. A heartbeat
// that was queued for too long is refused and not passed to the core. Only an answer that
// renews the lease counts as an answer.
func TestHeartbeatsBeyondQueueLimitAreRefusedAtOnce(t *testing.T) {
	queue := newHeartbeatQueue()
	status := map[string]int{}
	retryAfter := map[string]int{}
	add := func(now Time, id string) {
		queue.add(now, pendingHeartbeat{protocol.Heartbeat{Machine: protocol.MachineID(id)}, func(m *transport.Message) {
			status[id], retryAfter[id] = m.Status, m.RetryAfterS
		}})
	}
	now := Time(1e9)
	clock := func() Time { return now }
	answerNext := func(code int) string {
		next, ok := queue.next(clock)
		if !ok {
			t.Fatal("no heartbeat is queued")
		}
		next.reply([]message.Action{message.ReplyHeartbeat{Status: code}})
		return string(next.msg.(message.HeartbeatReceived).Heartbeat.Machine)
	}
	add(now, "vm-answered")
	add(now, "vm-redirected")
	for range 2 {
		if answerNext(map[bool]int{true: 200, false: 421}[queue.queue.Len() == 2]); len(status) == 0 {
			t.Fatal("no heartbeat was answered")
		}
	}
	if status["vm-answered"] != 200 || status["vm-redirected"] != 421 {
		t.Fatalf("answers %v", status)
	}
	clear(status)
	add(now, "vm-answered")
	add(now, "vm-redirected")
	for i := range maxPendingHeartbeats - 1 {
		add(now, fmt.Sprint("vm-", i))
	}
	if len(status) != 1 || status["vm-answered"] != 503 || retryAfter["vm-answered"] == 0 {
		t.Fatalf("refused %v, to retry after %v", status, retryAfter)
	}
	if id := answerNext(200); id != "vm-redirected" {
		t.Errorf("%s is answered first, want vm-redirected", id)
	}
	now += Time(maxHeartbeatWait) + 1
	if _, ok := queue.next(clock); ok {
		t.Error("a heartbeat whose worker has timed out is passed to the core")
	}
	if len(status) != maxPendingHeartbeats+1 || status["vm-7"] != 503 {
		t.Errorf("%d answered of %d", len(status), maxPendingHeartbeats+1)
	}
}
