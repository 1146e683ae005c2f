package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
)

// role is what a process of a run does.
type role interface {
	// report is what it has spent and seen; it is asked for once, at the end.
	report() RoleReport
}

// commanded is a role that takes commands on its way.
type commanded interface{ command(RoleCommand) }

// gcPercent trades a little memory for less work: processes of workers hold little.
const gcPercent = 200

// RunRole plays the role that the first line of input names, until it is told to
// finish or the input ends: then its run is over or was interrupted.
func RunRole(in io.Reader, out io.Writer, log *slog.Logger) error {
	debug.SetGCPercent(gcPercent)
	lines := bufio.NewReader(in)
	answers := json.NewEncoder(out)
	var cfg RoleConfig
	if err := readLine(lines, &cfg); err != nil {
		return fmt.Errorf("role: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	meter := newLatenessMeter(ctx)
	played, addresses, err := newRole(ctx, cfg, log)
	if err != nil {
		return fmt.Errorf("role %s: %w", cfg.Role, err)
	}
	if err := answers.Encode(RoleReady{addresses}); err != nil {
		return err
	}
	for {
		var c RoleCommand
		if err := readLine(lines, &c); err != nil {
			return nil // whoever ran this is gone
		}
		if taker, ok := played.(commanded); ok {
			taker.command(c)
		}
		if c.Finish {
			report := played.report()
			report.Name, report.Goroutines, report.Lateness = cfg.Name, runtime.NumGoroutine(), meter.lateness()
			return answers.Encode(report)
		}
	}
}

func readLine(lines *bufio.Reader, v any) error {
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, v)
}

func newRole(ctx context.Context, cfg RoleConfig, log *slog.Logger) (role, map[string]string, error) {
	switch cfg.Role {
	case RoleServices:
		s, err := newServices(cfg, log)
		if err != nil {
			return nil, nil, err
		}
		return s, s.addresses, nil
	case RoleWorkers:
		return newWorkersRole(cfg, log), nil, nil
	case RoleUsers:
		return newUsersRole(ctx, cfg, log), nil, nil
	case RoleForwarder:
		f, err := newForwarder(cfg.Links)
		if err != nil {
			return nil, nil, err
		}
		return f, f.addresses, nil
	}
	return nil, nil, fmt.Errorf("%q is no role", cfg.Role)
}

// Logger writes what goes wrong in a process of a run.
func Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
