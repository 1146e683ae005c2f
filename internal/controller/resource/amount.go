package resource

import (
	"math"

	"damsonkeel/internal/protocol"
)

const (
	// Tolerance is how much a need may exceed an amount, in processors, accelerators or
	// gigabytes, and still fit into it: amounts are sums of decimal numbers with rounding
	// errors.
	Tolerance = 1e-6
	// maxFitting bounds the result of CountFitting, since any number of tasks that use
	// nothing fit.
	maxFitting = 1000
)

// Amount is an amount of resources that a task uses or a machine has. It is part of
// messages between controllers.
type Amount struct {
	CPUs, GPUs float64 // numbers of processors and accelerators
	GB         float64 // gigabytes of memory
}

// Need returns the resources that a task of a job uses.
func Need(job *protocol.Job) Amount { return Amount{job.CPUs, job.GPUs, job.MemoryGB} }

// Capacity returns the resources that a machine of a type has.
func Capacity(machineType protocol.TypeInfo) Amount {
	return Amount{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// Round rounds a sum of decimal numbers to the nearest multiple of Tolerance. This
// removes the rounding errors that depend on the order of the summands, so that equal sums
// compare as equal and simulations are repeatable.
func Round(x float64) float64 { return math.Round(x/Tolerance) * Tolerance }

// Round returns the amount with each resource rounded to the nearest multiple of Tolerance.
func (a Amount) Round() Amount { return Amount{Round(a.CPUs), Round(a.GPUs), Round(a.GB)} }

// Covers reports whether no resource of a need exceeds that of the amount by more than Tolerance.
func (a Amount) Covers(need Amount) bool {
	return need.CPUs <= a.CPUs+Tolerance && need.GPUs <= a.GPUs+Tolerance && need.GB <= a.GB+Tolerance
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

// CountFitting returns how many tasks with a need fit into the amount at the same time, at
// most maxFitting.
func (a Amount) CountFitting(need Amount) int {
	count := 0
	for a.Covers(need) && count < maxFitting {
		a = a.Minus(need)
		count++
	}
	return count
}

// FractionalFit returns how many tasks with a need fit into the amount, including fractions
// of a task: the least quotient of an available and a needed resource. It is 0 for a task that
// uses nothing.
func (a Amount) FractionalFit(need Amount) float64 {
	count := math.Inf(1)
	for _, r := range [...]struct{ available, need float64 }{
		{a.CPUs, need.CPUs},
		{a.GPUs, need.GPUs},
		{a.GB, need.GB},
	} {
		if r.need > 0 {
			count = math.Min(count, r.available/r.need)
		}
	}
	if math.IsInf(count, 1) {
		return 0
	}
	return count
}
