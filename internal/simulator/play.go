package simulator

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Options are how a site is played.
type Options struct {
	For  time.Duration
	Seed uint64
	// Without leaves out the reservations; their jobs come all the same.
	Without bool
	// Progress, if set, hears from time to time how far it is.
	Progress func(time.Duration)

	script, atEnd func(*player) // of tests
}

// warmUp is for how long the load comes before anything is due.
const warmUp = time.Hour

// player plays a site.
type player struct {
	*world
	site   *Site
	opts   Options
	rng    *rand.Rand // of what comes and happens, apart from the world's own chances
	result *Result

	infos    map[protocol.MachineType]protocol.TypeInfo
	left     map[protocol.TaskID]time.Duration // what tasks that saved have left
	jobState map[protocol.JobID]*jobState
	rentedAt map[protocol.MachineID]rental
	times    []time.Duration // of the reservations
	windows  []openings
	endings  map[protocol.TaskID]ending
	// stoppedByMoves and lostByMoves are tasks that had to start again after their
	// machine's share moved: stopped, or done and not known to be.
	stoppedByMoves, lostByMoves int
	ended                       []protocol.JobID // to be forgotten after a while
}

type rental struct {
	at    time.Duration
	price float64
}

// openings is a window with its times.
type openings struct {
	spec *record.WindowSpec
	when reservation.When
}

// jobState is what the result says of a job.
type jobState struct {
	class     *Class
	submitted time.Duration
	started   map[uint32]bool
	tasks     int
	occasion  *Occurrence
	reserved  int
	factor    float64
	estimateS float64
}

// rulesMost bounds the broken rules that are listed.
const rulesMost = 50

// Play plays a site and says what became of it, and which rules were broken.
func Play(s *Site, o Options) *Result {
	settings := s.settings()
	result := &Result{Seed: o.Seed, Without: o.Without, Days: o.For.Hours() / 24, Classes: map[string]*Class{}, Rules: []string{}}
	broken := func(format string, args ...any) {
		if len(result.Rules) < rulesMost {
			result.Rules = append(result.Rules, fmt.Sprintf(format, args...))
		}
	}
	p := &player{
		world: newWorld(broken, o.Seed, settings, s.Machines, 0),
		site:  s, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)),
		result: result,
		infos:  map[protocol.MachineType]protocol.TypeInfo{}, left: map[protocol.TaskID]time.Duration{},
		jobState: map[protocol.JobID]*jobState{}, endings: map[protocol.TaskID]ending{}, rentedAt: map[protocol.MachineID]rental{},
	}
	p.prepare()
	p.schedule()
	if o.script != nil {
		o.script(p)
	}
	for end := warmUp + o.For; p.now < end; {
		p.run(min(end, p.now+time.Minute))
		p.forget()
		if o.Progress != nil {
			o.Progress(p.now)
		}
	}
	if o.atEnd != nil {
		o.atEnd(p)
	}
	p.finish()
	return p.result
}

// prepare makes a world of the site.
func (p *player) prepare() {
	w := p.world
	w.step, w.exact = time.Duration(p.site.StepMS)*time.Millisecond, true
	w.startMS = p.site.Start.Add(-warmUp).UnixMilli()
	w.types = p.site.infos()
	for _, t := range w.types {
		p.infos[t.Name] = t
	}
	w.cloud.Capacity = p.site.Machines
	w.cloud.PerZone = (p.site.Machines + len(p.site.zones()) - 1) / len(p.site.zones())
	w.operator.Machines = map[protocol.MachineType]int{}
	for _, t := range p.site.Types {
		w.operator.Machines[t.Name] = p.site.Machines / len(p.site.Types)
	}
	w.runTime, w.saved = p.runs, func(id protocol.TaskID, left time.Duration) { p.left[id] = left }
	w.bootTime = p.boots
	w.rented = func(id protocol.MachineID, r protocol.ProvisionRequest) {
		t := p.infos[r.Type]
		price := t.Price
		if r.Spot {
			price = t.SpotPrice
		}
		p.rentedAt[id] = rental{w.now, price}
	}
	w.gone = p.returned
	w.heldS = func(id protocol.MachineID) float64 { return (w.now - p.rentedAt[id].at).Seconds() }
	w.started, w.endedTask = p.started, p.ends
	for _, n := range w.nodes { // again, with this world's settings
		n.startNode()
	}
}

