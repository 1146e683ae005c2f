package controller

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// tickInterval is the time between two ticks.
const tickInterval = 100 * time.Millisecond

// handleTick does the work that is due by the clock. Every tick sets the rate allotment, sends
// requested moves of shards and updates the view. If this controller is a member, it also runs
// runPeriodicWork if the replication interval has passed, else runIncrementalWork, and repeats
// writes and requests that are outstanding.
func (c *Core) handleTick(m message.Tick) {
	c.measureTickLateness()
	c.SetWallClock(m.WallMS)
	c.emitRateAllotment()
	c.members.SendRequestedMoves()
	c.updateView()
	if !c.Member() {
		return
	}
	if c.Since(c.lastFullUpdate) >= c.Operator.ReplicationInterval {
		c.lastFullUpdate = c.Now
		c.runPeriodicWork()
	} else {
		c.runIncrementalWork()
	}
	c.registrar.WriteRequestedChanges()
	c.waitTable.RequestMoreCopies()
	c.jobs.Retry()
}

// runPeriodicWork does the work that is due once per replication interval, and sends state
// updates to all peers.
func (c *Core) runPeriodicWork() {
	c.refreshDeadlines()
	c.reservations.Refresh()
	c.workload.RecordSpotUptime()
	c.jobs.DetectSlowMachines()
	c.dispatcher.ExpireSilentMachines(c.members.AllAdoptedTerm(), c.members.ObservedShardEpoch())
	c.placer.Rebalance("")
	c.dispatcher.MaintainQueues(c.announcedLevel, c.jobs.IsFailing)
	c.dispatcher.LogStatistics()
	c.jobs.WriteBitmaps()
	c.sendStateUpdates(true)
	c.members.Balance()
	c.autoscaler.Step()
}

// runIncrementalWork does the work of the ticks between two runs of runPeriodicWork: it continues
// a rebalance that stopped at the maximum number of moves in a step, sends the rest of truncated
// state updates and the scheduled inventories, and writes bitmaps while this controller is
// shutting down.
func (c *Core) runIncrementalWork() {
	c.placer.ContinueRebalance()
	if c.Leaving {
		c.jobs.WriteBitmaps()
	}
	c.sendStateUpdates(false)
	c.dispatcher.SendInventories() // not in the step of runPeriodicWork: both together take too long
}

// refreshDeadlines recomputes the deadlines of all live jobs. If one has changed, the jobs and the
// queues are sorted again before they are next used.
func (c *Core) refreshDeadlines() {
	changed := false
	for _, job := range c.Live {
		if deadline := c.jobs.CurrentDeadline(job); deadline != job.Deadline {
			job.Deadline, changed = deadline, true
		}
	}
	if !changed {
		return
	}
	c.jobs.InvalidateOrder()
	c.dispatcher.InvalidateQueueOrder()
}

// announcedLevel returns the level of a job that its owner announced last, or false if the
// owner has not announced one.
func (c *Core) announcedLevel(id protocol.JobID) (resource.Level, bool) {
	progress, ok := c.jobs.JobProgress(id)
	return resource.Level(progress.Level - 1), ok && progress.Level > 0
}

// latenessRetention is the weight of the previous average when the lateness of a tick is
// added to it.
const latenessRetention = 0.98

// measureTickLateness updates the moving average of the time by which the distance of two
// ticks exceeds tickInterval.
func (c *Core) measureTickLateness() {
	if c.lastTick != 0 {
		late := max(0, c.Since(c.lastTick)-tickInterval)
		c.tickLatenessMS = latenessRetention*c.tickLatenessMS + (1-latenessRetention)*float64(late)/float64(time.Millisecond)
	}
	c.lastTick = c.Now
}
