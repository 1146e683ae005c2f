package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// MaxQueueWait is the longest expected wait for which a task is queued on a machine. A
// task that would wait longer stays pending with its job's owner: otherwise a job of
// 100,000 tasks on a small fleet would fill the memory of every controller and delay
// everything that is queued after it.
const MaxQueueWait = 2 * time.Minute

// microsecondsPerSecond converts expected waits to whole microseconds.
const microsecondsPerSecond = 1e6

// candidates are the machines that may run a job's tasks, as a heap with the smallest
// expected wait on top. The tasks of a job are alike, so all machines are examined once
// for all tasks that are placed together, and after each task only the machine that took
// it is examined again.
type candidates struct {
	job    *jobs.Job
	need   resource.Amount
	claims *Claims
	// spotRiskSeconds is added to the expected wait on a spot machine.
	spotRiskSeconds float64
	// avoidsSpot has spot machines used only where nothing else fits.
	avoidsSpot bool
	// excluded reports machines that reservations keep from the job; nil: none are. See
	// Placer.excludedByReservations.
	excluded func(*waittable.Machine) bool
	// reserved reports machines with resources reserved for the job; nil: none have.
	reserved      func(*waittable.Machine) bool
	pricePremiums map[binpack.Kind]float64
	heap          []candidate
}

// candidate is a machine as the job's next task would find it.
type candidate struct {
	machine *waittable.Machine
	rank    rank
	// wait is the expected wait per processor in whole microseconds: sums of decimal
	// fractions are not exact, and equal waits must compare as equal.
	wait int64
	tie  uint32 // random, breaks ties
}

// rank orders candidates before their waits do: machines on which the task could start
// now come before those on which it would queue.
type rank uint8

const (
	rankReserved rank = iota // fits now, in resources reserved for the job
	rankFree                 // fits now
	rankClaimed              // fits now, but a class with a capacity reserve could use the machine
	rankQueue                // does not fit now
)

// Len is part of heap.Interface.
func (c *candidates) Len() int { return len(c.heap) }

// Less is part of heap.Interface.
func (c *candidates) Less(i, j int) bool {
	a, b := &c.heap[i], &c.heap[j]
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.wait, b.wait), cmp.Compare(a.tie, b.tie)) < 0
}

// Swap is part of heap.Interface.
func (c *candidates) Swap(i, j int) { c.heap[i], c.heap[j] = c.heap[j], c.heap[i] }

// Push is part of heap.Interface; nothing is added after the start.
func (c *candidates) Push(x any) { c.heap = append(c.heap, x.(candidate)) }

// Pop is part of heap.Interface.
func (c *candidates) Pop() any {
	last := c.heap[len(c.heap)-1]
	c.heap = c.heap[:len(c.heap)-1]
	return last
}

// candidatesFor examines all machines and returns those that may run tasks of a job whose
// other tasks are in the given zones.
func (p *Placer) candidatesFor(job *jobs.Job, zones map[protocol.Zone]int, claims *Claims) *candidates {
	c := &candidates{
		job:             job,
		need:            resource.Need(&job.Job),
		claims:          claims,
		spotRiskSeconds: p.workload.SpotSlowdown(&job.Job) * p.Estimate(&job.Job),
		avoidsSpot:      p.workload.AvoidsSpot(&job.Job),
		excluded:        p.excludedByReservations(job),
		pricePremiums:   p.pricePremiums,
	}
	if c.excluded != nil {
		c.reserved = func(m *waittable.Machine) bool { return p.reservations.HeldFor(&job.Job, m) }
	}
	feasible := p.Feasible(job, zones)
	for _, m := range p.table.InOrder() {
		if feasible(m) {
			if found, ok := c.evaluate(m, p.rng.Uint32()); ok && !c.queueTooLong(&found) {
				c.heap = append(c.heap, found)
			}
		}
	}
	p.Examined += len(p.table.InOrder())
	heap.Init(c)
	return c
}

// Feasible returns a predicate for the machines on which a job may have a task at
// present, given the zones of its other tasks. A machine on which the job has failed is
// feasible only if it has failed on all others.
func (p *Placer) Feasible(job *jobs.Job, zones map[protocol.Zone]int) func(*waittable.Machine) bool {
	failedOnAll := p.jobs.FailedOnAllMachines(job)
	return func(m *waittable.Machine) bool {
		return p.table.Usable(m) && (failedOnAll || !job.FailedOn[m.ID]) && job.Allows(m, zones)
	}
}

