package jobs

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/bits-and-blooms/bitset"
)

// AdoptView goes over to a new view: jobs owned without a break are kept, with
// what changed hands made uncertain; others are taken over or let go.
func (oj *Owned) AdoptView(old record.View, keeps bool) {
	before := oj.ByID
	oj.ByID = map[protocol.JobID]*Job{}
	oj.sorted = nil
	oj.table.PlacementDue = true
	oj.AwaitedInventories = map[protocol.MachineID]bool{}
	if !keeps {
		clear(oj.EndedAttempts)
	}
	for ref, t := range oj.EndedAttempts {
		// A keeper's new session counts placements anew: held against its
		// count, an attempt long gone would take of its team's limit for ever.
		if oj.dispatcherChanged(old, ref.Machine) {
			t.placeNumber = 0
			oj.EndedAttempts[ref] = t
		}
	}
	for _, team := range oj.Configuration.Effective().TeamsEver() {
		if j := (&protocol.Job{Team: team}); oj.Limited(team) && oj.JobOwner(oj.View, j) == oj.Self && (!keeps || oj.JobOwner(old, j) != oj.Self) {
			oj.UnverifiedTeams[team] = true
		}
	}
	for id := range oj.table.Machines {
		oj.AwaitedInventories[id] = true
		if !keeps {
			clear(oj.AttemptsOn[id])
		} else if len(oj.AttemptsOn[id]) > 0 && oj.dispatcherChanged(old, id) {
			for _, t := range oj.AttemptsOn[id] {
				t.Unverified = true
			}
		}
	}
	for id, l := range ordered.Of(oj.Live) {
		o := before[id]
		if oj.OwnerOf(l) != oj.Self {
			oj.releaseJob(o)
			continue
		}
		if o == nil || !keeps {
			o = oj.Adopt(l)
			o.Unverified = true
			o.loading = true
			oj.Emit(message.LoadBitmap{Job: id})
			continue
		}
		oj.ByID[id] = o
	}
	oj.resolveUnverified()
}

// releaseJob: a job has another owner now.
func (oj *Owned) releaseJob(o *Job) {
	if o == nil {
		return
	}
	oj.sendCompletedTasks(o)
	for _, t := range o.Placed {
		if oj.AttemptsOn[t.Machine][t.Task] == t {
			delete(oj.AttemptsOn[t.Machine], t.Task)
		}
	}
}

// dispatcherChanged reports whether a machine is kept by another controller, or
// another session of the same, than by an earlier view.
func (oj *Owned) dispatcherChanged(old record.View, id protocol.MachineID) bool {
	if old.Layout >= record.LayoutShards && oj.Sharded() {
		return false // the record of the shares has told: see ShardsMoved
	}
	keeper := oj.DispatcherOf(id)
	return clusterstate.RendezvousDispatcher(old, id) != keeper || !clusterstate.SameMemberSession(old, oj.View, keeper)
}

func (oj *Owned) BitmapLoaded(m message.BitmapLoaded) {
	o := oj.ByID[m.Job]
	if o == nil || o.Loaded && !o.rereadNeeded {
		return
	}
	o.loading = false
	if !m.OK {
		return // asked for again at a later tick
	}
	o.rereadNeeded = false
	clear(o.storedChunks)
	for _, it := range m.Chunks {
		if chunk, ok := record.ChunkNumber(it.Key); ok {
			o.storedChunks[chunk] = it.Version
		}
		var b record.BitmapChunk
		err := protocol.Decode(it.Value, &b)
		if err == nil {
			err = record.DecodeChunk(it.Key, b, o.Done, o.Tasks)
		}
		if err != nil {
			oj.Log.Error("bitmap can't be read", "job", m.Job, "err", err)
		}
	}
	o.Loaded = true
	o.DoneCount = uint32(o.Done.Count())
	oj.ownedChanges.Touch(o.ID)
	for id, t := range ordered.Tasks(o.Placed) {
		if o.Done.Test(uint(id.Index)) {
			oj.SendStop(t, true, 0)
		}
	}
	oj.finishIfDone(o)
	oj.resolveUnverified()
}

// resolveUnverified makes the unlisted tasks of jobs taken over placeable, once
// every machine that might hold one has been heard or is proven empty.
func (oj *Owned) resolveUnverified() {
	if len(oj.AwaitedInventories) > 0 {
		return
	}
	clear(oj.UnverifiedTeams)
	oj.table.PlacementDue = true
	for _, o := range oj.ByID {
		if !o.Unverified || !o.Loaded {
			continue
		}
		o.Unverified = false
		for i := uint32(0); i < o.Tasks; i++ {
			if !o.Done.Test(uint(i)) && o.Placed[protocol.TaskID{Job: o.ID, Index: i}] == nil {
				o.Pending.Set(uint(i))
			}
		}
		oj.table.PlacementDue = true
		oj.Log.Debug("job taken over", "id", o.ID, "done", o.DoneCount, "placed", len(o.Placed))
	}
}

