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

// stateUpdatesTo lists the regular messages to a peer.
func stateUpdatesTo(actions []message.Action, to protocol.NodeName) (updates []*message.StateUpdate) {
	for _, a := range actions {
		if s, ok := a.(message.Send); ok && s.To == to && s.Message.Relay != nil {
			updates = append(updates, s.Message.Relay)
		}
	}
	return updates
}

// TestStateUpdatesCarryOnlyChanges: each change of a machine is sent to each peer once,
// and nothing else; a peer that lost a message is sent again what it lacks, and only that.
func TestStateUpdatesCarryOnlyChanges(t *testing.T) {
	f := newBusyFleet(t, 300, 3000)
	sent := func() (to1, to2 int) {
		actions := f.second()
		for i, n := range []*int{&to1, &to2} {
			for _, r := range stateUpdatesTo(actions, protocol.NodeName(fmt.Sprint("node-", i+1))) {
				*n += len(r.States)
			}
		}
		return to1, to2
	}
	sentAfter := func(changed int) (int, int) {
		f.hear(changed)
		return sent()
	}
	sentAfter(0) // what the setup left
	if a, b := sentAfter(0); a != 0 || b != 0 {
		t.Errorf("states of %d and %d machines sent though none changed", a, b)
	}
	if a, b := sentAfter(30); a != 30 || b != 30 {
		t.Errorf("states of %d and %d machines sent, 30 changed", a, b)
	}
	have := f.c.dispatcher.ChangeLogVersion()
	sentAfter(20)
	for range 4 { // the first lost the last message, the second has everything
		f.c.handleStateUpdate("node-1", &message.StateUpdate{Term: 2, HaveMachines: have})
		f.c.handleStateUpdate("node-2", &message.StateUpdate{Term: 2, HaveMachines: f.c.dispatcher.ChangeLogVersion()})
	}
	if a, b := sent(); a != 20 || b != 0 {
		t.Errorf("states of %d and %d machines sent, want 20 and 0", a, b)
	}
}

// TestFullCopyIsSentInBoundedMessages: at the start of a term the states of all machines
// are sent in messages of a bounded size; only the last says which placements they include.
func TestFullCopyIsSentInBoundedMessages(t *testing.T) {
	f := newBusyFleet(t, 2*maxStatesPerUpdate+300, 100)
	v := f.c.View
	v.Term++
	f.put(record.ViewKey, v)
	var sizes []int
	complete := 0
	for i := range 12 {
		f.now += Time(tickInterval)
		for _, r := range stateUpdatesTo(f.play(message.Tick{}), "node-1") {
			if len(r.States) > 0 {
				sizes = append(sizes, len(r.States))
			}
			if r.Handled != nil && complete == 0 {
				complete = i + 1
			}
		}
	}
	if len(sizes) < 3 || sizes[0] != maxStatesPerUpdate || sizes[1] != maxStatesPerUpdate || sizes[2] > maxStatesPerUpdate {
		t.Errorf("messages of %v states", sizes)
	}
	if complete == 0 || complete < 3 {
		t.Errorf("complete after %d ticks and %d messages", complete, len(sizes))
	}
}

// TestInventoriesAreSentInBoundedSteps: after a view that changes nothing for a
// controller's queues, it sends a bounded number of inventories per step, and all of them
// within a few steps.
func TestInventoriesAreSentInBoundedSteps(t *testing.T) {
	const machines = 2*dispatcher.MaxInventoriesPerStep + 100
	f := newBusyFleet(t, machines, 100)
	v := f.c.View
	v.Term++
	sent, steps := 0, 0
	for actions := f.put(record.ViewKey, v); sent < machines && steps < 9; steps++ {
		n := 0
		for _, a := range actions {
			if s, ok := a.(message.Send); ok && s.To == "node-1" && s.Message.Inventory != nil {
				n++
			}
		}
		if n > dispatcher.MaxInventoriesPerStep {
			t.Fatalf("%d inventories in one step", n)
		}
		sent += n
		f.now += Time(tickInterval)
		actions = f.play(message.Tick{})
	}
	if sent != machines {
		t.Errorf("%d of %d inventories after %d steps", sent, machines, steps)
	}
}

// announcedPlacement is a placement by node-1 on a machine that node-2 dispatches to.
type announcedPlacement struct {
	number uint64
	id     protocol.MachineID
	add    float64
}

