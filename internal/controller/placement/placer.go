package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Placer chooses the machines of owned jobs' tasks.
type Placer struct {
	clusterstate.Module
	table        *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	jobs         *jobs.Owned
	rng          *rand.Rand

	pricePremiums  map[binpack.Kind]float64 // by the prices last read: see computePricePremiums
	failedSearches []failedSearch
	nextPlaced     clock.Time // not placed again before
	// RebalancedUpTo is the machine at which the last rebalance left the rest to the
	// next tick; empty: nothing is left.
	RebalancedUpTo protocol.MachineID
	Examined       int // machines looked at for placements, ever
}

// New has placed nothing yet.
func New(p clusterstate.Module, table *waittable.Table, work *workload.Workload, held *holds.Holds, owned *jobs.Owned, rng *rand.Rand) *Placer {
	return &Placer{Module: p, table: table, workload: work, reservations: held, jobs: owned, rng: rng}
}

// Reset forgets everything a session knew.
func (pl *Placer) Reset() {
	pl.ForgetSearches()
	pl.nextPlaced = 0
}

// ForgetSearches forgets the searches that found no place.
func (pl *Placer) ForgetSearches() { pl.failedSearches = nil }

// PlaceIfDue places what became pending, at most once in Interval. It reports whether
// it did.
func (pl *Placer) PlaceIfDue() bool {
	if !pl.table.PlacementDue || !pl.HoldsLease() || pl.Now < pl.nextPlaced {
		return false
	}
	pl.nextPlaced = pl.After(Interval)
	pl.Schedule()
	return true
}

// placingRound is one pass over the jobs that wait to be placed.
type placingRound struct {
	usage   map[protocol.Team]resource.Amount
	claims  *Claims
	batches map[protocol.NodeName][]message.Placement // by keeper
	waits   map[protocol.MachineID]*waittable.OwnWaits
	left    int // placements that the step may still make
	stuck   int // gangs that found no place when they were last tried
}

// Schedule places what is pending: each task once, on the machine with the
// smallest expected wait per processor among those that can run it.
func (pl *Placer) Schedule() {
	pl.table.PlacementDue = false
	if len(pl.Types) == 0 {
		return
	}
	r := &placingRound{
		usage: pl.jobs.TeamUsage(), claims: pl.NewClaims(), batches: map[protocol.NodeName][]message.Placement{},
		waits: map[protocol.MachineID]*waittable.OwnWaits{}, left: MaxPerStep,
	}
	r.claims.leftOver = pl.headroom() // nothing but placing asks for it
	pl.SetLevels()
	pl.forgetFailedSearches()
	for _, o := range pl.jobs.InOrder() {
		if o.SearchFailed && !o.Pending.None() {
			r.stuck++
		}
	}
	for _, o := range pl.jobs.InOrder() {
		if !o.Loaded || o.FinishDue || o.NotBefore > pl.Now || o.Pending.None() {
			continue
		}
		pl.recordPlacements(r, pl.placeJob(o, r))
		if r.left <= 0 {
			pl.table.PlacementDue = true
			break
		}
	}
	pl.sendPlacements(r.batches)
	pl.table.SendWaits(r.waits)
}

// placeJob places what is pending of one job.
func (pl *Placer) placeJob(o *jobs.Job, r *placingRound) []message.Placement {
	o.UsesHeadroom = !math.IsInf(r.claims.leftOver, 1) && pl.workload.WithoutObjective(&o.Job) && !pl.reservations.IsReserved(&o.Job)
	most := r.left
	if o.UsesHeadroom && pl.overdueToBegin(o) {
		o.UsesHeadroom, most = false, min(r.left, 1)
	}
	if o.SearchFailed && pl.Since(o.SearchedAt) < pl.retryEvery(r.stuck) {
		pl.claimAgain(o, r.claims)
		return nil
	}
	if o.Kind != protocol.KindGang && pl.wouldFindNone(o) {
		return nil
	}
	var chosen []message.Placement
	looked := pl.Examined
	o.ClaimedMachines = nil
	if o.Kind == protocol.KindGang {
		chosen = pl.PlaceGang(o, r.usage, r.claims)
	} else {
		chosen = pl.placeArray(o, r.usage, most, r.claims)
	}
	o.SearchFailed, o.SearchedAt = o.Kind == protocol.KindGang && len(chosen) == 0 && pl.Examined > looked, pl.Now
	return chosen
}

// recordPlacements adds the placements of a job to a round.
func (pl *Placer) recordPlacements(r *placingRound, chosen []message.Placement) {
	r.left -= len(chosen)
	for _, p := range chosen {
		keeper := pl.DispatcherOf(p.Machine)
		r.batches[keeper] = append(r.batches[keeper], p)
		w := r.waits[p.Machine]
		if w == nil {
			w = &waittable.OwnWaits{}
			r.waits[p.Machine] = w
		}
		w.Add += p.EstimateS * p.CPUs
		w.Taken.Add(resource.Level(p.Level), p.Need())
	}
}

// sendPlacements hands placements to the machines' keepers.
func (pl *Placer) sendPlacements(batches map[protocol.NodeName][]message.Placement) {
	revision := pl.Configuration.Effective().Revision
	for keeper, tasks := range ordered.Of(batches) {
		p := pl.table.Peers[keeper]
		if p == nil {
			continue
		}
		p.Placed++
		for _, t := range tasks {
			if o := pl.jobs.ByID[t.Task.Job]; o != nil && o.Placed[t.Task] != nil {
				o.Placed[t.Task].PlaceNumber = p.Placed
			}
		}
		pl.Send(keeper, message.PeerMessage{Place: &message.Place{Number: p.Placed, Term: pl.View.Term, Configuration: revision, Tasks: tasks}})
	}
}

// MaxPerStep bounds the placements of one step, so that a huge job does not
// hold up everything else; the rest follows at the next one.
const MaxPerStep = 2000

// Interval is how often pending tasks are placed at the most: what becomes
// pending meanwhile is placed in one go.
const Interval = 100 * time.Millisecond
