package forecast

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
)

const (
	// maxArrivals is the maximum number of arrivals of a class that are kept; the oldest are
	// dropped.
	maxArrivals = 512
	// simultaneousWithin is the time after an arrival within which further jobs count as
	// part of it: no headroom suffices for jobs that arrive at once.
	simultaneousWithin = 250 * time.Millisecond
	// windowBoots is the length, in boot times, of the window whose arrivals are counted. A
	// rate can't be estimated from a time much shorter than several boot times, and older
	// arrivals say little about the current rate.
	windowBoots = 8
	// MinObservedBoots is the time, in boot times, for which arrivals have to be observed before
	// a forecast from them is meaningful.
	MinObservedBoots = 5
	// unlikelySilenceGaps is the length, in mean gaps between arrivals, of a silence that
	// occurs by chance with a probability of one in twenty.
	unlikelySilenceGaps = 3
	// equalSizeVariance is the relative variance below which sizes count as equal.
	equalSizeVariance = 1e-6
	// windowHalvings is the number of periods, each half as long as the one before, for
	// which ExcessWithin calculates the excess.
	windowHalvings = 8
	// maxPoissonQuantile is the maximum of the calculated quantiles of Poisson variables.
	maxPoissonQuantile = 100
)

// Arrival is the arrival of a job. It also stands for the jobs that arrive within
// simultaneousWithin after it, whose tasks and work it does not include.
type Arrival struct {
	At    clock.Time
	Tasks float64
	Work  float64 // work of all tasks, in processor seconds
}

// Arrivals is a list of the latest arrivals of one class of jobs, in order of time.
type Arrivals []Arrival

// Note adds an arrival, unless it is within simultaneousWithin after the last arrival that was
// added.
func (as *Arrivals) Note(arrival Arrival) {
	if n := len(*as); n > 0 && arrival.At.Since((*as)[n-1].At) < simultaneousWithin {
		return
	}
	*as = append(*as, arrival)
	if len(*as) > maxArrivals {
		*as = (*as)[1:]
	}
}

// ArrivalForecast describes how often jobs of a class are expected to arrive and how large they
// are.
type ArrivalForecast struct {
	rate         float64 // arrivals per second
	meanSize     float64 // mean size of an arrival, in the unit of the size
	meanSquare   float64 // mean of the squared sizes
	probability  float64 // probability with which there should be resources for the arrivals
	sizeQuantile float64 // size that an arrival does not exceed with this probability
}

// Forecast estimates from the arrivals of the last windowBoots boot times how jobs arrive. It
// expects none if there were no arrivals in that time, or if bootS is infinite. Resources that
// are planned by the result should suffice for the given share of the jobs, from 0 to 1. bootS
// is how long a machine takes to be ready for them, in seconds, and size returns the size of an
// arrival, such as its tasks or its work.
func (as Arrivals) Forecast(now clock.Time, bootS, share float64, size func(Arrival) float64) ArrivalForecast {
	if math.IsInf(bootS, 1) {
		return ArrivalForecast{}
	}
	window := windowBoots * bootS
	sizes, first := as.sizesWithin(now, window, size)
	if len(sizes) == 0 {
		return ArrivalForecast{} // jobs have stopped arriving
	}
	count := float64(len(sizes))
	if as[0].At < first {
		first = now - clock.Time(window*float64(time.Second))
	}
	span := math.Min(window, math.Max(now.Since(first).Seconds(), MinObservedBoots*bootS))
	sum, squares := 0.0, 0.0
	for _, s := range sizes {
		sum += s
		squares += s * s
	}
	// Resources should also suffice for half of the arrivals that the objective allows to
	// miss.
	probability := (1 + share) / 2
	slices.Sort(sizes)
	return ArrivalForecast{
		rate:         as.rateAfterSilence(now, count/span),
		meanSize:     sum / count,
		meanSquare:   squares / count,
		probability:  probability,
		sizeQuantile: sizes[min(len(sizes)-1, int(probability*count))],
	}
}

// sizesWithin returns the sizes of the arrivals in a window, in seconds, that ends now, and
// the time of the first of them, or now if there are none.
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

// rateAfterSilence returns the rate, lowered if the time since the last arrival is unlikely at
// this rate: jobs then arrive less often than before, or have stopped arriving.
func (as Arrivals) rateAfterSilence(now clock.Time, rate float64) float64 {
	silence := now.Since(as[len(as)-1].At).Seconds()
	if rate*silence > unlikelySilenceGaps {
		rate *= math.Exp(unlikelySilenceGaps - rate*silence)
	}
	return rate
}

// MeanPerSecond returns the mean total size of the jobs that arrive per second.
func (a ArrivalForecast) MeanPerSecond() float64 { return a.rate * a.meanSize }

// SizeWithin returns the total size that the arrivals in a time, in seconds, do not exceed with
// the probability that follows from the share given to Forecast. It is a quantile of a compound
// Poisson distribution with the observed sizes: exact for equal sizes, up to
// maxPoissonQuantile arrivals, else by a normal approximation.
func (a ArrivalForecast) SizeWithin(seconds float64) float64 {
	if a.rate == 0 {
		return 0
	}
	expectedArrivals := a.rate * seconds
	if a.meanSquare-a.meanSize*a.meanSize < equalSizeVariance*a.meanSize*a.meanSize {
		return float64(poissonQuantile(expectedArrivals, a.probability)) * a.meanSize
	}
	return expectedArrivals*a.meanSize + math.Sqrt2*math.Erfinv(2*a.probability-1)*math.Sqrt(expectedArrivals*a.meanSquare)
}

// ExcessWithin returns the largest amount by which, at any time within the given seconds, the
// total size of the arrivals is likely to exceed the resources that have become free meanwhile
// at freeingRate per second, in the unit of the size.
func (a ArrivalForecast) ExcessWithin(seconds, freeingRate float64) float64 {
	excess := 0.0
	if freeingRate > 0 && a.rate*seconds > 1-a.probability {
		excess = a.sizeQuantile // a single arrival, before any resources become free
	}
	for range windowHalvings {
		excess = math.Max(excess, a.SizeWithin(seconds)-freeingRate*seconds)
		seconds /= 2
	}
	return excess
}

// poissonQuantile returns the smallest number that a Poisson variable of the given mean does
// not exceed with at least the given probability, or maxPoissonQuantile if that is smaller.
func poissonQuantile(mean, probability float64) int {
	p := math.Exp(-mean)
	sum := p
	k := 0
	for sum < probability && k < maxPoissonQuantile {
		k++
		p *= mean / float64(k)
		sum += p
	}
	return k
}
