package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Slope is a figure as a straight line over the number of workers, by least squares.
type Slope struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Per1000   float64 `json:"per_1000_workers"`
	R2        float64 `json:"r2"`
	Least     int     `json:"workers_least"`
	Most      int     `json:"workers_most"`
	Runs      int     `json:"runs"`
}

// leastSizes is how many different sizes a line has to rest on.
const leastSizes = 3

// errSizes says that the results are of too few sizes.
var errSizes = errors.New("results of at least three sizes are needed")

// ReadResults reads files of results, each of one or several runs.
func ReadResults(paths []string) ([]*Result, error) {
	var all []*Result
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err
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

// figure is something measured of a run.
type figure struct {
	name string
	of   func(*Result) float64
}

// figures are those that are fitted.
func figures() []figure {
	list := []figure{
		{"worker: cores", func(r *Result) float64 { return r.Worker.CPUShare }},
		{"worker: memory, MB", func(r *Result) float64 { return r.Worker.MemoryMB }},
		{"worker: bytes a second", func(r *Result) float64 { return r.Worker.BytesS }},
		{"state service: records", func(r *Result) float64 { return float64(r.State.Records) }},
		{"state service: bytes held", func(r *Result) float64 { return float64(r.State.Bytes) }},
	}
	for _, kind := range []string{"changes", "transaction", "watch", "read"} {
		list = append(list,
			figure{"state service: " + kind + " a second", func(r *Result) float64 { return r.Role(RoleServices).Traffic["state "+kind].MessagesS }},
			figure{"state service: " + kind + " in the busiest second", func(r *Result) float64 { return float64(r.State.PeakS[kind]) }})
	}
	for _, role := range []string{roleController, RoleServices} {
		list = append(list,
			figure{role + ": cores, mean", func(r *Result) float64 { return r.Role(role).CPU }},
			figure{role + ": cores, most of one", func(r *Result) float64 { return r.Role(role).CPUMost }},
			figure{role + ": cores, busiest second", func(r *Result) float64 { return r.Role(role).CPUPeak }},
			figure{role + ": memory, MB", func(r *Result) float64 { return r.Role(role).MemoryMB }},
			figure{role + ": files and sockets", func(r *Result) float64 { return float64(r.Role(role).Files) }})
	}
	for _, kind := range []string{"peers", "state", "workers", "users"} {
		list = append(list, figure{"controllers with " + kind + ": bytes a second, both ways, all", func(r *Result) float64 {
			t := r.Role(RoleForwarder).Traffic[kind]
			return t.BytesInS + t.BytesOutS
		}})
	}
	return list
}

// Role finds the figures of a role.
func (r *Result) Role(role string) RoleFigures {
	i := slices.IndexFunc(r.Roles, func(f RoleFigures) bool { return f.Role == role })
	if i < 0 {
		return RoleFigures{}
	}
	return r.Roles[i]
}

// Fit fits each figure of results over the number of their workers.
func Fit(results []*Result) ([]Slope, error) {
	var workers []float64
	for _, r := range results {
		workers = append(workers, float64(r.Workers))
	}
	sizes := slices.Compact(slices.Sorted(slices.Values(workers)))
	if len(sizes) < leastSizes {
		return nil, errSizes
	}
	var slopes []Slope
	for _, f := range figures() {
		var values []float64
		for _, r := range results {
			values = append(values, f.of(r))
		}
		intercept, slope := stat.LinearRegression(workers, values, nil, false)
		fits := stat.RSquared(workers, values, nil, intercept, slope)
		if slices.Max(values) == slices.Min(values) {
			fits = 1 // the line goes through all of them; R2 has no value then
		}
		slopes = append(slopes, Slope{
			Figure: f.name, Intercept: intercept, Per1000: 1000 * slope, R2: fits,
			Least: int(sizes[0]), Most: int(sizes[len(sizes)-1]), Runs: len(results),
		})
	}
	return slopes, nil
}

// PrintSlopes writes slopes as a table.
func PrintSlopes(out io.Writer, slopes []Slope) {
	t := newTable(out, "figure", "intercept", "per 1,000 workers", "R2", "range", "runs")
	for _, s := range slopes {
		t.AppendRow([]any{s.Figure, fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.4g", s.Per1000), fixed2(s.R2), fmt.Sprintf("%d to %d", s.Least, s.Most), s.Runs})
	}
	t.Render()
}
