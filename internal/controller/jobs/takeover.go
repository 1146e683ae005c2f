package jobs

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// AdoptView applies a new view. Jobs that stay with this owner are retained, and their attempts
// become unverified where the dispatcher has changed. Jobs that this controller now owns are
// taken over: their bitmaps are read, and their tasks are unverified. Jobs that another
// controller now owns are released. The inventories of all machines are awaited. continuous is
// set if this controller has followed the records without a gap since the old view. If it is
// not set, all earlier state of the jobs is discarded.
func (o *Owned) AdoptView(oldView record.View, continuous bool) {
	previousJobs := o.ByID
	o.ByID = map[protocol.JobID]*Job{}
	o.sorted = nil
	o.table.PlacementDue = true
	o.AwaitedInventories = map[protocol.MachineID]bool{}
	if !continuous {
		clear(o.EndedJobAttempts)
	}
	// A new session of a dispatcher counts Place messages from the beginning. Compared with
	// the new count, an attempt that ended long ago would never be dropped and would count
	// against its team's limit forever.
	o.EndedJobAttempts.resetPlaceNumbers(func(id protocol.MachineID) bool { return o.dispatcherChanged(oldView, id) })
	o.unverifyTeams(oldView, continuous)
	o.awaitInventories(oldView, continuous)
	for id, live := range ordered.ByKey(o.Live) {
		job := previousJobs[id]
		switch {
		case o.OwnerOf(live) != o.Self:
			o.releaseJob(job)
		case job == nil || !continuous:
			job = o.AdoptJob(live)
			job.Unverified = true
			o.requestBitmap(job)
		default:
			o.ByID[id] = job
		}
	}
	o.resolveUnverified()
}

// unverifyTeams adds the limited teams whose jobs this controller has just taken over to
// UnverifiedTeams: their usage is an upper bound until all inventories have been received.
func (o *Owned) unverifyTeams(oldView record.View, continuous bool) {
	for _, team := range o.Configuration.Effective().TeamsIncludingRemoved() {
		job := &protocol.Job{Team: team}
		if o.MayHaveLimit(team) && o.JobOwner(o.View, job) == o.Self && (!continuous || o.JobOwner(oldView, job) != o.Self) {
			o.UnverifiedTeams[team] = true
		}
	}
}

// awaitInventories marks the inventory of every machine as awaited, and marks the attempts on
// machines whose dispatcher has changed as unverified. If continuous is not set, it drops all
// attempts instead.
func (o *Owned) awaitInventories(oldView record.View, continuous bool) {
	for id := range o.table.Machines {
		o.AwaitedInventories[id] = true
		if !continuous {
			clear(o.AttemptsByMachine[id])
		} else if len(o.AttemptsByMachine[id]) > 0 && o.dispatcherChanged(oldView, id) {
			o.AttemptsByMachine.markUnverified(id)
		}
	}
}

// releaseJob drops the attempts of a job that now has another owner, and sends the new owner
// the finished tasks that are not in the records yet.
func (o *Owned) releaseJob(job *Job) {
	if job == nil {
		return
	}
	o.sendCompletedTasks(job)
	for _, attempt := range job.Placed {
		o.AttemptsByMachine.remove(attempt)
	}
}

// dispatcherChanged reports whether a machine's dispatcher, or the session of its dispatcher,
// differs from that of an earlier view. It is false where dispatchers depend on the shard
// table, whose changes HandleShardsMoved handles.
func (o *Owned) dispatcherChanged(oldView record.View, id protocol.MachineID) bool {
	if oldView.Layout >= record.LayoutShards && o.Sharded() {
		return false // the shard table decides: see HandleShardsMoved
	}
	dispatcher := o.DispatcherOf(id)
	return clusterstate.RendezvousDispatcher(oldView, id) != dispatcher || !clusterstate.SameMemberSession(oldView, o.View, dispatcher)
}

// HandleShardsMoved handles a change of the dispatchers of the given shards: it marks the
// attempts on their machines as unverified until the inventories of the new dispatchers have
// been received, which also decide on the attempts of ended jobs there.
func (o *Owned) HandleShardsMoved(moved map[sharding.ID]bool) {
	o.EndedJobAttempts.resetPlaceNumbers(func(id protocol.MachineID) bool {
		m := o.table.Machines[id]
		return m != nil && moved[sharding.ShardOf(o.Shards, id, m.Record.Zone)]
	})
	for id, m := range o.table.Machines {
		if moved[sharding.ShardOf(o.Shards, id, m.Record.Zone)] {
			o.AttemptsByMachine.markUnverified(id)
		}
	}
}
