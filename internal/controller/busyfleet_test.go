package controller

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// fleetOf is a core that dispatches to so many machines, with so many tasks of ten jobs
// placed.
func fleetOf(tb testing.TB, machines, tasks int) *bench {
	b := newBench(tb)
	for i := range machines {
		b.machine(protocol.MachineID(fmt.Sprintf("vm-%05d", i)), 1)
	}
	for i := range 10 {
		b.job(protocol.JobID(fmt.Sprint("job-", i)), "free", uint32(tasks/10))
	}
	for range 1 + tasks/placement.MaxPerStep {
		b.step(message.Tick{})
	}
	return b
}

// sizes are fleets and backlogs from the smallest to twice the largest known.
var sizes = []struct{ machines, tasks int }{{100, 300}, {300, 3000}, {900, 3000}, {900, 10000}, {10000, 100000}}

// busyFleet is a fleet that one core dispatches to, beside two controllers that are
// unreachable for workers: all tasks are queued or run there, and the core owns its jobs.
type busyFleet struct {
	*bench
	ids  []protocol.MachineID
	runs map[protocol.MachineID][]protocol.TaskStatus
	turn int
}

// newBusyFleet makes such a fleet, with all tasks placed.
func newBusyFleet(tb testing.TB, machines, tasks int) *busyFleet {
	f := &busyFleet{bench: newBench(tb, "node-1", "node-2"), runs: map[protocol.MachineID][]protocol.TaskStatus{}}
	v := f.c.View
	f.put(record.ViewKey, record.View{Term: 2, Members: v.Members, Deaf: []protocol.NodeName{"node-1", "node-2"}})
	for i := range machines {
		id := protocol.MachineID(fmt.Sprintf("vm-%05d", i))
		f.ids = append(f.ids, id)
		f.machine(id, 1)
	}
	f.hear(0)
	for i := 0; len(f.c.jobs.ByID) < 10; i++ {
		id := protocol.JobID(fmt.Sprint("job-", i))
		if clusterstate.Rendezvous(f.c.View, "job "+string(id)) == "node-0" {
			f.obey(nil, f.put(record.LiveKey(id), protocol.Job{
				ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(tasks / 10), CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
			}))
		}
	}
	for range 10 + tasks/placement.MaxPerStep {
		f.hear(0)
		f.second()
	}
	placed := 0
	for _, o := range f.c.jobs.ByID {
		placed += len(o.Placed)
	}
	if placed < tasks {
		tb.Fatalf("%d of %d tasks placed", placed, tasks)
	}
	return f
}

// play handles a message, and carries out what it asks workers to do.
func (f *busyFleet) play(msg any) []message.Action {
	actions := f.c.Step(f.now, msg)
	f.obey(msg, actions)
	return actions
}

// obey has workers carry out the orders that they get.
func (f *busyFleet) obey(msg any, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.ReplyHeartbeat:
			f.start(msg.(message.HeartbeatReceived).Heartbeat.Machine, a.Reply.Orders)
		case message.Command:
			f.start(a.Machine, a.Commands.Orders)
			f.play(message.CommandDone{
				Machine: a.Machine, Term: a.Commands.Term, AgentEpoch: 1, Orders: a.Commands.Orders, Answered: true, Executed: true, Heartbeat: f.says(a.Machine),
			})
		}
	}
}

// start has a worker run the tasks that its orders start.
func (f *busyFleet) start(id protocol.MachineID, orders []protocol.Order) {
	for _, o := range orders {
		if o.Op == protocol.OpStart {
			f.runs[id] = append(f.runs[id], protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskRunning})
		}
	}
}

// says is a worker's next heartbeat.
func (f *busyFleet) says(id protocol.MachineID) protocol.Heartbeat {
	f.seq++
	return protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: 1, Seq: f.seq, Term: f.c.View.Term, Tasks: f.runs[id]}
}

// hear has every worker send a heartbeat. On so many machines, others each time, one task
// has changed its state.
func (f *busyFleet) hear(changed int) {
	for range changed {
		id := f.ids[f.turn%len(f.ids)]
		f.turn++
		if on := f.runs[id]; len(on) > 0 {
			state := protocol.TaskSaving
			if on[0].State == state {
				state = protocol.TaskRunning
			}
			f.runs[id] = append([]protocol.TaskStatus{{Task: on[0].Task, Attempt: on[0].Attempt, State: state}}, on[1:]...)
		}
	}
	for _, id := range f.ids {
		f.play(message.HeartbeatReceived{Heartbeat: f.says(id)})
	}
}

// second lets a second pass.
func (f *busyFleet) second() []message.Action {
	f.now += Time(time.Second)
	return f.play(message.Tick{})
}

// stuckFleet is a full fleet with gangs that fit nowhere.
func stuckFleet(tb testing.TB, machines, tasks, gangs int) *busyFleet {
	f := newBusyFleet(tb, machines, tasks)
	for i, n := 0, 0; n < gangs; i++ {
		id := protocol.JobID(fmt.Sprint("job-gang-", i))
		if clusterstate.Rendezvous(f.c.View, "job "+string(id)) != "node-0" {
			continue
		}
		n++
		f.obey(nil, f.put(record.LiveKey(id), protocol.Job{
			ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "best_effort", Tasks: 4, CPUs: 4, MemoryGB: 1, EstimateS: 10, Image: "i",
		}))
	}
	f.hear(0)
	f.c.placer.ExaminedMachines = 0
	return f
}
