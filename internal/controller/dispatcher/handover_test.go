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

// TestCancelledAttemptIsKilledDuringHandover checks that cancelled attempts on a machine
// are killed during the handover of its shard. The handover may last as long as a request
// to the key-value store, and the leases of the workers are renewed meanwhile.
func TestCancelledAttemptIsKilledDuringHandover(t *testing.T) {
	f := newFixture(t)
	s := f.holdAllShards()
	f.dispatcher.View.Members["node-1"] = 101
	id := sharding.ShardOf(s, "vm-1", "a")
	f.registerMachine()
	f.heartbeat(1, s.List[id].Epoch)
	f.addJob("job-1")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, State: protocol.TaskRunning}
	f.heartbeat(1, s.List[id].Epoch, running)
	f.dispatcher.HandOverShards(&message.MoveShards{Term: 1, Shares: []message.Tenured{{Share: int(id), Tenure: s.List[id].Since}}, To: "node-1"})
	if !f.queue().handingOver() {
		t.Fatal("the shard is not being handed over")
	}
	if r := f.heartbeat(1, s.List[id].Epoch, running); r.Status != 200 || len(r.Reply.Orders) != 0 {
		t.Errorf("reply before the cancellation: %+v", r)
	}
	delete(f.dispatcher.Live, "job-1")
	f.dispatcher.JobEnded("job-1", false)
	if r := f.heartbeat(1, s.List[id].Epoch, running); r.Status != 200 || !hasOrder(r.Reply.Orders, protocol.OpStop) {
		t.Errorf("lease not renewed or attempt not killed: %+v", r)
	}
}

// TestQueueOfDelayedHeartbeatIsDroppedWithShard checks that a queue created for a delayed
// heartbeat of an ended agent epoch is dropped with its shard. The queue used to remain,
// and this controller considered a machine silent that another controller held.
func TestQueueOfDelayedHeartbeatIsDroppedWithShard(t *testing.T) {
	f := newFixture(t)
	old := f.holdAllShards()
	f.dispatcher.agentEpochFloor["vm-1"] = 2
	f.heartbeat(1, 0)
	if len(f.dispatcher.Machines()) != 1 {
		t.Fatal("the heartbeat created no queue")
	}
	f.dispatcher.Shards = sharding.Copy(old)
	sharding.Assign(f.dispatcher.Shards, sharding.ShardOf(old, "vm-1", "a"), 101)
	if f.dispatcher.AdoptShards(old); len(f.dispatcher.Machines()) != 0 {
		t.Error("machine is held although its shard has moved")
	}
}

// TestHandoverRetainsAttempts checks that the new dispatcher of an attempt has all state of
// the previous one, except the fields that are valid only in the dispatcher that queued or
// sent it.
func TestHandoverRetainsAttempts(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.Now = clock.Time(time.Hour)
	q := newQueue(f.dispatcher.environment, testMachine, "a")
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
		noticeSent:         true,
	}
	fields := reflect.ValueOf(*e)
	for i := range fields.NumField() {
		switch name := fields.Type().Field(i).Name; name {
		case "arrival", "deadline", "startInLastReply", "forgetSince": // valid only in this dispatcher
		default:
			if fields.Field(i).IsZero() {
				t.Errorf("field %s is not tested", name)
			}
		}
	}
	h := q.buildHandoverEntry(e)
	if got := entryFromHandover(&h, f.dispatcher.Now); *got != *e {
		t.Errorf("got %+v, want %+v", got, e)
	}
	e.runningSince = 0
	h = q.buildHandoverEntry(e)
	if got := entryFromHandover(&h, f.dispatcher.Now); got.runningSince != 0 {
		t.Errorf("an attempt that was not seen running has a start time of %v", got.runningSince)
	}
}
