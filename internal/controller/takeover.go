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
func (c *Core) adoptJobs(old record.View, keeps bool) {
	before := c.owner.jobs
	c.owner.jobs = map[protocol.JobID]*ownedJob{}
	c.owner.sorted = nil
	c.owner.placementDue = true
	c.owner.awaitedInventories = map[protocol.MachineID]bool{}
	if !keeps {
		clear(c.owner.endedAttempts)
	}
	for ref, t := range c.owner.endedAttempts {
		// A keeper's new session counts placements anew: held against its
		// count, an attempt long gone would take of its team's limit for ever.
		if c.dispatcherChanged(old, ref.Machine) {
			t.placeNumber = 0
			c.owner.endedAttempts[ref] = t
		}
	}
	for _, team := range c.Configuration.Effective().TeamsEver() {
		if j := (&protocol.Job{Team: team}); c.Limited(team) && c.JobOwner(c.View, j) == c.Self && (!keeps || c.JobOwner(old, j) != c.Self) {
			c.owner.unverifiedTeams[team] = true
		}
	}
	for id, m := range c.machines {
		c.owner.awaitedInventories[id] = true
		if !keeps {
			clear(m.ownAttempts)
		} else if len(m.ownAttempts) > 0 && c.dispatcherChanged(old, id) {
			for _, t := range m.ownAttempts {
				t.unverified = true
			}
		}
	}
	for id, l := range ordered.Of(c.Live) {
		o := before[id]
		if c.OwnerOf(l) != c.Self {
			c.releaseJob(o)
			continue
		}
		if o == nil || !keeps {
			o = c.adoptJob(l)
			o.unverified = true
			o.loading = true
			c.Emit(message.LoadBitmap{Job: id})
			continue
		}
		c.owner.jobs[id] = o
	}
	c.resolveUnverified()
}

// releaseJob: a job has another owner now.
func (c *Core) releaseJob(o *ownedJob) {
	if o == nil {
		return
	}
	c.sendCompletedTasks(o)
	for _, t := range o.placed {
		if m := c.machines[t.machine]; m != nil && m.ownAttempts[t.task] == t {
			delete(m.ownAttempts, t.task)
		}
	}
}

// dispatcherChanged reports whether a machine is kept by another controller, or
// another session of the same, than by an earlier view.
func (c *Core) dispatcherChanged(old record.View, id protocol.MachineID) bool {
	if old.Layout >= record.LayoutShards && c.Sharded() {
		return false // the record of the shares has told: see shardsMoved
	}
	keeper := c.DispatcherOf(id)
	return clusterstate.RendezvousDispatcher(old, id) != keeper || !clusterstate.SameMemberSession(old, c.View, keeper)
}

func (c *Core) bitmapLoaded(m message.BitmapLoaded) {
	o := c.owner.jobs[m.Job]
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
			c.Log.Error("bitmap can't be read", "job", m.Job, "err", err)
		}
	}
	o.loaded = true
	o.nDone = uint32(o.done.Count())
	c.ownedChanges.Touch(o.ID)
	for id, t := range ordered.Tasks(o.placed) {
		if o.done.Test(uint(id.Index)) {
			c.sendStop(t, true, 0)
		}
	}
	c.finishIfDone(o)
	c.resolveUnverified()
}

// resolveUnverified makes the unlisted tasks of jobs taken over placeable, once
// every machine that might hold one has been heard or is proven empty.
func (c *Core) resolveUnverified() {
	if len(c.owner.awaitedInventories) > 0 {
		return
	}
	clear(c.owner.unverifiedTeams)
	c.owner.placementDue = true
	for _, o := range c.owner.jobs {
		if !o.unverified || !o.loaded {
			continue
		}
		o.unverified = false
		for i := uint32(0); i < o.Tasks; i++ {
			if !o.done.Test(uint(i)) && o.placed[protocol.TaskID{Job: o.ID, Index: i}] == nil {
				o.pending.Set(uint(i))
			}
		}
		c.owner.placementDue = true
		c.Log.Debug("job taken over", "id", o.ID, "done", o.nDone, "placed", len(o.placed))
	}
}

