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
	// nodeLeaseDuration is the length of the lease of a controller's session.
	nodeLeaseDuration = 8 * time.Second
	// spareMachines is how many machines the cloud has in addition to the capacity that
	// newWorld is given.
	spareMachines = 6
)

// world simulates the cores of controllers against models of their environment, and checks
// the rules after every step.
type world struct {
	*timeline
	network
	stateService
	hooks

	fail     func(format string, args ...any) // reports a violation of a rule
	rng      *rand.Rand
	settings *config.Settings
	types    []protocol.TypeInfo

	cloud            *fake.Cloud
	cloudSilentUntil time.Duration // the cloud does not reply until then
	workers          map[protocol.MachineID]*worker
	machineOrder     []protocol.MachineID
	nodes            []*node

	jobs        map[protocol.JobID]protocol.Job
	jobOrder    []protocol.JobID
	submissions int                              // number of the next job
	cancelled   map[protocol.JobID]time.Duration // when the cancellation was confirmed
	faultyJobs  map[protocol.JobID]bool          // jobs whose tasks fail on every machine
	finalState  map[protocol.JobID]string
	results     map[protocol.TaskID]bool // tasks that have completed
	onMachine   map[protocol.TaskID]*fake.Worker

	layout      record.Layout // record layout that restarted controllers support
	step        time.Duration // between the ticks of controllers and watches
	eventDriven bool          // events run at their exact times, not at the end of a step
	startMS     int64         // wall-clock time at the start, in Unix milliseconds
	operator    config.Operator
	nodeLease   time.Duration // length of the lease that controllers assume by their own clocks

	// duplicateHeartbeatFraction is the fraction of the heartbeats that arrive a second time,
	// between two seconds and two leases and two seconds later.
	duplicateHeartbeatFraction float64
	// recordHeartbeats makes the world record heartbeats until a new view is written, and then
	// replay them to every controller.
	recordHeartbeats   bool
	recordedHeartbeats []protocol.Heartbeat
	viewVersion        protocol.Version // version of the view at the last step

	checkedChanges int                           // changes of the key-value store that were checked against the rules
	movedAt        map[sharding.ID]time.Duration // when each shard last moved
	counters
}

// counters counts events in a world.
type counters struct {
	starts             int // starts of tasks
	peakRunning        int // most tasks on machines at the same time
	expiredLeases      int // leases of workers that have expired
	blockWrites        int // writes of blocks, the records of many machines
	reservationChanges int
	movePauses         []time.Duration // for how long each shard move paused starts
	abortedMoves       int
	commandCopies      int // copies of commands that reached a worker
	// repeatedStarts are the attempts that a copy of a command started although the worker had
	// started and forgotten them before.
	repeatedStarts []repeatedStart
}

// repeatedStart is the start of an attempt by a copy of a command that was executed before.
type repeatedStart struct {
	at      time.Duration
	machine protocol.MachineID
	task    protocol.TaskID
}

// hooks are functions that a world calls, so that a driver or a test can make decisions and
// observe events.
type hooks struct {
	runTime       func(protocol.TaskID) time.Duration           // how long a task runs
	bootTime      func(protocol.ProvisionRequest) time.Duration // how long a machine takes to boot
	ageS          func(protocol.MachineID) float64              // seconds since a machine was provisioned
	onCheckpoint  func(protocol.TaskID, time.Duration)          // with the remaining run time of the task
	onProvisioned func(protocol.MachineID, protocol.ProvisionRequest)
	onTerminated  func(protocol.MachineID)
	onTaskStarted func(protocol.MachineID, protocol.TaskID)
	onTaskEnded   func(protocol.MachineID, protocol.TaskID, protocol.EndCause)
	// onRepeatedStart is called when a copy of a command starts an attempt that its worker has
	// forgotten.
	onRepeatedStart func(repeatedStart)
	// onOrders is called when a controller sends orders to a worker, in a command or in the
	// reply to a heartbeat.
	onOrders func(*node, []protocol.Order)
	// onConfiguration is called when another configuration takes effect at a controller.
	onConfiguration func(*node, *dynamicconfig.Effective)
	// cancelVia, if set, cancels jobs through the controllers instead of by a transaction.
	cancelVia func(protocol.JobID)
	// teamLimit returns the limit of a team in processors; 0 means no limit.
	teamLimit func(protocol.Team) float64
}

