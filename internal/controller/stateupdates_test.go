package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// stateUpdatesTo returns the state updates among the actions that are sent to a peer.
func stateUpdatesTo(actions []message.Action, to protocol.NodeName) (updates []*message.StateUpdate) {
	for _, a := range actions {
		if s, ok := a.(message.Send); ok && s.To == to && s.Message.Relay != nil {
			updates = append(updates, s.Message.Relay)
		}
	}
	return updates
}

// TestStateUpdatesCarryOnlyChanges: each change of a machine's state is sent to each peer once,
// and unchanged states are not sent. If a peer has lost a message, the states that it lacks are
// sent to it again, and no others.
func TestStateUpdatesCarryOnlyChanges(t *testing.T) {
	fleet := newBusyFleet(t, 300, 3000)
	sentStates := func() (to1, to2 int) {
		actions := fleet.advanceSecond()
		for i, n := range []*int{&to1, &to2} {
			for _, update := range stateUpdatesTo(actions, protocol.NodeName(fmt.Sprint("node-", i+1))) {
				*n += len(update.States)
			}
		}
		return to1, to2
	}
	sentStatesAfter := func(changed int) (int, int) {
		fleet.sendHeartbeats(changed)
		return sentStates()
	}
	sentStatesAfter(0) // sends the changes of the setup
	if a, b := sentStatesAfter(0); a != 0 || b != 0 {
		t.Errorf("states of %d and %d machines sent although none changed", a, b)
	}
	if a, b := sentStatesAfter(30); a != 30 || b != 30 {
		t.Errorf("states of %d and %d machines sent, 30 changed", a, b)
	}
	acknowledged := fleet.core.dispatcher.ChangeLogVersion()
	sentStatesAfter(20)
	for range 4 { // node-1 has lost the last message, node-2 has received all
		fleet.core.handleStateUpdate("node-1", &message.StateUpdate{Term: 2, HaveMachines: acknowledged})
		fleet.core.handleStateUpdate("node-2", &message.StateUpdate{Term: 2, HaveMachines: fleet.core.dispatcher.ChangeLogVersion()})
	}
	if a, b := sentStates(); a != 20 || b != 0 {
		t.Errorf("states of %d and %d machines sent, want 20 and 0", a, b)
	}
}

// TestFullCopyIsSentInBoundedMessages: at the beginning of a term, the states of all machines
// are sent in messages of a bounded size. Only the last of them contains the numbers of the
// placements that the states include.
func TestFullCopyIsSentInBoundedMessages(t *testing.T) {
	fleet := newBusyFleet(t, 2*maxStatesPerUpdate+300, 100)
	view := fleet.core.View
	view.Term++
	fleet.putRecord(record.ViewKey, view)
	var sizes []int
	ticksUntilComplete := 0
	for i := range 12 {
		fleet.now += Time(tickInterval)
		for _, update := range stateUpdatesTo(fleet.stepAndExecute(message.Tick{}), "node-1") {
			if len(update.States) > 0 {
				sizes = append(sizes, len(update.States))
			}
			if update.Handled != nil && ticksUntilComplete == 0 {
				ticksUntilComplete = i + 1
			}
		}
	}
	if len(sizes) < 3 || sizes[0] != maxStatesPerUpdate || sizes[1] != maxStatesPerUpdate || sizes[2] > maxStatesPerUpdate {
		t.Errorf("the messages contain %v states, want two full ones and the rest", sizes)
	}
	if ticksUntilComplete == 0 || ticksUntilComplete < 3 {
		t.Errorf("the copy is complete after %d ticks and %d messages, want at least 3 ticks", ticksUntilComplete, len(sizes))
	}
}

