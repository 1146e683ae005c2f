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
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// warmUpTime is how long the load comes before anything is measured.
	warmUpTime = time.Hour
	// maxViolations is how many violations of a run are listed.
	maxViolations = 50
	// maxFinishedJobs is how many finished jobs are remembered, as late heartbeats may
	// still name them.
	maxFinishedJobs = 500
	// minForgottenChanges is how many changes of the state service are forgotten at once.
	minForgottenChanges = 1000
)

// Options are the options of a run.
type Options struct {
	For  time.Duration
	Seed uint64
	// Without leaves out the reservations; their jobs are submitted all the same.
	Without bool
	// Progress, if set, is called from time to time with the simulated time.
	Progress func(time.Duration)

	onStart, onEnd func(*player) // for tests
}

// player drives a world by the description of a site.
type player struct {
	*world
	site   *Site
	opts   Options
	rng    *rand.Rand // for load and faults, apart from that of the world
	result *Result

	machineInfo      map[protocol.MachineType]protocol.TypeInfo
	remaining        map[protocol.TaskID]time.Duration // run time of tasks with a checkpoint
	jobState         map[protocol.JobID]*jobState
	provisioned      map[protocol.MachineID]provisionedMachine
	reservationTimes []time.Duration
	windows          []openWindow
	taskEndings      map[protocol.TaskID]taskEnding
	// stoppedByMoves and lostByMoves count tasks that had to start again after a move of
	// their machine's shard: stopped, or completed without that being known.
	stoppedByMoves, lostByMoves int
	finishedJobs                []protocol.JobID // not forgotten yet
}

// provisionedMachine is a machine that is being paid for.
type provisionedMachine struct {
	at    time.Duration
	price float64
}

// openWindow is a maintenance window with its times.
type openWindow struct {
	spec *record.WindowSpec
	when reservation.When
}

// jobState is what the result needs to know of a job.
type jobState struct {
	class      *Class
	submitted  time.Duration
	started    map[uint32]bool
	tasks      int
	occurrence *Occurrence // of the reservation that the job is for; nil: there is none
	reserved   int         // tasks
	factor     float64     // true run time by estimate
	estimateS  float64
}

// Play runs a site and returns the result, with the violations of rules.
func Play(s *Site, o Options) *Result {
	result := &Result{Seed: o.Seed, Without: o.Without, Days: o.For.Hours() / 24, Classes: map[string]*Class{}, Rules: []string{}}
	addViolation := func(format string, args ...any) {
		if len(result.Rules) < maxViolations {
			result.Rules = append(result.Rules, fmt.Sprintf(format, args...))
		}
	}
	p := &player{
		world: newWorld(addViolation, o.Seed, s.settings(), s.Machines, 0),
		site:  s, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)),
		result:      result,
		machineInfo: map[protocol.MachineType]protocol.TypeInfo{}, remaining: map[protocol.TaskID]time.Duration{},
		jobState: map[protocol.JobID]*jobState{}, taskEndings: map[protocol.TaskID]taskEnding{}, provisioned: map[protocol.MachineID]provisionedMachine{},
	}
	p.prepare()
	p.scheduleAll()
	if o.onStart != nil {
		o.onStart(p)
	}
	for end := warmUpTime + o.For; p.now < end; {
		p.run(min(end, p.now+time.Minute))
		p.forgetFinished()
		if o.Progress != nil {
			o.Progress(p.now)
		}
	}
	if o.onEnd != nil {
		o.onEnd(p)
	}
	p.finish()
	return p.result
}

// prepare sets the world up as the site describes it.
func (p *player) prepare() {
	w := p.world
	w.step, w.eventDriven = time.Duration(p.site.StepMS)*time.Millisecond, true
	w.startMS = p.site.Start.Add(-warmUpTime).UnixMilli()
	w.types = p.site.machineTypes()
	for _, t := range w.types {
		p.machineInfo[t.Name] = t
	}
	w.cloud.Capacity = p.site.Machines
	w.cloud.PerZone = (p.site.Machines + len(p.site.zones()) - 1) / len(p.site.zones())
	w.operator.Machines = map[protocol.MachineType]int{}
	for _, t := range p.site.Types {
		w.operator.Machines[t.Name] = p.site.Machines / len(p.site.Types)
	}
	w.runTime, w.bootTime = p.drawRunTime, p.drawBootTime
	w.onCheckpoint = func(id protocol.TaskID, remaining time.Duration) { p.remaining[id] = remaining }
	w.onProvisioned, w.onTerminated = p.machineProvisioned, p.machineTerminated
	w.ageS = func(id protocol.MachineID) float64 { return (w.now - p.provisioned[id].at).Seconds() }
	w.onTaskStarted, w.onTaskEnded = p.taskStarted, p.taskEnded
	for _, n := range w.nodes { // again, with the site's settings
		n.start()
	}
}

