package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"damsonkeel/internal/simulator"

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

// simulationGCPercent trades memory for speed, since simulations are short.
const simulationGCPercent = 800

var (
	errRulesBroken = errors.New("rules were broken")
	errJobsLate    = errors.New("reserved jobs were late")
)

// Run simulates a site and prints the results. It returns an error, after printing them, if a
// rule was broken, or if a reserved job was late without having been reported as at risk and
// reservations were not left out.
func (e *emulateCommand) Run() error {
	debug.SetGCPercent(simulationGCPercent)
	site, err := simulator.LoadSite(e.Site)
	if err != nil {
		return err //nolint:wrapcheck // the error text is complete and must not change
	}
	results := e.simulate(site)
	if e.Output == outputJSON {
		if err := printJSON(results); err != nil {
			return err
		}
	} else {
		printResults(results)
	}
	return e.check(results)
}

// simulate runs one simulation for each seed, all in parallel, and returns their results in the
// order of the seeds.
func (e *emulateCommand) simulate(site *simulator.Site) []*simulator.Result {
	bar := e.progressBar()
	results := make([]*simulator.Result, e.Seeds)
	var simulations sync.WaitGroup
	for i := range e.Seeds {
		simulations.Go(func() {
			results[i] = simulator.Run(site, simulator.Options{
				Duration:            e.For,
				Seed:                e.Seed + uint64(i),
				WithoutReservations: e.Without,
				Progress:            func(time.Duration) { _ = bar.Add(1) },
			})
		})
	}
	simulations.Wait()
	_ = bar.Finish() // an error affects only the display
	return results
}

// progressBar returns a progress bar that counts the simulated minutes of all simulations,
// or one without output if Quiet is set.
func (e *emulateCommand) progressBar() *progressbar.ProgressBar {
	if e.Quiet {
		return progressbar.DefaultSilent(-1)
	}
	minutes := int64(e.For/time.Minute) * int64(e.Seeds)
	return progressbar.NewOptions64(minutes,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription("simulated minutes"),
		progressbar.OptionThrottle(time.Second),
		progressbar.OptionClearOnFinish(),
	)
}

// check prints the rules that were broken to the standard error. It returns errRulesBroken if
// there are any, or errJobsLate if reserved jobs were late, without having been reported as at
// risk, although reservations were not left out.
func (e *emulateCommand) check(results []*simulator.Result) error {
	late, broken := 0, 0
	for _, r := range results {
		late += r.Late
		broken += len(r.Violations)
		for _, rule := range r.Violations {
			fmt.Fprintf(os.Stderr, "seed %d: rule broken: %s\n", r.Seed, rule)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d %w", broken, errRulesBroken)
	}
	if late > 0 && !e.Without {
		return fmt.Errorf("%d %w", late, errJobsLate)
	}
	return nil
}
