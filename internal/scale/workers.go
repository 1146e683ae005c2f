package scale

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/transport"
)

const (
	// exchangeEvery is how often a process of many workers, or of users, speaks to
	// the hub; one of a single worker does so less often, so that what the worker
	// spends can be read off its process.
	exchangeEvery       = 100 * time.Millisecond
	exchangeEverySingle = 500 * time.Millisecond
	hubTimeout          = 10 * time.Second
	// runJitter is by what part of itself the run time of tasks varies.
	runJitter = 0.2
)

// workersRole runs workers as the hub says.
type workersRole struct {
	name string
	hub  *transport.Peer
	host *server.Host
	log  *slog.Logger

	mu         sync.Mutex
	seen       []rules.MachineEvent
	came       []protocol.MachineID // since the last exchange
	cancelled  map[protocol.MachineID]bool
	carried    uint64
	exchanging sync.Mutex // one exchange at a time
	unheard    *Exchange  // whose answer was lost: it is repeated
	number     uint64     // of the last exchange
}

// newWorkersRole begins to run workers.
func newWorkersRole(cfg RoleConfig, log *slog.Logger) *workersRole {
	r := &workersRole{name: cfg.Name, hub: transport.NewPeer(cfg.Hub), log: log, cancelled: map[protocol.MachineID]bool{}}
	r.host = server.NewHost(server.HostConfig{
		Controllers: cfg.Controllers, Report: seconds(cfg.Site.Timings.ReportS), Lease: seconds(cfg.Site.Timings.LeaseS), GangWait: seconds(cfg.Site.Timings.GangWaitS),
		CachedImages: true, RunTime: runTime, Jobs: r, Observer: r, Clock: Now, Results: map[protocol.TaskID]bool{},
	})
	every := exchangeEverySingle
	if isShared(cfg.Name) {
		every = exchangeEvery
	}
	go r.exchanges(every)
	return r
}

// runTime is how long a task runs: its job's estimate, more or less, the same each
// time; tasks of a gang run equally long.
func runTime(job protocol.Job, task protocol.TaskID) time.Duration {
	h := fnv.New32a()
	if job.Kind == protocol.KindGang {
		task.Index = 0
	}
	_, _ = fmt.Fprint(h, task) // a hash takes all bytes
	part := float64(h.Sum32()%1000) / 1000
	return seconds(job.EstimateS * (1 - runJitter + 2*runJitter*part))
}

// exchanges speaks to the hub again and again.
func (r *workersRole) exchanges(every time.Duration) {
	for {
		time.Sleep(every)
		if err := r.exchange(); err != nil {
			r.log.Error("exchange with the hub", "err", err)
		}
	}
}

// exchange tells the hub what was seen, and carries out what it says.
func (r *workersRole) exchange() error {
	r.exchanging.Lock()
	defer r.exchanging.Unlock()
	if r.unheard == nil {
		r.unheard = r.gather()
	}
	var out Directives
	if err := r.hub.Call(hubService+".Exchange", *r.unheard, &out, hubTimeout); err != nil {
		return err
	}
	r.unheard = nil
	for _, d := range out.List {
		if d.Number <= r.carried {
			continue // told again, as the hub has not heard of it yet
		}
		r.carryOut(d)
		r.mu.Lock()
		r.carried = d.Number
		r.mu.Unlock()
	}
	return nil
}

// gather is what was seen since the last exchange.
func (r *workersRole) gather() *Exchange {
	oldest := r.host.OldestAnswered()
	r.mu.Lock()
	r.number++
	in := &Exchange{Process: r.name, Number: r.number, Carried: r.carried, Machines: r.seen, Oldest: oldest, Addresses: map[protocol.MachineID]server.Listed{}}
	came := r.came
	r.seen, r.came = nil, nil
	r.mu.Unlock()
	for _, id := range came {
		if listed, ok := r.host.Machine(id); ok {
			in.Addresses[id] = listed
		}
	}
	return in
}

func (r *workersRole) carryOut(d Directive) {
	switch d.Kind {
	case DirectUp:
		time.AfterFunc(d.After, func() { r.up(d) })
	case DirectKill:
		r.mu.Lock()
		r.cancelled[d.Machine] = true
		r.mu.Unlock()
		r.host.Kill(d.Machine)
	case DirectRestart:
		r.host.Restart(d.Machine, d.After)
	case DirectGangComplete:
		r.host.GangComplete(d.Job, d.Attempt)
	case DirectGangLost:
		r.host.GangLost(d.Job, d.Attempt)
	case DirectGangDone:
		r.host.GangDone(d.Job, d.Attempt)
	}
}

// up has a machine come up, unless it was returned meanwhile.
func (r *workersRole) up(d Directive) {
	if r.isReturned(d.Machine) {
		return
	}
	if err := r.host.Up(d.Machine, d.Type, d.Zone, d.Spot); err != nil {
		r.log.Error("a machine does not come up", "machine", d.Machine, "err", err)
		return
	}
	if r.isReturned(d.Machine) {
		r.host.Kill(d.Machine)
	}
}

func (r *workersRole) isReturned(id protocol.MachineID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled[id]
}

// Describe asks the hub for descriptions.
func (r *workersRole) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	var out JobsKnown
	err := r.hub.Call(hubService+".Describe", JobsAsked{ids}, &out, hubTimeout)
	return out.Jobs, err
}

// Up notes a machine that has come up.
func (r *workersRole) Up(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration) {
	r.note(rules.MachineEvent{At: at, Kind: rules.MachineUp, Machine: id, Type: info.Name, Zone: zone, Spot: spot})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.came = append(r.came, id)
}

// Gone notes a machine that is gone.
func (r *workersRole) Gone(id protocol.MachineID, at time.Duration) {
	r.note(rules.MachineEvent{At: at, Kind: rules.MachineLost, Machine: id})
}

// Ordered notes a task whose start was taken.
func (r *workersRole) Ordered(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	r.note(rules.MachineEvent{At: at, Kind: rules.TaskStartAccepted, Machine: id, Task: task, Attempt: attempt})
}

// On notes a task that has come onto its machine.
func (r *workersRole) On(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	r.note(rules.MachineEvent{At: at, Kind: rules.TaskStarted, Machine: id, Task: task, Attempt: attempt})
}

// Off notes a task that has left its machine.
func (r *workersRole) Off(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration) {
	r.note(rules.MachineEvent{At: at, Kind: rules.TaskEnded, Machine: id, Task: task, Attempt: attempt, Cause: cause})
}

func (r *workersRole) note(e rules.MachineEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, e)
}

// report is what the process has spent.
func (r *workersRole) report() RoleReport {
	if err := r.exchange(); err != nil {
		r.log.Error("last exchange with the hub", "err", err)
	}
	return RoleReport{Traffic: r.host.Traffic.Flows()}
}