// TestInventoriesAreSentInBoundedSteps: after a view that does not affect a controller's
// queues, the controller sends a bounded number of inventories per step, and all of them within
// a few steps.
func TestInventoriesAreSentInBoundedSteps(t *testing.T) {
	const machines = 2*dispatcher.MaxInventoriesPerStep + 100
	fleet := newBusyFleet(t, machines, 100)
	view := fleet.core.View
	view.Term++
	sent, steps := 0, 0
	for actions := fleet.putRecord(record.ViewKey, view); sent < machines && steps < 9; steps++ {
		count := 0
		for _, a := range actions {
			if s, ok := a.(message.Send); ok && s.To == "node-1" && s.Message.Inventory != nil {
				count++
			}
		}
		if count > dispatcher.MaxInventoriesPerStep {
			t.Fatalf("%d inventories in one step", count)
		}
		sent += count
		fleet.now += Time(tickInterval)
		actions = fleet.stepAndExecute(message.Tick{})
	}
	if sent != machines {
		t.Errorf("%d of %d inventories sent after %d steps", sent, machines, steps)
	}
}

// announcedPlacement is a placement by node-1 on a machine that node-2 dispatches to.
type announcedPlacement struct {
	number  uint64
	machine protocol.MachineID
	wait    float64
}

// announcementModel simulates an owner (node-1) and a dispatcher (node-2) whose messages to the
// core under test may be delayed, lost or reordered relative to each other.
type announcementModel struct {
	t        *rapid.T
	core     *Core
	machines []protocol.MachineID

	// The state of the dispatcher: its change log, the waits of its machines and the
	// number of the last placement that it has handled.
	log     replication.ChangeLog[protocol.MachineID]
	cursor  replication.Cursor
	waits   map[protocol.MachineID]float64
	handled uint64

	// Messages in transit.
	toDispatcher []announcedPlacement
	announced    []announcedPlacement
	updates      []*message.StateUpdate

	placed       uint64                        // number of the owner's last placement
	lastIncluded uint64                        // number of the last placement that the received state includes
	pending      map[uint64]announcedPlacement // announced to the core, and not included in the received state
}

// newAnnouncementModel returns a model with three machines whose dispatcher is node-2.
func newAnnouncementModel(outer *testing.T, t *rapid.T) *announcementModel {
	h := newHarness(outer, "node-1", "node-2")
	m := &announcementModel{t: t, core: h.core, waits: map[protocol.MachineID]float64{}, pending: map[uint64]announcedPlacement{}}
	for i := 0; len(m.machines) < 3; i++ {
		if id := protocol.MachineID(fmt.Sprint("vm-", i)); clusterstate.RendezvousDispatcher(h.core.View, id) == "node-2" {
			m.machines = append(m.machines, id)
			h.registerMachine(id, 1)
		}
	}
	return m
}

// place has the owner place a task: the owner sends the placement to the dispatcher and
// announces it to the core.
func (m *announcementModel) place() {
	m.placed++
	p := announcedPlacement{
		number:  m.placed,
		machine: rapid.SampledFrom(m.machines).Draw(m.t, "machine"),
		wait:    float64(rapid.IntRange(1, 9).Draw(m.t, "add")),
	}
	m.toDispatcher = append(m.toDispatcher, p)
	m.announced = append(m.announced, p)
}

// deliverAnnouncement has the core receive the owner's next announcement.
func (m *announcementModel) deliverAnnouncement() {
	if len(m.announced) == 0 {
		return
	}
	p := m.announced[0]
	m.announced = m.announced[1:]
	if p.number > m.lastIncluded {
		m.pending[p.number] = p
	}
	m.core.waitTable.ApplyWaitsAdded("node-1", &message.WaitsAdded{
		Term: 1, Numbers: map[protocol.NodeName]uint64{"node-2": p.number},
		Waits: []message.WaitChange{{Machine: p.machine, Add: p.wait, Taken: []message.LevelUse{{CPUs: 1}}}},
	})
}

// handlePlacement has the dispatcher accept or refuse the next placement.
func (m *announcementModel) handlePlacement() {
	if len(m.toDispatcher) == 0 {
		return
	}
	p := m.toDispatcher[0]
	m.toDispatcher = m.toDispatcher[1:]
	m.handled = p.number
	if rapid.Bool().Draw(m.t, "taken") {
		m.waits[p.machine] += p.wait
	}
	m.log.Touch(p.machine) // also if refused: the owner needs a state that includes the placement
}

