// Command damsonkeel is a cluster scheduler: one daemon, the same on every
// controller.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"damsonkeel/internal/config"
	"damsonkeel/internal/coordination"

	"github.com/alecthomas/kong"
)

const version = "0.1.0"

type commandLine struct {
	Config   string           `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string           `help:"Operators' own settings (XML)." env:"DAMSONKEEL_OPERATOR" type:"path" placeholder:"FILE"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl, kong.Name("damsonkeel"),
		kong.Description("A cluster scheduler: one daemon, the same on every controller. LOG_LEVEL is error, info or debug."),
		kong.Vars{"version": "damsonkeel " + version})
	if err := run(&cl); err != nil {
		fmt.Fprintln(os.Stderr, "damsonkeel:", err)
		os.Exit(1)
	}
}

func run(cl *commandLine) error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings, err := config.Load(cl.Config)
	if err != nil {
		return err
	}
	op, err := config.LoadOperator(cl.Operator)
	if err != nil {
		return err
	}
	if op, err = op.Fit(settings); err != nil {
		return err
	}
	if cl.Check {
		return nil
	}
	runtime.GOMAXPROCS(1) // a small share of one core: more threads only take turns
	debug.SetMemoryLimit(int64(settings.Site.Limits.MemoryMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return coordination.NewNode(settings, op, log).Run(context.Background())
}

func logLevel(s string) (slog.Level, error) {
	switch s {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", s)
}
