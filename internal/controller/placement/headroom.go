package placement

import (
	"math"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// minHeadroomFraction is the fraction of the processors of all usable machines that jobs
// without an objective may use, however much demand is expected from the other jobs. Without
// it, they would starve where the expected demand always equals the whole capacity.
const minHeadroomFraction = 0.1

// headroom returns how many processors the jobs without an objective that are owned here may
// use now, beyond those of their placed tasks. It is this owner's share of the processors of
// usable machines that jobs with an objective are not expected to need, in proportion to the
// pending work. It is infinite until a job of a class with an objective has arrived, and 0 if
// no task without an objective is pending here.
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
		// Allow at least one task or gang, however small the fleet is.
		free = math.Max(free, work.pending/work.pendingHere*work.largestUnit)
	}
	return math.Max(0, free-work.placed) * work.pendingHere / work.pending
}

// workSums are sums of the processors that the jobs without an objective use or need.
type workSums struct {
	placed      float64 // of tasks placed by this owner, or reported as running by peers
	pending     float64 // of the pending tasks of all owners
	pendingHere float64 // of the pending tasks of jobs owned here
	largestUnit float64 // of the largest task or gang of a job owned here
}

// workWithoutObjective sums the processors of the jobs without an objective. The sums are
// rounded, so that they do not depend on the order of summation.
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

// usableCPUs sums the processors, free or not, of all machines that accept placements.
func (p *Placer) usableCPUs() float64 {
	cpus := 0.0
	for _, m := range p.table.InOrder() {
		if p.table.Usable(m) {
			cpus += m.Info.CPUs
		}
	}
	return cpus
}

// consumeHeadroom reports whether the headroom allows n more tasks of a job in this step,
// and if so deducts their processors. It allows all tasks of a job that is not confined to
// the headroom.
func (c *Claims) consumeHeadroom(job *jobs.Job, n int) bool {
	if !job.ConfinedToHeadroom {
		return true
	}
	cpus := float64(n) * job.CPUs
	if cpus > c.headroomCPUs+resource.Tolerance {
		return false
	}
	c.headroomCPUs -= cpus
	return true
}

// startOverdue reports whether a job has waited for longer than jobs.HeadroomOnlyDuration and
// has no task that is placed or done. The first task, or the whole gang, is then placed like
// that of any other job and may be queued; the remaining tasks stay confined to the headroom.
// Otherwise such jobs would never start while all usable machines are likely to be needed for
// other jobs.
func (p *Placer) startOverdue(job *jobs.Job) bool {
	return p.hasWaitedUnplaced(job, jobs.HeadroomOnlyDuration)
}

// hasWaitedUnplaced reports whether a job has waited for longer than the given time and has
// no task that is placed or done.
func (p *Placer) hasWaitedUnplaced(job *jobs.Job, wait time.Duration) bool {
	return len(job.Placed) == 0 && job.DoneCount == 0 && p.Since(job.WaitingSince) > wait
}
