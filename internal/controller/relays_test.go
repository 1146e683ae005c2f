package controller

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/placement"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// relaysTo lists the regular messages to a peer.
func relaysTo(actions []message.Action, to protocol.NodeName) (rs []*message.StateUpdate) {
	for _, a := range actions {
		if s, ok := a.(message.Send); ok && s.To == to && s.Message.Relay != nil {
			rs = append(rs, s.Message.Relay)
		}
	}
	return rs
}

// TestRelaysWhatChanged: what changed is told once, to each peer, and nothing
// else; a peer that does not get on is told again what it lacks, and only that.
func TestRelaysWhatChanged(t *testing.T) {
	f := newBusyFleet(t, 300, 3000)
	told := func() (to1, to2 int) {
		actions := f.second()
		for i, n := range []*int{&to1, &to2} {
			for _, r := range relaysTo(actions, protocol.NodeName(fmt.Sprint("node-", i+1))) {
				*n += len(r.States)
			}
		}
		return to1, to2
	}
	hear := func(changed int) (int, int) { f.hear(changed); return told() }
	hear(0) // what the setup left
	if a, b := hear(0); a != 0 || b != 0 {
		t.Errorf("%d and %d machines told of though none changed", a, b)
	}
	if a, b := hear(30); a != 30 || b != 30 {
		t.Errorf("%d and %d machines told of, 30 changed", a, b)
	}
	have := f.c.dispatcher.Changes()
	hear(20)
	for range 4 { // the first lost the last message, the second has everything
		f.c.stateUpdated("node-1", &message.StateUpdate{Term: 2, HaveMachines: have})
		f.c.stateUpdated("node-2", &message.StateUpdate{Term: 2, HaveMachines: f.c.dispatcher.Changes()})
	}
	if a, b := told(); a != 20 || b != 0 {
		t.Errorf("%d and %d machines told of, want 20 and 0", a, b)
	}
}

// TestFullCopyInPieces: a term begins with all machines, in messages of a
// bounded size; only the last says which placements are included.
func TestFullCopyInPieces(t *testing.T) {
	f := newBusyFleet(t, 2*statesMost+300, 100)
	v := f.c.View
	v.Term++
	f.put(record.ViewKey, v)
	var sizes []int
	complete := 0
	for i := range 12 {
		f.now += Time(tickEvery)
		for _, r := range relaysTo(f.play(message.Tick{}), "node-1") {
			if len(r.States) > 0 {
				sizes = append(sizes, len(r.States))
			}
			if r.Handled != nil && complete == 0 {
				complete = i + 1
			}
		}
	}
	if len(sizes) < 3 || sizes[0] != statesMost || sizes[1] != statesMost || sizes[2] > statesMost {
		t.Errorf("pieces of %v", sizes)
	}
	if complete == 0 || complete < 3 {
		t.Errorf("complete after %d ticks, and %d pieces", complete, len(sizes))
	}
}

// TestInventoriesInPieces: after a view that changes nothing for a controller's
// queues, it gives their inventories in bounded steps, and all of them soon.
func TestInventoriesInPieces(t *testing.T) {
	const machines = 2*dispatcher.MaxInventoriesPerStep + 100
	f := newBusyFleet(t, machines, 100)
	v := f.c.View
	v.Term++
	given, steps := 0, 0
	for actions := f.put(record.ViewKey, v); given < machines && steps < 9; steps++ {
		n := 0
		for _, a := range actions {
			if s, ok := a.(message.Send); ok && s.To == "node-1" && s.Message.Inventory != nil {
				n++
			}
		}
		if n > dispatcher.MaxInventoriesPerStep {
			t.Fatalf("%d inventories in one step", n)
		}
		given += n
		f.now += Time(tickEvery)
		actions = f.play(message.Tick{})
	}
	if given != machines {
		t.Errorf("%d of %d inventories after %d steps", given, machines, steps)
	}
}