// boots is how long a machine takes to come up: most 0.6 to 1.5 times what the
// catalogue says, one in thirty three times as long, one in a hundred never.
func (p *player) boots(r protocol.ProvisionRequest) time.Duration {
	factor := 0.6 + 0.9*p.world.rng.Float64()
	switch n := p.world.rng.IntN(300); {
	case n < 3:
		factor = 1e6
	case n < 13:
		factor = 3
	}
	return config.Seconds(factor * p.infos[r.Type].BootS)
}

// runs is how long a task runs, or what it has left after it saved. The tasks of a
// job are alike.
func (p *player) runs(id protocol.TaskID) time.Duration {
	if left, ok := p.left[id]; ok {
		return left
	}
	j := p.jobState[id.Job]
	if j == nil {
		return time.Second
	}
	return config.Seconds(j.estimateS * j.factor * (0.85 + 0.3*p.world.rng.Float64()))
}

// returned counts what a machine cost.
func (p *player) returned(id protocol.MachineID) {
	if r, ok := p.rentedAt[id]; ok {
		delete(p.rentedAt, id)
		p.result.Cost += r.price * (p.now - r.at).Hours()
	}
}

// at has something done at a time of the played part.
func (p *player) at(t time.Duration, do func()) {
	if t > p.now {
		p.after(t-p.now, do)
	}
}

// schedule lets come what is to come.
func (p *player) schedule() {
	for i := range p.site.Load {
		p.nextLoad(&p.site.Load[i])
	}
	// The order of the day of an operator: windows, then reservations.
	p.at(20*time.Second, func() { p.askAll() })
	for i := range p.site.Windows {
		x := &p.site.Windows[i]
		if w, err := reservation.ParseWhen(x.When); err == nil { // else refused when it is asked for
			p.windows = append(p.windows, openings{x.spec(), w})
		}
	}
	from := reservation.Moment(p.site.Start.UnixMilli())
	for i := range p.site.Reservations {
		r := &p.site.Reservations[i]
		w, err := reservation.ParseWhen(r.When)
		if err != nil {
			continue // refused when it is asked for, too
		}
		for _, m := range w.Occurrences(from, reservation.After(from, p.opts.For)) {
			at := warmUp + reservation.Between(from, m)
			o := &Occurrence{Name: r.Name, Start: time.UnixMilli(int64(m)).UTC(), Tasks: r.Tasks}
			p.result.Occurrences = append(p.result.Occurrences, o)
			p.times = append(p.times, at)
			if !r.Never {
				p.at(at+config.Seconds(r.ComesS), func() { p.comes(r, o) })
			}
			p.at(at+time.Second, func() { p.lookAt(o) })
		}
	}
	slices.Sort(p.times)
	t := &p.site.Troubles
	for _, k := range []struct {
		name string
		day  float64
		do   func()
	}{
		{"controller ends", t.Crash, func() { p.nodes[p.rng.IntN(3)].crash() }},
		{"all controllers end", t.AllCrash, func() {
			for _, n := range p.nodes {
				n.crash()
			}
		}},
		{"controller cut off from the state service", t.Cut, func() { p.cut(string(p.nodes[p.rng.IntN(3)].name), "state", 30*time.Second, p.rng.IntN(2) == 0) }},
		{"state service out", t.StateOutage, func() { p.outage = p.now + time.Duration(5+p.rng.IntN(15))*time.Second }},
		{"cloud silent", t.CloudSilent, func() { p.silent = p.now + 10*time.Minute }},
		{"spot machines taken", t.SpotWave, p.takeSpots},
		{"controller told to end", t.Leave, func() { p.nodes[p.rng.IntN(3)].leave() }},
		{"roll of all controllers by signal", t.Roll, p.rollBySignal},
		{"controller slowed five times", t.Slow, func() {
			n := p.nodes[p.rng.IntN(3)]
			n.slowBy, n.slowUntil = 5, p.now+2*time.Minute
		}},
		{"controller stands still for 40 s", t.Frozen, func() { p.nodes[p.rng.IntN(3)].frozen = p.now + 40*time.Second }},
		{"controller cut off from the workers", t.Deaf, func() { p.cut(string(p.nodes[p.rng.IntN(3)].name), "workers", time.Minute, p.rng.IntN(2) == 0) }},
		{"shares moved", t.Move, func() { p.moveSome(16) }},
		{"machine lost", t.Lost, func() { p.kill(p.order[p.rng.IntN(len(p.order))]) }},
	} {
		for range int(k.day*p.opts.For.Hours()/24 + 0.5) {
			at := warmUp + time.Duration(p.rng.Float64()*float64(p.opts.For))
			if len(p.times) > 0 && p.rng.IntN(2) == 0 {
				at = p.times[p.rng.IntN(len(p.times))] - time.Duration(p.rng.IntN(600))*time.Second
			}
			p.result.Troubles = append(p.result.Troubles, Trouble{At: p.site.Start.Add(at - warmUp), What: k.name})
			p.at(at, k.do)
		}
	}
	slices.SortFunc(p.result.Troubles, func(a, b Trouble) int { return a.At.Compare(b.At) })
}

