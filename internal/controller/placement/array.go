package placement

import (
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// placeArray places pending tasks of a job one by one, at most so many.
func (p *Placer) placeArray(job *jobs.Job, usage map[protocol.Team]resource.Amount, most int, claims *Claims) []message.Placement {
	var placed []message.Placement
	zones := job.ZoneCounts()
	var from *candidates
	var longestWaiting *jobs.Job // see queuesWithinLimit
	most = job.MaxPlaceable(most)
	for i, ok := job.Pending.NextSet(0); ok && len(placed) < most; i, ok = job.Pending.NextSet(i + 1) {
		if job.Placed[protocol.TaskID{Job: job.ID, Index: uint32(i)}] != nil {
			continue // its last attempt may still exist
		}
		if !p.withinLimit(job, usage, 1) {
			break
		}
		if !claims.takeHeadroom(job, 1) {
			break
		}
		if from == nil {
			from, longestWaiting = p.candidatesFor(job, zones, claims), p.longestWaiting(job)
		}
		m := from.smallest(zones)
		if m == nil {
			p.recordFailedSearch(job)
			break
		}
		if from.heap[0].rank == rankQueue && !p.queuesWithinLimit(job, longestWaiting, usage) {
			break
		}
		placed = append(placed, p.placeFrom(from, uint32(i), m, p.jobs.NextAttempt(), zones))
		p.jobs.AddUsage(job, usage, 1)
	}
	return placed
}

// placeFrom places one task on the machine that smallest has just returned, and updates
// the candidates, the claims and the zones' counts for the next task.
func (p *Placer) placeFrom(from *candidates, index uint32, m *waittable.Machine, number protocol.Attempt, zones map[protocol.Zone]int) message.Placement {
	if from.heap[0].rank != rankQueue {
		from.claims.spend(m, from.need)
	}
	placed := p.PlaceAttempt(from.job, index, m, number)
	p.reevaluateTop(from)
	zones[m.Record.Zone]++
	return placed
}

// PlaceAttempt records an attempt of a task on a machine and the wait that it adds there,
// and returns the placement to be sent to the machine's dispatcher.
func (p *Placer) PlaceAttempt(job *jobs.Job, index uint32, m *waittable.Machine, number protocol.Attempt) message.Placement {
	attempt := &jobs.Attempt{
		Task: protocol.TaskID{Job: job.ID, Index: index}, Number: number, Machine: m.ID, Epoch: m.Epoch,
		Zone: m.Record.Zone, Estimate: p.jobs.EstimateRunSeconds(job), Trial: job.Failing,
	}
	p.jobs.AddAttempt(job, attempt)
	if peer := p.table.Peers[p.DispatcherOf(m.ID)]; peer != nil {
		// The Place message that will carry it is the next one to that dispatcher.
		p.table.AddPending(m, waittable.PendingWait{
			Owner: p.Self, Number: peer.Placed + 1, Add: attempt.Estimate * job.CPUs, Level: job.Level, Taken: resource.Need(&job.Job),
		})
	}
	return message.Placement{
		Task: attempt.Task, Attempt: number, Machine: m.ID, Epoch: m.Epoch, Tenure: p.ShardEpoch(m.ID, m.Record.Zone),
		EstimateS: attempt.Estimate, CPUs: job.CPUs, GPUs: job.GPUs, GB: job.MemoryGB, Level: int(job.Level), Together: job.IsGang(),
	}
}
