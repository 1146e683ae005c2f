package workers

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/monitor"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/rules"
)

const (
	// exchangeInterval is the time between two exchanges with the monitor of a process that
	// many workers share. A process of a single worker uses singleExchangeInterval, so that
	// exchanges add little to the resource usage that is measured for the worker.
	exchangeInterval       = 100 * time.Millisecond
	singleExchangeInterval = 500 * time.Millisecond
	// maxCopyDelay is the longest time after which a copy of direct commands reaches a worker.
	maxCopyDelay = 2 * time.Minute
	// runTimeJitter is the largest relative deviation of a task's run time from the estimate.
	runTimeJitter = 0.2
	// runTimeSteps is the number of different deviations within runTimeJitter.
	runTimeSteps = 1000
)

// Workers runs the fake workers of a process and executes the directives of the monitor.
type Workers struct {
	client *monitor.Client
	host   *server.Host
	log    *slog.Logger

	// exchangeMu is held during an exchange and the execution of the returned directives.
	exchangeMu sync.Mutex

	mu                 sync.Mutex
	events             []rules.MachineEvent // not sent to the monitor yet
	startedMachines    []protocol.MachineID // not sent to the monitor yet
	terminatedMachines map[protocol.MachineID]bool
	lastExecuted       uint64 // number of the last directive
}

// Start returns Workers without machines, which exchange with the monitor until the process ends.
func Start(cfg process.Config, log *slog.Logger) *Workers {
	w := &Workers{client: monitor.NewClient(cfg.Name, cfg.Monitor), log: log, terminatedMachines: map[protocol.MachineID]bool{}}
	w.host = server.NewHost(server.HostConfig{
		Controllers: cfg.Controllers, HeartbeatInterval: clock.Seconds(cfg.Site.Timings.ReportS),
		LeaseTime: clock.Seconds(cfg.Site.Timings.LeaseS), GangWait: clock.Seconds(cfg.Site.Timings.GangWaitS),
		CachedImages: true, RunTime: runTime, Jobs: w.client, Observer: w, Clock: clock.Now, Results: map[protocol.TaskID]bool{},
	})
	w.host.CopyCommands(server.CommandCopies{Fraction: cfg.Site.CommandCopies, MaxDelay: maxCopyDelay, Seed: cfg.Seed})
	interval := singleExchangeInterval
	if process.IsShared(cfg.Name) {
		interval = exchangeInterval
	}
	go w.exchangeForever(interval)
	return w
}

// runTime returns how long a task runs: the estimate of its job with a deviation that depends only
// on the task, so that it is the same for each attempt. All tasks of a gang run equally long.
func runTime(job protocol.Job, task protocol.TaskID) time.Duration {
	hash := fnv.New32a()
	if job.Kind == protocol.KindGang {
		task.Index = 0
	}
	_, _ = fmt.Fprint(hash, task) // writing to a hash never fails
	fraction := float64(hash.Sum32()%runTimeSteps) / runTimeSteps
	return clock.Seconds(job.EstimateS * (1 - runTimeJitter + 2*runTimeJitter*fraction))
}

// exchangeForever exchanges with the monitor until the process ends.
func (w *Workers) exchangeForever(interval time.Duration) {
	for {
		time.Sleep(interval)
		if err := w.exchange(); err != nil {
			w.log.Error("exchange with monitor failed", "err", err)
		}
	}
}

// exchange sends the collected events to the monitor and executes the directives that it returns.
func (w *Workers) exchange() error {
	w.exchangeMu.Lock()
	defer w.exchangeMu.Unlock()
	directives, err := w.client.Exchange(w.collect)
	if err != nil {
		return fmt.Errorf("send events: %w", err)
	}
	for _, d := range directives {
		if d.Number <= w.lastExecuted {
			continue // sent again before the monitor was notified of its execution
		}
		w.execute(d)
		w.mu.Lock()
		w.lastExecuted = d.Number
		w.mu.Unlock()
	}
	return nil
}

// collect removes the events and started machines that were not sent yet, and returns an exchange
// with them.
func (w *Workers) collect() monitor.Exchange {
	oldest := w.host.OldestHeartbeat()
	w.mu.Lock()
	exchange := monitor.Exchange{Executed: w.lastExecuted, Machines: w.events, Oldest: oldest, Addresses: map[protocol.MachineID]server.MachineListing{}}
	started := w.startedMachines
	w.events, w.startedMachines = nil, nil
	w.mu.Unlock()
	for _, id := range started {
		if listed, ok := w.host.Machine(id); ok {
			exchange.Addresses[id] = listed
		}
	}
	return exchange
}

// execute executes a directive of the monitor.
func (w *Workers) execute(d monitor.Directive) {
	switch d.Kind {
	case monitor.DirectStart:
		time.AfterFunc(d.After, func() { w.startMachine(d) })
	case monitor.DirectKill:
		w.mu.Lock()
		w.terminatedMachines[d.Machine] = true
		w.mu.Unlock()
		w.host.StopMachines(d.Machine)
	case monitor.DirectRestart:
		w.host.Restart(d.Machine, d.After)
	case monitor.DirectGangComplete:
		w.host.GangComplete(d.Job, d.Attempt)
	case monitor.DirectGangLost:
		w.host.GangLost(d.Job, d.Attempt)
	case monitor.DirectGangDone:
		w.host.GangDone(d.Job, d.Attempt)
	}
}

// startMachine starts a machine at the end of its boot time, unless it was terminated while it
// booted. It kills the machine if it was terminated during the start.
func (w *Workers) startMachine(d monitor.Directive) {
	if w.isTerminated(d.Machine) {
		return
	}
	if err := w.host.StartMachine(d.Machine, d.Type, d.Zone, d.Spot); err != nil {
		w.log.Error("failed to start machine", "machine", d.Machine, "err", err)
		return
	}
	if w.isTerminated(d.Machine) {
		w.host.StopMachines(d.Machine)
	}
}

// isTerminated reports whether a machine was terminated.
func (w *Workers) isTerminated(id protocol.MachineID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.terminatedMachines[id]
}

// Report sends the last events to the monitor and returns the traffic of the process. If the
// exchange fails, the failure is only logged.
func (w *Workers) Report() process.Report {
	if err := w.exchange(); err != nil {
		w.log.Error("last exchange with monitor failed", "err", err)
	}
	return process.Report{Traffic: w.host.Traffic.Flows(), Copies: w.host.CopyCounts()}
}