func (p *player) takeSpots() {
	for _, id := range slices.Clone(p.order) {
		if sw := p.workers[id]; sw.Spot && !sw.Dead && p.rng.IntN(3) == 0 {
			p.kill(id)
		}
	}
}

// askAll asks for all windows and reservations, as operators do.
func (p *player) askAll() {
	for i := range p.site.Windows {
		x := &p.site.Windows[i]
		p.ask(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: "window " + string(x.Name), Spec: x.spec()})
	}
	if p.opts.Without {
		return
	}
	for i := range p.site.Reservations {
		r := &p.site.Reservations[i]
		p.ask(operatorapi.Request{Op: operatorapi.OpAdd, ID: "reservation " + string(r.Name), Reservation: r.spec()})
	}
}

// ask puts a request to a controller until it is settled.
func (p *player) ask(r operatorapi.Request) {
	n := p.nodes[p.rng.IntN(3)]
	again := func() { p.after(time.Second, func() { p.ask(r) }) }
	if n.core == nil || !n.stateReachable() {
		again()
		return
	}
	reply, txn := n.core.Decide("emulator", &r)
	switch {
	case reply.Code == operatorapi.Later, txn != nil && !p.state.Txn(*txn):
		again()
	case reply.Code != operatorapi.Done:
		name := r.Name
		if r.Reservation != nil {
			name = r.Reservation.Name
		} else if r.Spec != nil {
			name = r.Spec.Name
		}
		p.result.Refused = append(p.result.Refused, Refusal{Name: name, Reason: reply.Reason, InTheWay: reply.InTheWay})
	}
}

// nextLoad has the next job of a class come.
func (p *player) nextLoad(l *Load) {
	p.after(config.Seconds(p.rng.ExpFloat64()*l.EveryS), func() {
		tasks := 1 + int(p.rng.ExpFloat64()*float64(l.Tasks-1)+0.5)
		p.newJob(protocol.Job{
			Class: l.Class, Team: l.Team, Kind: protocol.KindJobArray, Priority: l.Priority, Tasks: uint32(min(tasks, 20*l.Tasks)),
			CPUs: l.CPUs, EstimateS: l.EstimateS, CheckpointS: l.CheckpointS, SaveS: l.SaveS, Spot: l.Spot,
		}, l.Factor, nil, 0)
		p.nextLoad(l)
	})
}

// comes submits the job of a reservation.
func (p *player) comes(r *Reservation, o *Occurrence) {
	kind := protocol.KindJobArray
	if r.Gang {
		kind = protocol.KindGang
	}
	p.newJob(protocol.Job{
		Class: r.Class, Team: r.Team, Kind: kind, Priority: r.Priority, Tasks: uint32(r.Tasks + r.More),
		CPUs: r.CPUs, EstimateS: r.LengthS, OneZone: r.OneZone, Zone: r.Zone,
	}, 0.8, o, r.Tasks)
}

