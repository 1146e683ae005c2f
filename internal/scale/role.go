package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"damsonkeel/internal/scale/forwarder"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/users"
	"damsonkeel/internal/scale/workers"
)

// role is the part of a run that one process performs, such as the services or the users.
type role interface {
	// Report returns the observations of the process. It is called once, at the end of the run.
	Report() process.Report
}

// commandHandler is a role that accepts commands during the run.
type commandHandler interface{ handle(process.Command) }

// gcPercent makes garbage collections rarer than by default. The processes use little memory, so
// that the saved processor time is worth the larger heap.
const gcPercent = 200

// errUnknownRole reports that a process was configured with a role that does not exist.
var errUnknownRole = errors.New("is not a known role")

// RunRole runs the role that the first line of input names. It returns after a command to finish,
// or without an error when the input ends because the coordinating process has ended.
func RunRole(in io.Reader, out io.Writer, log *slog.Logger) error {
	debug.SetGCPercent(gcPercent)
	lines := bufio.NewReader(in)
	answers := json.NewEncoder(out)
	var cfg process.Config
	if err := readLine(lines, &cfg); err != nil {
		return fmt.Errorf("role: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	meter := metrics.NewLatenessMeter(ctx)
	activeRole, addresses, err := newRole(ctx, cfg, log)
	if err != nil {
		return fmt.Errorf("role %s: %w", cfg.Role, err)
	}
	if err := answers.Encode(process.Ready{Addresses: addresses}); err != nil {
		return fmt.Errorf("role %s: report readiness: %w", cfg.Role, err)
	}
	for {
		var command process.Command
		if err := readLine(lines, &command); err != nil {
			return nil // the coordinating process has ended
		}
		if handler, ok := activeRole.(commandHandler); ok {
			handler.handle(command)
		}
		if command.Finish {
			return sendReport(answers, cfg, activeRole.Report(), meter)
		}
	}
}

// sendReport adds the metrics of the process to the report of its role and writes it.
func sendReport(answers *json.Encoder, cfg process.Config, report process.Report, meter *metrics.LatenessMeter) error {
	report.Name, report.Goroutines, report.Lateness = cfg.Name, runtime.NumGoroutine(), meter.Lateness()
	if err := answers.Encode(report); err != nil {
		return fmt.Errorf("role %s: write report: %w", cfg.Role, err)
	}
	return nil
}

// readLine reads a line of input and decodes it into v.
func readLine(lines *bufio.Reader, v any) error {
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("read line: %w", err)
	}
	if err := json.Unmarshal(line, v); err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	return nil
}

// newRole starts the role of a process and returns it with the addresses that it serves.
func newRole(ctx context.Context, cfg process.Config, log *slog.Logger) (role, map[string]string, error) {
	switch cfg.Role {
	case process.RoleServices:
		s, err := newServices(cfg, log)
		if err != nil {
			return nil, nil, err
		}
		return s, s.addresses, nil
	case process.RoleWorkers:
		return workers.Start(cfg, log), nil, nil
	case process.RoleUsers:
		return users.Start(ctx, cfg, log), nil, nil
	case process.RoleForwarder:
		f, err := forwarder.New(cfg.Links)
		if err != nil {
			return nil, nil, fmt.Errorf("start forwarder: %w", err)
		}
		return forwarderRole{f}, f.Addresses(), nil
	}
	return nil, nil, fmt.Errorf("%q %w", cfg.Role, errUnknownRole)
}

// forwarderRole adapts a forwarder to the role interface.
type forwarderRole struct{ forwarder *forwarder.Forwarder }

// handle updates the partitioned regions of the forwarder.
func (r forwarderRole) handle(command process.Command) {
	if !command.Finish {
		r.forwarder.SetPartitioned(command.Partitioned)
	}
}

// Report returns the traffic of the links.
func (r forwarderRole) Report() process.Report { return process.Report{Traffic: r.forwarder.Traffic()} }

// NewLogger returns the logger for a process of a run, which writes to standard error.
func NewLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
