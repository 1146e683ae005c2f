// Package simulator plays days of a site in simulated time: the real cores of the
// controllers against models of the state service, the cloud and the workers,
// with faults, by a seed. The rules of the protocol are checked after every
// step.
package simulator

import (
	"container/heap"
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

// world plays controllers' cores against stand-ins in simulated time, and
// checks the rules after every step.
type world struct {
	fail     func(format string, args ...any) // a rule is broken
	rng      *rand.Rand
	now      time.Duration
	todo     events
	seq      int
	settings *config.Settings
	types    []protocol.TypeInfo

	state   *fake.State
	outage  time.Duration // until when
	cloud   *fake.Cloud
	workers map[protocol.MachineID]*simWorker
	order   []protocol.MachineID
	nodes   []*simNode
	cuts    map[string]cut // by the two ends

	jobs      map[protocol.JobID]protocol.Job
	jobOrder  []protocol.JobID
	submitted int // jobs, ever
	cancelled map[protocol.JobID]time.Duration
	mistaken  map[protocol.JobID]bool // fail wherever they run
	final     map[protocol.JobID]string
	results   map[protocol.TaskID]bool
	onMachine map[protocol.TaskID]*fake.Worker
	starts    int

	layout   record.Layout // that controllers know
	step     time.Duration // between the ticks of the controllers' watches
	exact    bool          // events happen at their own times, not with the steps
	startMS  int64         // the time of day at the beginning
	operator config.Operator
	runTime  func(protocol.TaskID) time.Duration
	saved    func(protocol.TaskID, time.Duration) // see standin.Worker
	bootTime func(protocol.ProvisionRequest) time.Duration
	rented   func(protocol.MachineID, protocol.ProvisionRequest)
	gone     func(protocol.MachineID)
	heldS    func(protocol.MachineID) float64          // how long a machine has been rented
	started  func(protocol.MachineID, protocol.TaskID) // a task starts
	// endedTask: a task ends on a machine.
	endedTask func(protocol.MachineID, protocol.TaskID, protocol.EndCause)
	// cancelBy, if set, has users cancel jobs, instead of the records at once.
	cancelBy func(protocol.JobID)
	// ordered: a process has sent orders to a worker, directly or in an answer.
	ordered func(*simNode, []protocol.Order)
	// limitOf is the limit in processors that a team's use is held against; 0: none.
	limitOf func(protocol.Team) float64
	// configured: another configuration is in force at a controller.
	configured func(*simNode, *dynamicconfig.Effective)
	silent     time.Duration // until when the cloud answers nothing
	checked    int           // changes of the state service that the rules have been held against

	slow     time.Duration // how long the state service takes
	lag      time.Duration // by how much later controllers follow the records
	wasOut   bool          // the state service was out at the last step
	ownLease time.Duration // of the controllers, by their own clocks
	// lateWrites is the share of the transactions that get no answer and are carried
	// out seconds later, after newer ones; lateReports that of the reports of which a
	// copy arrives again, up to two leases later.
	lateWrites, lateReports float64
	// lostAnswers is the share of transactions of which only the answer is lost, beside
	// those that always are.
	lostAnswers float64
	// forNext has a copy of some reports kept until a new view is written, which then
	// reaches every controller.
	forNext     bool
	keptReports []protocol.Heartbeat
	viewAt      protocol.Version // as last seen
	// heldUp is the share of commands, reports and their answers that take seconds.
	heldUp   float64
	loggedAt []time.Duration // when its changes happened
	promised int             // changes of the calendar
	lapsed   int             // workers' leases that ran out

	pauses  []time.Duration               // of moves of shares
	givenUp int                           // moves
	movedAt map[sharding.ID]time.Duration // when a share last moved

	blockWrites int
	mostOn      int // tasks at a time
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	usualStep    = 50 * time.Millisecond
	simNodeLease = 8 * time.Second
)

// newWorld has as many controllers as the settings say, and a cloud that has some more machines than
// are up at the start.
func newWorld(fail func(string, ...any), seed uint64, settings *config.Settings, machines, up int) *world {
	w := &world{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, state: fake.NewState(),
		cloud: fake.NewCloud(machines + 6), workers: map[protocol.MachineID]*simWorker{}, cuts: map[string]cut{},
		jobs: map[protocol.JobID]protocol.Job{}, cancelled: map[protocol.JobID]time.Duration{}, mistaken: map[protocol.JobID]bool{}, final: map[protocol.JobID]string{},
		results: map[protocol.TaskID]bool{}, onMachine: map[protocol.TaskID]*fake.Worker{},
		types: []protocol.TypeInfo{
			{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
			{Name: "large", CPUs: 8, MemoryGB: 32, FetchGBPS: 1, Price: 2, SpotPrice: 0.6, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
		},
	}
	w.layout = record.LayoutShards
	w.step, w.startMS, w.operator, w.ownLease = usualStep, 1, config.DefaultOperator(), simNodeLease
	w.runTime = func(protocol.TaskID) time.Duration { return time.Duration(1000+w.rng.IntN(9000)) * time.Millisecond }
	w.bootTime = func(protocol.ProvisionRequest) time.Duration { return time.Duration(3+w.rng.IntN(8)) * time.Second }
	w.heldS = func(protocol.MachineID) float64 { return 30 }
	w.started = func(protocol.MachineID, protocol.TaskID) {}
	w.endedTask, w.movedAt = func(protocol.MachineID, protocol.TaskID, protocol.EndCause) {}, map[sharding.ID]time.Duration{}
	w.ordered = func(*simNode, []protocol.Order) {}
	w.limitOf = func(name protocol.Team) float64 {
		team, _ := w.settings.Team(name)
		return team.MaxCPUs
	}
	w.configured = func(*simNode, *dynamicconfig.Effective) {}
	w.rented, w.gone = func(protocol.MachineID, protocol.ProvisionRequest) {}, func(protocol.MachineID) {}
	for i := range up {
		r := protocol.ProvisionRequest{Name: fmt.Sprint("first", i), Type: w.types[i%2].Name, Zone: w.types[0].AllowZones[i/2%2], Spot: i%3 == 0, Count: 1}
		_, ids := w.cloud.Rent(r)
		w.boot(ids[0], r)
	}
	for i := range settings.Site.Count {
		n := &simNode{world: w, name: protocol.NodeName(fmt.Sprint("node-", i)), layout: record.LayoutShards}
		w.nodes = append(w.nodes, n)
		n.startNode()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.todo, event{w.now + d, w.seq, do})
}

// wallMS is the time of day.
func (w *world) wallMS() int64 { return w.startMS + w.now.Milliseconds() }

// submit accepts a job as intake does.
func (w *world) submit(j protocol.Job) {
	j.ID = protocol.JobID(fmt.Sprintf("job-%06d", w.submitted))
	j.SubmittedMS = w.wallMS()
	j.Image, j.ImageGB, j.MemoryGB = "img", 1, 1
	if w.outage > w.now || !w.state.Txn(admission.AcceptTransaction(&j)) {
		return
	}
	w.submitted++
	w.jobs[j.ID] = j
	w.jobOrder = append(w.jobOrder, j.ID)
}

func (w *world) cancel(id protocol.JobID) {
	if w.cancelBy != nil {
		w.cancelBy(id)
		return
	}
	it, _ := w.state.Get(record.JobKey(id))
	if w.outage <= w.now && w.state.Txn(admission.CancelTransaction(id, it.Version, record.JobRecord{Tasks: w.jobs[id].Tasks})) {
		w.cancelled[id] = w.now
	}
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for w.now < until {
		end := w.now + w.step
		if !w.exact {
			w.now = end
		}
		for len(w.todo) > 0 && w.todo[0].at <= end {
			e := heap.Pop(&w.todo).(event)
			w.now = max(w.now, e.at)
			e.do()
		}
		w.now = end
		out := w.outage > w.now
		if w.wasOut && !out {
			w.state.Restore(w.now)
		}
		if w.wasOut = out; !out {
			w.state.Expire(w.now)
		}
		w.deliverKept()
		for w.state.Before+len(w.loggedAt) < w.state.Changes() {
			w.loggedAt = append(w.loggedAt, w.now)
		}
		for _, id := range w.order {
			sw := w.workers[id]
			switch {
			case !w.exact:
				sw.tick()
			case w.now >= sw.due && !sw.Dead:
				sw.tick()
				if sw.due = max(sw.Next(), w.now+1); !sw.waiting {
					sw.nextAt = min(sw.nextAt, w.now+w.step) // something changed
				}
			}
			if !sw.Dead && !sw.waiting && w.now >= sw.nextAt {
				sw.report()
			}
		}
		w.gangs()
		for _, n := range w.nodes {
			n.tickNode()
		}
		w.checkRules()
	}
}