// newJob submits a job until it is taken.
func (p *player) newJob(j protocol.Job, factor float64, o *Occurrence, reserved int) {
	began := p.now
	var try func()
	try = func() {
		before := len(p.jobOrder)
		p.submit(j)
		if len(p.jobOrder) == before {
			p.after(2*time.Second, try)
			return
		}
		id := p.jobOrder[before]
		c := p.result.Classes[j.Class]
		if c == nil {
			c = &Class{}
			p.result.Classes[j.Class] = c
		}
		c.Jobs++
		p.jobState[id] = &jobState{class: c, submitted: began, started: map[uint32]bool{}, tasks: int(j.Tasks), occasion: o, reserved: reserved, factor: factor, estimateS: j.EstimateS}
	}
	try()
}

// started notes a task's first start.
func (p *player) started(m protocol.MachineID, id protocol.TaskID) {
	p.checkWindows(m)
	j := p.jobState[id.Job]
	if j != nil && j.started[id.Index] {
		p.startsAgain(id)
	}
	if j == nil || j.started[id.Index] {
		return
	}
	j.started[id.Index] = true
	j.class.waits = append(j.class.waits, (p.now - j.submitted).Seconds())
	if o := j.occasion; o != nil && len(j.started) == min(j.reserved, j.tasks) {
		due := max(j.submitted, warmUp+o.Start.Sub(p.site.Start))
		o.DelayS, o.Started = math.Max(0, (p.now-due).Seconds()), true
	}
}

// checkWindows counts starts on machines that a window covers while it is open.
func (p *player) checkWindows(id protocol.MachineID) {
	m := p.workers[id]
	now := reservation.Moment(p.wallMS())
	for _, w := range p.windows {
		if reservation.Covers(w.spec, id, m.Info.Name, m.Zone) && len(w.when.Occurrences(reservation.After(now, -config.Seconds(w.spec.LengthS)+1), now)) > 0 {
			p.result.InWindow++
		}
	}
}

// lookAt notes what is known of an occurrence at its time.
func (p *player) lookAt(o *Occurrence) {
	for _, n := range p.nodes {
		if n.core == nil || n.session == 0 {
			continue
		}
		reply, _ := n.core.Decide("emulator", &operatorapi.Request{Op: operatorapi.OpShow, Name: o.Name})
		for _, r := range reply.Reservations {
			if int64(r.StartMS) == o.Start.UnixMilli() {
				o.State, o.Risk = r.State, r.Risk
				return
			}
		}
	}
}

// forget drops what is long over.
func (p *player) forget() {
	var open []protocol.JobID
	for _, id := range p.jobOrder {
		if p.final[id] == "" {
			open = append(open, id)
			continue
		}
		if j := p.jobState[id]; j != nil {
			j.class.Done++
			j.class.times = append(j.class.times, (p.now - j.submitted).Seconds())
			delete(p.jobState, id)
		}
		p.ended = append(p.ended, id)
	}
	p.jobOrder = open
	for len(p.ended) > 500 { // late reports may still name the latest
		id := p.ended[0]
		p.ended = p.ended[1:]
		for i := range p.jobs[id].Tasks {
			delete(p.results, protocol.TaskID{Job: id, Index: i})
			delete(p.left, protocol.TaskID{Job: id, Index: i})
			delete(p.endings, protocol.TaskID{Job: id, Index: i})
		}
		delete(p.jobs, id)
		delete(p.cancelled, id)
	}
	p.order = slices.DeleteFunc(p.order, func(id protocol.MachineID) bool {
		if p.workers[id].Dead {
			delete(p.workers, id)
			return true
		}
		return false
	})
	followed := p.state.Changes()
	for _, n := range p.nodes {
		if n.session != 0 {
			followed = min(followed, n.followed)
		}
	}
	if n := min(min(followed, p.checked)-p.state.Before, len(p.loggedAt)); n > 1000 {
		p.loggedAt = slices.Clone(p.loggedAt[n:])
		p.state.Forget(p.state.Before + n)
	}
}

// finish reckons the result.
func (p *player) finish() {
	for _, id := range slices.Sorted(maps.Keys(p.rentedAt)) { // in one order: sums of decimal numbers are not exact
		p.returned(id)
	}
	p.result.Starts = p.starts
	p.result.Shares = SharesResult{
		Moves: len(p.pauses), GivenUp: p.givenUp, PauseP99S: p.pause99().Seconds(), StoppedByMoves: p.stoppedByMoves, LostByMoves: p.lostByMoves,
	}
	p.result.sum()
}
