package forecast

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
)

const (
	// maxArrivals bounds the arrivals of a class that are remembered.
	maxArrivals = 512
	// simultaneous is how soon after another a job has to arrive to count as one arrival
	// with it: no headroom is enough for jobs that arrive at once.
	simultaneous = 250 * time.Millisecond
	// windowBoots is for how many boots' time arrivals count: a rate can't be estimated
	// from a time much shorter than several boots, and older arrivals say little.
	windowBoots = 8
	// KnownBoots is for how many boots' time arrivals have to be observed until they say
	// what is likely to come.
	KnownBoots = 5
	// unlikelySilence is a silence, in mean gaps between arrivals, that chance brings
	// about once in twenty times.
	unlikelySilence = 3
	// sameSize is the relative variance up to which sizes count as equal.
	sameSize = 1e-6
	// halvings is how many times Beyond halves the time that it looks at.
	halvings = 8
	// maxPoisson bounds the quantiles of Poisson variables.
	maxPoisson = 100
)

// Arrival is one or more jobs that arrived at once.
type Arrival struct {
	At    clock.Time
	Tasks float64
	Work  float64 // of all its tasks, in processor seconds
}

// Arrivals are the latest arrivals of one class of jobs, in order of time.
type Arrivals []Arrival

// Note adds an arrival, unless it is simultaneous with the last.
func (as *Arrivals) Note(a Arrival) {
	if n := len(*as); n > 0 && a.At.Since((*as)[n-1].At) < simultaneous {
		return
	}
	*as = append(*as, a)
	if len(*as) > maxArrivals {
		*as = (*as)[1:]
	}
}

// Arriving is how often jobs of a class arrive, and how large they are.
type Arriving struct {
	rate        float64 // arrivals a second
	meanSize    float64
	meanSquare  float64 // of the sizes
	probability float64 // with which there should be resources for what arrives
	largest     float64 // size that arrivals do not exceed with this probability
}

// Coming estimates from the arrivals until now how jobs arrive, by a measure of their size.
// What is derived from it should be enough for a share of them; bootS is how long a machine
// takes to be ready for them, in seconds.
func (as Arrivals) Coming(now clock.Time, bootS, share float64, size func(Arrival) float64) Arriving {
	if math.IsInf(bootS, 1) {
		return Arriving{}
	}
	window := windowBoots * bootS
	sizes, first := as.sizesWithin(now, window, size)
	if len(sizes) == 0 {
		return Arriving{} // they have stopped arriving
	}
	count := float64(len(sizes))
	if as[0].At < first {
		first = now - clock.Time(window*float64(time.Second))
	}
	span := math.Min(window, math.Max(now.Since(first).Seconds(), KnownBoots*bootS))
	sum, squares := 0.0, 0.0
	for _, s := range sizes {
		sum += s
		squares += s * s
	}
	// There should be resources for half of the arrivals that the objective allows to miss.
	probability := (1 + share) / 2
	slices.Sort(sizes)
	return Arriving{
		rate:        as.slowedBySilence(now, count/span),
		meanSize:    sum / count,
		meanSquare:  squares / count,
		probability: probability,
		largest:     sizes[min(len(sizes)-1, int(probability*count))],
	}
}

// sizesWithin returns the sizes of the arrivals within some seconds until now, and the time
// of the first of them.
func (as Arrivals) sizesWithin(now clock.Time, window float64, size func(Arrival) float64) (sizes []float64, first clock.Time) {
	first = now
	for _, a := range as {
		if now.Since(a.At).Seconds() <= window {
			first = min(first, a.At)
			sizes = append(sizes, size(a))
		}
	}
	return sizes, first
}

// slowedBySilence returns a lower rate after a silence that the rate makes unlikely: jobs
// arrive less often now, or have stopped arriving.
func (as Arrivals) slowedBySilence(now clock.Time, rate float64) float64 {
	silence := now.Since(as[len(as)-1].At).Seconds()
	if rate*silence > unlikelySilence {
		rate *= math.Exp(unlikelySilence - rate*silence)
	}
	return rate
}

// Mean returns the size that arrives a second on average.
func (a Arriving) Mean() float64 { return a.rate * a.meanSize }

// Within returns the size that, with the probability wanted, is not exceeded by what
// arrives in a time: a quantile of a compound Poisson distribution with the sizes observed.
func (a Arriving) Within(seconds float64) float64 {
	if a.rate == 0 {
		return 0
	}
	arrivals := a.rate * seconds
	if a.meanSquare-a.meanSize*a.meanSize < sameSize*a.meanSize*a.meanSize {
		return float64(poissonQuantile(arrivals, a.probability)) * a.meanSize
	}
	return arrivals*a.meanSize + math.Sqrt2*math.Erfinv(2*a.probability-1)*math.Sqrt(arrivals*a.meanSquare)
}

// Beyond returns by how much, at any time within some seconds, what has arrived is likely to
// exceed the resources that become free by themselves, at a rate.
func (a Arriving) Beyond(seconds, rate float64) float64 {
	most := 0.0
	if rate > 0 && a.rate*seconds > 1-a.probability {
		most = a.largest // it arrives at once
	}
	for range halvings {
		most = math.Max(most, a.Within(seconds)-rate*seconds)
		seconds /= 2
	}
	return most
}

// poissonQuantile returns the smallest number that a Poisson variable of a mean does not
// exceed with a probability.
func poissonQuantile(mean, probability float64) int {
	p := math.Exp(-mean)
	sum := p
	k := 0
	for sum < probability && k < maxPoisson {
		k++
		p *= mean / float64(k)
		sum += p
	}
	return k
}