// endTasks has all tasks of a machine end.
func (m *announcementModel) endTasks() {
	id := rapid.SampledFrom(m.machines).Draw(m.t, "ends")
	m.waits[id] = 0
	m.log.Touch(id)
}

// publish has the dispatcher send the states that the core lacks, of at most two machines.
func (m *announcementModel) publish() {
	ids, upto := m.log.Since(m.cursor.SentUpTo(), 2)
	update := &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, From: m.cursor.SentUpTo(), Upto: upto}}
	m.cursor.MarkSent(upto)
	for _, id := range ids {
		update.States = append(update.States, message.MachineState{Machine: id, Epoch: m.core.waitTable.Machines[id].Epoch, Wait: m.waits[id]})
	}
	if upto == m.log.Version() {
		update.Handled = map[protocol.NodeName]uint64{"node-1": m.handled}
	}
	m.updates = append(m.updates, update)
}

// deliverUpdate has the core receive the dispatcher's next state update.
func (m *announcementModel) deliverUpdate() {
	if len(m.updates) == 0 {
		return
	}
	update := m.updates[0]
	m.updates = m.updates[1:]
	before := m.core.waitTable.Peers["node-2"].Updates.MachinesFrom
	m.core.handleStateUpdate("node-2", update)
	if !before.Accept(update.Machines) || update.Handled == nil {
		return
	}
	m.lastIncluded = max(m.lastIncluded, update.Handled["node-1"])
	for number := range m.pending {
		if number <= m.lastIncluded {
			delete(m.pending, number)
		}
	}
}

// loseUpdate randomly drops the dispatcher's next state update.
func (m *announcementModel) loseUpdate() {
	if len(m.updates) > 0 && rapid.Bool().Draw(m.t, "lost") {
		m.updates = m.updates[1:]
	}
}

// acknowledge has the dispatcher receive the position up to which the core has received its
// stream.
func (m *announcementModel) acknowledge() {
	m.cursor.HandleAcknowledgement(m.core.waitTable.Peers["node-2"].Updates.MachinesFrom.Have())
}

// step simulates a random event.
func (m *announcementModel) step() {
	switch rapid.IntRange(0, 7).Draw(m.t, "step") {
	case 0, 1:
		m.place()
	case 2:
		m.deliverAnnouncement()
	case 3:
		m.handlePlacement()
	case 4:
		m.endTasks()
	case 5:
		m.publish()
	case 6:
		m.deliverUpdate()
	case 7:
		m.loseUpdate()
		m.acknowledge()
	}
}

// deliverAll delivers all messages in transit, and state updates until the core must have
// received the complete state of the dispatcher.
func (m *announcementModel) deliverAll() {
	for len(m.announced) > 0 {
		m.deliverAnnouncement()
	}
	for len(m.toDispatcher) > 0 {
		m.handlePlacement()
	}
	for range 20 {
		m.acknowledge()
		m.publish()
		for len(m.updates) > 0 {
			m.deliverUpdate()
		}
		m.checkPending()
	}
}

// checkPending checks that the wait table counts exactly the pending placements.
func (m *announcementModel) checkPending() {
	want := map[protocol.MachineID]float64{}
	for _, p := range m.pending {
		want[p.machine] += p.wait
	}
	for _, id := range m.machines {
		if got := m.core.waitTable.Machines[id].PendingSum; got != want[id] {
			m.t.Fatalf("%s: pending waits of %v, want %v", id, got, want[id])
		}
	}
}

// checkSettled checks that the wait table equals the dispatcher's state.
func (m *announcementModel) checkSettled() {
	for _, id := range m.machines {
		if machine := m.core.waitTable.Machines[id]; machine.Wait() != m.waits[id] || len(machine.PendingWaits) > 0 {
			m.t.Fatalf("%s: wait %v with %d still pending, its dispatcher has %v", id, machine.Wait(), len(machine.PendingWaits), m.waits[id])
		}
	}
}

// TestWaitTableConvergesToDispatcherState: a third controller receives an owner's announcements
// and a dispatcher's states independently; they may be delayed, lost or reordered relative to
// each other. Its wait table never counts a placement twice, once as announced and once in the
// dispatcher's state, and finally equals the dispatcher's state.
func TestWaitTableConvergesToDispatcherState(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		m := newAnnouncementModel(outer, t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.checkPending()
		}
		m.deliverAll()
		m.checkSettled()
	})
}

