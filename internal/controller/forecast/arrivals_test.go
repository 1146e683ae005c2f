package forecast

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
)

// TestPoissonQuantileMatchesTables compares quantiles with tables of the Poisson distribution.
func TestPoissonQuantileMatchesTables(t *testing.T) {
	for _, tc := range []struct {
		mean, probability float64
		want              int
	}{
		{mean: 0, probability: 0.9, want: 0},
		{mean: 1, probability: 0.7, want: 1},
		{mean: 1, probability: 0.9, want: 2},
		{mean: 4, probability: 0.5, want: 4},
	} {
		if got := poissonQuantile(tc.mean, tc.probability); got != tc.want {
			t.Errorf("poissonQuantile(%v, %v) = %d, want %d", tc.mean, tc.probability, got, tc.want)
		}
	}
}

// TestSizeWithinGrowsWithRateAndVarianceAndFallsAfterSilence: the forecast size grows with the
// rate of arrivals and the variance of their sizes, is at least the size that arrives on
// average, and falls after a long silence.
func TestSizeWithinGrowsWithRateAndVarianceAndFallsAfterSilence(t *testing.T) {
	now := clock.Time(time.Hour)
	within := func(as Arrivals) float64 {
		return as.Forecast(now, 8, 0.8, func(a Arrival) float64 { return a.Tasks }).SizeWithin(8)
	}
	arrivals := func(silenceS int, sizes ...float64) (as Arrivals) {
		for i, s := range sizes {
			as.Note(Arrival{At: now.Add(-time.Duration(silenceS+4*(len(sizes)-i)) * time.Second), Tasks: s})
		}
		return as
	}
	even := within(arrivals(0, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10))
	uneven := within(arrivals(0, 1, 19, 1, 19, 1, 19, 1, 19, 1, 19))
	if even < 20 || uneven <= even {
		t.Errorf("forecast %v for equal sizes, %v for different ones, want at least 20, the mean in 8 s, and more for different ones", even, uneven)
	}
	if few := within(arrivals(0, 10, 10, 10)); few >= even {
		t.Errorf("forecast %v after three arrivals, %v after ten, want less after three", few, even)
	}
	if after := within(arrivals(16, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10)); after >= even {
		t.Errorf("forecast %v after a long silence, %v without, want less after the silence", after, even)
	}
}
