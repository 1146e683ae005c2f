package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// candidates are the machines that may run a job's tasks, the smallest
// expected wait first. Tasks of a job are alike, so the machines are looked at
// once for all that are placed in one go, and after each task only the one
// that took it again.
type candidates struct {
	job           *jobs.Job
	need          resource.Amount
	risk          float64 // what a spot machine adds to the wait, in seconds
	shun          bool    // spot machines only if there is no other way
	claims        *Claims
	bars          func(*waittable.Machine) bool // see Placer.Excluded; nil: nothing is promised
	own           func(*waittable.Machine) bool // whether room is held there for the job
	pricePremiums map[binpack.Kind]float64
	heap          []candidate
}

// candidate is a machine as the job's next task would find it.
type candidate struct {
	m    *waittable.Machine
	rank rank
	wait int64 // per processor, in microseconds: sums of decimal numbers are not exact
	tie  uint32
}

// rank puts machines with room now before all that have none, and among them
// those first whose room is held for the job, then those that no class has room
// kept on.
type rank uint8

const (
	rankOwn rank = iota
	rankFree
	rankWanted
	rankQueue
)

func (s *candidates) Len() int { return len(s.heap) }
func (s *candidates) Less(i, j int) bool {
	a, b := &s.heap[i], &s.heap[j]
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.wait, b.wait), cmp.Compare(a.tie, b.tie)) < 0
}
func (s *candidates) Swap(i, j int) { s.heap[i], s.heap[j] = s.heap[j], s.heap[i] }

// Push is part of heap.Interface; nothing is added after the start.
func (s *candidates) Push(x any) { s.heap = append(s.heap, x.(candidate)) }

// Pop is part of heap.Interface.
func (s *candidates) Pop() any {
	last := s.heap[len(s.heap)-1]
	s.heap = s.heap[:len(s.heap)-1]
	return last
}

// CandidatesFor looks for the machines that may run a job's tasks.
func (pl *Placer) CandidatesFor(o *jobs.Job, zones map[protocol.Zone]int, cl *Claims) *candidates {
	s := &candidates{job: o, need: resource.Need(&o.Job), bars: pl.excludedByHolds(o), claims: cl, risk: pl.workload.SpotStretch(&o.Job) * pl.Estimate(&o.Job), shun: pl.workload.AvoidsSpot(&o.Job), pricePremiums: pl.pricePremiums}
	if s.bars != nil {
		s.own = func(m *waittable.Machine) bool { return pl.reservations.HeldFor(&o.Job, m) }
	}
	mayTake := pl.Feasible(o, zones)
	for _, m := range pl.table.InOrder() {
		if mayTake(m) {
			if k, ok := s.evaluate(m, pl.rng.Uint32()); ok && !s.queueTooLong(&k) {
				s.heap = append(s.heap, k)
			}
		}
	}
	pl.Examined += len(pl.table.InOrder())
	heap.Init(s)
	return s
}

// RefreshPrices takes over the prices last read.
func (pl *Placer) RefreshPrices() { pl.pricePremiums = pl.computePricePremiums() }

// computePricePremiums is how much more expensive each kind of machine is than the cheapest: the
// part of its price, for a processor, that the cheapest would save. Among
// machines with room it counts like the part of one that is free: the cheap and
// the full ones are filled first, so that the expensive ones become idle.
func (pl *Placer) computePricePremiums() map[binpack.Kind]float64 {
	premiums := map[binpack.Kind]float64{}
	least := math.Inf(1)
	for _, t := range pl.Types {
		for _, z := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				k := binpack.Kind{Type: t.Name, Zone: z, Spot: spot}
				premiums[k] = binpack.Price(pl.Types[k.Type], k.Spot)
				least = math.Min(least, premiums[k])
			}
		}
	}
	for k, price := range premiums {
		premiums[k] = 0
		if price > 0 {
			premiums[k] = 1 - least/price
		}
	}
	return premiums
}

