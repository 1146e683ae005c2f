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
	// exchangeInterval is the time between two exchanges of a process of many workers with
	// the monitor. A process of a single worker exchanges less often, so that its own
	// resource usage is that of the worker.
	exchangeInterval       = 100 * time.Millisecond
	singleExchangeInterval = 500 * time.Millisecond
	// runTimeJitter is the largest relative deviation of tasks' run times.
	runTimeJitter = 0.2
	// runTimeSteps is the number of different deviations.
	runTimeSteps = 1000
)

// Workers runs workers as the monitor directs.
type Workers struct {
	client *monitor.Client
	host   *server.Host
	log    *slog.Logger

	// exchanging is held during an exchange and the execution of its directives.
	exchanging sync.Mutex

	mu         sync.Mutex
	events     []rules.MachineEvent // not sent to the monitor yet
	started    []protocol.MachineID // not sent to the monitor yet
	terminated map[protocol.MachineID]bool
	executed   uint64 // number of the last directive
}

// Start starts to run workers.
func Start(cfg process.Config, log *slog.Logger) *Workers {
	w := &Workers{client: monitor.NewClient(cfg.Name, cfg.Monitor), log: log, terminated: map[protocol.MachineID]bool{}}
	w.host = server.NewHost(server.HostConfig{
		Controllers: cfg.Controllers, HeartbeatInterval: clock.Seconds(cfg.Site.Timings.ReportS),
		LeaseTime: clock.Seconds(cfg.Site.Timings.LeaseS), GangWait: clock.Seconds(cfg.Site.Timings.GangWaitS),
		CachedImages: true, RunTime: runTime, Jobs: w.client, Observer: w, Clock: clock.Now, Results: map[protocol.TaskID]bool{},
	})
	interval := singleExchangeInterval
	if process.IsShared(cfg.Name) {
		interval = exchangeInterval
	}
	go w.exchangeForever(interval)
	return w
}

// runTime returns how long a task runs: its job's estimate with a deviation that is the
// same for each attempt. The tasks of a gang run equally long.
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
			w.log.Error("exchange failed", "err", err)
		}
	}
}

// exchange sends what was observed and executes the monitor's directives.
func (w *Workers) exchange() error {
	w.exchanging.Lock()
	defer w.exchanging.Unlock()
	directives, err := w.client.Exchange(w.collect)
	if err != nil {
		return fmt.Errorf("send events: %w", err)
	}
	for _, d := range directives {
		if d.Number <= w.executed {
			continue // sent again, as the monitor does not know yet that it was executed
		}
		w.execute(d)
		w.mu.Lock()
		w.executed = d.Number
		w.mu.Unlock()
	}
	return nil
}

// collect takes what was not sent yet.
func (w *Workers) collect() monitor.Exchange {
	oldest := w.host.OldestHeartbeat()
	w.mu.Lock()
	exchange := monitor.Exchange{Executed: w.executed, Machines: w.events, Oldest: oldest, Addresses: map[protocol.MachineID]server.MachineListing{}}
	started := w.started
	w.events, w.started = nil, nil
	w.mu.Unlock()
	for _, id := range started {
		if listed, ok := w.host.Machine(id); ok {
			exchange.Addresses[id] = listed
		}
	}
	return exchange
}

// execute executes a directive.
func (w *Workers) execute(d monitor.Directive) {
	switch d.Kind {
	case monitor.DirectStart:
		time.AfterFunc(d.After, func() { w.startMachine(d) })
	case monitor.DirectKill:
		w.mu.Lock()
		w.terminated[d.Machine] = true
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

// startMachine starts a machine that has booted, unless it was terminated meanwhile.
func (w *Workers) startMachine(d monitor.Directive) {
	if w.isTerminated(d.Machine) {
		return
	}
	if err := w.host.StartMachine(d.Machine, d.Type, d.Zone, d.Spot); err != nil {
		w.log.Error("machine start failed", "machine", d.Machine, "err", err)
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
	return w.terminated[id]
}

// Report sends the last events to the monitor and returns the process's traffic.
func (w *Workers) Report() process.Report {
	if err := w.exchange(); err != nil {
		w.log.Error("last exchange failed", "err", err)
	}
	return process.Report{Traffic: w.host.Traffic.Flows()}
}
