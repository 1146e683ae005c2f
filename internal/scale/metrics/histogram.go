package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded bounds the recorded durations: longer ones count as this one.
	maxRecorded = 10 * time.Minute
	// significantDigits is the precision of histograms.
	significantDigits = 3
	// median, percentile99 and percentile100 are the percentiles of results.
	median        = 50
	percentile99  = 99
	percentile100 = 100
)

// NewHistogram returns an empty histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// Observe records a duration in a histogram.
func Observe(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(1, d.Microseconds()), maxRecorded.Microseconds())
	if err := h.RecordValue(us); err != nil {
		panic(err) // unreachable: the value is within the histogram's range
	}
}

// QuantileS returns a quantile in seconds; 0 of an empty histogram.
func QuantileS(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e6
}

// Waits are quantiles of times in seconds.
type Waits struct {
	Count  int64   `json:"count"`
	P50S   float64 `json:"p50_s"`
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

// WaitsOf returns the quantiles of a histogram.
func WaitsOf(h *hdrhistogram.Histogram) Waits {
	return Waits{Count: h.TotalCount(), P50S: QuantileS(h, median), P99S: QuantileS(h, percentile99), WorstS: QuantileS(h, percentile100)}
}
