package coordination

import (
	"cmp"
	"container/heap"
	"math"

	"damsonkeel/internal/protocol"
)

// candidates are the machines that may run a job's tasks, the smallest
// expected wait first. Tasks of a job are alike, so the machines are looked at
// once for all that are placed in one go, and after each task only the one
// that took it again.
type candidates struct {
	job  *ownedJob
	need resources
	kept []kept
	heap []candidate
}

// candidate is a machine as the job's next task would find it.
type candidate struct {
	m    *machineEntry
	rank rank
	wait int64 // per processor, in microseconds: sums of decimal numbers are not exact
	tie  uint32
}

// rank puts machines with room now before all that have none, and among them
// those first that no class has room kept on.
type rank uint8

const (
	rankFree rank = iota
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

// candidatesFor looks for the machines that may run a job's tasks.
func (c *Core) candidatesFor(o *ownedJob, zones map[protocol.Zone]int, kept []kept) *candidates {
	s := &candidates{job: o, need: need(&o.Job), kept: kept}
	for _, m := range c.machinesInOrder() {
		if c.mayTake(o, m, zones) {
			s.heap = append(s.heap, s.weigh(m, c.rng.Uint32()))
		}
	}
	c.looked += len(s.heap)
	heap.Init(s)
	return s
}

// mayTake reports whether a job may have a task on a machine at present.
func (c *Core) mayTake(o *ownedJob, m *machineEntry, zones map[protocol.Zone]int) bool {
	return c.usable(m) && (!o.failedOn[m.id] || len(o.failedOn) >= 3) && o.allows(m, zones)
}

func (s *candidates) weigh(m *machineEntry, tie uint32) candidate {
	w, room := m.waitFor(&s.job.Job)
	k := candidate{m: m, rank: rankQueue, wait: int64(math.Round(w * 1e6)), tie: tie}
	if room {
		k.rank = rankFree
		if wanted(s.job, m, s.kept) {
			k.rank = rankWanted
		}
	}
	return k
}

// smallest is the machine with the smallest expected wait per processor, ties
// broken at random, or nil. What does not suit any more is dropped: zones only
// fill while a job is placed, and room kept only shrinks.
func (s *candidates) smallest(zones map[protocol.Zone]int) *machineEntry {
	for len(s.heap) > 0 {
		top := &s.heap[0]
		if !s.job.allowsZone(top.m, zones) || top.rank != rankQueue && !spared(s.job, top.m, s.need, s.kept) {
			heap.Pop(s)
			continue
		}
		return top.m
	}
	return nil
}

// took weighs the smallest again after it took a task, and takes that out of
// the room to spare.
func (c *Core) took(s *candidates) {
	top := &s.heap[0]
	c.looked++
	s.heap[0] = s.weigh(top.m, c.rng.Uint32())
	heap.Fix(s, 0)
}
