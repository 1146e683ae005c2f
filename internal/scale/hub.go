package scale

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// returnWait is how long the cloud waits for machines to be gone.
const returnWait = 3 * time.Second

// errReturnLate says that a process did not confirm in time that machines are gone.
var errReturnLate = errors.New("machines are not gone in time")

// Hub knows the machines of a run, passes on what is to happen to them, lets gangs
// meet and keeps what workers and users saw. Its methods are called by net/rpc.
type Hub struct {
	site *Site
	rng  *rand.Rand

	mu        sync.Mutex
	confirmed *sync.Cond
	processes map[string]*hubProcess
	machines  map[protocol.MachineID]*hubMachine
	jobs      map[protocol.JobID]protocol.Job
	gangs     *gangs
	events    []rules.MachineEvent
	users     []rules.UserEvent
	// initial, while machines of the start are rented, names the process of each.
	initial  func(protocol.Zone) string
	troubles []*trackedTrouble
	limits   []rules.LimitChange
}

// hubProcess is a process that runs workers.
type hubProcess struct {
	name    string
	number  uint64 // of the last directive
	carried uint64
	heard   uint64        // number of the last exchange
	waiting []Directive   // until they are carried out
	oldest  time.Duration // see Exchange
	workers bool
}

// hubMachine is a machine and the process that runs it.
type hubMachine struct {
	process *hubProcess
	listed  server.Listed
	up      bool
	// returned is the number of the directive that ends it; 0: it is not to end.
	returned uint64
}

// newHub makes a hub.
func newHub(site *Site, seed uint64) *Hub {
	h := &Hub{
		site: site, rng: rand.New(rand.NewPCG(seed, hubStream)), processes: map[string]*hubProcess{}, machines: map[protocol.MachineID]*hubMachine{},
		jobs: map[protocol.JobID]protocol.Job{}, gangs: newGangs(),
	}
	h.confirmed = sync.NewCond(&h.mu)
	return h
}

// Streams of random numbers, one for each use, so that they don't depend on one
// another.
const (
	hubStream uint64 = iota + 1
	userStream
	controllerStream
	runStream
	operatorStream
)

// process finds a process, or adds it. The lock is held.
func (h *Hub) process(name string) *hubProcess {
	p := h.processes[name]
	if p == nil {
		p = &hubProcess{name: name}
		h.processes[name] = p
	}
	return p
}

// direct has a process do something. The lock is held.
func (h *Hub) direct(p *hubProcess, d Directive) uint64 {
	p.number++
	d.Number = p.number
	p.waiting = append(p.waiting, d)
	return d.Number
}

// Exchange takes what a process has seen, and gives it what it is to do.
func (h *Hub) Exchange(in Exchange, out *Directives) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process(in.Process)
	p.carried = max(p.carried, in.Carried)
	p.oldest = max(p.oldest, in.Oldest)
	if in.Number > p.heard {
		p.heard = in.Number
		h.take(in)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(d Directive) bool { return d.Number <= p.carried })
	out.List = slices.Clone(p.waiting)
	h.confirmed.Broadcast()
	return nil
}

// take takes what a process has seen. The lock is held.
func (h *Hub) take(in Exchange) {
	h.users = append(h.users, in.Users...)
	for id, listed := range in.Addresses {
		if m := h.machines[id]; m != nil {
			m.listed, m.up = listed, true
		}
	}
	for _, e := range in.Machines {
		h.seen(e)
	}
}

// seen keeps an event, and lets gangs meet. The lock is held.
func (h *Hub) seen(e rules.MachineEvent) {
	h.events = append(h.events, e)
	job := h.jobs[e.Task.Job]
	isGang := job.Kind == protocol.KindGang && job.Tasks > 1
	switch {
	case e.Kind == rules.MachineLost:
		for key, tasks := range h.gangs.gone(e.Machine) {
			for _, task := range tasks {
				h.gangOff(key, task, "")
			}
		}
	case e.Kind == rules.TaskStarted && isGang:
		if h.gangs.on(job, e) {
			h.events = append(h.events, rules.MachineEvent{At: Now(), Kind: rules.GangRunning, Task: e.Task, Attempt: e.Attempt})
			h.directAll(Directive{Kind: DirectGangComplete, Job: job.ID, Attempt: e.Attempt})
		}
	case e.Kind == rules.TaskEnded && isGang:
		h.gangOff(gangKey{job.ID, e.Attempt}, e.Task, e.Cause)
	}
}

// gangOff tells the others of a gang that one has gone. Where it was stopped, they
// have the time of an orderly stop to be stopped as well.
func (h *Hub) gangOff(key gangKey, task protocol.TaskID, cause protocol.EndCause) {
	kind := h.gangs.off(key, task, cause)
	if kind == 0 {
		return
	}
	d := Directive{Kind: kind, Job: key.job, Attempt: key.attempt}
	if cause != protocol.EndStopped {
		h.directAll(d)
		return
	}
	time.AfterFunc(seconds(h.site.Timings.GangPeerS), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.directAll(d)
	})
}

// directAll has all processes of workers do something.
func (h *Hub) directAll(d Directive) {
	for _, p := range h.processes {
		if p.workers {
			h.direct(p, d)
		}
	}
}

