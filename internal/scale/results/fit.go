package results

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"damsonkeel/internal/scale/process"

	"gonum.org/v1/gonum/stat"
)

// Slope is a straight line that is fitted by least squares to the values of a metric over the
// number of workers. Intercept is its value at 0 workers, Per1000 its increase per 1,000 workers
// and R2 its coefficient of determination; 1 means that it goes through all values.
type Slope struct {
	Metric     string  `json:"figure"`
	Intercept  float64 `json:"intercept"`
	Per1000    float64 `json:"per_1000_workers"`
	R2         float64 `json:"r2"`
	MinWorkers int     `json:"workers_least"`
	MaxWorkers int     `json:"workers_most"`
	Runs       int     `json:"runs"`
}

// minWorkerCounts is the number of different numbers of workers that a fit needs.
const minWorkerCounts = 3

// errTooFewWorkerCounts reports that the results have fewer than minWorkerCounts different numbers
// of workers.
var errTooFewWorkerCounts = errors.New("results of at least three sizes are needed")

// ReadFiles reads result files in JSON. Each file contains the result of one run or a list of
// results. An error means that one of the files could not be read; no results are returned then.
func ReadFiles(paths []string) ([]*Result, error) {
	var results []*Result
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names the file
		}
		var list []*Result
		if err := json.Unmarshal(b, &list); err != nil {
			single := &Result{}
			if err := json.Unmarshal(b, single); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			list = []*Result{single}
		}
		results = append(results, list...)
	}
	return results, nil
}

// fittedMetric is a metric of results that is fitted, with the function that extracts its value.
type fittedMetric struct {
	name  string
	value func(*Result) float64
}

// fittedMetrics returns the metrics that are fitted.
func fittedMetrics() []fittedMetric {
	list := []fittedMetric{
		{"worker: cores", func(r *Result) float64 { return r.Worker.CPUShare }},
		{"worker: memory, MB", func(r *Result) float64 { return r.Worker.MemoryMB }},
		{"worker: bytes a second", func(r *Result) float64 { return r.Worker.BytesS }},
		{"state service: records", func(r *Result) float64 { return float64(r.State.Records) }},
		{"state service: bytes held", func(r *Result) float64 { return float64(r.State.Bytes) }},
	}
	for _, kind := range []string{"changes", "transaction", "watch", "read"} {
		list = append(list,
			fittedMetric{"state service: " + kind + " a second", func(r *Result) float64 { return r.Role(process.RoleServices).Traffic["state "+kind].MessagesS }},
			fittedMetric{"state service: " + kind + " in the busiest second", func(r *Result) float64 { return float64(r.State.PeakS[kind]) }})
	}
	for _, role := range []string{process.RoleController, process.RoleServices} {
		list = append(list,
			fittedMetric{role + ": cores, mean", func(r *Result) float64 { return r.Role(role).CPU }},
			fittedMetric{role + ": cores, most of one", func(r *Result) float64 { return r.Role(role).CPUMost }},
			fittedMetric{role + ": cores, busiest second", func(r *Result) float64 { return r.Role(role).CPUPeak }},
			fittedMetric{role + ": memory, MB", func(r *Result) float64 { return r.Role(role).MemoryMB }},
			fittedMetric{role + ": files and sockets", func(r *Result) float64 { return float64(r.Role(role).Files) }})
	}
	for _, kind := range []string{"peers", "state", "workers", "users"} {
		list = append(list, fittedMetric{"controllers with " + kind + ": bytes a second, both ways, all", func(r *Result) float64 {
			t := r.Role(process.RoleForwarder).Traffic[kind]
			return t.BytesInS + t.BytesOutS
		}})
	}
	return list
}

// FitMetrics fits a line to each metric of results over the number of workers. It returns an error
// if the results have fewer than minWorkerCounts different numbers of workers.
func FitMetrics(results []*Result) ([]Slope, error) {
	var workers []float64
	for _, r := range results {
		workers = append(workers, float64(r.Workers))
	}
	workerCounts := slices.Compact(slices.Sorted(slices.Values(workers)))
	if len(workerCounts) < minWorkerCounts {
		return nil, errTooFewWorkerCounts
	}
	var slopes []Slope
	for _, f := range fittedMetrics() {
		var values []float64
		for _, r := range results {
			values = append(values, f.value(r))
		}
		intercept, slope := stat.LinearRegression(workers, values, nil, false)
		r2 := stat.RSquared(workers, values, nil, intercept, slope)
		if slices.Max(values) == slices.Min(values) {
			r2 = 1 // the line goes through all values, for which R2 is undefined
		}
		slopes = append(slopes, Slope{
			Metric: f.name, Intercept: intercept, Per1000: 1000 * slope, R2: r2,
			MinWorkers: int(workerCounts[0]), MaxWorkers: int(workerCounts[len(workerCounts)-1]), Runs: len(results),
		})
	}
	return slopes, nil
}

// PrintSlopes prints fitted metrics as a table.
func PrintSlopes(out io.Writer, slopes []Slope) {
	t := newTable(out, "figure", "intercept", "per 1,000 workers", "R2", "range", "runs")
	for _, s := range slopes {
		t.AppendRow([]any{s.Metric, fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.4g", s.Per1000), fixed2(s.R2), fmt.Sprintf("%d to %d", s.MinWorkers, s.MaxWorkers), s.Runs})
	}
	t.Render()
}
