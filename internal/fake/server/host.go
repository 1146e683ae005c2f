package server

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

const (
	// tickInterval is the interval at which the models of the workers are advanced.
	tickInterval = 100 * time.Millisecond
	// stallThreshold is the time since its last tick after which a worker counts as
	// stalled: its tasks then make no progress for that time.
	stallThreshold = time.Second
)

// Kinds of traffic of a worker, by which a Host counts its messages.
const (
	trafficHeartbeats = "reports"
	trafficCommands   = "commands"
)

// Host runs the workers of machines in service. Each worker is a separate client of the
// controllers, and its tasks are timers. A Host is safe for concurrent use.
type Host struct {
	Traffic *Traffic

	cfg  HostConfig
	done chan struct{}

	mu      sync.Mutex
	workers map[protocol.MachineID]*worker
	jobs    map[protocol.JobID]protocol.Job // descriptions of jobs that were read
	copies  commandCopier
}

// worker is a machine that is in service, with its agent.
type worker struct {
	*fake.Worker
	server             *http.Server
	addr               string
	startedAt          time.Duration // when the machine was put into service
	lastAnswered       time.Duration // send time of the last answered heartbeat
	heartbeatRequested chan struct{} // signals that the next heartbeat should be sent early
	reportedToken      time.Duration // when a later fencing token last caused an early heartbeat
	restarting         bool          // while set, the worker sends no heartbeats and executes no commands
}

// NewHost returns a host without workers and starts the goroutine that advances the
// models of workers.
func NewHost(cfg HostConfig) *Host {
	h := &Host{
		Traffic: NewTraffic(), cfg: cfg, done: make(chan struct{}),
		workers: map[protocol.MachineID]*worker{}, jobs: map[protocol.JobID]protocol.Job{},
	}
	go h.tick()
	return h
}

// Close ends the heartbeats and the command servers of all workers and the ticks of their
// models.
func (h *Host) Close() {
	close(h.done)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		_ = w.server.Close() // an error does not matter at shutdown
	}
}

// StartMachine puts a machine into service and starts its worker, which sends heartbeats and
// serves direct commands. It returns an error if the worker's server can't listen.
func (h *Host) StartMachine(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool) error {
	w := &worker{heartbeatRequested: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) { h.serveCommands(w, rw, r) })
	counted := func(l net.Listener) net.Listener { return countedListener{l, trafficCommands, h.Traffic} }
	server, addr, err := listen(mux, counted)
	if err != nil {
		return err
	}
	now := h.cfg.Clock()
	w.server, w.addr, w.startedAt, w.lastAnswered = server, addr, now, now
	w.Worker = h.newModel(id, info, zone, spot)
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Start(now)
	h.workers[id] = w
	h.cfg.Observer.MachineUp(id, info, zone, spot, now)
	go h.sendHeartbeats(w)
	return nil
}

// newModel returns the model of a worker. The model and its callbacks are only called
// while the host is locked.
func (h *Host) newModel(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool) *fake.Worker {
	model := &fake.Worker{
		ID: id, Info: info, Zone: zone, Spot: spot, LeaseS: h.cfg.LeaseTime.Seconds(), GangWait: h.cfg.GangWait, Results: h.cfg.Results,
		CachesImages: h.cfg.CachedImages,
		JobByID:      func(j protocol.JobID) (protocol.Job, bool) { job, ok := h.jobs[j]; return job, ok },
		RunTime:      func(id protocol.TaskID) time.Duration { return h.cfg.RunTime(h.jobs[id.Job], id) },
		OnStarted: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.TaskStarted(w.ID, task, attempt, h.cfg.Clock())
		},
		OnStartAccepted: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.TaskStartAccepted(w.ID, task, attempt, h.cfg.Clock())
		},
		OnEnded: h.ended,
	}
	if h.cfg.CachedImages {
		model.FetchTime = func(j protocol.Job) time.Duration { return seconds(j.ImageGB / info.FetchGBPS) }
	}
	return model
}

// ended notifies the observer of the end of a task that occupied its machine. A task that
// was killed because the lease expired has ended at the time of the expiry, even if the
// host detects the expiry later.
func (h *Host) ended(w *fake.Worker, task protocol.TaskID, cause protocol.EndCause) {
	if !w.IsOccupiedBy(task) {
		return
	}
	attempt, _, _ := w.TaskAttempt(task)
	h.cfg.Observer.TaskEnded(w.ID, task, attempt, cause, min(h.cfg.Clock(), w.LeaseExpiresAt()))
}

// StopMachines takes machines out of service, which ends their workers and tasks at once, and
// notifies the observer. It ignores unknown machines.
func (h *Host) StopMachines(ids ...protocol.MachineID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		w := h.workers[id]
		if w == nil {
			continue
		}
		w.Dead = true
		_ = w.server.Close() // an error does not matter: the machine has stopped
		delete(h.workers, id)
		h.cfg.Observer.MachineLost(id, h.cfg.Clock())
	}
}

// Restart makes a worker start its next agent epoch. Its tasks are lost, and it neither
// sends heartbeats nor executes commands during the downtime. It does nothing if the machine is
// unknown or its worker is restarting already.
func (h *Host) Restart(id protocol.MachineID, downtime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	if w == nil || w.restarting {
		return
	}
	w.Tick(h.cfg.Clock())
	w.Restart(h.cfg.Clock())
	w.restarting = true
	time.AfterFunc(downtime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		w.TickStalled(h.cfg.Clock())
		w.restarting = false
		w.requestHeartbeat()
	})
}

// Machine returns the entry of a machine for the cloud's list and reports whether the machine
// is in service.
func (h *Host) Machine(id protocol.MachineID) (MachineListing, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	if w == nil {
		return MachineListing{}, false
	}
	return MachineListing{Address: w.addr, Since: w.startedAt}, true
}

// OldestHeartbeat returns the earliest send time among the last answered heartbeats of all
// workers, or the current time if there are no workers.
func (h *Host) OldestHeartbeat() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.cfg.Clock()
	for _, w := range h.workers {
		oldest = min(oldest, w.lastAnswered)
	}
	return oldest
}

// tick advances all workers at each tickInterval until the host is closed. A worker whose task
// has started or ended sends its next heartbeat early.
func (h *Host) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(h.workers)) {
			w := h.workers[id]
			before := w.StateChanges()
			if h.advance(w); w.StateChanges() != before {
				w.requestHeartbeat()
			}
		}
		h.mu.Unlock()
	}
}

// advance advances the model of a worker to the current time, without progress of its tasks if
// it has stalled. It does nothing for a restarting worker. The lock is held.
func (h *Host) advance(w *worker) {
	now := h.cfg.Clock()
	if w.restarting {
		return
	}
	if now-w.LastTick() > stallThreshold {
		w.TickStalled(now)
		return
	}
	w.Tick(now)
}
