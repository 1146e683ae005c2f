package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/bits-and-blooms/bitset"
)

// adoptJobs goes over to a new view: jobs owned without a break are kept, with
// what changed hands made uncertain; others are taken over or let go.
func (oj *ownedJobs) adoptJobs(old record.View, keeps bool) {
	before := oj.byID
	oj.byID = map[protocol.JobID]*ownedJob{}
	oj.sorted = nil
	oj.table.placementDue = true
	oj.awaitedInventories = map[protocol.MachineID]bool{}
	if !keeps {
		clear(oj.endedAttempts)
	}
	for ref, t := range oj.endedAttempts {
		// A keeper's new session counts placements anew: held against its
		// count, an attempt long gone would take of its team's limit for ever.
		if oj.dispatcherChanged(old, ref.Machine) {
			t.placeNumber = 0
			oj.endedAttempts[ref] = t
		}
	}
	for _, team := range oj.Configuration.Effective().TeamsEver() {
		if j := (&protocol.Job{Team: team}); oj.Limited(team) && oj.JobOwner(oj.View, j) == oj.Self && (!keeps || oj.JobOwner(old, j) != oj.Self) {
			oj.unverifiedTeams[team] = true
		}
	}
	for id := range oj.table.machines {
		oj.awaitedInventories[id] = true
		if !keeps {
			clear(oj.attemptsOn[id])
		} else if len(oj.attemptsOn[id]) > 0 && oj.dispatcherChanged(old, id) {
			for _, t := range oj.attemptsOn[id] {
				t.unverified = true
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
			o = oj.adoptJob(l)
			o.unverified = true
			o.loading = true
			oj.Emit(message.LoadBitmap{Job: id})
			continue
		}
		oj.byID[id] = o
	}
	oj.resolveUnverified()
}

// releaseJob: a job has another owner now.
func (oj *ownedJobs) releaseJob(o *ownedJob) {
	if o == nil {
		return
	}
	oj.sendCompletedTasks(o)
	for _, t := range o.placed {
		if oj.attemptsOn[t.machine][t.task] == t {
			delete(oj.attemptsOn[t.machine], t.task)
		}
	}
}

// dispatcherChanged reports whether a machine is kept by another controller, or
// another session of the same, than by an earlier view.
func (oj *ownedJobs) dispatcherChanged(old record.View, id protocol.MachineID) bool {
	if old.Layout >= record.LayoutShards && oj.Sharded() {
		return false // the record of the shares has told: see shardsMoved
	}
	keeper := oj.DispatcherOf(id)
	return clusterstate.RendezvousDispatcher(old, id) != keeper || !clusterstate.SameMemberSession(old, oj.View, keeper)
}

func (oj *ownedJobs) bitmapLoaded(m message.BitmapLoaded) {
	o := oj.byID[m.Job]
	if o == nil || o.loaded && !o.rereadNeeded {
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
			err = record.DecodeChunk(it.Key, b, o.done, o.Tasks)
		}
		if err != nil {
			oj.Log.Error("bitmap can't be read", "job", m.Job, "err", err)
		}
	}
	o.loaded = true
	o.nDone = uint32(o.done.Count())
	oj.ownedChanges.Touch(o.ID)
	for id, t := range ordered.Tasks(o.placed) {
		if o.done.Test(uint(id.Index)) {
			oj.sendStop(t, true, 0)
		}
	}
	oj.finishIfDone(o)
	oj.resolveUnverified()
}

// resolveUnverified makes the unlisted tasks of jobs taken over placeable, once
// every machine that might hold one has been heard or is proven empty.
func (oj *ownedJobs) resolveUnverified() {
	if len(oj.awaitedInventories) > 0 {
		return
	}
	clear(oj.unverifiedTeams)
	oj.table.placementDue = true
	for _, o := range oj.byID {
		if !o.unverified || !o.loaded {
			continue
		}
		o.unverified = false
		for i := uint32(0); i < o.Tasks; i++ {
			if !o.done.Test(uint(i)) && o.placed[protocol.TaskID{Job: o.ID, Index: i}] == nil {
				o.pending.Set(uint(i))
			}
		}
		oj.table.placementDue = true
		oj.Log.Debug("job taken over", "id", o.ID, "done", o.nDone, "placed", len(o.placed))
	}
}

