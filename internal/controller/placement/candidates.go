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

// MaxQueueWait is the longest expected wait for which a task is queued on a machine, unless it
// can preempt enough other tasks there. A task that would wait longer stays pending with its
// job's owner. Without this bound, a job of 100,000 tasks on a small fleet would fill the
// memory of every controller and delay all tasks that are queued after it.
const MaxQueueWait = 2 * time.Minute

// microsecondsPerSecond converts expected waits to whole microseconds.
const microsecondsPerSecond = 1e6

// candidates is a heap of the machines that may run a job's tasks, with the smallest
// expected wait on top. All tasks of a job have the same needs. Therefore all machines are
// examined once for all tasks that are placed together, and after each placement only the
// machine that received the task is examined again.
type candidates struct {
	job    *jobs.Job
	need   resource.Amount
	claims *Claims
	// spotRiskSeconds is added to the expected wait on a spot machine.
	spotRiskSeconds float64
	// avoidsSpot restricts the use of spot machines to tasks that fit on no other machine.
	avoidsSpot bool
	// excluded reports whether reservations exclude the job from a machine; nil if they
	// exclude it from none. See Placer.excludedByReservations.
	excluded func(*waittable.Machine) bool
	// reserved reports whether a machine has resources reserved for the job; nil if none has.
	reserved      func(*waittable.Machine) bool
	pricePremiums map[binpack.Kind]float64
	heap          []candidate
}

// candidate is a machine with its rank and expected wait for the job's next task.
type candidate struct {
	machine *waittable.Machine
	rank    rank
	// wait is the expected wait per processor with the additions for spot risk and price, in
	// whole microseconds: sums of decimal fractions are not exact, and equal waits must compare
	// as equal.
	wait       int64
	tieBreaker uint32 // random, breaks ties
}

// rank is the first criterion in the order of candidates; the expected wait is the second.
// Machines on which the task could start now come before those on which it would queue.
type rank uint8

const (
	rankReserved rank = iota // the task fits now, in resources reserved for the job
	rankFree                 // the task fits now
	rankClaimed              // the task fits now, but a class with a capacity reserve could use the machine
	rankQueue                // the task does not fit now, or the job avoids this spot machine
)

// Len is part of heap.Interface.
func (c *candidates) Len() int { return len(c.heap) }

// Less is part of heap.Interface.
func (c *candidates) Less(i, j int) bool {
	a, b := &c.heap[i], &c.heap[j]
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.wait, b.wait), cmp.Compare(a.tieBreaker, b.tieBreaker)) < 0
}

// Swap is part of heap.Interface.
func (c *candidates) Swap(i, j int) { c.heap[i], c.heap[j] = c.heap[j], c.heap[i] }

// Push is part of heap.Interface. It is not called: the heap is filled before heap.Init.
func (c *candidates) Push(x any) { c.heap = append(c.heap, x.(candidate)) }

// Pop is part of heap.Interface.
func (c *candidates) Pop() any {
	last := c.heap[len(c.heap)-1]
	c.heap = c.heap[:len(c.heap)-1]
	return last
}

// candidatesFor examines all machines and returns those on which a task of a job can start now
// or be queued, given how many other tasks of the job are in each zone.
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
	p.ExaminedMachines += len(p.table.InOrder())
	heap.Init(c)
	return c
}

// Feasible returns a predicate for the machines on which a job may have a task at present,
// given how many of its other tasks are in each zone: machines that accept placements and meet
// the job's requirements. It ignores which resources are free. A machine on which the job has
// failed is feasible only if the job has failed on all other machines as well.
func (p *Placer) Feasible(job *jobs.Job, zones map[protocol.Zone]int) func(*waittable.Machine) bool {
	failedOnAll := p.jobs.FailedOnAllMachines(job)
	return func(m *waittable.Machine) bool {
		return p.table.Usable(m) && (failedOnAll || !job.FailedOn[m.ID]) && job.Allows(m, zones)
	}
}

// evaluate returns a machine as a candidate for the job's next task, and false if it is none:
// reservations exclude the job from it, or the job is a gang whose task could not start there
// even if tasks of lower levels were preempted. A task of a gang is placed only on a machine on
// which it can start once tasks of lower levels are preempted: if it were queued behind other
// tasks, the machines of the whole gang would be idle until those tasks end.
func (c *candidates) evaluate(m *waittable.Machine, tieBreaker uint32) (candidate, bool) {
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
	found := candidate{machine: m, rank: c.rankOf(m, fitsNow, reserved), wait: int64(math.Round(wait * microsecondsPerSecond)), tieBreaker: tieBreaker}
	return found, true
}

// rankOf returns the rank of a machine for the job's next task. A spot machine that the job
// avoids has the same rank as a machine without free resources.
func (c *candidates) rankOf(m *waittable.Machine, fitsNow, reserved bool) rank {
	switch {
	case !fitsNow:
		return rankQueue
	case reserved:
		return rankReserved
	case c.avoidsSpot && m.Record.Spot:
		return rankQueue
	case c.claims.IsUsableByClassReserve(c.job, m):
		return rankClaimed
	}
	return rankFree
}

// restrict drops the candidates for whose machines meets returns false.
func (c *candidates) restrict(meets func(*waittable.Machine) bool) {
	c.heap = slices.DeleteFunc(c.heap, func(entry candidate) bool { return !meets(entry.machine) })
	heap.Init(c)
}

// queueTooLong reports whether the job's tasks must not be queued on a candidate because its
// expected wait exceeds MaxQueueWait. It is false for a candidate that needs no queue. Tasks
// may always be queued on a machine on which other tasks can be preempted for them. A job that
// is confined to the headroom is never queued.
func (c *candidates) queueTooLong(entry *candidate) bool {
	if entry.rank != rankQueue {
		return false
	}
	return c.job.ConfinedToHeadroom ||
		entry.wait > MaxQueueWait.Microseconds() && !entry.machine.NonPreemptibleFree(c.job.Level).Covers(c.need)
}

// best returns the machine with the best rank and, within it, the smallest expected wait per
// processor, with ties broken at random; nil if no candidate is left. Candidates whose zone or
// queue no longer allows the task, or on which it would use a class reserve, are dropped
// permanently: while a job is placed, the zones and queues only fill, and the spare capacity of
// the class reserves only shrinks.
func (c *candidates) best(zones map[protocol.Zone]int) *waittable.Machine {
	for len(c.heap) > 0 {
		top := &c.heap[0]
		if !c.job.AllowsZone(top.machine, zones) || c.queueTooLong(top) || c.usesClassReserve(top) {
			heap.Pop(c)
			continue
		}
		return top.machine
	}
	return nil
}

// usesClassReserve reports whether the next task would use capacity reserved for other
// classes. A queued task uses no capacity yet, and resources that a reservation holds for
// the job are not part of a class reserve.
func (c *candidates) usesClassReserve(entry *candidate) bool {
	return entry.rank != rankQueue && entry.rank != rankReserved && !c.claims.LeavesClassReserves(c.job, entry.machine, c.need)
}

// reevaluateTop evaluates the first candidate again after a task was placed on its machine, and
// moves it to its new position or drops it.
func (p *Placer) reevaluateTop(c *candidates) {
	p.ExaminedMachines++
	found, ok := c.evaluate(c.heap[0].machine, p.rng.Uint32())
	if !ok {
		heap.Pop(c)
		return
	}
	c.heap[0] = found
	heap.Fix(c, 0)
}
