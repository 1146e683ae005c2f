// Command damsonkeel-scale plays a site of many machines in real time on this
// machine, with real controllers, measures what each role spends and checks the
// rules of the protocol by what users and workers saw.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"damsonkeel/internal/scale"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Play playCommand `cmd:"" default:"withargs" help:"Play a site; the command if none is named."`
	Fit  fitCommand  `cmd:"" help:"Fit the figures of results of several sizes over the number of workers."`
	Role roleCommand `cmd:"" hidden:"" help:"A process of a run; started by play."`
}

type playCommand struct {
	Site   string    `help:"Site to play (TOML, see deploy/scale-small.toml)." required:"" type:"path" placeholder:"FILE"`
	Seed   uint64    `help:"Seed of what comes and happens." default:"1"`
	Scale  []float64 `help:"So many times the site's workers and load; several are played one after the other." default:"1"`
	Output string    `help:"Form of the result: ${enum}." enum:"table,json" default:"table"`
	Keep   string    `help:"File for the results as JSON, beside what is printed." type:"path" placeholder:"FILE"`
	Root   string    `help:"Checkout whose deploy file says how the service is built." default:"." type:"path"`
}

type fitCommand struct {
	Results []string `arg:"" help:"Files of results, as --keep writes them." type:"existingfile"`
	Output  string   `help:"Form of the slopes: ${enum}." enum:"table,json" default:"table"`
}

type roleCommand struct{}

// Run fits figures.
func (f *fitCommand) Run() error {
	results, err := scale.ReadResults(f.Results)
	if err != nil {
		return err
	}
	slopes, err := scale.Fit(results)
	if err != nil {
		return err
	}
	if f.Output == "json" {
		return encodeJSON(os.Stdout, slopes)
	}
	scale.PrintSlopes(os.Stdout, slopes)
	return nil
}

// Run plays a role of a run, as its standard input says.
func (*roleCommand) Run() error {
	return scale.RunRole(os.Stdin, os.Stdout, scale.Logger(slog.LevelError))
}

// Run plays a site. A broken rule ends it with an error.
func (p *playCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	site, err := scale.LoadSite(p.Site)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	var results []*scale.Result
	broken := 0
	for _, factor := range p.Scale {
		if !(factor > 0) || factor > scale.MaxFactor {
			return fmt.Errorf("--scale: %v is not from 0 to %v", factor, scale.MaxFactor)
		}
		result, err := scale.Play(ctx, site.Scaled(factor), scale.Options{
			Root: p.Root, Program: []string{own, "role"}, Seed: p.Seed, Factor: factor, Progress: os.Stderr,
		})
		if err != nil {
			return err
		}
		results = append(results, result)
		broken += len(result.Rules)
	}
	if err := p.write(results); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d times a rule was broken", broken)
	}
	return nil
}

func (p *playCommand) write(results []*scale.Result) error {
	if p.Keep != "" {
		f, err := os.Create(p.Keep)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := writeJSON(f, results); err != nil {
			return err
		}
	}
	if p.Output == "json" {
		return writeJSON(os.Stdout, results)
	}
	scale.Print(os.Stdout, results)
	return nil
}

// writeJSON writes one result as an object, several as a list.
func writeJSON(out io.Writer, results []*scale.Result) error {
	if len(results) == 1 {
		return encodeJSON(out, results[0])
	}
	return encodeJSON(out, results)
}

func encodeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
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