// inventory takes a keeper's proof of all that is on a machine.
func (oj *ownedJobs) inventory(from protocol.NodeName, inv *message.Inventory) {
	m := oj.table.machines[inv.Machine]
	if inv.Term != oj.View.Term || m == nil || m.Epoch != inv.Epoch || oj.DispatcherOf(inv.Machine) != from || inv.Tenure != oj.ShardEpoch(inv.Machine, m.Record.Zone) {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, h := range inv.Held {
		o := oj.byID[h.Task.Job]
		if o == nil || h.Task.Index >= o.Tasks {
			continue
		}
		listed[h.Task] = true
		oj.adoptAttempt(o, m, h)
	}
	for _, t := range ordered.Tasks(oj.attemptsOn[m.ID]) {
		o := oj.byID[t.task.Job]
		if o == nil || listed[t.task] || (!t.unverified && t.placeNumber > inv.Upto) {
			continue
		}
		oj.attemptLost(o, t)
	}
	oj.clearEndedAttempts(inv.Machine, inv.Upto)
	oj.noteEndedAttempts(inv)
	delete(oj.awaitedInventories, inv.Machine)
	oj.resolveUnverified()
}

// noteEndedAttempts counts what a machine holds of jobs that are over here, and not yet by
// what its keeper has followed: it has not been killed, and may even be started, until
// the keeper follows. It counts against its team's limit until the keeper says that it
// is gone. Taken for gone, its room was given to others of the team, beyond the limit.
func (oj *ownedJobs) noteEndedAttempts(inv *message.Inventory) {
	for _, h := range inv.Held {
		if oj.Live[h.Task.Job] == nil && h.State != protocol.TaskEnded && oj.Limited(h.Team) {
			oj.endedAttempts[message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: inv.Machine}] = endedAttempt{h.Team, h.Need, 0}
		}
	}
}

// adoptAttempt takes one attempt of an inventory.
func (oj *ownedJobs) adoptAttempt(o *ownedJob, m *machineEntry, h message.HeldAttempt) {
	ref := message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: m.ID}
	t := o.placed[h.Task]
	if t == nil && o.unverified {
		t = &attempt{
			task: h.Task, number: h.Attempt, machine: m.ID, epoch: m.Epoch, zone: m.Record.Zone,
			estimate: oj.Estimate(&o.Job), startUnseen: true,
		}
		o.placed[h.Task] = t
		o.waiting++
		oj.track(t)
		if o.done.Test(uint(h.Task.Index)) {
			oj.sendStop(t, true, 0)
		}
	}
	if t != nil && t.number == h.Attempt && t.machine == m.ID {
		t.startUnseen = t.startUnseen || t.unverified && !t.running
		if t.unverified {
			t.placeNumber, t.unverified = 0, false // counted by a session that is over
		}
	}
	switch h.State {
	case "":
	case protocol.TaskEnded:
		oj.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: h.Cause, Saved: h.Saved})
	case protocol.TaskRunning:
		oj.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
	default:
		oj.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventPresent})
	}
}

// shardsMoved: what was placed on the machines of some shares is uncertain until
// their new keepers' inventories, and what was told of these machines is no longer
// the word of who keeps them.
func (oj *ownedJobs) shardsMoved(moved map[sharding.ID]bool) {
	for ref, t := range oj.endedAttempts {
		if m := oj.table.machines[ref.Machine]; m != nil && moved[sharding.Of(oj.Shards, ref.Machine, m.Record.Zone)] {
			t.placeNumber = 0 // of the keeper before
			oj.endedAttempts[ref] = t
		}
	}
	for id, m := range oj.table.machines {
		if !moved[sharding.Of(oj.Shards, id, m.Record.Zone)] {
			continue
		}
		for _, t := range oj.attemptsOn[id] {
			t.unverified = true
		}
	}
}

// tableShardsMoved: what was told of the machines of some shards is no longer the word
// of the controller that holds them.
func (wt *waitTable) tableShardsMoved(moved map[sharding.ID]bool) {
	for id, m := range wt.machines {
		if !moved[sharding.Of(wt.Shards, id, m.Record.Zone)] {
			continue
		}
		m.reportedBy = nil
		if len(m.pendingWaits) > 0 {
			m.pendingWaits = nil
			m.recomputeWait()
			for _, p := range wt.peers {
				delete(p.updates.waits, m)
			}
		}
	}
}

// sendCompletedTasks tells a job's next owner what was done here and is not written yet. Its
// workers have been told to forget it: else it would be done again.
func (oj *ownedJobs) sendCompletedTasks(o *ownedJob) {
	d := message.CompletedTasks{Job: o.ID, Chunks: map[int]record.BitmapChunk{}}
	for chunk := range o.dirtyChunks {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	for _, chunk := range o.chunksInFlight {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	if len(d.Chunks) > 0 {
		oj.Send(oj.OwnerOf(o.LiveJob), message.PeerMessage{Done: &d})
	}
}

// completedBefore takes what the owner before has seen done.
func (oj *ownedJobs) completedBefore(d *message.CompletedTasks) {
	o := oj.byID[d.Job]
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
		if t := o.placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}]; t != nil {
			oj.sendStop(t, true, 0)
		}
	}
	oj.finishIfDone(o)
}
