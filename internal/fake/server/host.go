package server

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	workerTick = 100 * time.Millisecond
	// hangAfter is how long after its last tick a worker counts as having stood
	// still: its tasks did not go on meanwhile.
	hangAfter  = time.Second
	reportGap  = 500 * time.Millisecond
	reportWait = 4 * time.Second
	retryPause = time.Second
	// reportJitter is by what part of itself the time between reports varies.
	reportJitter = 0.25
)

// Kinds of traffic of a worker.
const (
	trafficReports  = "reports"
	trafficCommands = "commands"
)

// Observer hears what can be seen at workers. Times are of the host's clock. Calls
// come one at a time, while the host is locked: they must not call it.
type Observer interface {
	Up(machine protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration)
	Gone(machine protocol.MachineID, at time.Duration)
	// Ordered tells that a task's start was taken; its image may have to be fetched.
	Ordered(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	// On and Off tell when a task comes onto its machine and leaves it.
	On(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	Off(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration)
}

// JobSource knows the descriptions that users have uploaded.
type JobSource interface {
	// Describe reads descriptions; jobs that are not known are left out.
	Describe([]protocol.JobID) (map[protocol.JobID]protocol.Job, error)
}

// HostConfig says how workers run.
type HostConfig struct {
	// Controllers are the addresses at which workers find the controllers.
	Controllers map[protocol.NodeName]string
	// Report is the time between reports, Lease the workers' lease, GangWait how long
	// a task waits for its gang.
	Report, Lease, GangWait time.Duration
	// CachedImages has an image fetched once and as large as its job says; else every
	// fetch takes a second.
	CachedImages bool
	// RunTime is how long a task of a job runs.
	RunTime  func(protocol.Job, protocol.TaskID) time.Duration
	Jobs     JobSource
	Observer Observer
	Clock    func() time.Duration
	Results  map[protocol.TaskID]bool // of tasks that have completed
}

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
	server   *http.Server
	addr     string
	since    time.Duration
	answered time.Duration // when the last answered report was sent
	soon     chan struct{} // something changed: report soon
	away     bool          // restarting: reports nothing and takes no commands
}

// NewHost makes a host without workers.
func NewHost(cfg HostConfig) *Host {
	h := &Host{
		Traffic: NewTraffic(), cfg: cfg, done: make(chan struct{}),
		workers: map[protocol.MachineID]*worker{}, jobs: map[protocol.JobID]protocol.Job{},
	}
	go h.ticks()
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
	w := &worker{soon: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) { h.command(w, rw, r) })
	server, addr, err := listen(mux, func(l net.Listener) net.Listener { return countedListener{l, trafficCommands, h.Traffic} })
	if err != nil {
		return err
	}
	now := h.cfg.Clock()
	w.server, w.addr, w.since, w.answered = server, addr, now, now
	w.Worker = &fake.Worker{
		ID: id, Info: info, Zone: zone, Spot: spot, LeaseS: h.cfg.Lease.Seconds(), GangWait: h.cfg.GangWait, Results: h.cfg.Results,
		Caches:  h.cfg.CachedImages,
		Jobs:    func(j protocol.JobID) (protocol.Job, bool) { job, ok := h.jobs[j]; return job, ok },
		RunTime: func(id protocol.TaskID) time.Duration { return h.cfg.RunTime(h.jobs[id.Job], id) },
		Started: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.On(w.ID, task, attempt, h.cfg.Clock())
		},
		Ordered: func(w *fake.Worker, task protocol.TaskID, attempt protocol.Attempt) {
			h.cfg.Observer.Ordered(w.ID, task, attempt, h.cfg.Clock())
		},
		Ended: h.ended,
	}
	if h.cfg.CachedImages {
		w.FetchTime = func(j protocol.Job) time.Duration {
			return time.Duration(j.ImageGB / info.FetchGBPS * float64(time.Second))
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Start(now)
	h.workers[id] = w
	h.cfg.Observer.Up(id, info, zone, spot, now)
	go h.reports(w)
	return nil
}

// ended tells the observer of a task that was on its machine. One that the lease's
// end has killed was gone when the lease ended, however late that is noticed.
func (h *Host) ended(w *fake.Worker, task protocol.TaskID, cause protocol.EndCause) {
	if !w.Holds(task) {
		return
	}
	attempt, _, _ := w.Gang(task)
	h.cfg.Observer.Off(w.ID, task, attempt, cause, min(h.cfg.Clock(), w.LeaseEnds()))
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
		_ = w.server.Close() // the machine is gone
		delete(h.workers, id)
		h.cfg.Observer.Gone(id, h.cfg.Clock())
	}
}

