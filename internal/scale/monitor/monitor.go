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

// Monitor keeps the inventory of a run's machines, sends directives to the worker processes,
// completes gangs and collects the events of workers and users. net/rpc calls those of its
// exported methods that take two arguments and return an error.
type Monitor struct {
	site *siteconfig.Site
	rng  *rand.Rand

	mu                 sync.Mutex
	directivesExecuted *sync.Cond // signalled at each exchange
	processes          map[string]*workerProcess
	machines           map[protocol.MachineID]*machine
	jobs               map[protocol.JobID]protocol.Job
	gangs              *gangTracker
	machineEvents      []rules.MachineEvent
	userEvents         []rules.UserEvent
	initialProcess     func(protocol.Zone) string // see SetInitialPlacement
	faults             []*measuredFault
	limitChanges       []rules.LimitChange
}

// workerProcess is the monitor's state for a process that exchanges messages with it.
type workerProcess struct {
	name            string
	lastIssued      uint64      // number of the last directive for the process
	lastExecuted    uint64      // number of the last directive that the process executed
	lastExchange    uint64      // number of the last exchange
	pending         []Directive // not executed yet
	oldestHeartbeat time.Duration
	hasWorkers      bool // false for the process of the users
}

// New returns a monitor without machines. The seed determines its random choices.
func New(site *siteconfig.Site, seed uint64) *Monitor {
	m := &Monitor{
		site: site, rng: rand.New(rand.NewPCG(seed, siteconfig.StreamMonitor)),
		processes: map[string]*workerProcess{}, machines: map[protocol.MachineID]*machine{},
		jobs: map[protocol.JobID]protocol.Job{}, gangs: newGangTracker(),
	}
	m.directivesExecuted = sync.NewCond(&m.mu)
	return m
}

// processByName returns the process with a name and adds it if there is none. The caller holds
// the lock.
func (m *Monitor) processByName(name string) *workerProcess {
	p := m.processes[name]
	if p == nil {
		p = &workerProcess{name: name}
		m.processes[name] = p
	}
	return p
}

// enqueueDirective adds a directive to those that a process has to execute and returns its
// number. The caller holds the lock.
func (m *Monitor) enqueueDirective(p *workerProcess, d Directive) uint64 {
	p.lastIssued++
	d.Number = p.lastIssued
	p.pending = append(p.pending, d)
	return d.Number
}

// enqueueForAllWorkers adds a directive for every process to which a machine was ever assigned.
// The caller holds the lock.
func (m *Monitor) enqueueForAllWorkers(d Directive) {
	for _, p := range m.processes {
		if p.hasWorkers {
			m.enqueueDirective(p, d)
		}
	}
}

// Exchange stores the events that a process has observed and returns the directives that it
// has not executed yet. It stores the events of a repeated exchange only once.
func (m *Monitor) Exchange(in Exchange, out *Directives) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.processByName(in.Process)
	p.lastExecuted = max(p.lastExecuted, in.Executed)
	p.oldestHeartbeat = max(p.oldestHeartbeat, in.Oldest)
	if in.Number > p.lastExchange {
		p.lastExchange = in.Number
		m.storeObservations(in)
	}
	p.pending = slices.DeleteFunc(p.pending, func(d Directive) bool { return d.Number <= p.lastExecuted })
	out.List = slices.Clone(p.pending)
	m.directivesExecuted.Broadcast()
	return nil
}

// storeObservations stores the events and the machine listings of an exchange. The caller
// holds the lock.
func (m *Monitor) storeObservations(in Exchange) {
	m.userEvents = append(m.userEvents, in.Users...)
	for id, listed := range in.Addresses {
		if machine := m.machines[id]; machine != nil {
			machine.listed, machine.up = listed, true
		}
	}
	for _, e := range in.Machines {
		m.storeMachineEvent(e)
	}
}

// storeMachineEvent stores an event and updates the gangs that it concerns. When the last task of
// a gang's attempt has started, it also stores a GangRunning event and directs the workers to run
// the gang. The caller holds the lock.
func (m *Monitor) storeMachineEvent(e rules.MachineEvent) {
	m.machineEvents = append(m.machineEvents, e)
	job := m.jobs[e.Task.Job]
	isGang := job.Kind == protocol.KindGang && job.Tasks > 1
	switch {
	case e.Kind == rules.MachineLost:
		for key, tasks := range m.gangs.attemptsOnMachine(e.Machine) {
			for _, task := range tasks {
				m.gangTaskEnded(key, task, "")
			}
		}
	case e.Kind == rules.TaskStarted && isGang:
		if m.gangs.taskStarted(job, e) {
			m.machineEvents = append(m.machineEvents, rules.MachineEvent{At: clock.Now(), Kind: rules.GangRunning, Task: e.Task, Attempt: e.Attempt})
			m.enqueueForAllWorkers(Directive{Kind: DirectGangComplete, Job: job.ID, Attempt: e.Attempt})
		}
	case e.Kind == rules.TaskEnded && isGang:
		m.gangTaskEnded(gangAttemptKey{job.ID, e.Attempt}, e.Task, e.Cause)
	}
}

// gangTaskEnded sends all worker processes the directive for the other tasks of a gang after one
// of its tasks has ended: to complete them or to end them. It sends none if the gang was not
// running. If that task was stopped, the directive is delayed by the gang peer timeout of the
// site, so that the controllers have the time to stop the other tasks as well. The caller
// holds the lock.
func (m *Monitor) gangTaskEnded(key gangAttemptKey, task protocol.TaskID, cause protocol.EndCause) {
	kind := m.gangs.taskEnded(key, task, cause)
	if kind == 0 {
		return
	}
	d := Directive{Kind: kind, Job: key.job, Attempt: key.attempt}
	if cause != protocol.EndStopped {
		m.enqueueForAllWorkers(d)
		return
	}
	time.AfterFunc(clock.Seconds(m.site.Timings.GangPeerS), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.enqueueForAllWorkers(d)
	})
}

// Upload stores descriptions of jobs and records the time of their upload.
func (m *Monitor) Upload(in Descriptions, _ *Empty) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, job := range in.Jobs {
		m.jobs[id] = job
		m.userEvents = append(m.userEvents, rules.UserEvent{RequestedAt: clock.Now(), AnsweredAt: clock.Now(), Kind: rules.UserDescribes, Job: id, Description: job})
	}
	return nil
}

// Describe returns the requested descriptions of jobs; jobs without one are left out.
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

// SetLimitChanges replaces the stored list of the changes that the operator has made to teams'
// limits on processors.
func (m *Monitor) SetLimitChanges(changes []rules.LimitChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limitChanges = changes
}

// Analyze computes the metrics of the run from the collected events.
func (m *Monitor) Analyze() *analysis.Metrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	run := analysis.Run{Site: m.site, Jobs: m.jobs, Machines: m.machineEvents, Users: m.userEvents, LimitChanges: m.limitChanges}
	for _, fault := range m.faults {
		run.Faults = append(run.Faults, fault.Fault)
	}
	return run.Analyze()
}
