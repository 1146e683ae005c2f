package monitor

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// Monitor knows the machines of a run, directs the processes that run them, completes
// gangs and collects what workers and users observe. Its exported methods of two arguments
// are called by net/rpc.
type Monitor struct {
	site *siteconfig.Site
	rng  *rand.Rand

	mu           sync.Mutex
	executed     *sync.Cond // signalled when a process has executed directives
	processes    map[string]*workerProcess
	machines     map[protocol.MachineID]*machine
	jobs         map[protocol.JobID]protocol.Job
	gangs        *gangs
	events       []rules.MachineEvent
	users        []rules.UserEvent
	placeInitial func(protocol.Zone) string // see PlaceInitial
	faults       []*activeFault
	limitChanges []rules.LimitChange
}

// workerProcess is a process that exchanges with the monitor.
type workerProcess struct {
	name         string
	lastNumber   uint64      // of the directives
	lastExecuted uint64      // of the directives
	lastExchange uint64      // number of the last exchange
	pending      []Directive // that are not executed yet
	oldest       time.Duration
	hasWorkers   bool
}

// New returns a monitor without machines.
func New(site *siteconfig.Site, seed uint64) *Monitor {
	m := &Monitor{
		site: site, rng: rand.New(rand.NewPCG(seed, siteconfig.StreamMonitor)),
		processes: map[string]*workerProcess{}, machines: map[protocol.MachineID]*machine{},
		jobs: map[protocol.JobID]protocol.Job{}, gangs: newGangs(),
	}
	m.executed = sync.NewCond(&m.mu)
	return m
}

// process finds a process, or adds it. The lock is held.
func (m *Monitor) process(name string) *workerProcess {
	p := m.processes[name]
	if p == nil {
		p = &workerProcess{name: name}
		m.processes[name] = p
	}
	return p
}

// direct adds a directive for a process. The lock is held.
func (m *Monitor) direct(p *workerProcess, d Directive) uint64 {
	p.lastNumber++
	d.Number = p.lastNumber
	p.pending = append(p.pending, d)
	return d.Number
}

// directAll adds a directive for all processes of workers. The lock is held.
func (m *Monitor) directAll(d Directive) {
	for _, p := range m.processes {
		if p.hasWorkers {
			m.direct(p, d)
		}
	}
}

// Exchange takes what a process has observed and returns what it is to do.
func (m *Monitor) Exchange(in Exchange, out *Directives) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.process(in.Process)
	p.lastExecuted = max(p.lastExecuted, in.Executed)
	p.oldest = max(p.oldest, in.Oldest)
	if in.Number > p.lastExchange {
		p.lastExchange = in.Number
		m.collect(in)
	}
	p.pending = slices.DeleteFunc(p.pending, func(d Directive) bool { return d.Number <= p.lastExecuted })
	out.List = slices.Clone(p.pending)
	m.executed.Broadcast()
	return nil
}

// collect stores what a process has observed. The lock is held.
func (m *Monitor) collect(in Exchange) {
	m.users = append(m.users, in.Users...)
	for id, listed := range in.Addresses {
		if machine := m.machines[id]; machine != nil {
			machine.listed, machine.up = listed, true
		}
	}
	for _, e := range in.Machines {
		m.collectEvent(e)
	}
}

// collectEvent stores an event and follows the gangs that it concerns. The lock is held.
func (m *Monitor) collectEvent(e rules.MachineEvent) {
	m.events = append(m.events, e)
	job := m.jobs[e.Task.Job]
	isGang := job.Kind == protocol.KindGang && job.Tasks > 1
	switch {
	case e.Kind == rules.MachineLost:
		for key, tasks := range m.gangs.attemptsOn(e.Machine) {
			for _, task := range tasks {
				m.gangTaskEnded(key, task, "")
			}
		}
	case e.Kind == rules.TaskStarted && isGang:
		if m.gangs.taskStarted(job, e) {
			m.events = append(m.events, rules.MachineEvent{At: clock.Now(), Kind: rules.GangRunning, Task: e.Task, Attempt: e.Attempt})
			m.directAll(Directive{Kind: DirectGangComplete, Job: job.ID, Attempt: e.Attempt})
		}
	case e.Kind == rules.TaskEnded && isGang:
		m.gangTaskEnded(gangKey{job.ID, e.Attempt}, e.Task, e.Cause)
	}
}

// gangTaskEnded tells the other tasks of a gang that one has ended. If it was stopped,
// they first get the time of a graceful stop to be stopped as well.
func (m *Monitor) gangTaskEnded(key gangKey, task protocol.TaskID, cause protocol.EndCause) {
	kind := m.gangs.taskEnded(key, task, cause)
	if kind == 0 {
		return
	}
	d := Directive{Kind: kind, Job: key.job, Attempt: key.attempt}
	if cause != protocol.EndStopped {
		m.directAll(d)
		return
	}
	time.AfterFunc(clock.Seconds(m.site.Timings.GangPeerS), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.directAll(d)
	})
}

// Upload stores descriptions of jobs, with the time of their upload.
func (m *Monitor) Upload(in Descriptions, _ *Empty) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, job := range in.Jobs {
		m.jobs[id] = job
		m.users = append(m.users, rules.UserEvent{RequestedAt: clock.Now(), AnsweredAt: clock.Now(), Kind: rules.UserDescribes, Job: id, Description: job})
	}
	return nil
}

// Describe returns the descriptions of jobs that workers request.
func (m *Monitor) Describe(in DescribeRequest, out *Descriptions) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	out.Jobs = map[protocol.JobID]protocol.Job{}
	for _, id := range in.Jobs {
		if job, ok := m.jobs[id]; ok {
			out.Jobs[id] = job
		}
	}
	return nil
}

// SetLimitChanges stores the changes of limits that were made.
func (m *Monitor) SetLimitChanges(changes []rules.LimitChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limitChanges = changes
}

// Analyze computes the metrics of what was observed.
func (m *Monitor) Analyze() *analysis.Metrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	run := analysis.Run{Site: m.site, Jobs: m.jobs, Machines: m.events, Users: m.users, LimitChanges: m.limitChanges}
	for _, fault := range m.faults {
		run.Faults = append(run.Faults, fault.Fault)
	}
	return run.Analyze()
}
