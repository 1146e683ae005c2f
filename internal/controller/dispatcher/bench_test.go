package dispatcher

import (
	"log/slog"
	"os"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// testMachine is the machine under test.
const testMachine protocol.MachineID = "vm-1"

// bench is one dispatcher, in a view of its own controller alone.
type bench struct {
	t          *testing.T
	dispatcher *Dispatcher
	seq        protocol.Seq
}

func newBench(t *testing.T) *bench {
	s := fake.Settings()
	s.Name = "node-0"
	p := clusterstate.NewModule(s, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	p.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}
	p.Session, p.SessionStart, p.Now, p.LeaseDeadline = 100, 1, 1, clock.Time(time.Hour)
	p.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	p.Reservations.Listed = true
	return &bench{t: t, dispatcher: New(p)}
}

// queue returns the queue of the machine under test.
func (b *bench) queue() *queue { return b.dispatcher.queues.get(testMachine) }

// machine registers the first agent epoch of the machine under test.
func (b *bench) machine() {
	rec := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	m := &clusterstate.Machine{ID: testMachine, Record: rec, Epoch: 7, Info: b.dispatcher.Types["small"]}
	b.dispatcher.Records[testMachine] = m
	b.dispatcher.RecordUpdated(m)
}

// job accepts a job of one task.
func (b *bench) job(id protocol.JobID) {
	b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i"}}
}

// place queues a job's only task.
func (b *bench) place(id protocol.JobID) {
	b.dispatcher.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// heartbeat sends a heartbeat of the worker under test and returns the reply.
func (b *bench) heartbeat(agentEpoch protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	b.seq++
	b.dispatcher.Actions = nil
	b.dispatcher.Heartbeat(protocol.Heartbeat{Machine: testMachine, Address: "x", Type: "small", Zone: "a", AgentEpoch: agentEpoch, Seq: b.seq, Term: term, Tasks: tasks})
	for _, a := range b.dispatcher.Actions {
		if r, ok := a.(message.ReplyHeartbeat); ok {
			return r
		}
	}
	b.t.Fatal("a heartbeat was not answered")
	return message.ReplyHeartbeat{}
}

// ready brings the machine under test into service, with its inventory sent.
func (b *bench) ready() {
	b.machine()
	b.heartbeat(1, b.dispatcher.View.Term)
}

// reserve accepts a reservation that begins at a time from now.
func (b *bench) reserve(name reservation.Name, in time.Duration) {
	at := reservation.After(b.dispatcher.WallTime(), in)
	err := b.dispatcher.Reservations.Calendar.PutReservation(record.Reservation{
		Spec: record.ReservationSpec{
			Name: name, Class: string(name), When: time.UnixMilli(int64(at)).UTC().Format("2006-01-02 at 15:04:05"), HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
		},
		State: record.Accepted, StartMS: at,
	}, 1, b.dispatcher.WallTime())
	if err != nil {
		b.t.Fatal(err)
	}
	b.dispatcher.Reservations.Any = true
}

// holdAllShards has this dispatcher hold all shards of the machines.
func (b *bench) holdAllShards() *record.ShardTable {
	s := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for id := range s.List {
		sharding.Assign(s, sharding.ID(id), 100)
	}
	b.dispatcher.View.Layout, b.dispatcher.Shards = record.LayoutShards, s
	return s
}

// hold reserves resources on a machine.
func (b *bench) hold(h reservation.Hold) {
	b.dispatcher.Reservations.List = []reservation.Hold{h}
	b.dispatcher.Reservations.Holds[h.Machine] = b.dispatcher.Reservations.List
}

// direct places a job's only task and returns the direct command that starts it.
func (b *bench) direct() message.Command {
	b.job("job-1")
	b.place("job-1")
	return b.pushed()
}

// pushed returns the direct command that is sent now; none if none is sent.
func (b *bench) pushed() (c message.Command) {
	b.dispatcher.Actions = nil
	b.dispatcher.SendDirectCommands()
	for _, a := range b.dispatcher.Actions {
		if cmd, ok := a.(message.Command); ok {
			c = cmd
		}
	}
	return c
}

// answered gives the dispatcher the answer to a direct command.
func (b *bench) answered(c message.Command, executed bool, tasks ...protocol.TaskStatus) {
	b.seq++
	b.dispatcher.CommandDone(message.CommandDone{
		Machine: c.Machine, Term: c.Commands.Term, AgentEpoch: c.Commands.AgentEpoch, Orders: c.Commands.Orders, Answered: true, Executed: executed,
		Heartbeat: protocol.Heartbeat{Machine: c.Machine, Type: "small", Zone: "a", AgentEpoch: 1, Seq: b.seq, Term: b.dispatcher.View.Term, Tasks: tasks},
	})
}

// starts counts the orders to start an attempt.
func starts(os []protocol.Order) int {
	n := 0
	for _, o := range os {
		if o.Op == protocol.OpStart {
			n++
		}
	}
	return n
}

// has reports whether there is an order of a kind.
func has(os []protocol.Order, op protocol.Op) bool {
	return slices.ContainsFunc(os, func(o protocol.Order) bool { return o.Op == op })
}

// released reports whether an owner was notified that a task's attempt never started.
func (b *bench) released(task protocol.TaskID) bool {
	return slices.ContainsFunc(b.dispatcher.Local, func(m message.PeerMessage) bool {
		return m.Event != nil && m.Event.What == message.EventReleased && m.Event.Task == task
	})
}
