package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller"
)

type runCommand struct {
	Config   string `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string `help:"Operators' own settings (XML)." env:"DAMSONKEEL_OPERATOR" type:"path" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

// memoryLimitFraction is the fraction of a controller's memory that is set as the soft
// memory limit of the Go runtime, above which garbage collection becomes more frequent.
const memoryLimitFraction = 0.6

var errLogLevel = errors.New("is none of error, info, debug")

// Run reads and checks the settings, and runs a controller until it has shut down after a signal
// or fails. With Check it returns after the check of the settings.
//
//nolint:wrapcheck // the texts of all errors are complete and must not change
func (c *runCommand) Run() error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	operator, err := config.LoadOperator(c.Operator)
	if err != nil {
		return err
	}
	operator, err = operator.Fit(settings)
	if err != nil {
		return err
	}
	if c.Check {
		return nil
	}
	runtime.GOMAXPROCS(1) // a controller has a fraction of one core: more threads would only compete for it
	debug.SetMemoryLimit(int64(settings.Site.Limits.MemoryMB * memoryLimitFraction * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	node := controller.NewNode(settings, operator, log)
	go shutDownOnSignal(node)
	return node.Run(context.Background())
}

// shutDownOnSignal waits for a signal and then makes the controller hand its shards over and
// terminate. A second signal terminates it at once.
func shutDownOnSignal(node *controller.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	signal.Reset()
	node.Shutdown()
}

// logLevel parses the value of LOG_LEVEL; an empty one means info.
func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q %w", name, errLogLevel)
}