// announcementModel plays an owner (node-1) and a dispatcher (node-2) whose messages to
// the core under test are late, lost or cross one another.
type announcementModel struct {
	t    *rapid.T
	core *Core
	ids  []protocol.MachineID

	// The dispatcher's side: its log of changes, the waits of its machines and the last
	// placement that it has handled.
	log     replication.ChangeLog[protocol.MachineID]
	cursor  replication.Cursor
	waits   map[protocol.MachineID]float64
	handled uint64

	// Messages under way.
	toDispatcher []announcedPlacement
	announced    []announcedPlacement
	updates      []*message.StateUpdate

	placed       uint64                        // number of the owner's last placement
	lastIncluded uint64                        // the last one that the state received includes
	open         map[uint64]announcedPlacement // announced to the core, and not included
}

// newAnnouncementModel has three machines whose dispatcher is node-2.
func newAnnouncementModel(tt *testing.T, t *rapid.T) *announcementModel {
	b := newBench(tt, "node-1", "node-2")
	m := &announcementModel{t: t, core: b.c, waits: map[protocol.MachineID]float64{}, open: map[uint64]announcedPlacement{}}
	for i := 0; len(m.ids) < 3; i++ {
		if id := protocol.MachineID(fmt.Sprint("vm-", i)); clusterstate.RendezvousDispatcher(b.c.View, id) == "node-2" {
			m.ids = append(m.ids, id)
			b.machine(id, 1)
		}
	}
	return m
}

// place has the owner place a task: it sends it to the dispatcher and announces it.
func (m *announcementModel) place() {
	m.placed++
	p := announcedPlacement{
		number: m.placed,
		id:     rapid.SampledFrom(m.ids).Draw(m.t, "machine"),
		add:    float64(rapid.IntRange(1, 9).Draw(m.t, "add")),
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
		m.open[p.number] = p
	}
	m.core.waitTable.ApplyWaitsAdded("node-1", &message.WaitsAdded{
		Term: 1, Numbers: map[protocol.NodeName]uint64{"node-2": p.number},
		Waits: []message.WaitChange{{Machine: p.id, Add: p.add, Taken: []message.LevelUse{{CPUs: 1}}}},
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
		m.waits[p.id] += p.add
	}
	m.log.Touch(p.id) // also when refused: its owner needs a state that includes it
}

// endTasks has all tasks of a machine end.
func (m *announcementModel) endTasks() {
	id := rapid.SampledFrom(m.ids).Draw(m.t, "ends")
	m.waits[id] = 0
	m.log.Touch(id)
}

// publish has the dispatcher send what the core lacks, two machines at the most.
func (m *announcementModel) publish() {
	ids, upto := m.log.Since(m.cursor.SentUpTo(), 2)
	r := &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, From: m.cursor.SentUpTo(), Upto: upto}}
	m.cursor.MarkSent(upto)
	for _, id := range ids {
		r.States = append(r.States, message.MachineState{Machine: id, Epoch: m.core.waitTable.Machines[id].Epoch, Wait: m.waits[id]})
	}
	if upto == m.log.Version() {
		r.Handled = map[protocol.NodeName]uint64{"node-1": m.handled}
	}
	m.updates = append(m.updates, r)
}

// deliverUpdate has the core receive the dispatcher's next message.
func (m *announcementModel) deliverUpdate() {
	if len(m.updates) == 0 {
		return
	}
	r := m.updates[0]
	m.updates = m.updates[1:]
	before := m.core.waitTable.Peers["node-2"].Updates.MachinesFrom
	m.core.handleStateUpdate("node-2", r)
	if !before.Accept(r.Machines) || r.Handled == nil {
		return
	}
	m.lastIncluded = max(m.lastIncluded, r.Handled["node-1"])
	for n := range m.open {
		if n <= m.lastIncluded {
			delete(m.open, n)
		}
	}
}

// loseUpdate loses the dispatcher's next message, or none.
func (m *announcementModel) loseUpdate() {
	if len(m.updates) > 0 && rapid.Bool().Draw(m.t, "lost") {
		m.updates = m.updates[1:]
	}
}

// acknowledge has the dispatcher learn how far the core has its stream.
func (m *announcementModel) acknowledge() {
	m.cursor.HandleAcknowledgement(m.core.waitTable.Peers["node-2"].Updates.MachinesFrom.Have())
}

// step plays one random event.
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

