package placement

import (
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// placeArray places pending tasks of a job one by one, at most maxTasks, and returns the
// placements. It stops at the first task that would exceed the team's limit or the headroom or
// for which there is no machine. It adds the placed tasks to usage.
func (p *Placer) placeArray(job *jobs.Job, usage map[protocol.Team]resource.Amount, maxTasks int, claims *Claims) []message.Placement {
	var placed []message.Placement
	zones := job.ZoneCounts()
	var suitable *candidates
	var longestWaiting *jobs.Job // other job of the team; see mayQueueWithinLimit
	maxTasks = job.MaxPlaceable(maxTasks)
	for i, ok := job.Pending.NextSet(0); ok && len(placed) < maxTasks; i, ok = job.Pending.NextSet(i + 1) {
		if job.Placed[protocol.TaskID{Job: job.ID, Index: uint32(i)}] != nil {
			continue // the task's last attempt may still exist
		}
		if !p.withinLimit(job, usage, 1) {
			break
		}
		if !claims.consumeHeadroom(job, 1) {
			break
		}
		if suitable == nil {
			suitable, longestWaiting = p.candidatesFor(job, zones, claims), p.longestWaiting(job)
		}
		m := suitable.best(zones)
		if m == nil {
			p.recordFailedSearch(job)
			break
		}
		if suitable.heap[0].rank == rankQueue && !p.mayQueueWithinLimit(job, longestWaiting, usage) {
			break
		}
		placed = append(placed, p.placeOnBest(suitable, uint32(i), m, p.jobs.NextAttempt(), zones))
		p.jobs.AddUsage(job, usage, 1)
	}
	return placed
}

// placeOnBest places one task on the machine that candidates.best has just returned, and
// updates the candidates, the claims and the task counts of the zones for the next task.
func (p *Placer) placeOnBest(suitable *candidates, index uint32, m *waittable.Machine, number protocol.Attempt, zones map[protocol.Zone]int) message.Placement {
	if suitable.heap[0].rank != rankQueue {
		suitable.claims.deduct(m, suitable.need)
	}
	placed := p.PlaceAttempt(suitable.job, index, m, number)
	p.reevaluateTop(suitable)
	zones[m.Record.Zone]++
	return placed
}

// PlaceAttempt records an attempt of a task on a machine and the wait that it adds to that
// machine, and returns the placement to be sent to the machine's dispatcher.
func (p *Placer) PlaceAttempt(job *jobs.Job, index uint32, m *waittable.Machine, number protocol.Attempt) message.Placement {
	attempt := &jobs.Attempt{
		Task: protocol.TaskID{Job: job.ID, Index: index}, Number: number, Machine: m.ID, Epoch: m.Epoch,
		Zone: m.Record.Zone, Estimate: p.jobs.EstimateRunSeconds(job), Trial: job.Failing,
	}
	p.jobs.AddAttempt(job, attempt)
	if peer := p.table.Peers[p.DispatcherOf(m.ID)]; peer != nil {
		// The next Place message to that dispatcher will carry the placement.
		p.table.AddPending(m, waittable.PendingWait{
			Owner: p.Self, PlaceNumber: peer.LastPlaceNumber + 1, CPUSeconds: attempt.Estimate * job.CPUs, Level: job.Level, Need: resource.Need(&job.Job),
		})
	}
	return message.Placement{
		Task: attempt.Task, Attempt: number, Machine: m.ID, Epoch: m.Epoch, Tenure: p.ShardEpoch(m.ID, m.Record.Zone),
		EstimateS: attempt.Estimate, CPUs: job.CPUs, GPUs: job.GPUs, GB: job.MemoryGB, Level: int(job.Level), Together: job.IsGang(),
	}
}
