package coordination

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/standin"
)

// world plays controllers' cores against stand-ins in simulated time, and
// checks the rules after every step.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	todo     events
	seq      int
	settings *config.Settings
	types    []protocol.TypeInfo

	state   *standin.State
	outage  time.Duration // until when
	cloud   *standin.Cloud
	workers map[protocol.MachineID]*simWorker
	order   []protocol.MachineID
	nodes   []*simNode
	cuts    map[string]cut // by the two ends

	jobs      map[protocol.JobID]protocol.Job
	jobOrder  []protocol.JobID
	cancelled map[protocol.JobID]time.Duration
	final     map[protocol.JobID]string
	results   map[protocol.TaskID]bool
	onMachine map[protocol.TaskID]*standin.Worker
	starts    int

	slow     time.Duration   // how long the state service takes
	loggedAt []time.Duration // when its changes happened
	lapsed   int             // workers' leases that ran out

	blockWrites int
	mostOn      int // tasks at a time
}

type cut struct {
	until time.Duration
	hold  bool // packets are held and delivered later, else lost
}

type simNode struct {
	name     protocol.NodeName
	core     *Core
	life     int // counts processes and sessions: answers to earlier ones are lost
	outboxes map[protocol.NodeName]*simOutbox
	session  protocol.LeaseID
	followed int
	layout   bookkeeping.Layout
	frozen   time.Duration // until when its process stands still, clocks running on
	extendAt time.Duration
	born     time.Duration
}

type simOutbox struct {
	*outbox
	busyUntil time.Duration
}

type simWorker struct {
	*standin.Worker
	target  int
	nextAt  time.Duration
	waiting bool
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
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	step         = 50 * time.Millisecond
	simNodeLease = 8 * time.Second
)

func testSettings() *config.Settings {
	s := &config.Settings{}
	s.Site.Count = 3
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", CPUs: 8, MaxCPUs: 12}}
	s.Site.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 10, Share: 0.8}}
	s.Site.Workers = config.Workers{ReportS: 3, LeaseS: 15, GangWaitS: 20, GangPeerS: 5, CancelS: 35}
	s.Site.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12}
	return s
}

// newWorld has three controllers, and a cloud that has some more machines than
// are up at the start.
func newWorld(t testing.TB, seed uint64, settings *config.Settings, machines, up int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, state: standin.NewState(),
		cloud: standin.NewCloud(machines + 6), workers: map[protocol.MachineID]*simWorker{}, cuts: map[string]cut{},
		jobs: map[protocol.JobID]protocol.Job{}, cancelled: map[protocol.JobID]time.Duration{}, final: map[protocol.JobID]string{},
		results: map[protocol.TaskID]bool{}, onMachine: map[protocol.TaskID]*standin.Worker{},
		types: []protocol.TypeInfo{
			{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
			{Name: "large", CPUs: 8, MemoryGB: 32, FetchGBPS: 1, Price: 2, SpotPrice: 0.6, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}},
		},
	}
	for i := range up {
		r := protocol.RentRequest{Name: fmt.Sprint("first", i), Type: w.types[i%2].Name, Zone: w.types[0].AllowZones[i/2%2], Spot: i%3 == 0, Count: 1}
		_, ids := w.cloud.Rent(r)
		w.boot(ids[0], r)
	}
	for i := range 3 {
		n := &simNode{name: protocol.NodeName(fmt.Sprint("node-", i)), layout: bookkeeping.LayoutBlocks}
		w.nodes = append(w.nodes, n)
		w.startNode(n)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.todo, event{w.now + d, w.seq, do})
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.rng.IntN(30)) * time.Millisecond
}

// carry passes a message between two ends: delivered, held back, or lost.
func (w *world) carry(a, b string, deliver func()) (delivered bool) {
	for _, key := range []string{a + ">" + b, b + ">" + a} {
		if c, ok := w.cuts[key]; ok && c.until > w.now {
			if c.hold {
				w.after(c.until-w.now+w.delay(), deliver)
			}
			return false
		}
	}
	w.after(w.delay(), deliver)
	return true
}