// settle delivers all that is under way, until the core must have the dispatcher's state.
func (m *announcementModel) settle() {
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

// checkPending checks that the table counts just the open placements.
func (m *announcementModel) checkPending() {
	want := map[protocol.MachineID]float64{}
	for _, p := range m.open {
		want[p.id] += p.add
	}
	for _, id := range m.ids {
		if got := m.core.waitTable.Machines[id].PendingSum; got != want[id] {
			m.t.Fatalf("%s: %v announced, want %v", id, got, want[id])
		}
	}
}

// checkSettled checks that the table is the dispatcher's state.
func (m *announcementModel) checkSettled() {
	for _, id := range m.ids {
		if machine := m.core.waitTable.Machines[id]; machine.Wait() != m.waits[id] || len(machine.PendingWaits) > 0 {
			m.t.Fatalf("%s: wait %v with %d still pending, its dispatcher has %v", id, machine.Wait(), len(machine.PendingWaits), m.waits[id])
		}
	}
}

// TestTableNeverDrifts: an owner's announcements and a dispatcher's states reach a third
// controller by different ways, late, lost and crossing one another. The table never
// counts a placement that the dispatcher's state includes, and in the end it is the
// dispatcher's state.
func TestTableNeverDrifts(t *testing.T) {
	tt := t
	rapid.Check(t, func(t *rapid.T) {
		m := newAnnouncementModel(tt, t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.checkPending()
		}
		m.settle()
		m.checkSettled()
	})
}

// TestStateBeforeRecordIsKept: the state that a dispatcher publishes of a machine whose
// record has not arrived here yet is kept until it does: it is not published again.
func TestStateBeforeRecordIsKept(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.machineOf("node-1")
	b.c.handleStateUpdate("node-1", &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, Upto: 1}, States: []message.MachineState{
		{Machine: id, Epoch: b.version + 1, FreeCPUs: 3, FreeGB: 3, Heard: true},
	}})
	b.machine(id, 1)
	m := b.c.waitTable.Machines[id]
	if m.Free().CPUs != 3 || !b.c.waitTable.IsStateRecent(m, time.Minute) {
		t.Errorf("free %+v, state %+v", m.Free(), m.State)
	}
	b.view(2, "node-0", "node-1")
	if b.c.waitTable.IsStateRecent(m, time.Minute) {
		t.Error("a state of an earlier term counts as recent")
	}
}

// TestRebalanceMovesBoundedTasksPerStep: when many machines are idle at once, a bounded
// number of tasks is moved in a step, the next step continues with the other machines,
// and no machine has more tasks released for it than it has resources for.
func TestRebalanceMovesBoundedTasksPerStep(t *testing.T) {
	b := newBench(t, "node-1")
	b.zoned("a", 300, false, resource.Uses{})
	b.zoned("b", 300, false, resource.Uses{})
	o := b.c.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 4000, CPUs: 1, EstimateS: 10}})
	o.Loaded = true
	i := uint32(0)
	for _, m := range b.c.waitTable.InOrder() {
		if m.Record.Zone == "b" { // full, and more waits there
			m.State.FreeCPUs, m.State.Queued = 0, 12
			for range 12 {
				b.c.placer.PlaceAttempt(o, i, m, 1)
				i++
			}
		}
	}
	var sizes []int
	moved := func(after protocol.MachineID) {
		before := releasesAsked(o)
		b.c.placer.Rebalance(after)
		sizes = append(sizes, releasesAsked(o)-before)
	}
	moved("")
	for b.c.placer.RebalancePosition != "" && len(sizes) < 9 {
		moved(b.c.placer.RebalancePosition)
	}
	total := 0
	for _, n := range sizes {
		if total += n; n > placement.MaxMovesPerStep {
			t.Errorf("%d moved in one step", n)
		}
	}
	if total != 300*4 {
		t.Errorf("%d tasks moved in steps of %v, the idle machines can run %d", total, sizes, 300*4)
	}
}

// releasesAsked is how many of a job's tasks their dispatchers were asked to release.
func releasesAsked(o *jobs.Job) int {
	n := 0
	for _, t := range o.Placed {
		if t.ReleaseRequested {
			n++
		}
	}
	return n
}

// TestOthersLeadOnlyAsLongAsReported: a controller without a lease tells an error that
// concerns it alone from an outage by whether a peer has recently reported that it leads.
func TestOthersLeadOnlyAsLongAsReported(t *testing.T) {
	b := newBench(t, "node-1")
	if b.c.members.AnyPeerHoldsLease() {
		t.Error("others lead though none has reported it")
	}
	b.c.handleStateUpdate("node-1", &message.StateUpdate{Acting: true})
	if !b.c.members.AnyPeerHoldsLease() {
		t.Error("no others lead though a peer reports it")
	}
	b.now += Time(time.Minute)
	b.c.Now = b.now
	if b.c.members.AnyPeerHoldsLease() {
		t.Error("others lead by a report that is a minute old")
	}
}
