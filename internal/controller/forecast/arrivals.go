// Package forecast tells from what was seen what is likely to come: how often
// jobs of a class arrive and how large they are, how long tasks run and how far
// owners' estimates are off, how often spot machines are taken.
package forecast

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
)

// arrivalsKept bounds how many arrivals of a class are remembered.
const arrivalsKept = 512

// isGang is how soon after another a job has to come to count as one arrival
// with it: no room kept meets what comes at once.
const together = 250 * time.Millisecond

// Arrival is jobs that came, all at once.
type Arrival struct {
	At    clock.Time
	Tasks float64
	Work  float64 // reservation all its tasks, in processor seconds
}

// Arrivals are the latest of one class of jobs, in order.
type Arrivals []Arrival

// Note adds a job that came. One that came together with the last is no
// arrival of its own.
func (as *Arrivals) Note(a Arrival) {
	if n := len(*as); n > 0 && a.At.Since((*as)[n-1].At) < together {
		return
	}
	if *as = append(*as, a); len(*as) > arrivalsKept {
		*as = (*as)[1:]
	}
}

// unlikelySilence is how many mean gaps between arrivals are a silence that
// chance brings about once in twenty times.
const unlikelySilence = 3

// KnownBoots is for how many boots' time arrivals have to be watched to tell
// what is likely to come.
const KnownBoots = 5

// Arriving is how often jobs of a class come, and how large they are.
type Arriving struct {
	rate    float64 // a second
	mean    float64 // size
	square  float64 // mean of squared sizes
	share   float64 // reservation all that come, that is to be met
	largest float64 // size that so many do not exceed
}

// Coming tells from what was seen until now how jobs come, by a measure of
// their size. What is reckoned from it is to meet a share of them; bootS is how
// long a machine takes to be ready for them, in seconds.
func (as Arrivals) Coming(now clock.Time, bootS, share float64, size func(Arrival) float64) Arriving {
	if math.IsInf(bootS, 1) {
		return Arriving{}
	}
	// A rate can't be told from a time much shorter than several boots, and
	// what came long ago says little.
	window := 8 * bootS
	var sizes []float64
	sum, squares, first := 0.0, 0.0, now
	for _, a := range as {
		if now.Since(a.At).Seconds() <= window {
			first = min(first, a.At)
			sizes = append(sizes, size(a))
			sum += size(a)
			squares += size(a) * size(a)
		}
	}
	n := float64(len(sizes))
	if n == 0 {
		return Arriving{} // they have stopped coming
	}
	if as[0].At < first {
		first = now - clock.Time(window*float64(time.Second))
	}
	span := math.Min(window, math.Max(now.Since(first).Seconds(), KnownBoots*bootS))
	rate := n / span
	// A silence that this rate makes unlikely tells more than the rate: jobs
	// come less often now, or have stopped coming.
	if silent := now.Since(as[len(as)-1].At).Seconds(); rate*silent > unlikelySilence {
		rate *= math.Exp(unlikelySilence - rate*silent)
	}
	// Room for half as many misses as the objective allows.
	share = (1 + share) / 2
	slices.Sort(sizes)
	return Arriving{rate, sum / n, squares / n, share, sizes[min(len(sizes)-1, int(share*n))]}
}

// Mean is how much comes a second on average.
func (a Arriving) Mean() float64 { return a.rate * a.mean }

// alike is by which part sizes may differ and still count as the same.
const alike = 1e-6

// Within is how much is likely, by the share to be met, to come in a time: a
// quantile of a sum of sizes as seen, that come as often as seen.
func (a Arriving) Within(seconds float64) float64 {
	if a.rate == 0 {
		return 0
	}
	mean := a.rate * seconds
	if a.square-a.mean*a.mean < alike*a.mean*a.mean {
		return float64(quantile(mean, a.share)) * a.mean
	}
	return mean*a.mean + math.Sqrt2*math.Erfinv(2*a.share-1)*math.Sqrt(mean*a.square)
}

// Beyond is how much is likely to have come at any time until another machine
// is up beyond what room came for by itself, at a rate.
func (a Arriving) Beyond(seconds, rate float64) float64 {
	most := 0.0
	if rate > 0 && a.rate*seconds > 1-a.share {
		most = a.largest // comes at once
	}
	for range 8 {
		most = math.Max(most, a.Within(seconds)-rate*seconds)
		seconds /= 2
	}
	return most
}

// quantile is the smallest number that a Poisson variable of a mean stays at
// or below with a probability.
func quantile(mean, probability float64) int {
	p := math.Exp(-mean)
	sum := p
	k := 0
	for sum < probability && k < 100 {
		k++
		p *= mean / float64(k)
		sum += p
	}
	return k
}