// TestStateBeforeRecordIsKept: a controller that receives the state of a machine before the
// machine's record keeps the state until it receives the record, because the dispatcher does
// not publish the state again.
func TestStateBeforeRecordIsKept(t *testing.T) {
	h := newHarness(t, "node-1")
	id := h.machineDispatchedBy("node-1")
	h.core.handleStateUpdate("node-1", &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, Upto: 1}, States: []message.MachineState{
		{Machine: id, Epoch: h.version + 1, FreeCPUs: 3, FreeGB: 3, Heard: true},
	}})
	h.registerMachine(id, 1)
	machine := h.core.waitTable.Machines[id]
	if machine.Free().CPUs != 3 || !h.core.waitTable.IsStateRecent(machine, time.Minute) {
		t.Errorf("free %+v, state %+v", machine.Free(), machine.State)
	}
	h.adoptView(2, "node-0", "node-1")
	if h.core.waitTable.IsStateRecent(machine, time.Minute) {
		t.Error("the state of an earlier term counts as recent")
	}
}

// TestRebalanceMovesBoundedTasksPerStep: if many machines are idle at once, a step moves a
// bounded number of tasks, and the next step continues with the remaining machines. For each
// machine, no more tasks are released than it has resources for.
func TestRebalanceMovesBoundedTasksPerStep(t *testing.T) {
	h := newHarness(t, "node-1")
	h.addMachinesInZone("a", 300, false, resource.Uses{})
	h.addMachinesInZone("b", 300, false, resource.Uses{})
	job := h.core.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 4000, CPUs: 1, EstimateS: 10}})
	job.Loaded = true
	nextTask := uint32(0)
	for _, machine := range h.core.waitTable.InOrder() {
		if machine.Record.Zone == "b" { // fully used, with 12 tasks queued
			machine.State.FreeCPUs, machine.State.Queued = 0, 12
			for range 12 {
				h.core.placer.PlaceAttempt(job, nextTask, machine, 1)
				nextTask++
			}
		}
	}
	var movedPerStep []int
	rebalanceAfter := func(after protocol.MachineID) {
		before := countRequestedReleases(job)
		h.core.placer.Rebalance(after)
		movedPerStep = append(movedPerStep, countRequestedReleases(job)-before)
	}
	rebalanceAfter("")
	for h.core.placer.RebalancePosition != "" && len(movedPerStep) < 9 {
		rebalanceAfter(h.core.placer.RebalancePosition)
	}
	total := 0
	for _, n := range movedPerStep {
		if total += n; n > placement.MaxMovesPerStep {
			t.Errorf("%d tasks moved in one step", n)
		}
	}
	if total != 300*4 {
		t.Errorf("%d tasks moved in steps of %v, the idle machines can run %d", total, movedPerStep, 300*4)
	}
}

// countRequestedReleases returns the number of a job's tasks whose release was requested from
// their dispatchers.
func countRequestedReleases(job *jobs.Job) int {
	count := 0
	for _, attempt := range job.Placed {
		if attempt.ReleaseRequested {
			count++
		}
	}
	return count
}

// TestPeerLeaseReportExpires: a controller without a lease distinguishes a fault of its own from
// an outage of the cluster by whether a peer has recently reported that it holds its lease.
func TestPeerLeaseReportExpires(t *testing.T) {
	h := newHarness(t, "node-1")
	if h.core.members.AnyPeerHoldsLease() {
		t.Error("a peer counts as holding its lease although none has reported it")
	}
	h.core.handleStateUpdate("node-1", &message.StateUpdate{Acting: true})
	if !h.core.members.AnyPeerHoldsLease() {
		t.Error("no peer counts as holding its lease although one has reported it")
	}
	h.now += Time(time.Minute)
	h.core.Now = h.now
	if h.core.members.AnyPeerHoldsLease() {
		t.Error("a peer counts as holding its lease by a report that is a minute old")
	}
}
