package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest recorded duration; longer durations are recorded as this one.
	maxRecorded = 10 * time.Minute
	// significantDigits is the number of decimal digits to which histograms are exact.
	significantDigits = 3
	// median, percentile99 and percentile100 are the percentiles that results contain.
	median        = 50
	percentile99  = 99
	percentile100 = 100
)

// NewHistogram returns an empty histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// Observe records a duration in a histogram. Durations outside of the histogram's range are
// recorded as the nearest value in the range.
func Observe(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(1, d.Microseconds()), maxRecorded.Microseconds())
	if err := h.RecordValue(us); err != nil {
		panic(err) // unreachable: the value is within the histogram's range
	}
}

// QuantileS returns the quantile at a percentage of a histogram in seconds, and 0 if the
// histogram is empty.
func QuantileS(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e6
}

// Quantiles holds the number of recorded durations and their quantiles in seconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	P50S   float64 `json:"p50_s"`
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

// QuantilesOf returns the quantiles of a histogram.
func QuantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Count: h.TotalCount(), P50S: QuantileS(h, median), P99S: QuantileS(h, percentile99), WorstS: QuantileS(h, percentile100)}
}