// carryToZone is carry between a controller and a machine, whose zone may be
// cut off from it.
func (w *world) carryToZone(n *simNode, z protocol.Zone, deliver func()) {
	w.carry(string(n.name), "zone "+string(z), func() { w.carry(string(n.name), "workers", deliver) })
}

// zoneOf is the zone of a controller.
func (w *world) zoneOf(i int) protocol.Zone {
	zones := w.types[0].AllowZones
	return zones[i%len(zones)]
}

// part cuts zones off from one another: all their controllers and machines. A
// zone that is cut off from everything does not reach the state service.
func (w *world) part(z protocol.Zone, everything bool, d time.Duration, hold bool) {
	for i, n := range w.nodes {
		inside := w.zoneOf(i) == z
		if inside && everything {
			w.cut(string(n.name), "state", d, hold)
		}
		for _, other := range w.types[0].AllowZones {
			if (other == z) != inside {
				w.cut(string(n.name), "zone "+string(other), d, hold)
			}
		}
		for k, peer := range w.nodes {
			if inside && w.zoneOf(k) != z {
				w.cut(string(n.name), string(peer.name), d, hold)
			}
		}
	}
}

func (w *world) cut(a, b string, d time.Duration, hold bool) {
	w.cuts[a+">"+b] = cut{w.now + d, hold}
}

func (w *world) boot(id protocol.MachineID, r protocol.RentRequest) {
	info := w.types[0]
	if r.Type == "large" {
		info = w.types[1]
	}
	sw := &simWorker{target: w.rng.IntN(3), Worker: &standin.Worker{
		ID: id, Info: info, Zone: r.Zone, Spot: r.Spot, LeaseS: w.settings.Site.Workers.LeaseS, Results: w.results,
		GangWait: time.Duration(w.settings.Site.Workers.GangWaitS) * time.Second,
		Jobs:     func(j protocol.JobID) (protocol.Job, bool) { job, ok := w.jobs[j]; return job, ok },
		RunTime:  func(protocol.TaskID) time.Duration { return time.Duration(1000+w.rng.IntN(9000)) * time.Millisecond },
		Started:  w.taskStarted,
		Ended: func(m *standin.Worker, id protocol.TaskID, _ protocol.EndCause) {
			if w.onMachine[id] == m {
				delete(w.onMachine, id)
			}
		},
	}}
	sw.Start(w.now)
	sw.nextAt = w.now + w.delay()
	w.workers[id] = sw
	w.order = append(w.order, id)
}

// kill takes a machine away, with all on it.
func (w *world) kill(id protocol.MachineID) {
	if sw := w.workers[id]; sw != nil && !sw.Dead {
		for _, t := range sw.Tasks() {
			if w.onMachine[t] == sw.Worker {
				delete(w.onMachine, t)
			}
		}
		sw.Dead = true
		delete(w.cloud.Machines, id)
	}
}

// taskStarted checks the rules about starts.
func (w *world) taskStarted(m *standin.Worker, id protocol.TaskID, a protocol.Attempt) {
	w.starts++
	j := w.jobs[id.Job]
	if other := w.onMachine[id]; other != nil && other != m {
		w.t.Fatalf("%v ran_twice: %v starts on %s while on %s", w.now, id, m.ID, other.ID)
	}
	w.onMachine[id] = m
	w.mostOn = max(w.mostOn, len(w.onMachine))
	if at, ok := w.cancelled[id.Job]; ok && (w.now-at).Seconds() > w.settings.Site.Workers.CancelS {
		w.t.Fatalf("%v ran_cancelled: %v starts on %s", w.now, id, m.ID)
	}
	if m.Spot && !j.Spot || j.Zone != "" && j.Zone != m.Zone || len(j.Types) > 0 && j.Types[0] != m.Info.Name {
		w.t.Fatalf("%v wrong_place: %v on %s", w.now, id, m.ID)
	}
	var used float64
	zones := map[protocol.Zone]int{}
	for t, on := range w.onMachine {
		if k := w.jobs[t.Job]; k.Team == j.Team {
			used += k.CPUs
		}
		if t.Job == id.Job {
			zones[on.Zone]++
		}
	}
	if team, _ := w.settings.Team(j.Team); team.MaxCPUs > 0 && used > team.MaxCPUs+1e-9 {
		w.t.Fatalf("%v quota: %s uses %v", w.now, j.Team, used)
	}
	if j.OneZone && len(zones) > 1 || j.Spread && zones[m.Zone] > int(j.Tasks+1)/2 {
		w.t.Fatalf("%v wrong_place: zones of %v: %v", w.now, id.Job, zones)
	}
}

