package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
)

// Times of the workers, in seconds, as the controllers' settings should name them.
const (
	// HeartbeatSeconds is the time between heartbeats.
	HeartbeatSeconds = 2.0
	// LeaseSeconds is the workers' lease.
	LeaseSeconds = 12.0
)

// Machines take between minBootFactor and minBootFactor+bootSpread times the usual time
// to come up.
const (
	minBootFactor = 0.6
	bootSpread    = 0.9
)

// Platform is a key-value store, a cloud and workers in one process. Close ends it.
type Platform struct {
	State, Cloud string // addresses

	stateService *StateService
	cloudService *CloudService
	host         *Host
	startedAt    time.Time

	mu         sync.Mutex
	terminated map[protocol.MachineID]bool // also those that were still to come up
	jobs       map[protocol.JobID]protocol.Job
	started    map[protocol.TaskID]time.Time
	starts     map[protocol.JobID]int
}

// New starts a platform that provisions so many machines at the most. Nodes are the
// addresses of the controllers.
func New(types []protocol.TypeInfo, machines int, nodes map[protocol.NodeName]string) (*Platform, error) {
	p := &Platform{
		startedAt: time.Now(), terminated: map[protocol.MachineID]bool{}, jobs: map[protocol.JobID]protocol.Job{},
		started: map[protocol.TaskID]time.Time{}, starts: map[protocol.JobID]int{},
	}
	p.host = NewHost(HostConfig{
		Controllers: nodes, HeartbeatInterval: seconds(HeartbeatSeconds), LeaseTime: seconds(LeaseSeconds), GangWait: time.Minute,
		RunTime: func(j protocol.Job, _ protocol.TaskID) time.Duration { return seconds(j.EstimateS) },
		Jobs:    p, Observer: p, Clock: p.now, Results: map[protocol.TaskID]bool{},
	})
	var err error
	if p.stateService, err = NewStateService(Limits{}, p.now); err != nil {
		return nil, err
	}
	if p.cloudService, err = NewCloudService(Limits{}, types, machines, p, p.now); err != nil {
		return nil, err
	}
	p.State, p.Cloud = p.stateService.Addr, p.cloudService.Addr
	return p, nil
}

// Close ends all servers and workers.
func (p *Platform) Close() {
	p.host.Close()
	p.cloudService.Close()
	p.stateService.Close()
}

// Submitted makes a job known to workers, as its user's upload does.
func (p *Platform) Submitted(j protocol.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
}

// Describe reads descriptions that were submitted.
func (p *Platform) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := map[protocol.JobID]protocol.Job{}
	for _, id := range ids {
		if j, ok := p.jobs[id]; ok {
			found[id] = j
		}
	}
	return found, nil
}

// Started is when each task of a job first started.
func (p *Platform) Started(id protocol.JobID) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times []time.Time
	for t, at := range p.started {
		if t.Job == id {
			times = append(times, at)
		}
	}
	return times
}

// Starts is how many times tasks of a job have started, those that started again
// included.
func (p *Platform) Starts(id protocol.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

// now is the platform's monotonic clock.
func (p *Platform) now() time.Duration { return time.Since(p.startedAt) }

// Provisioned has a provisioned machine come up after a while.
func (p *Platform) Provisioned(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	boot := seconds((minBootFactor + bootSpread*rand.Float64()) * info.BootS)
	time.AfterFunc(boot, func() {
		if p.isTerminated(id) {
			return
		}
		if err := p.host.Up(id, info, req.Zone, req.Spot); err != nil {
			return // a machine that never comes up
		}
		if p.isTerminated(id) { // while it came up
			p.host.Kill(id)
		}
	})
}

func (p *Platform) isTerminated(id protocol.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terminated[id]
}

// Terminate terminates machines.
func (p *Platform) Terminate(ids []protocol.MachineID) error {
	p.mu.Lock()
	for _, id := range ids {
		p.terminated[id] = true
	}
	p.mu.Unlock()
	p.host.Kill(ids...)
	return nil
}

// Machine is a machine that is up.
func (p *Platform) Machine(id protocol.MachineID) (Listed, bool) { return p.host.Machine(id) }

// MachineUp does nothing: no test asks for it.
func (p *Platform) MachineUp(protocol.MachineID, protocol.TypeInfo, protocol.Zone, bool, time.Duration) {
}

// MachineLost does nothing: no test asks for it.
func (p *Platform) MachineLost(protocol.MachineID, time.Duration) {}

// TaskStartAccepted does nothing: no test asks for it.
func (p *Platform) TaskStartAccepted(protocol.MachineID, protocol.TaskID, protocol.Attempt, time.Duration) {
}

// TaskStarted counts the starts of a task.
func (p *Platform) TaskStarted(_ protocol.MachineID, task protocol.TaskID, _ protocol.Attempt, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts[task.Job]++
	if _, known := p.started[task]; !known {
		p.started[task] = time.Now()
	}
}

// TaskEnded does nothing: no test asks for it.
func (p *Platform) TaskEnded(protocol.MachineID, protocol.TaskID, protocol.Attempt, protocol.EndCause, time.Duration) {
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