// Restart has a worker begin its next session: its tasks are gone, and it is away
// for a while.
func (h *Host) Restart(id protocol.MachineID, away time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	if w == nil || w.away {
		return
	}
	w.Tick(h.cfg.Clock())
	w.Restart(h.cfg.Clock())
	w.away = true
	time.AfterFunc(away, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		w.Skip(h.cfg.Clock())
		w.away = false
		w.change()
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

// OldestAnswered is the time since which each worker has had an answered report.
func (h *Host) OldestAnswered() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := h.cfg.Clock()
	for _, w := range h.workers {
		oldest = min(oldest, w.answered)
	}
	return oldest
}

// GangComplete lets the waiting tasks of a gang's attempt run.
func (h *Host) GangComplete(job protocol.JobID, attempt protocol.Attempt) {
	h.eachOfGang(job, attempt, (*fake.Worker).Meet)
}

// GangLost ends the running tasks of a gang's attempt that lost another.
func (h *Host) GangLost(job protocol.JobID, attempt protocol.Attempt) {
	h.eachOfGang(job, attempt, (*fake.Worker).Part)
}

// GangDone has all tasks of a gang completed, as one of them has.
func (h *Host) GangDone(job protocol.JobID, attempt protocol.Attempt) {
	h.mu.Lock()
	for i := range h.jobs[job].Tasks {
		h.cfg.Results[protocol.TaskID{Job: job, Index: i}] = true
	}
	h.mu.Unlock()
	h.eachOfGang(job, attempt, (*fake.Worker).Part)
}

func (h *Host) eachOfGang(job protocol.JobID, attempt protocol.Attempt, do func(*fake.Worker, protocol.TaskID)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		for _, task := range w.Tasks() {
			if a, _, _ := w.Gang(task); task.Job == job && a == attempt {
				do(w.Worker, task)
				w.change()
			}
		}
	}
}

// learn reads the descriptions of jobs that are to be started.
func (h *Host) learn(orders []protocol.Order) {
	var unknown []protocol.JobID
	h.mu.Lock()
	for _, o := range orders {
		if _, known := h.jobs[o.Task.Job]; !known && o.Op == protocol.OpStart && !slices.Contains(unknown, o.Task.Job) {
			unknown = append(unknown, o.Task.Job)
		}
	}
	h.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	found, err := h.cfg.Jobs.Describe(unknown)
	if err != nil {
		return // the starts are refused as unknown
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.Copy(h.jobs, found)
}

// errNoMachine says that nothing answers at an address any more.
var errNoMachine = errors.New("the machine is gone")

// command takes direct commands.
func (h *Host) command(w *worker, rw http.ResponseWriter, r *http.Request) {
	c, ok := read[protocol.Commands](rw, r)
	if !ok {
		return
	}
	h.Traffic.Add(trafficCommands, 1, 0, 0)
	h.learn(c.Orders)
	h.mu.Lock()
	if w.Dead || w.away {
		h.mu.Unlock()
		panic(http.ErrAbortHandler) // no answer: nobody is there
	}
	h.pass(w)
	status := 409
	if w.Do(c) {
		status = 200
	}
	report := w.report()
	h.mu.Unlock()
	w.change()
	answer(rw, status, report)
}

// pass lets time pass on a worker. The lock is held.
func (h *Host) pass(w *worker) {
	now := h.cfg.Clock()
	if w.away {
		return
	}
	if now-w.LastTick() > hangAfter {
		w.Skip(now)
		return
	}
	w.Tick(now)
}

// report is what it says now, with its address.
func (w *worker) report() protocol.Heartbeat {
	r := w.Report()
	if r.Address = w.addr; r.Tasks == nil {
		r.Tasks = []protocol.TaskStatus{}
	}
	return r
}

// change has it report soon.
func (w *worker) change() {
	select {
	case w.soon <- struct{}{}:
	default:
	}
}

// ticks lets time pass on all workers.
func (h *Host) ticks() {
	t := time.NewTicker(workerTick)
	defer t.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-t.C:
		}
		h.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(h.workers)) {
			w := h.workers[id]
			before := w.Changes()
			if h.pass(w); w.Changes() != before {
				w.change()
			}
		}
		h.mu.Unlock()
	}
}