func (w *world) checkRules() {
	for t := range w.onMachine {
		if at, ok := w.cancelled[t.Job]; ok && (w.now-at).Seconds() > w.settings.Site.Workers.CancelS {
			w.t.Fatalf("%v ran_cancelled: %v is still on a machine", w.now, t)
		}
	}
	for id, j := range w.jobs {
		it, ok := w.state.Get(bookkeeping.JobKey(id))
		if !ok {
			w.t.Fatalf("%v forgotten: %v", w.now, id)
		}
		var r bookkeeping.JobRecord
		if err := protocol.Decode(it.Value, &r); err != nil {
			w.t.Fatal(err)
		}
		if was := w.final[id]; was != "" && was != r.State {
			w.t.Fatalf("%v went_back: %v from %s to %s", w.now, id, was, r.State)
		}
		if r.State == bookkeeping.RecordLive || w.final[id] != "" {
			continue
		}
		w.final[id] = r.State
		for i := range j.Tasks {
			if r.State == bookkeeping.RecordDone && !w.results[protocol.TaskID{Job: id, Index: i}] {
				if j.Kind == protocol.KindGang && w.results[protocol.TaskID{Job: id}] {
					continue
				}
				w.t.Fatalf("%v not_done: %v/%d", w.now, id, i)
			}
		}
	}
}

// submit accepts a job as intake does.
func (w *world) submit(j protocol.Job) {
	j.ID = protocol.JobID(fmt.Sprintf("job-%06d", len(w.jobs)))
	j.SubmittedMS = 1 + w.now.Milliseconds()
	j.Image, j.ImageGB, j.MemoryGB = "img", 1, 1
	if w.outage > w.now || !w.state.Txn(acceptTxn(&j)) {
		return
	}
	w.jobs[j.ID] = j
	w.jobOrder = append(w.jobOrder, j.ID)
}

func (w *world) cancel(id protocol.JobID) {
	it, _ := w.state.Get(bookkeeping.JobKey(id))
	if w.outage <= w.now && w.state.Txn(cancelTxn(id, it.Version, bookkeeping.JobRecord{Tasks: w.jobs[id].Tasks})) {
		w.cancelled[id] = w.now
	}
}

func (w *world) stateReachable(n *simNode) bool {
	c, ok := w.cuts[string(n.name)+">state"]
	return w.outage <= w.now && (!ok || c.until <= w.now)
}

func (w *world) startNode(n *simNode) {
	n.life++
	life := n.life
	s := *w.settings
	s.Name = n.name
	level := slog.LevelError + 1
	if os.Getenv("WORLD_LOG") != "" {
		level = slog.LevelDebug
	}
	var out io.Writer = os.Stderr
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})).With("node", n.name)
	n.core = NewCore(&s, config.DefaultOperator(), rand.New(rand.NewPCG(w.rng.Uint64(), 2)), log)
	n.born = w.now
	n.session = 0
	n.outboxes = map[protocol.NodeName]*simOutbox{}
	for _, o := range w.nodes {
		n.outboxes[o.name] = &simOutbox{outbox: newOutbox(n.name, nil, log)}
	}
	for i := range 3 {
		name := protocol.NodeName(fmt.Sprint("node-", i))
		n.outboxes[name] = &simOutbox{outbox: newOutbox(n.name, nil, log)}
	}
	w.stepNode(n, CatalogueRead{w.types})
	w.after(w.delay(), func() { w.openSession(n, life) })
}

func (w *world) crash(n *simNode) { w.crashFor(n, 6*time.Second) }

