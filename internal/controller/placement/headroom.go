package placement

import (
	"math"
	"time"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// overdueToBegin reports whether nothing of a job has been placed for so long. Its
// first task, or all of a gang, then goes where any other's would, and may wait in a
// queue; the rest has what others leave. Else, where all that is up is likely to be
// needed, such jobs would not begin at all.
func (pl *Placer) overdueToBegin(o *jobs.Job) bool {
	return pl.notBegunFor(o, jobs.BeginsWithin)
}

// headroom is how many processors this owner's jobs without an objective may take
// now: its part, by what waits, of what the others leave of the machines that are
// up. Where no class with an objective has been seen it has no bound.
func (pl *Placer) headroom() float64 {
	if len(pl.workload.Classes) == 0 {
		return math.Inf(1)
	}
	held, waits, all, one := 0.0, 0.0, 0.0, 0.0
	for id, l := range pl.Live { // sums of processors, rounded below
		if !pl.workload.WithoutObjective(&l.Job) {
			continue
		}
		if o := pl.jobs.ByID[id]; o != nil {
			held += float64(len(o.Placed)) * l.CPUs
			waits += float64(o.Pending.Count()) * l.CPUs
			each := l.CPUs
			if l.Kind == protocol.KindGang {
				each *= float64(l.Tasks)
			}
			one = math.Max(one, each)
			continue
		}
		g, _ := pl.jobs.JobProgress(id)
		held += float64(g.Running) * l.CPUs
		all += float64(l.Tasks-min(l.Tasks, g.Done+g.Running)) * l.CPUs
	}
	if all += waits; waits == 0 {
		return 0
	}
	held, waits, all = resource.Round(held), resource.Round(waits), resource.Round(all)
	up := 0.0
	for _, m := range pl.table.InOrder() {
		if pl.table.Usable(m) {
			up += m.Info.CPUs
		}
	}
	left := math.Max(up-pl.workload.ReservedForObjectives(up), leastLeft*up)
	if held == 0 {
		left = math.Max(left, all/waits*one) // one task or gang at least, however small the fleet
	}
	return math.Max(0, left-held) * waits / all
}

// leastLeft is the part of what is up that jobs without an objective may take
// however much is expected: they would starve where that is always too much.
const leastLeft = 0.1

// takeHeadroom reports whether n tasks of a job may take room in this step, as far
// as it may have only what others leave, and takes it.
func (cl *Claims) takeHeadroom(o *jobs.Job, n int) bool {
	if !o.UsesHeadroom {
		return true
	}
	cpus := float64(n) * o.CPUs
	if cpus > cl.leftOver+resource.Slack {
		return false
	}
	cl.leftOver -= cpus
	return true
}

// notBegunFor reports whether nothing of a job has been placed for so long.
func (pl *Placer) notBegunFor(o *jobs.Job, d time.Duration) bool {
	return len(o.Placed) == 0 && o.DoneCount == 0 && pl.Since(o.WaitingSince) > d
}
