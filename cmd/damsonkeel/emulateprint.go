package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/simulator"

	"github.com/jedib0t/go-pretty/v6/table"
)

// noticeableDelayS is the delay in seconds above which a reserved job is listed.
const noticeableDelayS = 60

// printResults prints the results of all seeds as tables.
func printResults(results []*simulator.Result) {
	printReservedJobs(results)
	printShardMoves(results)
	printExceptions(results)
	printClasses(results)
}

// printReservedJobs prints a table with a row for each seed: how many reserved jobs started and
// how many of them in time, their delays, the starts in maintenance windows, the cost and the
// number of refused requests.
func printReservedJobs(results []*simulator.Result) {
	t := newTable("seed", "days", "reserved jobs", "in time", "late", "late, at risk", "median delay s", "worst s", "starts in windows", "starts", "cost", "refused")
	for _, r := range results {
		t.AppendRow(table.Row{
			r.Seed, fmt.Sprintf("%.1f", r.Days), r.Started, r.InTime, r.Late, r.AtRisk,
			fmt.Sprintf("%.1f", r.MedianS), fmt.Sprintf("%.1f", r.WorstS),
			r.StartsInWindows, r.Starts, fmt.Sprintf("%.1f", r.Cost), len(r.Refused),
		})
	}
	t.Render()
}

// printShardMoves prints a table with a row for each seed: the moves of shards between
// controllers, their pauses, the tasks that ended shortly after a move and were started again
// (stopped ones and, as lost, completed ones), and the number of broken rules.
func printShardMoves(results []*simulator.Result) {
	t := newTable("seed", "moves of shares", "given up", "pause p99 s", "stopped by moves", "lost by moves", "rules broken")
	for _, r := range results {
		t.AppendRow(table.Row{
			r.Seed, r.ShardMoves.Moves, r.ShardMoves.Aborted, fmt.Sprintf("%.2f", r.ShardMoves.PauseP99S),
			r.ShardMoves.StoppedByMoves, r.ShardMoves.LostByMoves, len(r.Violations),
		})
	}
	t.Render()
}

// printExceptions prints the reserved jobs that started more than noticeableDelayS late, and the
// refused requests with their reasons.
func printExceptions(results []*simulator.Result) {
	for _, r := range results {
		for _, o := range r.Occurrences {
			if o.Started && o.DelayS > noticeableDelayS {
				fmt.Printf("seed %d: %s at %s: %.0f s late, state %s, at risk: %q\n", r.Seed, o.Name, o.Start.Format(time.RFC3339), o.DelayS, o.State, o.Risk)
			}
		}
		for _, f := range r.Refused {
			fmt.Printf("seed %d: %s refused: %s (%s)\n", r.Seed, f.Name, f.Reason, joinNames(f.Conflicts))
		}
	}
}

// printClasses prints a table of the wait and completion times, in seconds, of the classes that
// are frequent (see isFrequent) in any of the simulations.
func printClasses(results []*simulator.Result) {
	frequent := map[string]bool{}
	for _, r := range results {
		for name, class := range r.Classes {
			if isFrequent(r, class) {
				frequent[name] = true
			}
		}
	}
	t := newTable("seed", "class", "jobs", "done", "tasks wait s", "95% of them", "jobs take s", "95% of them")
	for _, r := range results {
		for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
			if !frequent[name] {
				continue
			}
			c := r.Classes[name]
			t.AppendRow(table.Row{
				r.Seed, name, c.Jobs, c.Done,
				fmt.Sprintf("%.0f", c.WaitMeanS), fmt.Sprintf("%.0f", c.WaitP95S),
				fmt.Sprintf("%.0f", c.DoneMeanS), fmt.Sprintf("%.0f", c.DoneP95S),
			})
		}
	}
	t.Render()
}

// isFrequent reports whether a class has more than two jobs a day. Jobs of other classes are
// single jobs, not part of the load.
func isFrequent(r *simulator.Result, class *simulator.Class) bool {
	return class.Jobs > 2*int(r.Days)
}