// crashFor ends a controller's process, and starts it again after a while.
func (w *world) crashFor(n *simNode, d time.Duration) {
	n.life++
	n.core = nil
	life := n.life
	w.after(d, func() {
		if n.life == life {
			n.layout = bookkeeping.LayoutBlocks
			w.startNode(n)
		}
	})
}

// openSession does what Node.session does.
func (w *world) openSession(n *simNode, life int) {
	if n.life != life {
		return
	}
	if !w.stateReachable(n) {
		w.after(300*time.Millisecond, func() { w.openSession(n, life) })
		return
	}
	items, at := w.state.List(bookkeeping.FollowedPrefix), len(w.state.Log)
	lease := w.state.Lease(w.now, simNodeLease)
	key := bookkeeping.NodeKey(n.name)
	it, _ := w.state.Get(key)
	w.state.Txn(protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: it.Version}},
		Then: []protocol.Change{{Put: key, Value: bookkeeping.Node{Session: lease, Layout: n.layout}, Lease: &lease}},
	})
	n.session, n.followed, n.extendAt = lease, at, w.now
	w.stepNode(n, Snapshot{Session: lease, Items: items, WallMS: 1 + w.now.Milliseconds()})
}

func (w *world) clock(n *simNode) Time { return Time(w.now-n.born) + 1 }

func (w *world) stepNode(n *simNode, msg any) []Action {
	if n.core == nil {
		return nil
	}
	if w.now < n.frozen { // handled when it goes on; who waits for the answer has given up
		life := n.life
		w.after(n.frozen-w.now, func() {
			if n.life == life {
				w.stepNode(n, msg)
			}
		})
		return nil
	}
	actions := n.core.Step(w.clock(n), msg)
	w.carryOut(n, actions)
	return actions
}

// later gives a node's core a message, unless that process has ended.
func (w *world) later(n *simNode, msg any) {
	life := n.life
	w.after(w.delay(), func() {
		if n.life == life {
			w.stepNode(n, msg)
		}
	})
}

func (w *world) carryOut(n *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			n.outboxes[a.To].add(a)
		case Commit:
			w.commit(n, a)
		case LoadBits:
			ok := w.stateReachable(n)
			w.later(n, JobLoaded{Job: a.Job, Chunks: w.state.List(bookkeeping.BitsPrefix(a.Job)), OK: ok})
		case Command:
			w.command(n, a)
		case Rent:
			all, fresh := w.cloud.Rent(a.Request)
			for _, id := range fresh {
				w.after(time.Duration(3+w.rng.IntN(8))*time.Second, func() {
					if _, ok := w.cloud.Machines[id]; ok {
						w.boot(id, a.Request)
					}
				})
			}
			out := OutcomeDone
			if len(all) == 0 {
				out = OutcomeFailed
			}
			w.later(n, Rented{Request: a.Request, Machines: all, Outcome: out})
		case Delete:
			for _, id := range a.Machines {
				w.kill(id)
				delete(w.cloud.Machines, id)
			}
			w.later(n, Deleted{Machines: a.Machines, OK: true})
		case ListMachines:
			var list []protocol.ListedMachine
			for id, r := range inOrder(w.cloud.Machines) {
				st := "booting"
				if w.workers[id] != nil {
					st = "running"
				}
				list = append(list, protocol.ListedMachine{ID: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: st, AgeS: 30})
			}
			w.later(n, Listed{Machines: list, OK: true})
		}
	}
}

// commit applies a transaction; behind a cut it may be applied late, with no
// answer.
func (w *world) commit(n *simNode, a Commit) {
	w.checkSize(a)
	if !w.stateReachable(n) {
		c := w.cuts[string(n.name)+">state"]
		if c.hold && w.outage <= w.now {
			w.after(c.until-w.now+w.delay(), func() { w.state.Txn(a.Txn) })
			life := n.life
			w.after(1500*time.Millisecond, func() {
				if n.life == life {
					w.stepNode(n, TxnDone{Tag: a.Tag, Outcome: OutcomeUnknown})
				}
			})
			return
		}
		w.later(n, TxnDone{Tag: a.Tag, Outcome: OutcomeRefused})
		return
	}
	if w.slow > 0 {
		w.after(w.slow/2, func() { w.execute(n, a) })
		return
	}
	w.execute(n, a)
}

