package placement

import (
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MaxExaminedPerStep is how many machines may be looked at, a step, for gangs that found
// no place when they were last tried. See failedSearch for arrays.
const MaxExaminedPerStep = 30_000

// retryEvery is how often such gangs are tried again, of so many: at each step
// where that is cheap, less often where many wait on a large fleet.
func (pl *Placer) retryEvery(stuck int) time.Duration {
	return Interval * time.Duration(stuck*len(pl.table.InOrder())/MaxExaminedPerStep)
}

// placeArray places pending tasks one by one.
func (pl *Placer) placeArray(o *jobs.Job, usage map[protocol.Team]resource.Amount, left int, cl *Claims) []message.Placement {
	var out []message.Placement
	zones := o.ZoneCounts()
	var from *candidates
	var waits *jobs.Job // see queuesWithinLimit
	left = o.MayTry(left)
	for i, ok := o.Pending.NextSet(0); ok && len(out) < left; i, ok = o.Pending.NextSet(i + 1) {
		if o.Placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}] != nil {
			continue // its last attempt is not gone
		}
		if !pl.withinLimit(o, usage, 1) {
			break
		}
		if !cl.takeHeadroom(o, 1) {
			break
		}
		if from == nil {
			from, waits = pl.CandidatesFor(o, zones, cl), pl.longestWaiting(o)
		}
		m := from.Smallest(zones)
		if m == nil {
			pl.noteFailedSearch(o)
			break
		}
		if from.heap[0].rank == rankQueue && !pl.queuesWithinLimit(o, waits, usage) {
			break
		}
		out = append(out, pl.PlaceFrom(from, uint32(i), m, pl.jobs.NextAttempt(), zones))
		pl.jobs.AddUse(o, usage, 1)
	}
	return out
}

// PlaceFrom places one task on the smallest of its job's candidates, and reckons
// with that for the next.
func (pl *Placer) PlaceFrom(from *candidates, i uint32, m *waittable.Machine, a protocol.Attempt, zones map[protocol.Zone]int) message.Placement {
	if from.heap[0].rank != rankQueue {
		from.claims.spend(m, from.need)
	}
	p := pl.PlaceAttempt(from.job, i, m, a)
	pl.noteExamined(from)
	zones[m.Record.Zone]++
	return p
}

// PlaceAttempt places one task on a machine in the owner's books.
func (pl *Placer) PlaceAttempt(o *jobs.Job, i uint32, m *waittable.Machine, a protocol.Attempt) message.Placement {
	t := &jobs.Attempt{
		Task: protocol.TaskID{Job: o.ID, Index: i}, Number: a, Machine: m.ID, Epoch: m.Epoch,
		Zone: m.Record.Zone, Estimate: pl.jobs.EstimateOf(o), Trial: o.Failing,
	}
	o.Placed[t.Task] = t
	o.Pending.Clear(uint(i))
	pl.jobs.Track(t)
	o.Waiting++
	if p := pl.table.Peers[pl.DispatcherOf(m.ID)]; p != nil {
		// The Place that carries it is the next to the keeper.
		pl.table.AddPending(m, waittable.PendingWait{
			Owner: pl.Self, Number: p.Placed + 1, Add: t.Estimate * o.CPUs, Level: o.Level, Taken: resource.Need(&o.Job),
		})
	}
	return message.Placement{Task: t.Task, Attempt: a, Machine: m.ID, Epoch: m.Epoch, Tenure: pl.ShardEpoch(m.ID, m.Record.Zone), EstimateS: t.Estimate, CPUs: o.CPUs, GPUs: o.GPUs, GB: o.MemoryGB, Level: int(o.Level), Together: o.IsGang()}
}