// newWorld returns a world with as many controllers as the settings specify, initialMachines
// running machines, and a cloud of up to capacity and spareMachines machines. Violations of
// rules are reported to fail; the seed determines all random draws.
func newWorld(fail func(string, ...any), seed uint64, settings *config.Settings, capacity, initialMachines int) *world {
	rng, t := rand.New(rand.NewPCG(seed, 1)), &timeline{}
	w := &world{
		timeline: t, network: newNetwork(t, rng), stateService: newStateService(t),
		fail: fail, rng: rng, settings: settings, types: defaultMachineTypes(),
		cloud: fake.NewCloud(capacity + spareMachines), workers: map[protocol.MachineID]*worker{},
		jobs: map[protocol.JobID]protocol.Job{}, cancelled: map[protocol.JobID]time.Duration{},
		faultyJobs: map[protocol.JobID]bool{}, finalState: map[protocol.JobID]string{},
		results: map[protocol.TaskID]bool{}, onMachine: map[protocol.TaskID]*fake.Worker{},
		layout: record.LayoutShards, step: defaultStep, startMS: 1, operator: config.DefaultOperator(),
		nodeLease: nodeLeaseDuration, movedAt: map[sharding.ID]time.Duration{},
	}
	w.hooks = w.defaultHooks()
	for i := range initialMachines {
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

// defaultHooks returns hooks that draw short run and boot times and ignore events.
func (w *world) defaultHooks() hooks {
	return hooks{
		runTime:         func(protocol.TaskID) time.Duration { return time.Duration(1000+w.rng.IntN(9000)) * time.Millisecond },
		bootTime:        func(protocol.ProvisionRequest) time.Duration { return time.Duration(3+w.rng.IntN(8)) * time.Second },
		ageS:            func(protocol.MachineID) float64 { return 30 },
		onProvisioned:   func(protocol.MachineID, protocol.ProvisionRequest) {},
		onTerminated:    func(protocol.MachineID) {},
		onTaskStarted:   func(protocol.MachineID, protocol.TaskID) {},
		onTaskEnded:     func(protocol.MachineID, protocol.TaskID, protocol.EndCause) {},
		onRepeatedStart: func(r repeatedStart) { w.repeatedStarts = append(w.repeatedStarts, r) },
		onOrders:        func(*node, []protocol.Order) {},
		onConfiguration: func(*node, *dynamicconfig.Effective) {},
		teamLimit: func(name protocol.Team) float64 {
			team, _ := w.settings.Team(name)
			return team.MaxCPUs
		},
	}
}

// wallMS returns the simulated wall-clock time in Unix milliseconds.
func (w *world) wallMS() int64 { return w.startMS + w.now.Milliseconds() }

// submit assigns an ID to a new job and writes its records as a controller's admission does.
// If the key-value store is unavailable or refuses the records, it drops the job.
func (w *world) submit(j protocol.Job) {
	j.ID = protocol.JobID(fmt.Sprintf("job-%06d", w.submissions))
	j.SubmittedMS = w.wallMS()
	j.Image, j.ImageGB, j.MemoryGB = "img", 1, 1
	if w.isUnavailable() || !w.state.Execute(admission.AcceptTransaction(&j)) {
		return
	}
	w.submissions++
	w.jobs[j.ID] = j
	w.jobOrder = append(w.jobOrder, j.ID)
}

// cancel cancels a job through cancelVia if that is set, otherwise by a transaction, and
// records the time if it succeeds. It does nothing if the key-value store is unavailable.
func (w *world) cancel(id protocol.JobID) {
	if w.cancelVia != nil {
		w.cancelVia(id)
		return
	}
	it, _ := w.state.Get(record.JobKey(id))
	if !w.isUnavailable() && w.state.Execute(admission.CancelTransaction(id, it.Version, record.JobRecord{Tasks: w.jobs[id].Tasks})) {
		w.cancelled[id] = w.now
	}
}

// run simulates up to a time, in steps: each runs the due events, then advances the key-value
// store, workers, gangs and nodes, and checks the rules.
func (w *world) run(until time.Duration) {
	for w.now < until {
		end := w.now + w.step
		if !w.eventDriven {
			w.now = end
		}
		w.runEvents(end)
		w.now = end
		w.advanceStateService()
		w.replayHeartbeats()
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
