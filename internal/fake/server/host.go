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
	// tickInterval is how often time passes on workers.
	tickInterval = 100 * time.Millisecond
	// stallThreshold is how long after its last tick a worker counts as having stood
	// still: its tasks did not go on meanwhile.
	stallThreshold = time.Second
)

// Kinds of traffic of a worker.
const (
	trafficHeartbeats = "reports"
	trafficCommands   = "commands"
)

// Host runs workers, each a client of the protocol of its own, whose tasks are
// timers. It is safe for concurrent use.
type Host struct {
	Traffic *Traffic

	cfg  HostConfig
	done chan struct{}

	mu      sync.Mutex
	workers map[protocol.MachineID]*worker
	jobs    map[protocol.JobID]protocol.Job
}

// worker is one machine that is up.
type worker struct {
	*fake.Worker
	server     *http.Server
	addr       string
	since      time.Duration
	answered   time.Duration // when the last answered heartbeat was sent
	changed    chan struct{} // receives when the next heartbeat should be sent soon
	restarting bool          // it sends no heartbeats and takes no commands
}

// NewHost makes a host without workers.
func NewHost(cfg HostConfig) *Host {
	h := &Host{
		Traffic: NewTraffic(), cfg: cfg, done: make(chan struct{}),
		workers: map[protocol.MachineID]*worker{}, jobs: map[protocol.JobID]protocol.Job{},
	}
	go h.tick()
	return h
}

// Close ends all workers.
func (h *Host) Close() {
	close(h.done)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		_ = w.server.Close() // nothing is left to lose
	}
}

// Up puts a machine into service.
func (h *Host) Up(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool) error {
	w := &worker{changed: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) { h.command(w, rw, r) })
	counted := func(l net.Listener) net.Listener { return countedListener{l, trafficCommands, h.Traffic} }
	server, addr, err := listen(mux, counted)
	if err != nil {
		return err
	}
	now := h.cfg.Clock()
	w.server, w.addr, w.since, w.answered = server, addr, now, now
	w.Worker = h.newModel(id, info, zone, spot)
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Start(now)
	h.workers[id] = w
	h.cfg.Observer.MachineUp(id, info, zone, spot, now)
	go h.sendHeartbeats(w)
	return nil
}

// newModel makes the model of a worker, which is called while the host is locked.
func (h *Host) newModel(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool) *fake.Worker {
	model := &fake.Worker{
		ID: id, Info: info, Zone: zone, Spot: spot, LeaseS: h.cfg.LeaseTime.Seconds(), GangWait: h.cfg.GangWait, Results: h.cfg.Results,
		CachesImages: h.cfg.CachedImages,
		Jobs:         func(j protocol.JobID) (protocol.Job, bool) { job, ok := h.jobs[j]; return job, ok },
		RunTime:      func(id protocol.TaskID) time.Duration { return h.cfg.RunTime(h.jobs[id.Job], id) },
		Started: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.TaskStarted(w.ID, task, attempt, h.cfg.Clock())
		},
		Ordered: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.TaskStartAccepted(w.ID, task, attempt, h.cfg.Clock())
		},
		Ended: h.ended,
	}
	if h.cfg.CachedImages {
		model.FetchTime = func(j protocol.Job) time.Duration { return seconds(j.ImageGB / info.FetchGBPS) }
	}
	return model
}

// ended notifies the observer of a task that was on its machine. One that the lease's
// expiry has killed ended with the lease, however late that is noticed.
func (h *Host) ended(w *fake.Worker, task protocol.TaskID, cause protocol.EndCause) {
	if !w.Holds(task) {
		return
	}
	attempt, _, _ := w.Gang(task)
	h.cfg.Observer.TaskEnded(w.ID, task, attempt, cause, min(h.cfg.Clock(), w.LeaseEnds()))
}

// Kill has machines stop with all that is on them.
func (h *Host) Kill(ids ...protocol.MachineID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		w := h.workers[id]
		if w == nil {
			continue
		}
		w.Dead = true
		_ = w.server.Close() // the machine has ended
		delete(h.workers, id)
		h.cfg.Observer.MachineLost(id, h.cfg.Clock())
	}
}

// Restart has a worker begin its next agent epoch: its tasks are lost, and it is down
// for a while.
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
		w.Skip(h.cfg.Clock())
		w.restarting = false
		w.heartbeatSoon()
	})
}

// Machine is the address of a machine that is up, and since when it is.
func (h *Host) Machine(id protocol.MachineID) (Listed, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	if w == nil {
		return Listed{}, false
	}
	return Listed{Address: w.addr, Since: w.since}, true
}

// OldestHeartbeat is the time since which each worker has had an answered heartbeat.
func (h *Host) OldestHeartbeat() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.cfg.Clock()
	for _, w := range h.workers {
		oldest = min(oldest, w.answered)
	}
	return oldest
}

// tick lets time pass on all workers.
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
			before := w.Changes()
			if h.advance(w); w.Changes() != before {
				w.heartbeatSoon()
			}
		}
		h.mu.Unlock()
	}
}

// advance lets time pass on a worker. The lock is held.
func (h *Host) advance(w *worker) {
	now := h.cfg.Clock()
	if w.restarting {
		return
	}
	if now-w.LastTick() > stallThreshold {
		w.Skip(now)
		return
	}
	w.Tick(now)
}
