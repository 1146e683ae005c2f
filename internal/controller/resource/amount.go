package resource

import (
	"math"

	"damsonkeel/internal/protocol"
)

const (
	// Slack is by how much sums of amounts may be wrong: they are decimal numbers.
	Slack = 1e-6
	// maxFitting bounds CountFitting: tasks that use nothing fit any number of times.
	maxFitting = 1000
)

// Amount is the resources that a task uses or a machine has. It is part of messages
// between controllers.
type Amount struct {
	CPUs, GPUs float64
	GB         float64 // memory
}

// Need returns what a task of a job uses.
func Need(job *protocol.Job) Amount { return Amount{job.CPUs, job.GPUs, job.MemoryGB} }

// Capacity returns what a machine of a type has.
func Capacity(machineType protocol.TypeInfo) Amount {
	return Amount{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// Round removes from a sum of decimal numbers what depends on the order of the summands:
// equal sums compare as equal, and simulations are repeatable.
func Round(x float64) float64 { return math.Round(x/Slack) * Slack }

// Round rounds each resource.
func (a Amount) Round() Amount { return Amount{Round(a.CPUs), Round(a.GPUs), Round(a.GB)} }

// Covers reports whether a need fits into the amount.
func (a Amount) Covers(need Amount) bool {
	return need.CPUs <= a.CPUs+Slack && need.GPUs <= a.GPUs+Slack && need.GB <= a.GB+Slack
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.GB + b.GB}
}

// Minus returns the difference of two amounts, which may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.GB - b.GB}
}

// Times returns a multiple of the amount.
func (a Amount) Times(n float64) Amount { return Amount{n * a.CPUs, n * a.GPUs, n * a.GB} }

// CountFitting returns how many tasks of a need fit at the same time.
func (a Amount) CountFitting(need Amount) int {
	count := 0
	for a.Covers(need) && count < maxFitting {
		a = a.Minus(need)
		count++
	}
	return count
}

// FractionalFit returns how many tasks of a need the amount is enough for, with fractions; 0 for a
// task that uses nothing.
func (a Amount) FractionalFit(need Amount) float64 {
	places := math.Inf(1)
	for _, r := range [...]struct{ available, need float64 }{
		{a.CPUs, need.CPUs},
		{a.GPUs, need.GPUs},
		{a.GB, need.GB},
	} {
		if r.need > 0 {
			places = math.Min(places, r.available/r.need)
		}
	}
	if math.IsInf(places, 1) {
		return 0
	}
	return places
}
