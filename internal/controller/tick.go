package controller

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// tickInterval is the time between two ticks.
const tickInterval = 100 * time.Millisecond

// tick does what is due as time passes.
func (c *Core) tick(m message.Tick) {
	c.measureTickLateness()
	c.SetWallClock(m.WallMS)
	c.setRateAllotment()
	c.members.SendRequestedMoves()
	c.checkView()
	if !c.Member() {
		return
	}
	if c.Since(c.lastUpdate) >= c.Operator.ReplicationInterval {
		c.lastUpdate = c.Now
		c.regularWork()
	} else {
		c.workBetween()
	}
	c.registrar.WriteRequestedChanges()
	c.waitTable.RequestMoreCopies()
	c.jobs.Retry()
}

// regularWork is what is done once in each update period; it ends with the state updates
// to all peers.
func (c *Core) regularWork() {
	c.refreshDeadlines()
	c.reservations.Refresh()
	c.workload.RecordSpotUptime()
	c.jobs.DetectSlowMachines()
	c.dispatcher.ExpireSilentMachines(c.members.AllAdoptedTerm(), c.members.ObservedShardEpoch())
	c.placer.Rebalance("")
	c.dispatcher.MaintainQueues(c.announcedLevel, c.jobs.IsFailing)
	c.jobs.WriteBitmaps()
	c.sendUpdates(true)
	c.members.Balance()
	c.autoscaler.Step()
}

// workBetween is what is done on the ticks between two runs of the regular work.
func (c *Core) workBetween() {
	c.placer.ContinueRebalance()
	if c.Leaving {
		c.jobs.WriteBitmaps()
	}
	c.sendUpdates(false)
	c.dispatcher.SendInventories() // not in the step of the regular work: together they take long
}

// refreshDeadlines computes the jobs' deadlines anew; queues and jobs are sorted again
// where one has changed.
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

// announcedLevel is the level of a job as its owner last announced it, if it has.
func (c *Core) announcedLevel(id protocol.JobID) (resource.Level, bool) {
	progress, ok := c.jobs.JobProgress(id)
	return resource.Level(progress.Level - 1), ok && progress.Level > 0
}

// latenessRetention is the weight of the former average when a tick's lateness is added
// to it.
const latenessRetention = 0.98

// measureTickLateness averages by how much the time between two ticks exceeds their
// interval.
func (c *Core) measureTickLateness() {
	if c.lastTick != 0 {
		late := max(0, c.Since(c.lastTick)-tickInterval)
		c.tickLatenessMS = latenessRetention*c.tickLatenessMS + (1-latenessRetention)*float64(late)/float64(time.Millisecond)
	}
	c.lastTick = c.Now
}
