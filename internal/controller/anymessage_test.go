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

// names are the names in generated messages: things that exist and others that do not.
var names = []string{"", "vm-1", "vm-2", "vm-9", "job-1", "job-2", "job-9", "node-0", "node-1", "node-9", "small", "a", "b", "free", "bound", "running", "ended", "done", "error"}

// anyValue fills a value with what a peer of another version, or a broken one, may send:
// any numbers, names of things that exist or not, and lists of them.
func anyValue(rng *rand.Rand, v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		if depth < 6 && rng.IntN(3) > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			anyValue(rng, v.Elem(), depth+1)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				anyValue(rng, v.Field(i), depth+1)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), rng.IntN(3), 3))
		for i := range v.Len() {
			anyValue(rng, v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range rng.IntN(3) {
			key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			anyValue(rng, key, depth+1)
			anyValue(rng, elem, depth+1)
			v.SetMapIndex(key, elem)
		}
	case reflect.String:
		v.SetString(names[rng.IntN(len(names))])
	case reflect.Bool:
		v.SetBool(rng.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt([]int64{-1, 0, 1, 2, 7, 100, -1 << 62, 1 << 62}[rng.IntN(8)])
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint([]uint64{0, 1, 2, 3, 100, 101, 1 << 31, 1<<64 - 1}[rng.IntN(8)])
	case reflect.Float32, reflect.Float64:
		v.SetFloat([]float64{-1, 0, 0.5, 1, 4, 1e300, -1e300}[rng.IntN(7)])
	}
}

// TestAnyMessage: no message of a member, in a batch that its session and term admit, ends
// in a panic, or starts a task of a job that is not in this controller's records.
func TestAnyMessage(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		b := newSharedBench(t)
		var next uint64
		for range 40 {
			var m message.PeerMessage
			v := reflect.ValueOf(&m).Elem()
			one := v.Field(rng.IntN(v.NumField())) // a message holds one thing
			if one.Kind() == reflect.Pointer {
				one.Set(reflect.New(one.Type().Elem()))
				one = one.Elem()
			}
			anyValue(rng, one, 0)
			batch := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, First: next, Messages: []message.PeerMessage{m}}
			for _, a := range b.step(message.BatchReceived{Batch: batch}) {
				if r, ok := a.(message.ReplyBatch); ok && r.Reply != message.BatchAccepted {
					t.Fatalf("batch not accepted: %v", r.Reply)
				}
				if c, ok := a.(message.Command); ok {
					for _, o := range c.Commands.Orders {
						if o.Op == protocol.OpStart && b.c.Live[o.Task.Job] == nil {
							t.Fatalf("starts %v of a job that is not there", o)
						}
					}
				}
			}
			next++
			b.step(message.Tick{})
		}
	}
}

// newSharedBench is a controller that holds half of the shards, with machines in service
// and jobs.
func newSharedBench(t testing.TB) *bench {
	b := newBench(t, "node-1")
	shares := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for i := range shares.List {
		sharding.Assign(shares, sharding.ID(i), protocol.LeaseID(100+i%2))
	}
	b.put(record.ShardTableKey, *shares)
	b.put(record.ViewKey, record.View{Term: 2, Members: b.c.View.Members, Layout: record.LayoutShards})
	for _, id := range []protocol.MachineID{"vm-1", "vm-2", "vm-3"} {
		b.machine(id, 1)
		b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: 1, Seq: 1, Term: b.c.FencingToken(id, "a")}})
	}
	b.job("job-1", "free", 3)
	b.job("job-2", "bound", 3)
	return b
}
