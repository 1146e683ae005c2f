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

// fixture is a dispatcher in a view whose only member is its own controller.
type fixture struct {
	t          *testing.T
	dispatcher *Dispatcher
	seq        protocol.Seq
}

func newFixture(t *testing.T) *fixture {
	settings := fake.Settings()
	settings.Name = "node-0"
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	module.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}
	module.Session, module.SessionStart, module.Now, module.LeaseDeadline = 100, 1, 1, clock.Time(time.Hour)
	module.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	module.Reservations.HoldsListed = true
	return &fixture{t: t, dispatcher: New(module)}
}

// queue returns the queue of the machine under test.
func (f *fixture) queue() *queue { return f.dispatcher.queues.get(testMachine) }

// registerMachine registers the first agent epoch of the machine under test.
func (f *fixture) registerMachine() {
	rec := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	m := &clusterstate.Machine{ID: testMachine, Record: rec, Epoch: 7, Info: f.dispatcher.Types["small"]}
	f.dispatcher.Records[testMachine] = m
	f.dispatcher.RecordUpdated(m)
}

// addJob adds the record of a live job with one task.
func (f *fixture) addJob(id protocol.JobID) {
	f.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i"}}
}

// placeTask queues the only task of a job on the machine under test.
func (f *fixture) placeTask(id protocol.JobID) {
	f.dispatcher.QueuePlacements("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// heartbeat delivers a heartbeat of the worker under test and returns the reply.
func (f *fixture) heartbeat(agentEpoch protocol.AgentEpoch, term protocol.Term, tasks ...protocol.TaskStatus) message.ReplyHeartbeat {
	f.seq++
	f.dispatcher.Actions = nil
	f.dispatcher.HandleHeartbeat(protocol.Heartbeat{Machine: testMachine, Address: "x", Type: "small", Zone: "a", AgentEpoch: agentEpoch, Seq: f.seq, Term: term, Tasks: tasks})
	for _, a := range f.dispatcher.Actions {
		if r, ok := a.(message.ReplyHeartbeat); ok {
			return r
		}
	}
	f.t.Fatal("heartbeat was not answered")
	return message.ReplyHeartbeat{}
}

// registerAndSendHeartbeat registers the machine under test and delivers its first
// heartbeat, which makes the dispatcher send its inventory.
func (f *fixture) registerAndSendHeartbeat() {
	f.registerMachine()
	f.heartbeat(1, f.dispatcher.View.Term)
}

// acceptReservation accepts a reservation that begins after a delay.
func (f *fixture) acceptReservation(name reservation.Name, in time.Duration) {
	at := reservation.After(f.dispatcher.WallTime(), in)
	err := f.dispatcher.Reservations.Calendar.PutReservation(record.Reservation{
		Spec: record.ReservationSpec{
			Name: name, Class: string(name), When: time.UnixMilli(int64(at)).UTC().Format("2006-01-02 at 15:04:05"), HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
		},
		State: record.Accepted, StartMS: at,
	}, 1, f.dispatcher.WallTime())
	if err != nil {
		f.t.Fatal(err)
	}
	f.dispatcher.Reservations.HasEntries = true
}

// holdAllShards assigns all shards of the machines to this dispatcher's controller.
func (f *fixture) holdAllShards() *record.ShardTable {
	s := sharding.InitialTable([]protocol.Zone{"a", "b"})
	for id := range s.List {
		sharding.Assign(s, sharding.ID(id), 100)
	}
	f.dispatcher.View.Layout, f.dispatcher.Shards = record.LayoutShards, s
	return s
}

// setHold makes a hold, the resources reserved on a machine, the only one.
func (f *fixture) setHold(h reservation.Hold) {
	f.dispatcher.Reservations.List = []reservation.Hold{h}
	f.dispatcher.Reservations.Holds[h.Machine] = f.dispatcher.Reservations.List
}

// startDirectly places the only task of a job and returns the direct command that starts
// it.
func (f *fixture) startDirectly() message.Command {
	f.addJob("job-1")
	f.placeTask("job-1")
	return f.sendDirectCommands()
}

// sendDirectCommands sends the direct commands that are due and returns the last one; the
// zero value if none was sent.
func (f *fixture) sendDirectCommands() (c message.Command) {
	f.dispatcher.Actions = nil
	f.dispatcher.SendDirectCommands()
	for _, a := range f.dispatcher.Actions {
		if cmd, ok := a.(message.Command); ok {
			c = cmd
		}
	}
	return c
}

// answerCommand delivers the answer to a direct command.
func (f *fixture) answerCommand(c message.Command, executed bool, tasks ...protocol.TaskStatus) {
	f.seq++
	f.dispatcher.HandleCommandDone(message.CommandDone{
		Number: c.Number, Machine: c.Machine, Term: c.Commands.Term, AgentEpoch: c.Commands.AgentEpoch, Orders: c.Commands.Orders, Answered: true, Executed: executed,
		Heartbeat: protocol.Heartbeat{Machine: c.Machine, Type: "small", Zone: "a", AgentEpoch: 1, Seq: f.seq, Term: f.dispatcher.View.Term, Tasks: tasks},
	})
}

// countStarts returns the number of orders that start an attempt.
func countStarts(os []protocol.Order) int {
	n := 0
	for _, o := range os {
		if o.Op == protocol.OpStart {
			n++
		}
	}
	return n
}

// hasOrder reports whether the orders include one of a kind.
func hasOrder(os []protocol.Order, op protocol.Op) bool {
	return slices.ContainsFunc(os, func(o protocol.Order) bool { return o.Op == op })
}

// wasReleased reports whether an owner was notified that the attempt of a task was released
// without having been started.
func (f *fixture) wasReleased(task protocol.TaskID) bool {
	return f.wasNotified(task, message.EventReleased)
}

// wasNotified reports whether an owner was notified of an event of a kind of the attempt of a
// task.
func (f *fixture) wasNotified(task protocol.TaskID, kind message.EventKind) bool {
	return slices.ContainsFunc(f.dispatcher.Local, func(m message.PeerMessage) bool {
		return m.Event != nil && m.Event.What == kind && m.Event.Task == task
	})
}
