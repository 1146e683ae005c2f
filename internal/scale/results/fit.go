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

// Slope is a metric as a straight line over the number of workers, fitted by least squares.
type Slope struct {
	Metric     string  `json:"figure"`
	Intercept  float64 `json:"intercept"`
	Per1000    float64 `json:"per_1000_workers"`
	R2         float64 `json:"r2"`
	MinWorkers int     `json:"workers_least"`
	MaxWorkers int     `json:"workers_most"`
	Runs       int     `json:"runs"`
}

// minSizes is how many different numbers of workers a fit needs.
const minSizes = 3

// errTooFewSizes says that the results are of too few different numbers of workers.
var errTooFewSizes = errors.New("results of at least three sizes are needed")

// Read reads files of results, each of one or several runs.
func Read(paths []string) ([]*Result, error) {
	var all []*Result
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names the file
		}
		var several []*Result
		if err := json.Unmarshal(b, &several); err != nil {
			one := &Result{}
			if err := json.Unmarshal(b, one); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			several = []*Result{one}
		}
		all = append(all, several...)
	}
	return all, nil
}

// fittedMetric is a metric of a run that is fitted.
type fittedMetric struct {
	name  string
	value func(*Result) float64
}

// fittedMetrics lists the metrics that are fitted.
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

// Fit fits each metric of results over the number of their workers.
func Fit(results []*Result) ([]Slope, error) {
	var workers []float64
	for _, r := range results {
		workers = append(workers, float64(r.Workers))
	}
	sizes := slices.Compact(slices.Sorted(slices.Values(workers)))
	if len(sizes) < minSizes {
		return nil, errTooFewSizes
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
			r2 = 1 // the line goes through all values; R2 is undefined then
		}
		slopes = append(slopes, Slope{
			Metric: f.name, Intercept: intercept, Per1000: 1000 * slope, R2: r2,
			MinWorkers: int(sizes[0]), MaxWorkers: int(sizes[len(sizes)-1]), Runs: len(results),
		})
	}
	return slopes, nil
}

// PrintSlopes prints slopes as a table.
func PrintSlopes(out io.Writer, slopes []Slope) {
	t := newTable(out, "figure", "intercept", "per 1,000 workers", "R2", "range", "runs")
	for _, s := range slopes {
		t.AppendRow([]any{s.Metric, fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.4g", s.Per1000), fixed2(s.R2), fmt.Sprintf("%d to %d", s.MinWorkers, s.MaxWorkers), s.Runs})
	}
	t.Render()
}