// Inventory takes a keeper's proof of all that is on a machine.
func (oj *Owned) Inventory(from protocol.NodeName, inv *message.Inventory) {
	m := oj.table.Machines[inv.Machine]
	if inv.Term != oj.View.Term || m == nil || m.Epoch != inv.Epoch || oj.DispatcherOf(inv.Machine) != from || inv.Tenure != oj.ShardEpoch(inv.Machine, m.Record.Zone) {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, h := range inv.Held {
		o := oj.ByID[h.Task.Job]
		if o == nil || h.Task.Index >= o.Tasks {
			continue
		}
		listed[h.Task] = true
		oj.adoptAttempt(o, m, h)
	}
	for _, t := range ordered.Tasks(oj.AttemptsOn[m.ID]) {
		o := oj.ByID[t.Task.Job]
		if o == nil || listed[t.Task] || (!t.Unverified && t.PlaceNumber > inv.Upto) {
			continue
		}
		oj.attemptLost(o, t)
	}
	oj.clearEndedAttempts(inv.Machine, inv.Upto)
	oj.noteEndedAttempts(inv)
	delete(oj.AwaitedInventories, inv.Machine)
	oj.resolveUnverified()
}

// noteEndedAttempts counts what a machine holds of jobs that are over here, and not yet by
// what its keeper has followed: it has not been killed, and may even be started, until
// the keeper follows. It counts against its team's limit until the keeper says that it
// is gone. Taken for gone, its room was given to others of the team, beyond the limit.
func (oj *Owned) noteEndedAttempts(inv *message.Inventory) {
	for _, h := range inv.Held {
		if oj.Live[h.Task.Job] == nil && h.State != protocol.TaskEnded && oj.Limited(h.Team) {
			oj.EndedAttempts[message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: inv.Machine}] = endedAttempt{h.Team, h.Need, 0}
		}
	}
}

// adoptAttempt takes one attempt of an inventory.
func (oj *Owned) adoptAttempt(o *Job, m *waittable.Machine, h message.HeldAttempt) {
	ref := message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: m.ID}
	t := o.Placed[h.Task]
	if t == nil && o.Unverified {
		t = &Attempt{
			Task: h.Task, Number: h.Attempt, Machine: m.ID, Epoch: m.Epoch, Zone: m.Record.Zone,
			Estimate: oj.Estimate(&o.Job), startUnseen: true,
		}
		o.Placed[h.Task] = t
		o.Waiting++
		oj.Track(t)
		if o.Done.Test(uint(h.Task.Index)) {
			oj.SendStop(t, true, 0)
		}
	}
	if t != nil && t.Number == h.Attempt && t.Machine == m.ID {
		t.startUnseen = t.startUnseen || t.Unverified && !t.running
		if t.Unverified {
			t.PlaceNumber, t.Unverified = 0, false // counted by a session that is over
		}
	}
	switch h.State {
	case "":
	case protocol.TaskEnded:
		oj.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: h.Cause, Saved: h.Saved})
	case protocol.TaskRunning:
		oj.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
	default:
		oj.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventPresent})
	}
}

// ShardsMoved: what was placed on the machines of some shares is uncertain until
// their new keepers' inventories, and what was told of these machines is no longer
// the word of who keeps them.
func (oj *Owned) ShardsMoved(moved map[sharding.ID]bool) {
	for ref, t := range oj.EndedAttempts {
		if m := oj.table.Machines[ref.Machine]; m != nil && moved[sharding.Of(oj.Shards, ref.Machine, m.Record.Zone)] {
			t.placeNumber = 0 // of the keeper before
			oj.EndedAttempts[ref] = t
		}
	}
	for id, m := range oj.table.Machines {
		if !moved[sharding.Of(oj.Shards, id, m.Record.Zone)] {
			continue
		}
		for _, t := range oj.AttemptsOn[id] {
			t.Unverified = true
		}
	}
}

// sendCompletedTasks tells a job's next owner what was done here and is not written yet. Its
// workers have been told to forget it: else it would be done again.
func (oj *Owned) sendCompletedTasks(o *Job) {
	d := message.CompletedTasks{Job: o.ID, Chunks: map[int]record.BitmapChunk{}}
	for chunk := range o.dirtyChunks {
		d.Chunks[chunk] = record.EncodeChunk(o.Done, chunk)
	}
	for _, chunk := range o.chunksInFlight {
		d.Chunks[chunk] = record.EncodeChunk(o.Done, chunk)
	}
	if len(d.Chunks) > 0 {
		oj.Send(oj.OwnerOf(o.LiveJob), message.PeerMessage{Done: &d})
	}
}

// CompletedBefore takes what the owner before has seen done.
func (oj *Owned) CompletedBefore(d *message.CompletedTasks) {
	o := oj.ByID[d.Job]
	if o == nil {
		return
	}
	seen := bitset.New(uint(o.Tasks))
	for chunk, b := range ordered.Of(d.Chunks) {
		if err := record.DecodeChunk(record.BitmapChunkKey(d.Job, chunk), b, seen, o.Tasks); err != nil {
			oj.Log.Error("bitmap of a peer can't be read", "job", d.Job, "err", err)
		}
	}
	for i, ok := seen.NextSet(0); ok; i, ok = seen.NextSet(i + 1) {
		oj.markTaskDone(o, uint32(i))
		if t := o.Placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}]; t != nil {
			oj.SendStop(t, true, 0)
		}
	}
	oj.finishIfDone(o)
}
