package controller

import (
	"fmt"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// TestHeartbeatsBeyondTheBoundAreRefusedAtOnce: beyond what may wait, the heartbeat of the
// machine answered last is refused at once, with the time until a retry; one that waited
// too long is refused rather than handed to the core; only an answer that renews the lease
// counts.
func TestHeartbeatsBeyondTheBoundAreRefusedAtOnce(t *testing.T) {
	queue := newHeartbeatQueue()
	status := map[string]int{}
	retry := map[string]int{}
	add := func(now Time, id string) {
		queue.add(now, pendingHeartbeat{protocol.Heartbeat{Machine: protocol.MachineID(id)}, func(m *transport.Message) {
			status[id], retry[id] = m.Status, m.RetryAfterS
		}})
	}
	now := Time(1e9)
	clock := func() Time { return now }
	answer := func(code int) string {
		e, ok := queue.next(clock)
		if !ok {
			t.Fatal("none waits")
		}
		e.reply([]message.Action{message.ReplyHeartbeat{Status: code}})
		return string(e.msg.(message.HeartbeatReceived).Heartbeat.Machine)
	}
	add(now, "vm-answered")
	add(now, "vm-sent-on")
	for range 2 {
		if answer(map[bool]int{true: 200, false: 421}[queue.queue.Len() == 2]); len(status) == 0 {
			t.Fatal("not answered")
		}
	}
	if status["vm-answered"] != 200 || status["vm-sent-on"] != 421 {
		t.Fatalf("answers %v", status)
	}
	clear(status)
	add(now, "vm-answered")
	add(now, "vm-sent-on")
	for i := range maxPendingHeartbeats - 1 {
		add(now, fmt.Sprint("vm-", i))
	}
	if len(status) != 1 || status["vm-answered"] != 503 || retry["vm-answered"] == 0 {
		t.Fatalf("refused %v, to retry after %v", status, retry)
	}
	if id := answer(200); id != "vm-sent-on" {
		t.Errorf("%s goes first", id)
	}
	now += Time(maxHeartbeatWait) + 1
	if _, ok := queue.next(clock); ok {
		t.Error("a heartbeat that its worker has given up on is handed to the core")
	}
	if len(status) != maxPendingHeartbeats+1 || status["vm-7"] != 503 {
		t.Errorf("%d answered of %d", len(status), maxPendingHeartbeats+1)
	}
}
