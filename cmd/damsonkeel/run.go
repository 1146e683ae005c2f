package main

import (
	"context"
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

// Run runs a controller until it is ended.
func (cl *runCommand) Run() error {
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
	node := controller.NewNode(settings, op, log)
	go leaveOnSignal(node)
	return node.Run(context.Background())
}

// leaveOnSignal has a controller hand over what it keeps when it is told to end by
// a signal; by a second one it ends at once.
func leaveOnSignal(node *controller.Node) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	<-told
	signal.Reset()
	node.Leave()
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
