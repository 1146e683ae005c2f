package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
)

// Times of the workers, in seconds. The settings of the controllers must have the same
// values.
const (
	// HeartbeatSeconds is the time between heartbeats.
	HeartbeatSeconds = 2.0
	// LeaseSeconds is the duration of a worker's lease.
	LeaseSeconds = 12.0
)

// The boot time of a machine is between minBootFactor and minBootFactor+bootSpread times
// the boot time of its type.
const (
	minBootFactor = 0.6
	bootSpread    = 0.9
)

// Platform runs a key-value store, a cloud and workers in one process until it is closed.
type Platform struct {
	State, Cloud string // addresses of the key-value store and the cloud

	stateService *StateService
	cloudService *CloudService
	host         *Host
	startedAt    time.Time

	mu          sync.Mutex
	terminated  map[protocol.MachineID]bool // including machines that were terminated while they booted
	jobs        map[protocol.JobID]protocol.Job
	firstStarts map[protocol.TaskID]time.Time
	startCounts map[protocol.JobID]int
}

// New starts a platform that can provision up to machines machines of the given types.
// The map nodes has the addresses of the controllers by name. A task runs for the estimate of
// its job.
func New(types []protocol.TypeInfo, machines int, nodes map[protocol.NodeName]string) (*Platform, error) {
	p := &Platform{
		startedAt: time.Now(), terminated: map[protocol.MachineID]bool{}, jobs: map[protocol.JobID]protocol.Job{},
		firstStarts: map[protocol.TaskID]time.Time{}, startCounts: map[protocol.JobID]int{},
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

// Close stops all servers and workers.
func (p *Platform) Close() {
	p.host.Close()
	p.cloudService.Close()
	p.stateService.Close()
}

// CopyCommands makes copies of direct commands to the workers arrive from now on.
func (p *Platform) CopyCommands(copies CommandCopies) { p.host.CopyCommands(copies) }

// CopyCounts returns the counts of the copies of direct commands.
func (p *Platform) CopyCounts() CopyCounts { return p.host.CopyCounts() }

// RegisterJob registers the description of a submitted job, so that workers can read it.
func (p *Platform) RegisterJob(j protocol.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
}

// Describe returns the descriptions of those of the given jobs that were registered. It never
// returns an error.
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

// FirstStarts returns the time of the first start of each task of a job, in no particular
// order.
func (p *Platform) FirstStarts(id protocol.JobID) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times []time.Time
	for t, at := range p.firstStarts {
		if t.Job == id {
			times = append(times, at)
		}
	}
	return times
}

// StartCount returns the number of task starts of a job, including repeated starts of the
// same task.
func (p *Platform) StartCount(id protocol.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCounts[id]
}

// now returns the time of the platform's monotonic clock.
func (p *Platform) now() time.Duration { return time.Since(p.startedAt) }

// Provisioned puts a provisioned machine into service after a random boot time around that of
// its type, unless it is terminated before.
func (p *Platform) Provisioned(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	boot := seconds((minBootFactor + bootSpread*rand.Float64()) * info.BootS)
	time.AfterFunc(boot, func() {
		if p.isTerminated(id) {
			return
		}
		if err := p.host.StartMachine(id, info, req.Zone, req.Spot); err != nil {
			return // this machine never finishes booting
		}
		if p.isTerminated(id) { // it was terminated while its worker started
			p.host.StopMachines(id)
		}
	})
}

// isTerminated reports whether Terminate was called for a machine.
func (p *Platform) isTerminated(id protocol.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terminated[id]
}

// Terminate terminates machines, including those that are still booting. It never returns an
// error.
func (p *Platform) Terminate(ids []protocol.MachineID) error {
	p.mu.Lock()
	for _, id := range ids {
		p.terminated[id] = true
	}
	p.mu.Unlock()
	p.host.StopMachines(ids...)
	return nil
}

// Machine returns the entry of a machine for the cloud's list and reports whether the machine
// is in service.
func (p *Platform) Machine(id protocol.MachineID) (MachineListing, bool) { return p.host.Machine(id) }

// MachineUp ignores the event.
func (p *Platform) MachineUp(protocol.MachineID, protocol.TypeInfo, protocol.Zone, bool, time.Duration) {
}

// MachineLost ignores the event.
func (p *Platform) MachineLost(protocol.MachineID, time.Duration) {}

// TaskStartAccepted ignores the event.
func (p *Platform) TaskStartAccepted(protocol.MachineID, protocol.TaskID, protocol.Attempt, time.Duration) {
}

// TaskStarted counts the start and records the wall-clock time of a task's first start.
func (p *Platform) TaskStarted(_ protocol.MachineID, task protocol.TaskID, _ protocol.Attempt, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startCounts[task.Job]++
	if _, known := p.firstStarts[task]; !known {
		p.firstStarts[task] = time.Now()
	}
}

// TaskEnded ignores the event.
func (p *Platform) TaskEnded(protocol.MachineID, protocol.TaskID, protocol.Attempt, protocol.EndCause, time.Duration) {
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
