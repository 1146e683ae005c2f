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
	c.owner.dirty = true
	c.owner.pending = map[protocol.MachineID]bool{}
	if !keeps {
		clear(c.owner.leaving)
	}
	for ref, t := range c.owner.leaving {
		// A keeper's new session counts placements anew: held against its
		// count, an attempt long gone would take of its team's limit for ever.
		if c.changedKeeper(old, ref.Machine) {
			t.number = 0
			c.owner.leaving[ref] = t
		}
	}
	for _, team := range c.Configured.Effective().TeamsEver() {
		if j := (&protocol.Job{Team: team}); c.Limited(team) && c.JobOwner(c.View, j) == c.Self && (!keeps || c.JobOwner(old, j) != c.Self) {
			c.owner.unsure[team] = true
		}
	}
	for id, m := range c.machines {
		c.owner.pending[id] = true
		if !keeps {
			clear(m.mine)
		} else if len(m.mine) > 0 && c.changedKeeper(old, id) {
			for _, t := range m.mine {
				t.uncertain = true
			}
		}
	}
	for id, l := range ordered.Of(c.Live) {
		o := before[id]
		if c.OwnerOf(l) != c.Self {
			c.letGo(o)
			continue
		}
		if o == nil || !keeps {
			o = c.own(l)
			o.unknown = true
			o.loading = true
			c.Do(message.LoadBits{Job: id})
			continue
		}
		c.owner.jobs[id] = o
	}
	c.resolveUnknown()
}

// letGo: a job has another owner now.
func (c *Core) letGo(o *ownedJob) {
	if o == nil {
		return
	}
	c.tellDone(o)
	for _, t := range o.placed {
		if m := c.machines[t.machine]; m != nil && m.mine[t.task] == t {
			delete(m.mine, t.task)
		}
	}
}

// changedKeeper reports whether a machine is kept by another controller, or
// another session of the same, than by an earlier view.
func (c *Core) changedKeeper(old record.View, id protocol.MachineID) bool {
	if old.Layout >= record.LayoutShares && c.Sharing() {
		return false // the record of the shares has told: see sharesMoved
	}
	keeper := c.Keeper(id)
	return clusterstate.MachineKeeper(old, id) != keeper || !clusterstate.SameSession(old, c.View, keeper)
}

func (c *Core) jobLoaded(m message.JobLoaded) {
	o := c.owner.jobs[m.Job]
	if o == nil || o.loaded && !o.reread {
		return
	}
	o.loading = false
	if !m.OK {
		return // asked for again at a later tick
	}
	o.reread = false
	clear(o.stored)
	for _, it := range m.Chunks {
		if chunk, ok := record.ChunkNumber(it.Key); ok {
			o.stored[chunk] = it.Version
		}
		var b record.Bits
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
	c.ownedChanged.Touch(o.ID)
	for id, t := range ordered.Tasks(o.placed) {
		if o.done.Test(uint(id.Index)) {
			c.askStop(t, true, 0)
		}
	}
	c.checkDone(o)
	c.resolveUnknown()
}

// resolveUnknown makes the unlisted tasks of jobs taken over placeable, once
// every machine that might hold one has been heard or is proven empty.
func (c *Core) resolveUnknown() {
	if len(c.owner.pending) > 0 {
		return
	}
	clear(c.owner.unsure)
	c.owner.dirty = true
	for _, o := range c.owner.jobs {
		if !o.unknown || !o.loaded {
			continue
		}
		o.unknown = false
		for i := uint32(0); i < o.Tasks; i++ {
			if !o.done.Test(uint(i)) && o.placed[protocol.TaskID{Job: o.ID, Index: i}] == nil {
				o.pending.Set(uint(i))
			}
		}
		c.owner.dirty = true
		c.Log.Debug("job taken over", "id", o.ID, "done", o.nDone, "placed", len(o.placed))
	}
}

// inventory takes a keeper's proof of all that is on a machine.
func (c *Core) inventory(from protocol.NodeName, inv *message.Inventory) {
	m := c.machines[inv.Machine]
	if inv.Term != c.View.Term || m == nil || m.Epoch != inv.Epoch || c.Keeper(inv.Machine) != from || inv.Tenure != c.Tenure(inv.Machine, m.Record.Zone) {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, h := range inv.Held {
		o := c.owner.jobs[h.Task.Job]
		if o == nil || h.Task.Index >= o.Tasks {
			continue
		}
		listed[h.Task] = true
		c.takeHeld(o, m, h)
	}
	for _, t := range ordered.Tasks(m.mine) {
		o := c.owner.jobs[t.task.Job]
		if o == nil || listed[t.task] || (!t.uncertain && t.number > inv.Upto) {
			continue
		}
		c.gone(o, t)
	}
	c.left(inv.Machine, inv.Upto)
	c.overButHeld(inv)
	delete(c.owner.pending, inv.Machine)
	c.resolveUnknown()
}

// overButHeld counts what a machine holds of jobs that are over here, and not yet by
// what its keeper has followed: it has not been killed, and may even be started, until
// the keeper follows. It counts against its team's limit until the keeper says that it
// is gone. Taken for gone, its room was given to others of the team, beyond the limit.
func (c *Core) overButHeld(inv *message.Inventory) {
	for _, h := range inv.Held {
		if c.Live[h.Task.Job] == nil && h.State != protocol.TaskEnded && c.Limited(h.Team) {
			c.owner.leaving[message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: inv.Machine}] = leavingTask{h.Team, h.Need, 0}
		}
	}
}

// takeHeld takes one attempt of an inventory.
func (c *Core) takeHeld(o *ownedJob, m *machineEntry, h message.Held) {
	ref := message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: m.ID}
	t := o.placed[h.Task]
	if t == nil && o.unknown {
		t = &placedTask{
			task: h.Task, attempt: h.Attempt, machine: m.ID, epoch: m.Epoch, zone: m.Record.Zone,
			estimate: c.Estimate(&o.Job), midway: true,
		}
		o.placed[h.Task] = t
		o.waits++
		m.mine[h.Task] = t
		if o.done.Test(uint(h.Task.Index)) {
			c.askStop(t, true, 0)
		}
	}
	if t != nil && t.attempt == h.Attempt && t.machine == m.ID {
		t.midway = t.midway || t.uncertain && !t.running
		if t.uncertain {
			t.number, t.uncertain = 0, false // counted by a session that is over
		}
	}
	switch h.State {
	case "":
	case protocol.TaskEnded:
		c.event(message.TaskEvent{TaskRef: ref, What: message.WhatEnded, Cause: h.Cause, Saved: h.Saved})
	case protocol.TaskRunning:
		c.event(message.TaskEvent{TaskRef: ref, What: message.WhatRunning})
	default:
		c.event(message.TaskEvent{TaskRef: ref, What: message.WhatPresent})
	}
}

