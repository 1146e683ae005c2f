package results

import (
	"errors"
	"math"
	"testing"

	"damsonkeel/internal/scale/process"
)

// TestFitIsExactForLinearMetrics checks that metrics that grow linearly are fitted exactly, and that
// results for only two numbers of workers are an error.
func TestFitIsExactForLinearMetrics(t *testing.T) {
	var results []*Result
	for _, workers := range []int{700, 1400, 2800} {
		results = append(results, &Result{
			Workers: workers, Worker: WorkerMetrics{BytesS: 184},
			Roles: []RoleMetrics{{Role: process.RoleController, MemoryMB: 10 + 0.02*float64(workers)}},
		})
	}
	if _, err := FitMetrics(results[:2]); !errors.Is(err, errTooFewWorkerCounts) {
		t.Errorf("two numbers of workers: error %v, want errTooFewWorkerCounts", err)
	}
	slopes, err := FitMetrics(results)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][2]float64{"controller: memory, MB": {10, 20}, "worker: bytes a second": {184, 0}}
	for _, s := range slopes {
		line, expected := want[s.Metric]
		if !expected {
			continue
		}
		delete(want, s.Metric)
		if math.Abs(s.Intercept-line[0]) > 1e-6 || math.Abs(s.Per1000-line[1]) > 1e-6 || math.Abs(s.R2-1) > 1e-9 || s.MinWorkers != 700 || s.MaxWorkers != 2800 {
			t.Errorf("slope %+v, want intercept and slope per 1,000 workers %v", s, line)
		}
	}
	if len(want) > 0 {
		t.Errorf("metrics that were not fitted: %v", want)
	}
}
