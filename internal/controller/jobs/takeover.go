package jobs

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// AdoptView applies a new view: jobs owned without a break are retained, with their
// attempts unverified where the dispatcher has changed; others are taken over or released.
// keeps is whether this controller has followed the records without a break since the old
// view: if not, nothing it knew of its jobs counts.
func (o *Owned) AdoptView(old record.View, keeps bool) {
	before := o.ByID
	o.ByID = map[protocol.JobID]*Job{}
	o.sorted = nil
	o.table.PlacementDue = true
	o.AwaitedInventories = map[protocol.MachineID]bool{}
	if !keeps {
		clear(o.EndedAttempts)
	}
	// A new session of a dispatcher counts Place messages from the start: compared with its
	// count, an attempt that ended long ago would use up its team's limit for ever.
	o.EndedAttempts.unverifyOn(func(id protocol.MachineID) bool { return o.dispatcherChanged(old, id) })
	o.unverifyTeams(old, keeps)
	o.awaitInventories(old, keeps)
	for id, live := range ordered.Of(o.Live) {
		job := before[id]
		switch {
		case o.OwnerOf(live) != o.Self:
			o.releaseJob(job)
		case job == nil || !keeps:
			job = o.Adopt(live)
			job.Unverified = true
			o.requestBitmap(job)
		default:
			o.ByID[id] = job
		}
	}
	o.resolveUnverified()
}

// unverifyTeams marks the limited teams whose jobs this controller has just taken over.
func (o *Owned) unverifyTeams(old record.View, keeps bool) {
	for _, team := range o.Configuration.Effective().TeamsEver() {
		job := &protocol.Job{Team: team}
		if o.Limited(team) && o.JobOwner(o.View, job) == o.Self && (!keeps || o.JobOwner(old, job) != o.Self) {
			o.UnverifiedTeams[team] = true
		}
	}
}

// awaitInventories has an inventory of every machine awaited, and marks the attempts that
// it has to verify.
func (o *Owned) awaitInventories(old record.View, keeps bool) {
	for id := range o.table.Machines {
		o.AwaitedInventories[id] = true
		if !keeps {
			clear(o.AttemptsOn[id])
		} else if len(o.AttemptsOn[id]) > 0 && o.dispatcherChanged(old, id) {
			o.AttemptsOn.unverify(id)
		}
	}
}

// releaseJob drops the attempts of a job that has another owner now, and sends that one
// what is not in the records yet.
func (o *Owned) releaseJob(job *Job) {
	if job == nil {
		return
	}
	o.sendCompletedTasks(job)
	for _, attempt := range job.Placed {
		o.AttemptsOn.remove(attempt)
	}
}

// dispatcherChanged reports whether a machine has another dispatcher than by an earlier
// view, or another session of the same.
func (o *Owned) dispatcherChanged(old record.View, id protocol.MachineID) bool {
	if old.Layout >= record.LayoutShards && o.Sharded() {
		return false // the record of the shards decides: see ShardsMoved
	}
	dispatcher := o.DispatcherOf(id)
	return clusterstate.RendezvousDispatcher(old, id) != dispatcher || !clusterstate.SameMemberSession(old, o.View, dispatcher)
}

// ShardsMoved marks what was placed on the machines of shards that have moved as
// unverified until the inventories of their new dispatchers.
func (o *Owned) ShardsMoved(moved map[sharding.ID]bool) {
	o.EndedAttempts.unverifyOn(func(id protocol.MachineID) bool {
		m := o.table.Machines[id]
		return m != nil && moved[sharding.ShardOf(o.Shards, id, m.Record.Zone)]
	})
	for id, m := range o.table.Machines {
		if moved[sharding.ShardOf(o.Shards, id, m.Record.Zone)] {
			o.AttemptsOn.unverify(id)
		}
	}
}