func (w *world) execute(n *simNode, a Commit) {
	out := OutcomeFailed
	if w.state.Txn(a.Txn) {
		out = OutcomeDone
	}
	if w.rng.IntN(20) == 0 {
		out = OutcomeUnknown // the answer is lost
	}
	life := n.life
	w.after(w.slow/2, func() {
		if n.life == life {
			w.later(n, TxnDone{Tag: a.Tag, Outcome: out})
		}
	})
}

// checkSize holds a transaction against the limits of the state service.
func (w *world) checkSize(a Commit) {
	s := w.settings.Site.State
	if ops := len(a.Txn.Then); ops > s.TxnOps || len(a.Txn.If) > 4*s.TxnOps {
		w.t.Fatalf("%v transaction %T of %d conditions and %d changes", w.now, a.Tag, len(a.Txn.If), ops)
	}
	total := 0
	for _, ch := range a.Txn.Then {
		if b, ok := ch.Value.(bookkeeping.Block); ok {
			w.blockWrites++
			text, err := json.Marshal(b)
			if total += len(text); err != nil || float64(len(text)) > 1024*s.ValueKB || total > 64<<10 {
				w.t.Fatalf("%v value of %d bytes, %d in all, %v", w.now, len(text), total, err)
			}
		}
	}
}

func (w *world) command(n *simNode, a Command) {
	life := n.life
	answered := false
	done := Commanded{Machine: a.Machine, Term: a.Commands.Term, Session: a.Commands.Session, Orders: a.Commands.Orders}
	sw := w.workers[a.Machine]
	if sw == nil {
		sw = &simWorker{Worker: &standin.Worker{Dead: true}}
	}
	w.carryToZone(n, sw.Zone, func() {
		if sw.Dead {
			return
		}
		done.Executed = sw.Do(a.Commands)
		done.Report = sw.Report()
		done.Answered = true
		if w.rng.IntN(30) == 0 {
			done.Answered = false // the answer is lost
			return
		}
		w.after(w.delay(), func() {
			if !answered && n.life == life {
				answered = true
				w.stepNode(n, done)
			}
		})
	})
	w.after(directTimeout, func() {
		if !answered && n.life == life {
			answered = true
			done.Answered = false
			w.stepNode(n, done)
		}
	})
}

func (w *world) report(sw *simWorker) {
	sw.waiting = true
	sent, r := w.now, sw.Report()
	n := w.nodes[sw.target]
	over := false
	next := func(d time.Duration) {
		over, sw.waiting = true, false
		sw.nextAt = w.now + d
	}
	w.after(4*time.Second, func() {
		if !over {
			sw.target = (sw.target + 1) % 3
			next(time.Second)
		}
	})
	w.carryToZone(n, sw.Zone, func() {
		if n.core == nil {
			if !over {
				sw.target = (sw.target + 1) % 3
				next(time.Second)
			}
			return
		}
		for _, a := range w.stepNode(n, Reported{r}) {
			rr, ok := a.(ReplyReport)
			if !ok {
				continue
			}
			w.after(w.delay(), func() {
				if over {
					return
				}
				switch rr.Status {
				case 200:
					before := sw.Term
					sw.Answer(r.Session, sent, rr.Reply)
					next(3 * time.Second)
					if sw.Term != before || len(rr.Reply.Orders) > 0 {
						sw.nextAt = w.now + 500*time.Millisecond
					}
				case 421:
					var at int
					fmt.Sscanf(string(rr.ReportTo), "node-%d", &at)
					sw.target = at
					next(w.delay())
				default:
					sw.target = (sw.target + 1) % 3
					next(time.Second)
				}
			})
		}
	})
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for w.now < until {
		w.now += step
		for len(w.todo) > 0 && w.todo[0].at <= w.now {
			heap.Pop(&w.todo).(event).do()
		}
		if w.outage <= w.now {
			w.state.Expire(w.now)
		}
		for len(w.loggedAt) < len(w.state.Log) {
			w.loggedAt = append(w.loggedAt, w.now)
		}
		for _, id := range w.order {
			sw := w.workers[id]
			session := sw.Session
			if sw.Tick(w.now); sw.Session != session {
				w.lapsed++
			}
			if !sw.Dead && !sw.waiting && w.now >= sw.nextAt {
				w.report(sw)
			}
		}
		w.gangs()
		for _, n := range w.nodes {
			w.tickNode(n)
		}
		w.checkRules()
	}
}

