package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"damsonkeel/internal/simulator"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"
)

type emulateCommand struct {
	Site    string        `help:"Site to play (TOML, see deploy/emulate-week.toml)." required:"" type:"path" placeholder:"FILE"`
	For     time.Duration `help:"How long, in simulated time." default:"168h"`
	Seed    uint64        `help:"Seed of what comes and happens." default:"1"`
	Seeds   int           `help:"Play so many seeds, from the first on, at the same time." default:"1"`
	Without bool          `help:"Leave out the reservations; their jobs come all the same."`
	Output  string        `help:"Form of the result: ${enum}." enum:"table,json" default:"table"`
	Quiet   bool          `help:"Show no progress."`
}

// Run plays a site and prints what became of it. A broken rule, or a reserved job
// that was late and not reported as at risk, ends it with an error.
func (e *emulateCommand) Run() error {
	debug.SetGCPercent(800) // plays are short, and memory is there
	site, err := simulator.LoadSite(e.Site)
	if err != nil {
		return err
	}
	bar := progressbar.DefaultSilent(-1)
	if !e.Quiet {
		bar = progressbar.NewOptions64(int64(e.For/time.Minute)*int64(e.Seeds), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("simulated minutes"), progressbar.OptionThrottle(time.Second), progressbar.OptionClearOnFinish())
	}
	results := make([]*simulator.Result, e.Seeds)
	var wg sync.WaitGroup
	for i := range e.Seeds {
		wg.Go(func() {
			results[i] = simulator.Run(site, simulator.Options{
				For: e.For, Seed: e.Seed + uint64(i), Without: e.Without, Progress: func(time.Duration) { _ = bar.Add(1) },
			})
		})
	}
	wg.Wait()
	_ = bar.Finish() // it only shows
	if e.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(results); err != nil {
			return err
		}
	} else {
		printResults(results)
	}
	late, broken := 0, 0
	for _, r := range results {
		late += r.Late
		broken += len(r.Rules)
		for _, rule := range r.Rules {
			fmt.Fprintf(os.Stderr, "seed %d: rule broken: %s\n", r.Seed, rule)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d rules were broken", broken)
	}
	if late > 0 && !e.Without {
		return fmt.Errorf("%d reserved jobs were late", late)
	}
	return nil
}

func printResults(results []*simulator.Result) {
	t := newTable()
	t.AppendHeader(table.Row{"seed", "days", "reserved jobs", "in time", "late", "late, at risk", "median delay s", "worst s", "starts in windows", "starts", "cost", "refused"})
	classes := map[string]*simulator.Class{}
	for _, r := range results {
		t.AppendRow(table.Row{r.Seed, fmt.Sprintf("%.1f", r.Days), r.Started, r.InTime, r.Late, r.AtRisk, fmt.Sprintf("%.1f", r.MedianS), fmt.Sprintf("%.1f", r.WorstS), r.InWindow, r.Starts, fmt.Sprintf("%.1f", r.Cost), len(r.Refused)})
		for name, c := range r.Classes {
			if c.Jobs > 2*int(r.Days) { // the load, not single jobs
				classes[name] = c
			}
		}
	}
	t.Render()
	t = newTable()
	t.AppendHeader(table.Row{"seed", "moves of shares", "given up", "pause p99 s", "stopped by moves", "lost by moves", "rules broken"})
	for _, r := range results {
		t.AppendRow(table.Row{r.Seed, r.ShardMoves.Moves, r.ShardMoves.Aborted, fmt.Sprintf("%.2f", r.ShardMoves.PauseP99S), r.ShardMoves.StoppedByMoves, r.ShardMoves.LostByMoves, len(r.Rules)})
	}
	t.Render()
	for _, r := range results {
		for _, o := range r.Occurrences {
			if o.Started && o.DelayS > 60 {
				fmt.Printf("seed %d: %s at %s: %.0f s late, state %s, at risk: %q\n", r.Seed, o.Name, o.Start.Format(time.RFC3339), o.DelayS, o.State, o.Risk)
			}
		}
		for _, f := range r.Refused {
			fmt.Printf("seed %d: %s refused: %s (%s)\n", r.Seed, f.Name, f.Reason, names(f.Conflicts))
		}
	}
	t = newTable()
	t.AppendHeader(table.Row{"seed", "class", "jobs", "done", "tasks wait s", "95% of them", "jobs take s", "95% of them"})
	for _, r := range results {
		var rows []table.Row
		for name, c := range r.Classes {
			if classes[name] != nil {
				rows = append(rows, table.Row{r.Seed, name, c.Jobs, c.Done, fmt.Sprintf("%.0f", c.WaitMean), fmt.Sprintf("%.0f", c.Wait95), fmt.Sprintf("%.0f", c.DoneMean), fmt.Sprintf("%.0f", c.Done95)})
			}
		}
		slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a[1].(string), b[1].(string)) })
		t.AppendRows(rows)
	}
	t.Render()
}
