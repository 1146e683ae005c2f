package scale

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latenessEvery = 50 * time.Millisecond
	// latenessMost bounds what is recorded: longer, a process stood still.
	latenessMost = 10 * time.Minute
	histDigits   = 3
)

// newHistogram makes a histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latenessMost.Microseconds(), histDigits)
}

// record takes a duration into a histogram.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(1, d.Microseconds()), latenessMost.Microseconds())
	if err := h.RecordValue(us); err != nil {
		panic(err) // the value was brought into the histogram's range
	}
}

// quantileS is a quantile in seconds.
func quantileS(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e6
}

// Lateness is how late the timers of a process were, in milliseconds.
type Lateness struct {
	P99MS   float64 `json:"p99_ms"`
	WorstMS float64 `json:"worst_ms"`
}

// latenessMeter measures how late timers come.
type latenessMeter struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// newLatenessMeter measures until the context ends.
func newLatenessMeter(ctx context.Context) *latenessMeter {
	m := &latenessMeter{hist: newHistogram()}
	go m.run(ctx)
	return m
}

func (m *latenessMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		time.Sleep(latenessEvery)
		late := time.Since(begun) - latenessEvery
		m.mu.Lock()
		observe(m.hist, late)
		m.mu.Unlock()
	}
}

func (m *latenessMeter) lateness() Lateness {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Lateness{P99MS: 1000 * quantileS(m.hist, 99), WorstMS: 1000 * quantileS(m.hist, 100)}
}