// gangs lets the tasks of gangs find one another, and notice who is gone.
func (w *world) gangs() {
	for _, id := range w.jobOrder {
		j := w.jobs[id]
		if j.Kind != protocol.KindGang || j.Tasks < 2 || w.final[id] != "" {
			continue
		}
		waiting, running := map[protocol.Attempt]int{}, map[protocol.Attempt]int{}
		each := func(do func(*simWorker, protocol.TaskID, protocol.Attempt, protocol.TaskState)) {
			for _, m := range w.order {
				for i := range j.Tasks {
					task := protocol.TaskID{Job: id, Index: i}
					if a, st, ok := w.workers[m].Gang(task); ok {
						do(w.workers[m], task, a, st)
					}
				}
			}
		}
		each(func(_ *simWorker, _ protocol.TaskID, a protocol.Attempt, st protocol.TaskState) {
			switch st {
			case protocol.TaskWaiting:
				waiting[a]++
			case protocol.TaskRunning:
				running[a]++
			}
		})
		each(func(m *simWorker, task protocol.TaskID, a protocol.Attempt, _ protocol.TaskState) {
			switch {
			case waiting[a] == int(j.Tasks):
				m.Meet(task)
			case running[a] > 0 && running[a] < int(j.Tasks):
				m.Part(task)
			}
		})
	}
}

// age is how long ago a change of the state service happened.
func (w *world) age(i int) time.Duration {
	if i >= len(w.loggedAt) {
		return 0 // in this step
	}
	return w.now - w.loggedAt[i]
}

func (w *world) tickNode(n *simNode) {
	if n.core == nil || w.now < n.frozen {
		return
	}
	if n.session != 0 && w.stateReachable(n) {
		for n.followed < len(w.state.Log) && w.age(n.followed) >= w.slow {
			ev := w.state.Log[n.followed]
			n.followed++
			if strings.HasPrefix(ev.Put+ev.Delete, bookkeeping.FollowedPrefix) {
				w.stepNode(n, Changed{ev})
			}
		}
		if w.now >= n.extendAt {
			n.extendAt = w.now + time.Second
			if !w.state.Extend(w.now, n.session) {
				n.session = 0
				w.stepNode(n, SessionOver{})
				for _, o := range n.outboxes {
					o.busyUntil = 0
				}
				life := n.life
				w.after(300*time.Millisecond, func() { w.openSession(n, life) })
				return
			}
			w.stepNode(n, Entitled{Until: w.clock(n) + Time(7700*time.Millisecond)})
		}
	}
	if w.now%(2*step) == 0 {
		w.stepNode(n, Tick{})
	}
	for to, o := range inOrder(n.outboxes) {
		w.flush(n, to, o)
	}
}

func (w *world) flush(n *simNode, to protocol.NodeName, o *simOutbox) {
	if w.now < o.busyUntil {
		return
	}
	b, ok := o.batch()
	if !ok {
		return
	}
	o.busyUntil = w.now + peerTimeout
	life := n.life
	var peer *simNode
	for _, p := range w.nodes {
		if p.name == to {
			peer = p
		}
	}
	w.carry(string(n.name), string(to), func() {
		for _, a := range w.stepNode(peer, Received{b}) {
			if rb, ok := a.(ReplyBatch); ok {
				w.carry(string(to), string(n.name), func() {
					if n.life == life {
						o.settle(b, rb.Reply)
						o.busyUntil = w.now
					}
				})
			}
		}
	})
}
