// Command damsonkeel-scale runs a cluster of many simulated machines in real time on one
// machine, with real controllers. It measures the resources that each role uses, and checks
// the rules of the protocol as observed by users and workers.
//
// A site is the description, in a TOML file, of the cluster, its load and its faults. A role
// is what one process of a run does, such as running workers or users. A result holds the
// metrics and the rule violations of one run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"damsonkeel/internal/scale"
	"damsonkeel/internal/scale/results"
	"damsonkeel/internal/scale/siteconfig"

	"github.com/alecthomas/kong"
)

// errRulesBroken is returned if a run broke rules of the protocol.
var errRulesBroken = errors.New("times a rule was broken")

// errInvalidFactor is returned for a --scale that is not above 0 and at most
// siteconfig.MaxScaleFactor.
var errInvalidFactor = errors.New("--scale")

// commandLine defines the commands.
type commandLine struct {
	Play playCommand `cmd:"" default:"withargs" help:"Play a site; the command if none is named."`
	Fit  fitCommand  `cmd:"" help:"Fit the figures of results of several sizes over the number of workers."`
	Role roleCommand `cmd:"" hidden:"" help:"A process of a run; started by play."`
}

// playCommand runs a site at one or more scales, the factors of its workers and load.
type playCommand struct {
	Site   string    `help:"Site to play (TOML, see deploy/scale-small.toml)." required:"" type:"path" placeholder:"FILE"`
	Seed   uint64    `help:"Seed of what comes and happens." default:"1"`
	Scale  []float64 `help:"So many times the site's workers and load; several are played one after the other." default:"1"`
	Output string    `help:"Form of the result: ${enum}." enum:"table,json" default:"table"`
	Keep   string    `help:"File for the results as JSON, beside what is printed." type:"path" placeholder:"FILE"`
	Root   string    `help:"Checkout whose deploy file says how the service is built." default:"." type:"path"`
}

// fitCommand fits a line to each metric of several results over their numbers of workers.
type fitCommand struct {
	Results []string `arg:"" help:"Files of results, as --keep writes them." type:"existingfile"`
	Output  string   `help:"Form of the slopes: ${enum}." enum:"table,json" default:"table"`
}

// roleCommand runs one role of a run in a process of its own.
type roleCommand struct{}

// Run reads the result files, fits a line to each metric over the number of workers and prints
// the slopes.
func (f *fitCommand) Run() error {
	runs, err := results.ReadFiles(f.Results)
	if err != nil {
		return err //nolint:wrapcheck // the error names the file
	}
	slopes, err := results.FitMetrics(runs)
	if err != nil {
		return err //nolint:wrapcheck // the error names what is missing
	}
	if f.Output == "json" {
		return encodeJSON(os.Stdout, slopes)
	}
	results.PrintSlopes(os.Stdout, slopes)
	return nil
}

// Run runs the role that is described on the standard input until the coordinating process,
// which started it, commands it to finish or ends.
func (*roleCommand) Run() error {
	return scale.RunRole(os.Stdin, os.Stdout, scale.NewLogger(slog.LevelError)) //nolint:wrapcheck // the error names the role
}

// Run runs a site at each scale, one after the other, and writes the results. It returns
// errRulesBroken, after writing them, if a rule was broken in any run. If a run fails, it
// returns the error and writes no results.
func (p *playCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	site, err := siteconfig.LoadSite(p.Site)
	if err != nil {
		return err //nolint:wrapcheck // the error states that it concerns the site
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find program: %w", err)
	}
	var runs []*results.Result
	violations := 0
	for _, factor := range p.Scale {
		if !(factor > 0) || factor > siteconfig.MaxScaleFactor {
			return fmt.Errorf("%w: %v is not from 0 to %v", errInvalidFactor, factor, siteconfig.MaxScaleFactor)
		}
		result, err := scale.Run(ctx, site.Scaled(factor), scale.Options{
			Root: p.Root, Program: []string{program, "role"}, Seed: p.Seed, Factor: factor, Progress: os.Stderr,
		})
		if err != nil {
			return err //nolint:wrapcheck // the error names what failed
		}
		runs = append(runs, result)
		violations += len(result.Rules)
	}
	if err := p.write(runs); err != nil {
		return err
	}
	if violations > 0 {
		return fmt.Errorf("%d %w", violations, errRulesBroken)
	}
	return nil
}

// write writes the results to the file given by --keep, if any, and to the standard output.
func (p *playCommand) write(runs []*results.Result) error {
	if p.Keep != "" {
		if err := writeFile(p.Keep, runs); err != nil {
			return err
		}
	}
	if p.Output == "json" {
		return writeJSON(os.Stdout, runs)
	}
	results.PrintTables(os.Stdout, runs)
	return nil
}

// writeFile writes results as JSON to the file at path, which it creates or overwrites.
func writeFile(path string, runs []*results.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err //nolint:wrapcheck // the error names the file
	}
	return errors.Join(writeJSON(f, runs), f.Close())
}

// writeJSON writes a single result as a JSON object, and several as a list.
func writeJSON(out io.Writer, runs []*results.Result) error {
	if len(runs) == 1 {
		return encodeJSON(out, runs[0])
	}
	return encodeJSON(out, runs)
}

// encodeJSON writes a value as indented JSON.
func encodeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

func main() {
	var cl commandLine
	ctx := kong.Parse(&cl, kong.Name("damsonkeel-scale"), kong.UsageOnError(),
		kong.Description("Plays a site of many machines in real time on this machine: real controllers, stand-in workers, services and users, on loopback only. Exits with 1 if a rule was broken."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "damsonkeel-scale:", err)
		os.Exit(1)
	}
}
