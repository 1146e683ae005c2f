// Package resource reckons with what machines have and tasks take: amounts, who
// holds them by level, and claims on what is free.
package resource

import (
	"math"

	"damsonkeel/internal/protocol"
)

// Amount is what a task takes or a machine has.
type Amount struct {
	CPUs, GPUs float64
	GB         float64 // reservation memory
}

// Slack is by what sums of amounts may be wrong: they are decimal numbers.
const Slack = 1e-6

// Round takes off what a sum of decimal numbers owes to the order in which they were
// added: the same sums compare as equal, and days repeat.
func Round(x float64) float64 { return math.Round(x/Slack) * Slack }

// Round rounds each part.
func (a Amount) Round() Amount { return Amount{Round(a.CPUs), Round(a.GPUs), Round(a.GB)} }

// Need is what a task of a job takes.
func Need(j *protocol.Job) Amount { return Amount{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity is what a machine of a type has.
func Capacity(t protocol.TypeInfo) Amount { return Amount{t.CPUs, t.GPUs, t.MemoryGB} }

// Covers reports whether a need fits.
func (a Amount) Covers(n Amount) bool {
	return n.CPUs <= a.CPUs+Slack && n.GPUs <= a.GPUs+Slack && n.GB <= a.GB+Slack
}

// Minus is what is left without another amount; it may be below nothing.
func (a Amount) Minus(n Amount) Amount { return Amount{a.CPUs - n.CPUs, a.GPUs - n.GPUs, a.GB - n.GB} }

// Plus adds an amount.
func (a Amount) Plus(n Amount) Amount { return Amount{a.CPUs + n.CPUs, a.GPUs + n.GPUs, a.GB + n.GB} }

// Times is so many of it.
func (a Amount) Times(n float64) Amount { return Amount{n * a.CPUs, n * a.GPUs, n * a.GB} }

// fitMost bounds what Fit counts: a task that takes nothing fits any number of times.
const fitMost = 1000

// CountFitting is how many tasks of a size have room at the same time.
func (a Amount) CountFitting(n Amount) int {
	k := 0
	for a.Covers(n) && k < fitMost {
		a = a.Minus(n)
		k++
	}
	return k
}

// Places is how many tasks of a size run at a time in a lot of room, in parts
// too; none of a size that takes nothing.
func (a Amount) Places(n Amount) float64 {
	most := math.Inf(1)
	for _, r := range [][2]float64{{a.CPUs, n.CPUs}, {a.GPUs, n.GPUs}, {a.GB, n.GB}} {
		if r[1] > 0 {
			most = math.Min(most, r[0]/r[1])
		}
	}
	if math.IsInf(most, 1) {
		return 0
	}
	return most
}
