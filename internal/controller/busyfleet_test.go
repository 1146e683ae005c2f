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

// newFleet returns a harness whose core dispatches to the given number of machines, with the
// given number of tasks of ten jobs placed on them.
func newFleet(tb testing.TB, machines, tasks int) *harness {
	h := newHarness(tb)
	for i := range machines {
		h.registerMachine(protocol.MachineID(fmt.Sprintf("vm-%05d", i)), 1)
	}
	for i := range 10 {
		h.acceptJob(protocol.JobID(fmt.Sprint("job-", i)), "free", uint32(tasks/10))
	}
	for range 1 + tasks/placement.MaxPerStep {
		h.step(message.Tick{})
	}
	return h
}

// fleetSizes lists fleets and backlogs, from the smallest one to twice the largest known one.
var fleetSizes = []struct{ machines, tasks int }{{100, 300}, {300, 3000}, {900, 3000}, {900, 10000}, {10000, 100000}}

// busyFleet is a fleet to which a single core dispatches, because the other two controllers
// are unreachable for workers. All tasks are queued or running on the fleet, and the core owns
// their jobs.
type busyFleet struct {
	*harness
	ids         []protocol.MachineID
	running     map[protocol.MachineID][]protocol.TaskStatus // the tasks that each worker runs
	nextChanged int                                          // number of state changes so far, which determines the next machine
}

// newBusyFleet returns a busy fleet with all tasks placed.
func newBusyFleet(tb testing.TB, machines, tasks int) *busyFleet {
	fleet := &busyFleet{harness: newHarness(tb, "node-1", "node-2"), running: map[protocol.MachineID][]protocol.TaskStatus{}}
	view := fleet.core.View
	fleet.putRecord(record.ViewKey, record.View{Term: 2, Members: view.Members, Deaf: []protocol.NodeName{"node-1", "node-2"}})
	for i := range machines {
		id := protocol.MachineID(fmt.Sprintf("vm-%05d", i))
		fleet.ids = append(fleet.ids, id)
		fleet.registerMachine(id, 1)
	}
	fleet.sendHeartbeats(0)
	for i := 0; len(fleet.core.jobs.ByID) < 10; i++ {
		id := protocol.JobID(fmt.Sprint("job-", i))
		if clusterstate.Rendezvous(fleet.core.View, "job "+string(id)) == "node-0" {
			fleet.executeOrders(nil, fleet.putRecord(record.LiveKey(id), protocol.Job{
				ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(tasks / 10), CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
			}))
		}
	}
	for range 10 + tasks/placement.MaxPerStep {
		fleet.sendHeartbeats(0)
		fleet.advanceSecond()
	}
	placed := 0
	for _, job := range fleet.core.jobs.ByID {
		placed += len(job.Placed)
	}
	if placed < tasks {
		tb.Fatalf("%d of %d tasks placed", placed, tasks)
	}
	return fleet
}

// stepAndExecute has the core handle a message, and the workers execute the resulting orders.
func (fleet *busyFleet) stepAndExecute(msg any) []message.Action {
	actions := fleet.core.Step(fleet.now, inCurrentSession(fleet.core, msg))
	fleet.executeOrders(msg, actions)
	return actions
}

// executeOrders has the workers execute the orders among the actions that result from a
// message.
func (fleet *busyFleet) executeOrders(msg any, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.ReplyHeartbeat:
			fleet.startTasks(msg.(message.HeartbeatReceived).Heartbeat.Machine, a.Reply.Orders)
		case message.Command:
			fleet.startTasks(a.Machine, a.Commands.Orders)
			fleet.stepAndExecute(message.CommandDone{
				Number: a.Number, Machine: a.Machine, Term: a.Commands.Term, AgentEpoch: 1, Orders: a.Commands.Orders, Answered: true, Executed: true, Heartbeat: fleet.nextHeartbeat(a.Machine),
			})
		}
	}
}

// startTasks has a worker start the tasks of its start orders.
func (fleet *busyFleet) startTasks(id protocol.MachineID, orders []protocol.Order) {
	for _, order := range orders {
		if order.Op == protocol.OpStart {
			fleet.running[id] = append(fleet.running[id], protocol.TaskStatus{Task: order.Task, Attempt: order.Attempt, State: protocol.TaskRunning})
		}
	}
}

// nextHeartbeat returns the next heartbeat of a worker.
func (fleet *busyFleet) nextHeartbeat(id protocol.MachineID) protocol.Heartbeat {
	fleet.seq++
	return protocol.Heartbeat{Machine: id, Address: "x", Type: "small", Zone: "a", AgentEpoch: 1, Seq: fleet.seq, Term: fleet.core.View.Term, Tasks: fleet.running[id]}
}

// sendHeartbeats has every worker send a heartbeat. On the given number of machines, different
// ones in each call, one task has changed its state since the previous heartbeat.
func (fleet *busyFleet) sendHeartbeats(changed int) {
	for range changed {
		id := fleet.ids[fleet.nextChanged%len(fleet.ids)]
		fleet.nextChanged++
		if tasks := fleet.running[id]; len(tasks) > 0 {
			state := protocol.TaskSaving
			if tasks[0].State == state {
				state = protocol.TaskRunning
			}
			fleet.running[id] = append([]protocol.TaskStatus{{Task: tasks[0].Task, Attempt: tasks[0].Attempt, State: state}}, tasks[1:]...)
		}
	}
	for _, id := range fleet.ids {
		fleet.stepAndExecute(message.HeartbeatReceived{Heartbeat: fleet.nextHeartbeat(id)})
	}
}

// advanceSecond advances the time by a second and runs a tick.
func (fleet *busyFleet) advanceSecond() []message.Action {
	fleet.now += Time(time.Second)
	return fleet.stepAndExecute(message.Tick{})
}

// newFleetWithUnplaceableGangs returns a full fleet with gangs that fit on no machines.
func newFleetWithUnplaceableGangs(tb testing.TB, machines, tasks, gangs int) *busyFleet {
	fleet := newBusyFleet(tb, machines, tasks)
	for i, n := 0, 0; n < gangs; i++ {
		id := protocol.JobID(fmt.Sprint("job-gang-", i))
		if clusterstate.Rendezvous(fleet.core.View, "job "+string(id)) != "node-0" {
			continue
		}
		n++
		fleet.executeOrders(nil, fleet.putRecord(record.LiveKey(id), protocol.Job{
			ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "best_effort", Tasks: 4, CPUs: 4, MemoryGB: 1, EstimateS: 10, Image: "i",
		}))
	}
	fleet.sendHeartbeats(0)
	fleet.core.placer.ExaminedMachines = 0
	return fleet
}