// drawBootTime draws how long a machine boots: usually 0.6 to 1.5 times as long as the
// catalogue says, one in thirty three times as long, and one in a hundred forever.
func (p *player) drawBootTime(r protocol.ProvisionRequest) time.Duration {
	const forever = 1e6
	factor := 0.6 + 0.9*p.world.rng.Float64()
	switch n := p.world.rng.IntN(300); {
	case n < 3:
		factor = forever
	case n < 13:
		factor = 3
	}
	return config.Seconds(factor * p.machineInfo[r.Type].BootS)
}

// drawRunTime draws how long a task runs, or returns what remains after its checkpoint.
// The tasks of a job have similar run times.
func (p *player) drawRunTime(id protocol.TaskID) time.Duration {
	if remaining, ok := p.remaining[id]; ok {
		return remaining
	}
	j := p.jobState[id.Job]
	if j == nil {
		return time.Second
	}
	return config.Seconds(j.estimateS * j.factor * (0.85 + 0.3*p.world.rng.Float64()))
}

// machineProvisioned starts to count the cost of a machine.
func (p *player) machineProvisioned(id protocol.MachineID, r protocol.ProvisionRequest) {
	info := p.machineInfo[r.Type]
	price := info.Price
	if r.Spot {
		price = info.SpotPrice
	}
	p.provisioned[id] = provisionedMachine{p.now, price}
}

// machineTerminated adds the cost of a machine.
func (p *player) machineTerminated(id protocol.MachineID) {
	if m, ok := p.provisioned[id]; ok {
		delete(p.provisioned, id)
		p.result.Cost += m.price * (p.now - m.at).Hours()
	}
}

// taskStarted records a start of a task.
func (p *player) taskStarted(m protocol.MachineID, id protocol.TaskID) {
	p.checkWindows(m)
	j := p.jobState[id.Job]
	if j == nil {
		return
	}
	if j.started[id.Index] {
		p.countRestart(id)
		return
	}
	j.started[id.Index] = true
	j.class.waits = append(j.class.waits, (p.now - j.submitted).Seconds())
	if o := j.occurrence; o != nil && len(j.started) == min(j.reserved, j.tasks) {
		due := max(j.submitted, warmUpTime+o.Start.Sub(p.site.Start))
		o.DelayS, o.Started = math.Max(0, (p.now-due).Seconds()), true
	}
}

// checkWindows counts starts on machines that are under maintenance.
func (p *player) checkWindows(id protocol.MachineID) {
	m := p.workers[id]
	now := reservation.Moment(p.wallMS())
	for _, w := range p.windows {
		if reservation.Covers(w.spec, id, m.Info.Name, m.Zone) && len(w.when.Occurrences(reservation.After(now, -config.Seconds(w.spec.LengthS)+1), now)) > 0 {
			p.result.InWindow++
		}
	}
}

// forgetFinished drops jobs, machines and changes that are not needed any more.
func (p *player) forgetFinished() {
	p.collectFinishedJobs()
	for len(p.finishedJobs) > maxFinishedJobs {
		p.forgetJob(p.finishedJobs[0])
		p.finishedJobs = p.finishedJobs[1:]
	}
	p.machineOrder = slices.DeleteFunc(p.machineOrder, func(id protocol.MachineID) bool {
		if p.workers[id].Dead {
			delete(p.workers, id)
			return true
		}
		return false
	})
	p.forgetChanges()
}

// collectFinishedJobs moves finished jobs out of the order of jobs, and counts them.
func (p *player) collectFinishedJobs() {
	var open []protocol.JobID
	for _, id := range p.jobOrder {
		if p.finalState[id] == "" {
			open = append(open, id)
			continue
		}
		if j := p.jobState[id]; j != nil {
			j.class.Done++
			j.class.times = append(j.class.times, (p.now - j.submitted).Seconds())
			delete(p.jobState, id)
		}
		p.finishedJobs = append(p.finishedJobs, id)
	}
	p.jobOrder = open
}

// forgetJob drops what is known of a job.
func (p *player) forgetJob(id protocol.JobID) {
	for i := range p.jobs[id].Tasks {
		task := protocol.TaskID{Job: id, Index: i}
		delete(p.results, task)
		delete(p.remaining, task)
		delete(p.taskEndings, task)
	}
	delete(p.jobs, id)
	delete(p.cancelled, id)
}

// forgetChanges drops changes of the state service that all nodes and checks have seen.
func (p *player) forgetChanges() {
	seen := p.state.Changes()
	for _, n := range p.nodes {
		if n.session != 0 {
			seen = min(seen, n.watched)
		}
	}
	if n := min(min(seen, p.checkedChanges)-p.state.Before, len(p.changeTimes)); n > minForgottenChanges {
		p.changeTimes = slices.Clone(p.changeTimes[n:])
		p.state.Forget(p.state.Before + n)
	}
}

// finish computes the result.
func (p *player) finish() {
	for _, id := range slices.Sorted(maps.Keys(p.provisioned)) { // sorted, as float sums depend on their order
		p.machineTerminated(id)
	}
	p.result.Starts = p.starts
	p.result.Shares = SharesResult{
		Moves: len(p.movePauses), GivenUp: p.abortedMoves, PauseP99S: p.movePauseP99().Seconds(), StoppedByMoves: p.stoppedByMoves, LostByMoves: p.lostByMoves,
	}
	p.result.summarize()
}
