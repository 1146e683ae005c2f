package placement

import (
	"math/rand/v2"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/protocol"
)

const (
	// Interval is the shortest time between two placing rounds: what becomes pending
	// meanwhile is placed together.
	Interval = 100 * time.Millisecond
	// MaxPerStep bounds the placements of one step, so that a huge job does not delay
	// everything else; the rest follows in the next step.
	MaxPerStep = 2000
	// MaxExaminedForGangs is how many machines may be examined in a step for gangs that
	// found no place when they were last tried. See failedSearch for arrays.
	MaxExaminedForGangs = 30_000
)

// Placer chooses the machines for the tasks of owned jobs.
type Placer struct {
	clusterstate.Module
	table        *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	jobs         *jobs.Owned
	rng          *rand.Rand

	pricePremiums  map[binpack.Kind]float64 // see computePricePremiums
	failedSearches []failedSearch
	nextRoundAt    clock.Time // no placing round starts before

	// RebalancePosition is the machine at which the last rebalance left the rest to the next
	// tick; empty if nothing is left.
	RebalancePosition protocol.MachineID
	// Examined counts the machines examined for placements since the start.
	Examined int
}

// New returns a Placer that has placed nothing.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, reservations *holds.Holds, owned *jobs.Owned, rng *rand.Rand) *Placer {
	return &Placer{Module: module, table: table, workload: work, reservations: reservations, jobs: owned, rng: rng}
}

// Reset drops what was learned in an earlier session.
func (p *Placer) Reset() {
	p.ForgetSearches()
	p.nextRoundAt = 0
}

// ForgetSearches drops the memory of searches that found no machine.
func (p *Placer) ForgetSearches() { p.failedSearches = nil }

// PlaceIfDue places what became pending, at most once per Interval. It reports whether it
// did.
func (p *Placer) PlaceIfDue() bool {
	if !p.table.PlacementDue || !p.HoldsLease() || p.Now < p.nextRoundAt {
		return false
	}
	p.nextRoundAt = p.After(Interval)
	p.PlacePending()
	return true
}
