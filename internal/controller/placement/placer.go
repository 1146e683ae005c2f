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
	// Interval is the shortest time between two placing rounds. Tasks that become pending
	// within it are placed in one round.
	Interval = 100 * time.Millisecond
	// MaxPerStep is the number of placements after which a step places no further tasks, except
	// the rest of a gang, so that a huge job does not delay the other work of the controller. The
	// remaining tasks are placed in the next steps.
	MaxPerStep = 2000
	// MaxExaminedForGangs is how many machines may be examined per step for gangs whose
	// last placement attempt failed. See failedSearch for arrays.
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
	nextRoundAt    clock.Time // earliest start of the next placing round

	// RebalancePosition is the last machine that the last rebalance moved tasks to before it
	// reached MaxMovesPerStep; the next tick continues after it. It is empty if the last
	// rebalance covered all machines.
	RebalancePosition protocol.MachineID
	// ExaminedMachines counts the machines examined for placements since the start.
	ExaminedMachines int
}

// New returns a Placer that has placed nothing.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, reservations *holds.Holds, owned *jobs.Owned, rng *rand.Rand) *Placer {
	return &Placer{Module: module, table: table, workload: work, reservations: reservations, jobs: owned, rng: rng}
}

// Reset drops the failed searches and the time of the next placing round of an earlier session.
func (p *Placer) Reset() {
	p.DropFailedSearches()
	p.nextRoundAt = 0
}

// DropFailedSearches drops the recorded searches that found no machine, so that the next
// placing round searches for all arrays again.
func (p *Placer) DropFailedSearches() { p.failedSearches = nil }

// PlaceIfDue runs a placing round if a task may have become placeable since the last one, this
// controller holds its lease, and the last round is at least Interval ago. It reports whether
// it ran a round.
func (p *Placer) PlaceIfDue() bool {
	if !p.table.PlacementDue || !p.HoldsLease() || p.Now < p.nextRoundAt {
		return false
	}
	p.nextRoundAt = p.After(Interval)
	p.PlacePending()
	return true
}
