package metrics

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latenessInterval is the time between two measurements of lateness.
const latenessInterval = 50 * time.Millisecond

// Lateness holds quantiles of how late the timers of a process fired, in milliseconds.
type Lateness struct {
	P99MS   float64 `json:"p99_ms"`
	WorstMS float64 `json:"worst_ms"`
}

// LatenessMeter measures how late the timers of the current process fire.
type LatenessMeter struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatenessMeter starts a meter that measures until the context ends.
func NewLatenessMeter(ctx context.Context) *LatenessMeter {
	m := &LatenessMeter{histogram: NewHistogram()}
	go m.run(ctx)
	return m
}

// run measures the lateness of one timer every latenessInterval until the context ends.
func (m *LatenessMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(latenessInterval)
		late := time.Since(begin) - latenessInterval
		m.mu.Lock()
		Observe(m.histogram, late)
		m.mu.Unlock()
	}
}

// Lateness returns the quantiles of the lateness measured so far.
func (m *LatenessMeter) Lateness() Lateness {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Lateness{P99MS: 1000 * QuantileS(m.histogram, percentile99), WorstMS: 1000 * QuantileS(m.histogram, percentile100)}
}
