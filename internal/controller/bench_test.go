package controller

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// bench is one core, alone or with peers whose part the test plays.
type bench struct {
	t       testing.TB
	c       *Core
	now     Time
	version protocol.Version
	seq     protocol.Seq
}

// newBench makes a core that leads a view of node-0 and the named peers.
func newBench(t testing.TB, members ...protocol.NodeName) *bench {
	s := fake.Settings()
	s.Name = "node-0"
	b := &bench{t: t, c: NewCore(s, config.DefaultOperator(), rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler)), now: 1}
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8}}})
	b.step(message.Snapshot{Session: 100})
	b.step(message.LeaseExtended{Until: Time(time.Hour)})
	b.view(1, append([]protocol.NodeName{"node-0"}, members...)...)
	return b
}

// step gives the core a message, late enough for the next placement.
func (b *bench) step(msg any) []message.Action {
	b.now += Time(placement.Interval)
	return b.c.Step(b.now, msg)
}

// put has the core follow a record.
func (b *bench) put(key string, v any) []message.Action {
	raw, err := protocol.Encode(v)
	if err != nil {
		b.t.Fatal(err)
	}
	b.version++
	return b.step(message.RecordChanged{Event: protocol.Event{Put: key, Value: raw, Version: b.version}})
}

// view has the core follow a view of the named members, with sessions from 100 on.
func (b *bench) view(term protocol.Term, names ...protocol.NodeName) {
	v := record.View{Term: term, Members: map[protocol.NodeName]protocol.LeaseID{}}
	for i, n := range names {
		v.Members[n] = protocol.LeaseID(100 + i)
		b.put(record.NodeKey(n), record.Node{Session: v.Members[n]})
	}
	b.put(record.ViewKey, v)
	b.step(message.CommitDone{Tag: membership.ViewTag{}, Outcome: message.OutcomeDone})
}

// machine registers a machine of zone a.
func (b *bench) machine(id protocol.MachineID, session protocol.AgentEpoch) {
	b.put(record.MachineKey(id), record.Machine{Session: session, Address: "x", Type: "small", Zone: "a"})
}

// job accepts a job of tasks of 10 s on one processor each.
func (b *bench) job(id protocol.JobID, team protocol.Team, tasks uint32) {
	b.put(record.LiveKey(id), protocol.Job{
		ID: id, Team: team, Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
	})
}

// heartbeat sends a worker's next heartbeat and returns the answer.
func (b *bench) heartbeat(id protocol.MachineID, session protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	b.seq++
	return b.heartbeatNumbered(id, session, b.seq, term, tasks...)
}

// heartbeatNumbered is report with the number of the heartbeat.
func (b *bench) heartbeatNumbered(id protocol.MachineID, session protocol.AgentEpoch, seq protocol.Seq, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	for _, a := range b.step(message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{
		Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: session, Seq: seq, Term: term, Tasks: tasks,
	}}) {
		if r, ok := a.(message.ReplyHeartbeat); ok {
			return r
		}
	}
	b.t.Fatal("a heartbeat was not answered")
	return message.ReplyHeartbeat{}
}

// commands returns the orders of all direct commands among the actions.
func commands(actions []message.Action) []protocol.Order {
	var orders []protocol.Order
	for _, a := range actions {
		if c, ok := a.(message.Command); ok {
			orders = append(orders, c.Commands.Orders...)
		}
	}
	return orders
}

// starts counts the orders that start a task.
func starts(orders []protocol.Order) int {
	n := 0
	for _, o := range orders {
		if o.Op == protocol.OpStart {
			n++
		}
	}
	return n
}

// machineOf returns a machine that a member dispatches to.
func (b *bench) machineOf(n protocol.NodeName) protocol.MachineID {
	id := protocol.MachineID("vm-0")
	for i := 0; clusterstate.RendezvousDispatcher(b.c.View, id) != n; i++ {
		id = protocol.MachineID("vm-" + string(rune('a'+i)))
	}
	return id
}

// attempt returns the attempt of a task in the queue of machine vm-1.
func (b *bench) attempt(task protocol.TaskID) (found dispatcher.Attempt) {
	for _, a := range b.c.dispatcher.Attempts("vm-1") {
		if a.Task == task {
			found = a
		}
	}
	return found
}

// ready brings one machine into service: registered, with its inventory complete in the
// present term.
func (b *bench) ready(id protocol.MachineID) {
	b.heartbeat(id, 1, 0)
	b.machine(id, 1)
	b.heartbeat(id, 1, b.c.View.Term)
	b.now += Time(1100 * time.Millisecond)
	b.step(message.Tick{})
}