// sharesMoved: what was placed on the machines of some shares is uncertain until
// their new keepers' inventories, and what was told of these machines is no longer
// the word of who keeps them.
func (c *Core) sharesMoved(moved map[sharding.ID]bool) {
	for ref, t := range c.owner.leaving {
		if m := c.machines[ref.Machine]; m != nil && moved[sharding.Of(c.Shares, ref.Machine, m.Record.Zone)] {
			t.number = 0 // of the keeper before
			c.owner.leaving[ref] = t
		}
	}
	for id, m := range c.machines {
		if !moved[sharding.Of(c.Shares, id, m.Record.Zone)] {
			continue
		}
		for _, t := range m.mine {
			t.uncertain = true
		}
		m.by = nil
		if len(m.coming) > 0 {
			m.coming = nil
			m.reckon()
			for _, p := range c.peers {
				delete(p.reports.waits, m)
			}
		}
	}
}

// tellDone tells a job's next owner what was done here and is not written yet. Its
// workers have been told to forget it: else it would be done again.
func (c *Core) tellDone(o *ownedJob) {
	d := message.DoneTasks{Job: o.ID, Chunks: map[int]record.Bits{}}
	for chunk := range o.dirty {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	for _, chunk := range o.underWay {
		d.Chunks[chunk] = record.EncodeChunk(o.done, chunk)
	}
	if len(d.Chunks) > 0 {
		c.Send(c.OwnerOf(o.LiveJob), message.PeerMessage{Done: &d})
	}
}

// doneBefore takes what the owner before has seen done.
func (c *Core) doneBefore(d *message.DoneTasks) {
	o := c.owner.jobs[d.Job]
	if o == nil {
		return
	}
	seen := bitset.New(uint(o.Tasks))
	for chunk, b := range ordered.Of(d.Chunks) {
		if err := record.DecodeChunk(record.BitsKey(d.Job, chunk), b, seen, o.Tasks); err != nil {
			c.Log.Error("bitmap of a peer can't be read", "job", d.Job, "err", err)
		}
	}
	for i, ok := seen.NextSet(0); ok; i, ok = seen.NextSet(i + 1) {
		c.markDone(o, uint32(i))
		if t := o.placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}]; t != nil {
			c.askStop(t, true, 0)
		}
	}
	c.checkDone(o)
}
