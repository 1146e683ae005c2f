package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// defaultStep is the time between two steps of a world.
	defaultStep = 50 * time.Millisecond
	// nodeLeaseDuration is the length of a controller's lease.
	nodeLeaseDuration = 8 * time.Second
	// spareMachines is how many machines the cloud has beyond those of the start.
	spareMachines = 6
)

// world simulates controllers' cores against models of their surroundings, and checks the
// rules after every step.
type world struct {
	*timeline
	network
	stateService
	hooks

	fail     func(format string, args ...any) // called for each violation of a rule
	rng      *rand.Rand
	settings *config.Settings
	types    []protocol.TypeInfo

	cloud            *fake.Cloud
	cloudSilentUntil time.Duration // until when the cloud does not answer
	workers          map[protocol.MachineID]*worker
	machineOrder     []protocol.MachineID
	nodes            []*node

	jobs        map[protocol.JobID]protocol.Job
	jobOrder    []protocol.JobID
	submissions int // jobs, ever
	cancelled   map[protocol.JobID]time.Duration
	faultyJobs  map[protocol.JobID]bool // whose tasks fail everywhere
	finalState  map[protocol.JobID]string
	results     map[protocol.TaskID]bool
	onMachine   map[protocol.TaskID]*fake.Worker

	layout      record.Layout // that controllers know
	step        time.Duration // between the ticks of the controllers' watches
	eventDriven bool          // events happen at their own times, not with the steps
	startMS     int64         // the time of day at the start
	operator    config.Operator
	nodeLease   time.Duration // of the controllers, by their own clocks

	// duplicateHeartbeatFraction is the fraction of the heartbeats of which a copy arrives
	// again, up to two leases later.
	duplicateHeartbeatFraction float64
	// keepHeartbeats has copies of some heartbeats kept until a new view is written, and
	// then delivered to every controller.
	keepHeartbeats bool
	keptHeartbeats []protocol.Heartbeat
	viewVersion    protocol.Version // as last seen

	checkedChanges int // of the state service, against the rules
	movedAt        map[sharding.ID]time.Duration
	counters
}

// counters count what has happened in a world.
type counters struct {
	starts             int // of tasks
	peakRunning        int // tasks on machines at a time
	expiredLeases      int // of workers
	blockWrites        int
	reservationChanges int
	movePauses         []time.Duration // of moves of shards
	abortedMoves       int
}

// hooks are called by a world for what the driver or a test decides or observes.
type hooks struct {
	runTime       func(protocol.TaskID) time.Duration
	bootTime      func(protocol.ProvisionRequest) time.Duration
	ageS          func(protocol.MachineID) float64 // since a machine was provisioned
	onCheckpoint  func(protocol.TaskID, time.Duration)
	onProvisioned func(protocol.MachineID, protocol.ProvisionRequest)
	onTerminated  func(protocol.MachineID)
	onTaskStarted func(protocol.MachineID, protocol.TaskID)
	onTaskEnded   func(protocol.MachineID, protocol.TaskID, protocol.EndCause)
	// onOrders is called when a process has sent orders to a worker, directly or in an
	// answer.
	onOrders func(*node, []protocol.Order)
	// onConfiguration is called when another configuration is in force at a controller.
	onConfiguration func(*node, *dynamicconfig.Effective)
	// cancelVia, if set, cancels jobs through the controllers instead of by a transaction.
	cancelVia func(protocol.JobID)
	// teamLimit returns a team's limit in processors; 0 means no limit.
	teamLimit func(protocol.Team) float64
}