// Feasible tells which machines a job may have a task on at present, given the zones
// of its others. Where it has failed it goes only if there is no other.
func (pl *Placer) Feasible(o *jobs.Job, zones map[protocol.Zone]int) func(*waittable.Machine) bool {
	nowhereElse := pl.jobs.FailedEverywhereElse(o)
	return func(m *waittable.Machine) bool {
		return pl.table.Usable(m) && (nowhereElse || !o.FailedOn[m.ID]) && o.Allows(m, zones)
	}
}

// evaluate is what a machine is worth for the job's next task, if it is. A task
// that others wait for goes only where nothing but less urgent work is in its
// way, which is stopped for it: behind the rest it would keep the machines of
// all others idle until they give it up.
func (s *candidates) evaluate(m *waittable.Machine, tie uint32) (candidate, bool) {
	if s.bars != nil && s.bars(m) {
		return candidate{}, false
	}
	own := s.own != nil && s.own(m)
	w, room := m.WaitFor(&s.job.Job, s.job.Level)
	if own && !room && m.Idle().Covers(s.need) {
		w, room = m.FetchSeconds(&s.job.Job), true
	}
	if !room && s.job.IsGang() {
		firm := m.NonPreemptibleFree(s.job.Level)
		if !firm.Covers(s.need) {
			return candidate{}, false
		}
		w = m.FetchSeconds(&s.job.Job) + (firm.CPUs-math.Max(0, m.Free().CPUs))/math.Max(m.Info.CPUs, 1)
	}
	if m.Record.Spot {
		w += s.risk
	}
	if room {
		w += s.pricePremiums[m.Kind()]
	}
	k := candidate{m: m, rank: rankQueue, wait: int64(math.Round(w * 1e6)), tie: tie}
	if room && !(s.shun && m.Record.Spot) {
		k.rank = rankFree
		if s.claims.IsClaimed(s.job, m) {
			k.rank = rankWanted
		}
	}
	if room && own {
		k.rank = rankOwn
	}
	return k, true
}

// restrict drops the machines that do not meet a condition.
func (s *candidates) restrict(ok func(*waittable.Machine) bool) {
	s.heap = slices.DeleteFunc(s.heap, func(k candidate) bool { return !ok(k.m) })
	heap.Init(s)
}

// QueueAtMost is how long a wait a task is queued for. What would wait longer
// stays with its owner: a job of 100,000 tasks on a small fleet would else
// fill every controller's memory and hold up all that is queued after it.
const QueueAtMost = 2 * time.Minute

// queueTooLong reports whether a machine's queue takes no more of the job. One whose
// tasks are to be stopped for the job does; what has only what others leave waits in
// no queue.
func (s *candidates) queueTooLong(k *candidate) bool {
	return k.rank == rankQueue && (s.job.UsesHeadroom || k.wait > QueueAtMost.Microseconds() && !k.m.NonPreemptibleFree(s.job.Level).Covers(s.need))
}

// Smallest is the machine with the smallest expected wait per processor, ties
// broken at random, or nil. What does not suit any more is dropped: zones and
// queues only fill while a job is placed, and room kept only shrinks.
func (s *candidates) Smallest(zones map[protocol.Zone]int) *waittable.Machine {
	for len(s.heap) > 0 {
		top := &s.heap[0]
		if !s.job.AllowsZone(top.m, zones) || s.queueTooLong(top) || top.rank != rankQueue && top.rank != rankOwn && !s.claims.LeavesClaimed(s.job, top.m, s.need) {
			heap.Pop(s)
			continue
		}
		return top.m
	}
	return nil
}

// noteExamined weighs the smallest again after it took a task.
func (pl *Placer) noteExamined(s *candidates) {
	pl.Examined++
	k, ok := s.evaluate(s.heap[0].m, pl.rng.Uint32())
	if !ok {
		heap.Pop(s)
		return
	}
	s.heap[0] = k
	heap.Fix(s, 0)
}
