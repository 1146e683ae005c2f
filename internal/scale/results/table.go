package results

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/process"

	"github.com/jedib0t/go-pretty/v6/table"
)

// PrintTables prints results as tables, followed by their warnings and rule violations.
func PrintTables(out io.Writer, results []*Result) {
	printRuns(out, results)
	printRoles(out, results)
	printTraffic(out, results)
	printFaults(out, results)
	printStages(out, results)
	printConfig(out, results)
	for _, r := range results {
		if r.Saturated {
			_, _ = fmt.Fprintf(out, "scale %v is SATURATED: timers were up to %.0f ms late in 99 of 100 cases (%.0f at most); its times don't count as the service's.\n", r.Factor, r.Lateness.P99MS, float64(saturationLatenessMS))
		}
		for _, rule := range r.Rules {
			_, _ = fmt.Fprintf(out, "scale %v: rule broken: %s\n", r.Factor, rule)
		}
	}
}

// newTable returns an empty table with a header that is rendered to a writer.
func newTable(out io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// printRuns prints an overview with a row for each run.
func printRuns(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "workers", "rules broken", "timers late p99 ms", "starts", "peak /s", "running", "urgent jobs", "p50 s", "p99 s", "worst s", "all p50 s", "all p99 s", "accepted p99 s", "polls p99 s", "controllers died")
	for _, r := range results {
		allWaits := r.Waits[analysis.AllClasses]
		t.AppendRow(table.Row{
			r.Factor, r.Workers, len(r.Rules), fixed1(r.Lateness.P99MS), r.Starts, r.StartsPeakS, r.RunningPeak,
			r.Urgent.Jobs, fixed2(r.Urgent.P50S), fixed2(r.Urgent.P99S), fixed2(r.Urgent.WorstS), fixed2(allWaits.P50S), fixed2(allWaits.P99S),
			fixed2(r.Users.Submissions.P99S), fixed2(r.Users.Polls.P99S), r.ControllersDied,
		})
	}
	t.Render()
}

// printRoles prints the resource usage of each role.
func printRoles(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "role", "processes", "cores, mean", "most", "peak", "memory MB", "files", "threads", "goroutines")
	for _, r := range results {
		for _, role := range r.Roles {
			t.AppendRow(table.Row{r.Factor, role.Role, role.Processes, fixed4(role.CPU), fixed4(role.CPUMost), fixed2(role.CPUPeak), fixed1(role.MemoryMB), role.Files, role.Threads, role.Goroutines})
		}
		t.AppendRow(table.Row{r.Factor, "a worker, most", 1, fixed4(r.Worker.CPUShare), "", "", fixed1(r.Worker.MemoryMB), "", "", fmt.Sprintf("%.0f B/s", r.Worker.BytesS)})
	}
	t.Render()
}

// printTraffic prints the traffic of each role by kind.
func printTraffic(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "role", "kind", "messages /s", "bytes in /s", "bytes out /s", "busiest second")
	for _, r := range results {
		for _, role := range r.Roles {
			for _, kind := range slices.Sorted(maps.Keys(role.Traffic)) {
				rate, peak := role.Traffic[kind], ""
				if n, ok := r.State.PeakS[stateRequestKind(kind)]; ok && role.Role == process.RoleServices {
					peak = fmt.Sprint(n)
				}
				t.AppendRow(table.Row{r.Factor, role.Role, kind, rate.MessagesS, rate.BytesInS, rate.BytesOutS, peak})
			}
		}
		t.AppendRow(table.Row{r.Factor, "state service", fmt.Sprintf("%d records, %d bytes", r.State.Records, r.State.Bytes), "", "", "", ""})
	}
	t.Render()
}

// printFaults prints the effect of each fault, and for comparison the urgent jobs that no fault
// affected.
func printFaults(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "trouble", "at s", "for s", "all workers heard after s", "starts back after s", "urgent jobs", "in 2.4 s", "p99 s", "worst s")
	for _, r := range results {
		slices.SortStableFunc(r.Faults, func(a, b analysis.FaultMetrics) int { return cmp.Compare(a.AtS, b.AtS) })
		for _, fault := range r.Faults {
			t.AppendRow(table.Row{r.Factor, fault.Kind, fault.AtS, fault.ForS, fault.HeartbeatsRecoveredS, fault.StartsRecoveredS, fault.Urgent.Jobs, fixed2(fault.Urgent.InTime), fixed2(fault.Urgent.P99S), fixed2(fault.Urgent.WorstS)})
		}
		t.AppendRow(table.Row{r.Factor, "none", "", "", "", "", r.Urgent.Calm.Jobs, fixed2(r.Urgent.Calm.InTime), fixed2(r.Urgent.Calm.P99S), fixed2(r.Urgent.Calm.WorstS)})
		atLimit := r.Urgent.CalmAtLimit
		t.AppendRow(table.Row{r.Factor, "none, team at its limit", "", "", "", "", atLimit.Jobs, fixed2(atLimit.InTime), fixed2(atLimit.P99S), fixed2(atLimit.WorstS)})
	}
	t.Render()
}

// printStages prints the stages of the waits of urgent tasks.
func printStages(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "urgent tasks", "p50 s", "p99 s", "worst s")
	for _, r := range results {
		for _, stage := range []struct {
			name  string
			waits metrics.Quantiles
		}{{"until accepted", r.Urgent.Stages.Accepted}, {"until ordered at the worker", r.Urgent.Stages.Ordered}, {"until the image is there", r.Urgent.Stages.Image}} {
			t.AppendRow(table.Row{r.Factor, stage.name, fixed2(stage.waits.P50S), fixed2(stage.waits.P99S), fixed2(stage.waits.WorstS)})
		}
	}
	t.Render()
}

// printConfig prints how long changes of the configuration took to come into force.
func printConfig(out io.Writer, results []*Result) {
	t := newTable(out, "scale", "changes of the configuration", "failed", "durable p99 s", "in force p99 s", "worst s", "by the bound", "of those heard p99 s", "worst s", "oldest acted by s")
	for _, r := range results {
		if c := r.Config; c != nil {
			t.AppendRow(table.Row{r.Factor, c.Changes, c.Failed, fixed2(c.AnsweredP99S), fixed2(c.InForceP99S), fixed2(c.InForceWorstS), c.ByBound, fixed2(c.AnsweringP99S), fixed2(c.AnsweringWorstS), fixed2(c.OldestS)})
		}
	}
	t.Render()
}

// stateRequestKind returns the kind of request to the state service for a kind of traffic, or an
// empty string if the traffic is not that of the state service.
func stateRequestKind(traffic string) string {
	kind, found := strings.CutPrefix(traffic, "state ")
	if !found {
		return ""
	}
	return kind
}

// fixed1, fixed2 and fixed4 format a number with one, two or four decimals.
func fixed1(v float64) string { return fmt.Sprintf("%.1f", v) }
func fixed2(v float64) string { return fmt.Sprintf("%.2f", v) }
func fixed4(v float64) string { return fmt.Sprintf("%.4f", v) }