// reports has a worker report to one controller after the other until one keeps it.
func (h *Host) reports(w *worker) {
	clients := map[protocol.NodeName]*transport.Client{}
	for n, addr := range h.cfg.Controllers {
		clients[n] = transport.NewClient(addr)
	}
	names := slices.Sorted(maps.Keys(h.cfg.Controllers))
	at := 0
	for {
		begun := time.Now()
		next, pause, err := h.report(w, names, at, clients)
		if errors.Is(err, errNoMachine) {
			return
		}
		if at = next; !h.wait(w, begun, pause) {
			return
		}
	}
}

// wait waits until the next report is due, or a change allows an earlier one; not
// if the host is closed.
func (h *Host) wait(w *worker, begun time.Time, pause time.Duration) bool {
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-h.done:
		return false
	case <-due.C:
	case <-w.soon:
		time.Sleep(time.Until(begun.Add(min(reportGap, pause))))
	}
	return true
}

// report sends one report, and returns whom to ask next and after how long.
func (h *Host) report(w *worker, names []protocol.NodeName, at int, clients map[protocol.NodeName]*transport.Client) (next int, pause time.Duration, err error) {
	h.mu.Lock()
	if w.Dead {
		h.mu.Unlock()
		return at, 0, errNoMachine
	}
	if w.away {
		h.mu.Unlock()
		return at, reportGap, nil
	}
	h.pass(w)
	sent, r := h.cfg.Clock(), w.report()
	h.mu.Unlock()
	m, err := h.post(clients[names[at]], r)
	following := (at + 1) % len(names)
	switch {
	case err != nil:
		return following, retryPause, err
	case m.Status == 200:
		return at, h.takeAnswer(w, r.AgentEpoch, sent, m.Body), nil
	case m.Status != 421:
		return following, retryPause, nil
	}
	var to protocol.Redirect
	if err := protocol.Decode(m.Body, &to); err != nil {
		return following, retryPause, err
	}
	if i := slices.Index(names, to.Leader); i >= 0 && i != at {
		return i, 0, nil
	}
	return following, retryPause, nil
}

// takeAnswer takes the answer to a report, and returns the time until the next one.
func (h *Host) takeAnswer(w *worker, session protocol.AgentEpoch, sent time.Duration, body []byte) time.Duration {
	var reply protocol.HeartbeatReply
	if err := protocol.Decode(body, &reply); err != nil {
		return retryPause
	}
	h.learn(reply.Orders)
	h.mu.Lock()
	if !w.away {
		h.pass(w)
		w.Answer(session, sent, reply)
		w.answered = max(w.answered, sent)
	}
	h.mu.Unlock()
	if len(reply.Orders) > 0 {
		w.change()
	}
	return time.Duration((1 - reportJitter + 2*reportJitter*rand.Float64()) * float64(h.cfg.Report))
}

// post sends a report to a controller.
func (h *Host) post(c *transport.Client, r protocol.Heartbeat) (*transport.Message, error) {
	body, err := protocol.Encode(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	m, err := c.Do(ctx, "POST", "/v1/report", body)
	out := len(transport.AppendRequest(nil, "POST", "127.0.0.1:00000", "/v1/report", body))
	in := 0
	if err == nil {
		in = len(transport.AppendResponse(nil, m)) // as the controllers write it
	}
	h.Traffic.Add(trafficReports, 1, in, out)
	return m, err
}