// inventory takes a keeper's proof of all that is on a machine.
func (c *Core) inventory(from protocol.NodeName, inv *message.Inventory) {
	m := c.machines[inv.Machine]
	if inv.Term != c.View.Term || m == nil || m.Epoch != inv.Epoch || c.DispatcherOf(inv.Machine) != from || inv.Tenure != c.ShardEpoch(inv.Machine, m.Record.Zone) {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, h := range inv.Held {
		o := c.owner.jobs[h.Task.Job]
		if o == nil || h.Task.Index >= o.Tasks {
			continue
		}
		listed[h.Task] = true
		c.adoptAttempt(o, m, h)
	}
	for _, t := range ordered.Tasks(m.ownAttempts) {
		o := c.owner.jobs[t.task.Job]
		if o == nil || listed[t.task] || (!t.unverified && t.placeNumber > inv.Upto) {
			continue
		}
		c.attemptLost(o, t)
	}
	c.clearEndedAttempts(inv.Machine, inv.Upto)
	c.noteEndedAttempts(inv)
	delete(c.owner.awaitedInventories, inv.Machine)
	c.resolveUnverified()
}

// noteEndedAttempts counts what a machine holds of jobs that are over here, and not yet by
// what its keeper has followed: it has not been killed, and may even be started, until
// the keeper follows. It counts against its team's limit until the keeper says that it
// is gone. Taken for gone, its room was given to others of the team, beyond the limit.
func (c *Core) noteEndedAttempts(inv *message.Inventory) {
	for _, h := range inv.Held {
		if c.Live[h.Task.Job] == nil && h.State != protocol.TaskEnded && c.Limited(h.Team) {
			c.owner.endedAttempts[message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: inv.Machine}] = endedAttempt{h.Team, h.Need, 0}
		}
	}
}

// adoptAttempt takes one attempt of an inventory.
func (c *Core) adoptAttempt(o *ownedJob, m *machineEntry, h message.HeldAttempt) {
	ref := message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: m.ID}
	t := o.placed[h.Task]
	if t == nil && o.unverified {
		t = &attempt{
			task: h.Task, number: h.Attempt, machine: m.ID, epoch: m.Epoch, zone: m.Record.Zone,
			estimate: c.Estimate(&o.Job), startUnseen: true,
		}
		o.placed[h.Task] = t
		o.waiting++
		m.ownAttempts[h.Task] = t
		if o.done.Test(uint(h.Task.Index)) {
			c.sendStop(t, true, 0)
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
		c.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: h.Cause, Saved: h.Saved})
	case protocol.TaskRunning:
		c.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
	default:
		c.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventPresent})
	}
}

// shardsMoved: what was placed on the machines of some shares is uncertain until
// their new keepers' inventories, and what was told of these machines is no longer
// the word of who keeps them.
func (c *Core) shardsMoved(moved map[sharding.ID]bool) {
	for ref, t := range c.owner.endedAttempts {
		if m := c.machines[ref.Machine]; m != nil && moved[sharding.Of(c.Shards, ref.Machine, m.Record.Zone)] {
			t.placeNumber = 0 // of the keeper before
			c.owner.endedAttempts[ref] = t
		}
	}
	for id, m := range c.machines {
		if !moved[sharding.Of(c.Shards, id, m.Record.Zone)] {
			continue
		}
		for _, t := range m.ownAttempts {
			t.unverified = true
		}
		m.reportedBy = nil
		if len(m.pendingWaits) > 0 {
			m.pendingWaits = nil
			m.recomputeWait()
			for _, p := range c.peers {
				delete(p.updates.waits, m)
			}
		}
	}
}

// sendCompletedTasks tells a job's next owner what was done here and is not written yet. Its
// workers have been told to forget it: else it would be done again.
func (c *Core) sendCompletedTasks(o *ownedJob) {
	d := message.CompletedTasks{Job: o.ID, Chunks: map[int]record.BitmapChunk{}}
	for chunk := range o.dirtyChunks {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	for _, chunk := range o.chunksInFlight {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	if len(d.Chunks) > 0 {
		c.Send(c.OwnerOf(o.LiveJob), message.PeerMessage{Done: &d})
	}
}

// completedBefore takes what the owner before has seen done.
func (c *Core) completedBefore(d *message.CompletedTasks) {
	o := c.owner.jobs[d.Job]
	if o == nil {
		return
	}
	seen := bitset.New(uint(o.Tasks))
	for chunk, b := range ordered.Of(d.Chunks) {
		if err := record.DecodeChunk(record.BitmapChunkKey(d.Job, chunk), b, seen, o.Tasks); err != nil {
			c.Log.Error("bitmap of a peer can't be read", "job", d.Job, "err", err)
		}
	}
	for i, ok := seen.NextSet(0); ok; i, ok = seen.NextSet(i + 1) {
		c.markTaskDone(o, uint32(i))
		if t := o.placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}]; t != nil {
			c.sendStop(t, true, 0)
		}
	}
	c.finishIfDone(o)
}
