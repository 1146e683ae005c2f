package forecast

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
)

func TestQuantile(t *testing.T) {
	for _, tc := range []struct {
		mean, p float64
		want    int
	}{{0, 0.9, 0}, {1, 0.7, 1}, {1, 0.9, 2}, {4, 0.5, 4}} {
		if got := quantile(tc.mean, tc.p); got != tc.want {
			t.Errorf("quantile(%v, %v) = %d, want %d", tc.mean, tc.p, got, tc.want)
		}
	}
}

// TestWithin: what is reckoned to come grows with how often jobs come and how
// unlike they are, and covers at least what comes on average.
func TestWithin(t *testing.T) {
	now := clock.Time(time.Hour)
	within := func(as Arrivals) float64 {
		return as.Coming(now, 8, 0.8, func(a Arrival) float64 { return a.Tasks }).Within(8)
	}
	seen := func(lastS int, sizes ...float64) (as Arrivals) {
		for i, s := range sizes {
			as.Note(Arrival{At: now.Add(-time.Duration(lastS+4*(len(sizes)-i)) * time.Second), Tasks: s})
		}
		return as
	}
	even, uneven := within(seen(0, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10)), within(seen(0, 1, 19, 1, 19, 1, 19, 1, 19, 1, 19))
	if even < 20 || uneven <= even {
		t.Errorf("%v of even sizes, %v of uneven ones; 20 come in 8 s on average", even, uneven)
	}
	if few := within(seen(0, 10, 10, 10)); few >= even {
		t.Errorf("%v of three, %v of ten", few, even)
	}
	if after := within(seen(16, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10)); after >= even {
		t.Errorf("%v after a long silence, %v before", after, even)
	}
}