// evaluate returns a machine as a candidate for the job's next task, and whether it is
// one. A task of a gang goes only where it can start once work of lower levels is
// preempted: queued behind other work it would keep the machines of the whole gang idle
// until that work ends.
func (c *candidates) evaluate(m *waittable.Machine, tie uint32) (candidate, bool) {
	if c.excluded != nil && c.excluded(m) {
		return candidate{}, false
	}
	reserved := c.reserved != nil && c.reserved(m)
	wait, fitsNow := m.WaitFor(&c.job.Job, c.job.Level)
	if reserved && !fitsNow && m.Idle().Covers(c.need) {
		wait, fitsNow = m.FetchSeconds(&c.job.Job), true
	}
	if !fitsNow && c.job.IsGang() {
		obtainable := m.NonPreemptibleFree(c.job.Level)
		if !obtainable.Covers(c.need) {
			return candidate{}, false
		}
		wait = m.FetchSeconds(&c.job.Job) + (obtainable.CPUs-math.Max(0, m.Free().CPUs))/math.Max(m.Info.CPUs, 1)
	}
	if m.Record.Spot {
		wait += c.spotRiskSeconds
	}
	if fitsNow {
		wait += c.pricePremiums[m.Kind()]
	}
	found := candidate{machine: m, rank: c.rankOf(m, fitsNow, reserved), wait: int64(math.Round(wait * microsecondsPerSecond)), tie: tie}
	return found, true
}

// rankOf returns the rank of a machine for the job's next task. A spot machine that the
// job avoids ranks like one without free resources.
func (c *candidates) rankOf(m *waittable.Machine, fitsNow, reserved bool) rank {
	switch {
	case !fitsNow:
		return rankQueue
	case reserved:
		return rankReserved
	case c.avoidsSpot && m.Record.Spot:
		return rankQueue
	case c.claims.IsClaimed(c.job, m):
		return rankClaimed
	}
	return rankFree
}

// restrict drops the machines that do not meet a condition.
func (c *candidates) restrict(meets func(*waittable.Machine) bool) {
	c.heap = slices.DeleteFunc(c.heap, func(k candidate) bool { return !meets(k.machine) })
	heap.Init(c)
}

// queueTooLong reports whether a machine's queue accepts no more tasks of the job. A
// machine on which tasks can be preempted for the job always accepts them; a job
// confined to the headroom is never queued.
func (c *candidates) queueTooLong(k *candidate) bool {
	if k.rank != rankQueue {
		return false
	}
	return c.job.ConfinedToHeadroom ||
		k.wait > MaxQueueWait.Microseconds() && !k.machine.NonPreemptibleFree(c.job.Level).Covers(c.need)
}

// smallest returns the machine with the smallest expected wait per processor, ties broken
// at random, or nil. Candidates that no longer suit are dropped for good: while a job is
// placed zones and queues only fill, and the capacity that may be spared only shrinks.
func (c *candidates) smallest(zones map[protocol.Zone]int) *waittable.Machine {
	for len(c.heap) > 0 {
		top := &c.heap[0]
		if !c.job.AllowsZone(top.machine, zones) || c.queueTooLong(top) || c.takesClaimed(top) {
			heap.Pop(c)
			continue
		}
		return top.machine
	}
	return nil
}

// takesClaimed reports whether the next task would use capacity reserved for other
// classes. A queued task uses none yet, and resources reserved for the job are its own.
func (c *candidates) takesClaimed(k *candidate) bool {
	return k.rank != rankQueue && k.rank != rankReserved && !c.claims.LeavesClaimed(c.job, k.machine, c.need)
}

// reevaluateTop evaluates the first candidate again after it took a task.
func (p *Placer) reevaluateTop(c *candidates) {
	p.Examined++
	found, ok := c.evaluate(c.heap[0].machine, p.rng.Uint32())
	if !ok {
		heap.Pop(c)
		return
	}
	c.heap[0] = found
	heap.Fix(c, 0)
}