// Upload takes the description of jobs, and keeps it with what users saw.
func (h *Hub) Upload(in JobsKnown, _ *None) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, job := range in.Jobs {
		h.jobs[id] = job
		h.users = append(h.users, rules.UserEvent{RequestedAt: Now(), AnsweredAt: Now(), Kind: rules.UserDescribes, Job: id, Description: job})
	}
	return nil
}

// Describe gives descriptions to workers.
func (h *Hub) Describe(in JobsAsked, out *JobsKnown) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out.Jobs = map[protocol.JobID]protocol.Job{}
	for _, id := range in.Jobs {
		if job, ok := h.jobs[id]; ok {
			out.Jobs[id] = job
		}
	}
	return nil
}

// place has a machine come up in a process after a while. The lock is held.
func (h *Hub) place(process string, id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest, after time.Duration) {
	p := h.process(process)
	p.workers = true
	h.machines[id] = &hubMachine{process: p}
	h.direct(p, Directive{Kind: DirectUp, Machine: id, Type: info, Zone: req.Zone, Spot: req.Spot, After: after})
}

// Rented has a machine come up in its zone's shared process.
func (h *Hub) Rented(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.initial != nil {
		h.place(h.initial(req.Zone), id, info, req, 0)
		return
	}
	boot := seconds((bootLeast + (bootMost-bootLeast)*h.rng.Float64()) * info.BootS)
	h.place(sharedProcess(req.Zone), id, info, req, boot)
}

// Bounds of a boot's time, as parts of what the catalogue says.
const (
	bootLeast = 0.6
	bootMost  = 1.5
)

// Return ends machines; it returns when all of them are gone.
func (h *Hub) Return(ids []protocol.MachineID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := map[*hubProcess]uint64{}
	for _, id := range ids {
		m := h.machines[id]
		if m == nil {
			continue
		}
		if m.returned == 0 {
			m.returned = h.direct(m.process, Directive{Kind: DirectKill, Machine: id})
		}
		last[m.process] = max(last[m.process], m.returned)
	}
	timer := time.AfterFunc(returnWait, h.confirmed.Broadcast)
	defer timer.Stop()
	for until := Now() + returnWait; !carriedOut(last); h.confirmed.Wait() {
		if Now() >= until {
			return errReturnLate
		}
	}
	for _, id := range ids {
		delete(h.machines, id)
	}
	return nil
}

func carriedOut(last map[*hubProcess]uint64) bool {
	for p, number := range last {
		if p.carried < number {
			return false
		}
	}
	return true
}

// Machine is a machine that has come up.
func (h *Hub) Machine(id protocol.MachineID) (server.Listed, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[id]
	if m == nil || !m.up {
		return server.Listed{}, false
	}
	return m.listed, true
}

// trackedTrouble is a trouble of which it is measured how long it is felt.
type trackedTrouble struct {
	begun, ended time.Duration
	figures      TroubleFigures
}

// heardEvery is how often it is looked whether all workers are heard again.
const heardEvery = 100 * time.Millisecond

// trouble has something happen to machines, and measures how long any trouble is felt.
func (h *Hub) trouble(t Trouble) {
	begun := Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	tracked := &trackedTrouble{begun: begun, ended: begun + seconds(t.ForS), figures: TroubleFigures{Kind: t.Kind, AtS: t.AtS, ForS: t.ForS, HeardS: neverAgain}}
	h.troubles = append(h.troubles, tracked)
	go h.hearAll(tracked)
	switch t.Kind {
	case TroubleMachinesDie:
		for range t.Count {
			if id, m := h.draw(); m != nil {
				m.listed.Failed = true
				h.direct(m.process, Directive{Kind: DirectKill, Machine: id})
			}
		}
	case TroubleRestartWorkers:
		go h.restartWorkers(t)
	}
}

// hearAll waits until every worker has had an answered report since a trouble's end.
func (h *Hub) hearAll(t *trackedTrouble) {
	time.Sleep(t.ended - Now())
	for h.heardSince() < t.ended {
		time.Sleep(heardEvery)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.figures.HeardS = math.Round((Now()-t.ended).Seconds()*10) / 10
}

// setLimits notes the changes of limits that were made.
func (h *Hub) setLimits(limits []rules.LimitChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = limits
}

// workerAway is how long a worker that is restarted is away.
const workerAway = 3 * time.Second

func (h *Hub) restartWorkers(t Trouble) {
	every := time.NewTicker(seconds(t.EveryS))
	defer every.Stop()
	for until := Now() + seconds(t.ForS); Now() < until; <-every.C {
		h.mu.Lock()
		if id, m := h.draw(); m != nil {
			h.direct(m.process, Directive{Kind: DirectRestart, Machine: id, After: workerAway})
		}
		h.mu.Unlock()
	}
}

// draw picks a machine that is up in a shared process. The lock is held.
func (h *Hub) draw() (protocol.MachineID, *hubMachine) {
	var ids []protocol.MachineID
	for id, m := range h.machines {
		if m.up && !m.listed.Failed && m.returned == 0 && isShared(m.process.name) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	slices.Sort(ids)
	id := ids[h.rng.IntN(len(ids))]
	return id, h.machines[id]
}

// heardSince is the time since which every worker has had an answered report.
func (h *Hub) heardSince() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := Now()
	for _, p := range h.processes {
		if p.workers {
			oldest = min(oldest, p.oldest)
		}
	}
	return oldest
}