// newWorld returns a world with as many controllers as the settings say, some machines
// that are up, and a cloud with some more machines.
func newWorld(fail func(string, ...any), seed uint64, settings *config.Settings, machines, up int) *world {
	rng, t := rand.New(rand.NewPCG(seed, 1)), &timeline{}
	w := &world{
		timeline: t, network: newNetwork(t, rng), stateService: newStateService(t),
		fail: fail, rng: rng, settings: settings, types: defaultMachineTypes(),
		cloud: fake.NewCloud(machines + spareMachines), workers: map[protocol.MachineID]*worker{},
		jobs: map[protocol.JobID]protocol.Job{}, cancelled: map[protocol.JobID]time.Duration{},
		faultyJobs: map[protocol.JobID]bool{}, finalState: map[protocol.JobID]string{},
		results: map[protocol.TaskID]bool{}, onMachine: map[protocol.TaskID]*fake.Worker{},
		layout: record.LayoutShards, step: defaultStep, startMS: 1, operator: config.DefaultOperator(),
		nodeLease: nodeLeaseDuration, movedAt: map[sharding.ID]time.Duration{},
	}
	w.hooks = w.defaultHooks()
	for i := range up {
		r := protocol.ProvisionRequest{Name: fmt.Sprint("first", i), Type: w.types[i%2].Name, Zone: w.types[0].AllowZones[i/2%2], Spot: i%3 == 0, Count: 1}
		_, ids := w.cloud.Provision(r)
		w.bootMachine(ids[0], r)
	}
	for i := range settings.Site.Count {
		n := &node{world: w, name: protocol.NodeName(fmt.Sprint(nodePrefix, i)), layout: record.LayoutShards}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// defaultMachineTypes returns the machine types of a world without a site.
func defaultMachineTypes() []protocol.TypeInfo {
	return []protocol.TypeInfo{
		{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
		{Name: "large", CPUs: 8, MemoryGB: 32, FetchGBPS: 1, Price: 2, SpotPrice: 0.6, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
	}
}

// defaultHooks returns hooks that draw short run and boot times, and observe nothing.
func (w *world) defaultHooks() hooks {
	return hooks{
		runTime:         func(protocol.TaskID) time.Duration { return time.Duration(1000+w.rng.IntN(9000)) * time.Millisecond },
		bootTime:        func(protocol.ProvisionRequest) time.Duration { return time.Duration(3+w.rng.IntN(8)) * time.Second },
		ageS:            func(protocol.MachineID) float64 { return 30 },
		onProvisioned:   func(protocol.MachineID, protocol.ProvisionRequest) {},
		onTerminated:    func(protocol.MachineID) {},
		onTaskStarted:   func(protocol.MachineID, protocol.TaskID) {},
		onTaskEnded:     func(protocol.MachineID, protocol.TaskID, protocol.EndCause) {},
		onOrders:        func(*node, []protocol.Order) {},
		onConfiguration: func(*node, *dynamicconfig.Effective) {},
		teamLimit: func(name protocol.Team) float64 {
			team, _ := w.settings.Team(name)
			return team.MaxCPUs
		},
	}
}

// wallMS returns the time of day.
func (w *world) wallMS() int64 { return w.startMS + w.now.Milliseconds() }

// submit accepts a job as the admission of a controller does, if the state service is
// available.
func (w *world) submit(j protocol.Job) {
	j.ID = protocol.JobID(fmt.Sprintf("job-%06d", w.submissions))
	j.SubmittedMS = w.wallMS()
	j.Image, j.ImageGB, j.MemoryGB = "img", 1, 1
	if w.isUnavailable() || !w.state.Txn(admission.AcceptTransaction(&j)) {
		return
	}
	w.submissions++
	w.jobs[j.ID] = j
	w.jobOrder = append(w.jobOrder, j.ID)
}

// cancel cancels a job.
func (w *world) cancel(id protocol.JobID) {
	if w.cancelVia != nil {
		w.cancelVia(id)
		return
	}
	it, _ := w.state.Get(record.JobKey(id))
	if !w.isUnavailable() && w.state.Txn(admission.CancelTransaction(id, it.Version, record.JobRecord{Tasks: w.jobs[id].Tasks})) {
		w.cancelled[id] = w.now
	}
}

// run simulates until a time.
func (w *world) run(until time.Duration) {
	for w.now < until {
		end := w.now + w.step
		if !w.eventDriven {
			w.now = end
		}
		w.runEvents(end)
		w.now = end
		w.advanceStateService()
		w.deliverKeptHeartbeats()
		w.recordChangeTimes()
		for _, id := range w.machineOrder {
			w.workers[id].step()
		}
		w.advanceGangs()
		for _, n := range w.nodes {
			n.tick()
		}
		w.checkRules()
	}
}
