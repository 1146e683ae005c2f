package controller

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// valueNames lists the names in generated messages. Some of them name objects that exist, the
// others name none.
var valueNames = []string{"", "vm-1", "vm-2", "vm-9", "job-1", "job-2", "job-9", "node-0", "node-1", "node-9", "small", "a", "b", "free", "bound", "running", "ended", "done", "error"}

// fillRandomValue fills a value with data that a peer of another version or a faulty peer may
// send: arbitrary numbers, names of existing and of unknown objects, and lists of them.
func fillRandomValue(rng *rand.Rand, value reflect.Value, depth int) {
	switch value.Kind() {
	case reflect.Pointer:
		if depth < 6 && rng.IntN(3) > 0 {
			value.Set(reflect.New(value.Type().Elem()))
			fillRandomValue(rng, value.Elem(), depth+1)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Field(i).CanSet() {
				fillRandomValue(rng, value.Field(i), depth+1)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), rng.IntN(3), 3))
		for i := range value.Len() {
			fillRandomValue(rng, value.Index(i), depth+1)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		for range rng.IntN(3) {
			key, elem := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
			fillRandomValue(rng, key, depth+1)
			fillRandomValue(rng, elem, depth+1)
			value.SetMapIndex(key, elem)
		}
	case reflect.String:
		value.SetString(valueNames[rng.IntN(len(valueNames))])
	case reflect.Bool:
		value.SetBool(rng.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt([]int64{-1, 0, 1, 2, 7, 100, -1 << 62, 1 << 62}[rng.IntN(8)])
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint([]uint64{0, 1, 2, 3, 100, 101, 1 << 31, 1<<64 - 1}[rng.IntN(8)])
	case reflect.Float32, reflect.Float64:
		value.SetFloat([]float64{-1, 0, 0.5, 1, 4, 1e300, -1e300}[rng.IntN(7)])
	}
}

// TestArbitraryPeerMessageIsSafe checks that no message of a member, in a batch of an accepted
// session and term, causes a panic or starts a task of a job that is not in this controller's
// records.
func TestArbitraryPeerMessageIsSafe(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		h := newShardedHarness(t)
		var nextNumber uint64
		for range 40 {
			var msg message.PeerMessage
			fields := reflect.ValueOf(&msg).Elem()
			field := fields.Field(rng.IntN(fields.NumField())) // exactly one field of a message is set
			if field.Kind() == reflect.Pointer {
				field.Set(reflect.New(field.Type().Elem()))
				field = field.Elem()
			}
			fillRandomValue(rng, field, 0)
			batch := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, First: nextNumber, Messages: []message.PeerMessage{msg}}
			for _, a := range h.step(message.BatchReceived{Batch: batch}) {
				if r, ok := a.(message.ReplyBatch); ok && r.Reply != message.BatchAccepted {
					t.Fatalf("batch not accepted: %v", r.Reply)
				}
				if c, ok := a.(message.Command); ok {
					for _, o := range c.Commands.Orders {
						if o.Op == protocol.OpStart && h.core.Live[o.Task.Job] == nil {
							t.Fatalf("order %v starts a task of an unknown job", o)
						}
					}
				}
			}
			nextNumber++
			h.step(message.Tick{})
		}
	}
}

// newShardedHarness returns a harness whose controller holds half of the shards, with three
// registered machines and two jobs.
func newShardedHarness(t testing.TB) *harness {
	h := newHarness(t, "node-1")
	shards := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for i := range shards.List {
		sharding.Assign(shards, sharding.ID(i), protocol.LeaseID(100+i%2))
	}
	h.putRecord(record.ShardTableKey, *shards)
	h.putRecord(record.ViewKey, record.View{Term: 2, Members: h.core.View.Members, Layout: record.LayoutShards})
	for _, id := range []protocol.MachineID{"vm-1", "vm-2", "vm-3"} {
		h.registerMachine(id, 1)
		h.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: 1, Seq: 1, Term: h.core.LastFencingToken(id, "a")}})
	}
	h.acceptJob("job-1", "free", 3)
	h.acceptJob("job-2", "bound", 3)
	return h
}