// TestTableNeverDrifts: an owner's announcements and a keeper's word reach a
// third controller by different ways, late, lost and crossing one another. The
// table never counts a placement that the keeper's word includes, and in the end
// it is the keeper's word.
func TestTableNeverDrifts(t *testing.T) {
	tt := t
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(tt, "node-1", "node-2")
		c := b.c
		var ids []protocol.MachineID
		for i := 0; len(ids) < 3; i++ {
			if id := protocol.MachineID(fmt.Sprint("vm-", i)); clusterstate.RendezvousDispatcher(c.View, id) == "node-2" {
				ids = append(ids, id)
				b.machine(id, 1)
			}
		}
		type placement struct {
			number uint64
			id     protocol.MachineID
			add    float64
		}
		var (
			log          replication.Log[protocol.MachineID]
			to           replication.Cursor
			waits        = map[protocol.MachineID]float64{} // as the keeper has them
			placed       uint64
			handled      uint64
			open         = map[uint64]placement{} // announced here, not included in the word held here
			toKeeper     []placement
			announced    []placement
			word         []*message.StateUpdate
			lastIncluded uint64
		)
		announce := func() {
			p := announced[0]
			announced = announced[1:]
			if p.number > lastIncluded {
				open[p.number] = p
			}
			c.table.WaitsAdded("node-1", &message.WaitsAdded{Term: 1, Numbers: map[protocol.NodeName]uint64{"node-2": p.number},
				Waits: []message.WaitChange{{Machine: p.id, Add: p.add, Taken: []message.LevelUse{{CPUs: 1}}}}})
		}
		handle := func() {
			p := toKeeper[0]
			toKeeper = toKeeper[1:]
			handled = p.number
			if rapid.Bool().Draw(t, "taken") {
				waits[p.id] += p.add
			}
			log.Touch(p.id) // refused: its owner needs a word all the same
		}
		say := func() {
			ids, upto := log.Since(to.Next(), 2)
			r := &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, From: to.Next(), Upto: upto}}
			to.Sent(upto)
			for _, id := range ids {
				r.States = append(r.States, message.MachineState{Machine: id, Epoch: c.table.Machines[id].Epoch, Wait: waits[id]})
			}
			if upto == log.Version() {
				r.Handled = map[protocol.NodeName]uint64{"node-1": handled}
			}
			word = append(word, r)
		}
		hear := func() {
			r := word[0]
			word = word[1:]
			before := c.table.Peers["node-2"].Updates.MachinesFrom
			c.stateUpdated("node-2", r)
			if before.Accept(r.Machines) && r.Handled != nil {
				lastIncluded = max(lastIncluded, r.Handled["node-1"])
				for n := range open {
					if n <= lastIncluded {
						delete(open, n)
					}
				}
			}
		}
		check := func() {
			want := map[protocol.MachineID]float64{}
			for _, p := range open {
				want[p.id] += p.add
			}
			for _, id := range ids {
				if got := c.table.Machines[id].PendingSum; got != want[id] {
					t.Fatalf("%s: %v announced, want %v", id, got, want[id])
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				placed++
				p := placement{placed, rapid.SampledFrom(ids).Draw(t, "machine"), float64(rapid.IntRange(1, 9).Draw(t, "add"))}
				toKeeper, announced = append(toKeeper, p), append(announced, p)
			case 2:
				if len(announced) > 0 {
					announce()
				}
			case 3:
				if len(toKeeper) > 0 {
					handle()
				}
			case 4:
				id := rapid.SampledFrom(ids).Draw(t, "ends")
				waits[id] = 0
				log.Touch(id)
			case 5:
				say()
			case 6:
				if len(word) > 0 {
					hear()
				}
			case 7:
				if len(word) > 0 && rapid.Bool().Draw(t, "lost") {
					word = word[1:]
				}
				to.Acknowledged(c.table.Peers["node-2"].Updates.MachinesFrom.Have())
			}
			check()
		}
		for len(announced) > 0 {
			announce()
		}
		for len(toKeeper) > 0 {
			handle()
		}
		for range 20 {
			to.Acknowledged(c.table.Peers["node-2"].Updates.MachinesFrom.Have())
			say()
			for len(word) > 0 {
				hear()
			}
			check()
		}
		for _, id := range ids {
			if m := c.table.Machines[id]; m.Wait() != waits[id] || len(m.PendingWaits) > 0 {
				t.Fatalf("%s: wait %v with %d still announced, its keeper says %v", id, m.Wait(), len(m.PendingWaits), waits[id])
			}
		}
	})
}

// TestWordBeforeRecord: what a keeper says of a machine whose record has not
// arrived here yet is kept for it: the keeper does not say it again.
func TestWordBeforeRecord(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.keptBy("node-1")
	b.c.stateUpdated("node-1", &message.StateUpdate{Term: 1, Machines: replication.Range{Stream: 1, Upto: 1}, States: []message.MachineState{
		{Machine: id, Epoch: b.version + 1, FreeCPUs: 3, FreeGB: 3, Heard: true},
	}})
	b.machine(id, 1)
	m := b.c.table.Machines[id]
	if m.Free().CPUs != 3 || !b.c.table.Recent(m, time.Minute) {
		t.Errorf("room %+v, told %+v", m.Free(), m.Reported)
	}
	b.view(2, "node-0", "node-1")
	if b.c.table.Recent(m, time.Minute) {
		t.Error("a word of an earlier term counts as recent")
	}
}

// TestMovesInPieces: when many machines have room at once, a bounded number of
// tasks is moved in a step, the next goes on with the other machines, and no
// machine has more asked for than it has room for.
func TestMovesInPieces(t *testing.T) {
	b := newBench(t, "node-1")
	b.zoned("a", 300, false, resource.Uses{})
	b.zoned("b", 300, false, resource.Uses{})
	o := b.c.jobs.Adopt(&clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 4000, CPUs: 1, EstimateS: 10}})
	o.Loaded = true
	i := uint32(0)
	for _, m := range b.c.table.InOrder() {
		if m.Record.Zone == "b" { // full, and more waits there
			m.Reported.FreeCPUs, m.Reported.Queued = 0, 12
			for range 12 {
				b.c.placer.PlaceAttempt(o, i, m, 1)
				i++
			}
		}
	}
	var sizes []int
	moved := func(after protocol.MachineID) {
		before := movingOf(o)
		b.c.placer.Rebalance(after)
		sizes = append(sizes, movingOf(o)-before)
	}
	moved("")
	for b.c.placer.RebalancedUpTo != "" && len(sizes) < 9 {
		moved(b.c.placer.RebalancedUpTo)
	}
	total := 0
	for _, n := range sizes {
		if total += n; n > placement.MovesMost {
			t.Errorf("%d moved in one step", n)
		}
	}
	if total != 300*4 {
		t.Errorf("%d tasks moved in steps of %v, there is room for %d", total, sizes, 300*4)
	}
}

// movingOf is how many of a job's tasks were asked back.
func movingOf(o *jobs.Job) int {
	n := 0
	for _, t := range o.Placed {
		if t.ReleaseAsked {
			n++
		}
	}
	return n
}
