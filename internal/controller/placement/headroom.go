package placement

import (
	"math"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// minHeadroomFraction is the fraction of all usable processors that jobs without an
// objective may take however much demand from the others is expected: where that always
// is all there is, they would starve.
const minHeadroomFraction = 0.1

// headroom returns how many processors this owner's jobs without an objective may take
// now: its part, in proportion to the pending work, of what jobs with an objective are not
// expected to need of the usable machines. As long as no class with an objective has been
// seen, the headroom is unlimited.
func (p *Placer) headroom() float64 {
	if len(p.workload.Classes) == 0 {
		return math.Inf(1)
	}
	work := p.workWithoutObjective()
	if work.pendingHere == 0 {
		return 0
	}
	usable := p.usableCPUs()
	free := math.Max(usable-p.workload.ReservedForObjectives(usable), minHeadroomFraction*usable)
	if work.placed == 0 {
		// One task or gang at least, however small the fleet.
		free = math.Max(free, work.pending/work.pendingHere*work.largestUnit)
	}
	return math.Max(0, free-work.placed) * work.pendingHere / work.pending
}

// workSums are the processors of the work without an objective.
type workSums struct {
	placed      float64 // placed here, or running by what peers say
	pending     float64 // pending anywhere
	pendingHere float64 // pending in jobs owned here
	largestUnit float64 // of the largest task or gang of a job owned here
}

// workWithoutObjective sums the processors of the work without an objective, rounded: the
// order of summation then does not matter.
func (p *Placer) workWithoutObjective() workSums {
	var sums workSums
	for id, live := range p.Live {
		if !p.workload.WithoutObjective(&live.Job) {
			continue
		}
		if job := p.jobs.ByID[id]; job != nil {
			sums.placed += float64(len(job.Placed)) * live.CPUs
			sums.pendingHere += float64(job.Pending.Count()) * live.CPUs
			unit := live.CPUs
			if live.Kind == protocol.KindGang {
				unit *= float64(live.Tasks)
			}
			sums.largestUnit = math.Max(sums.largestUnit, unit)
			continue
		}
		progress, _ := p.jobs.JobProgress(id)
		sums.placed += float64(progress.Running) * live.CPUs
		sums.pending += float64(live.Tasks-min(live.Tasks, progress.Done+progress.Running)) * live.CPUs
	}
	sums.pending += sums.pendingHere
	sums.placed, sums.pendingHere, sums.pending = resource.Round(sums.placed), resource.Round(sums.pendingHere), resource.Round(sums.pending)
	return sums
}

// usableCPUs sums the processors of all usable machines.
func (p *Placer) usableCPUs() float64 {
	cpus := 0.0
	for _, m := range p.table.InOrder() {
		if p.table.Usable(m) {
			cpus += m.Info.CPUs
		}
	}
	return cpus
}

// takeHeadroom reports whether n tasks of a job may be placed in this step as far as it is
// confined to the headroom, and deducts them.
func (c *Claims) takeHeadroom(job *jobs.Job, n int) bool {
	if !job.ConfinedToHeadroom {
		return true
	}
	cpus := float64(n) * job.CPUs
	if cpus > c.headroomCPUs+resource.Slack {
		return false
	}
	c.headroomCPUs -= cpus
	return true
}

// startOverdue reports whether nothing of a job has been placed for jobs.HeadroomOnlyDuration. Its
// first task, or the whole gang, is then placed like that of any other job and may be
// queued; the rest stays confined to the headroom. Otherwise such jobs would never start
// where all usable machines are likely to be needed for others.
func (p *Placer) startOverdue(job *jobs.Job) bool {
	return p.nothingPlacedFor(job, jobs.HeadroomOnlyDuration)
}

// nothingPlacedFor reports whether a job has waited for longer than a time, with no task
// placed or done.
func (p *Placer) nothingPlacedFor(job *jobs.Job, wait time.Duration) bool {
	return len(job.Placed) == 0 && job.DoneCount == 0 && p.Since(job.WaitingSince) > wait
}
