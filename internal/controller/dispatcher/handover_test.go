package dispatcher

import (
	"reflect"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
)

// TestKilledWhileHandedOver: the handover of a shard may last for as long as the state
// service takes; leases of its workers are renewed, and what is cancelled there is killed
// all the same.
func TestKilledWhileHandedOver(t *testing.T) {
	b := newBench(t)
	s := b.holdAllShards()
	b.dispatcher.View.Members["node-1"] = 101
	id := sharding.ShardOf(s, "vm-1", "a")
	b.machine()
	b.heartbeat(1, s.List[id].Epoch)
	b.job("job-1")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	b.heartbeat(1, s.List[id].Epoch, running)
	b.dispatcher.HandOver(&message.MoveShards{Term: 1, Shares: []message.Tenured{{Share: int(id), Tenure: s.List[id].Since}}, To: "node-1"})
	if !b.queue().handingOver() {
		t.Fatal("not handed over: nothing to test")
	}
	if r := b.heartbeat(1, s.List[id].Epoch, running); r.Status != 200 || len(r.Reply.Orders) != 0 {
		t.Errorf("before the cancellation: %+v", r)
	}
	delete(b.dispatcher.Live, "job-1")
	b.dispatcher.JobEnded("job-1", false)
	if r := b.heartbeat(1, s.List[id].Epoch, running); r.Status != 200 || !has(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("lease renewed and not killed: %+v", r)
	}
}

// TestQueueOfAHeldBackReport: the first heartbeat of a machine may be one that the
// network delayed, of an agent epoch that is over. Its queue is dropped with its shard all
// the same. One that stayed had a machine taken for silent that another controller held.
func TestQueueOfAHeldBackReport(t *testing.T) {
	b := newBench(t)
	old := b.holdAllShards()
	b.dispatcher.agentEpochFloor["vm-1"] = 2
	b.heartbeat(1, 0)
	if len(b.dispatcher.Machines()) != 1 {
		t.Fatal("no queue: nothing to test")
	}
	b.dispatcher.Shards = sharding.Copy(old)
	sharding.Assign(b.dispatcher.Shards, sharding.ShardOf(old, "vm-1", "a"), 101)
	if b.dispatcher.AdoptShards(old); len(b.dispatcher.Machines()) != 0 {
		t.Error("held though its shard has moved")
	}
}

// TestHandoverRetainsAttempts: the new dispatcher knows of an attempt all that its
// previous one knew, but for what holds only where it was queued or sent.
func TestHandoverRetainsAttempts(t *testing.T) {
	b := newBench(t)
	b.dispatcher.Now = clock.Time(time.Hour)
	q := newQueue(b.dispatcher.environment, testMachine, "a")
	e := &entry{
		task:               protocol.TaskID{Job: "job-1", Index: 2},
		attempt:            3,
		estimate:           4,
		need:               resource.Amount{CPUs: 5, GB: 6},
		queuedSince:        clock.Time(7 * time.Minute),
		runningSince:       clock.Time(8 * time.Minute),
		level:              2,
		levelGuessed:       true,
		inGang:             true,
		placedBy:           "node-1",
		configuration:      9,
		sent:               true,
		directFencingToken: 10,
		startResent:        true,
		present:            true,
		state:              protocol.TaskEnded,
		cause:              protocol.EndStopped,
		checkpointed:       true,
		kill:               true,
		graceSeconds:       11,
		forget:             true,
		noticed:            true,
	}
	fields := reflect.ValueOf(*e)
	for i := range fields.NumField() {
		switch name := fields.Type().Field(i).Name; name {
		case "arrival", "deadline", "startInLastReply", "forgetSince": // hold only here
		default:
			if fields.Field(i).IsZero() {
				t.Errorf("field %s is not tested", name)
			}
		}
	}
	h := q.handoverEntry(e)
	if got := entryOfHandover(&h, b.dispatcher.Now); *got != *e {
		t.Errorf("got %+v, want %+v", got, e)
	}
	e.runningSince = 0
	h = q.handoverEntry(e)
	if got := entryOfHandover(&h, b.dispatcher.Now); got.runningSince != 0 {
		t.Errorf("an attempt that was not seen to run runs since %v", got.runningSince)
	}
}
