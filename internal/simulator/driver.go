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

	onStart, onEnd func(*driver) // for tests
}

// driver drives a world by the description of a site.
type driver struct {
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
	when reservation.Schedule
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

// Run runs a site and returns the result, with the violations of rules.
func Run(s *Site, o Options) *Result {
	result := &Result{Seed: o.Seed, Without: o.Without, Days: o.For.Hours() / 24, Classes: map[string]*Class{}, Rules: []string{}}
	addViolation := func(format string, args ...any) {
		if len(result.Rules) < maxViolations {
			result.Rules = append(result.Rules, fmt.Sprintf(format, args...))
		}
	}
	d := &driver{
		world: newWorld(addViolation, o.Seed, s.settings(), s.Machines, 0),
		site:  s, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)),
		result:      result,
		machineInfo: map[protocol.MachineType]protocol.TypeInfo{}, remaining: map[protocol.TaskID]time.Duration{},
		jobState: map[protocol.JobID]*jobState{}, taskEndings: map[protocol.TaskID]taskEnding{}, provisioned: map[protocol.MachineID]provisionedMachine{},
	}
	d.prepare()
	d.scheduleAll()
	if o.onStart != nil {
		o.onStart(d)
	}
	for end := warmUpTime + o.For; d.now < end; {
		d.run(min(end, d.now+time.Minute))
		d.forgetFinished()
		if o.Progress != nil {
			o.Progress(d.now)
		}
	}
	if o.onEnd != nil {
		o.onEnd(d)
	}
	d.finish()
	return d.result
}

// prepare sets the world up as the site describes it.
func (d *driver) prepare() {
	w := d.world
	w.step, w.eventDriven = time.Duration(d.site.StepMS)*time.Millisecond, true
	w.startMS = d.site.Start.Add(-warmUpTime).UnixMilli()
	w.types = d.site.machineTypes()
	for _, t := range w.types {
		d.machineInfo[t.Name] = t
	}
	w.cloud.Capacity = d.site.Machines
	w.cloud.PerZone = (d.site.Machines + len(d.site.zones()) - 1) / len(d.site.zones())
	w.operator.Machines = map[protocol.MachineType]int{}
	for _, t := range d.site.Types {
		w.operator.Machines[t.Name] = d.site.Machines / len(d.site.Types)
	}
	w.runTime, w.bootTime = d.drawRunTime, d.drawBootTime
	w.onCheckpoint = func(id protocol.TaskID, remaining time.Duration) { d.remaining[id] = remaining }
	w.onProvisioned, w.onTerminated = d.machineProvisioned, d.machineTerminated
	w.ageS = func(id protocol.MachineID) float64 { return (w.now - d.provisioned[id].at).Seconds() }
	w.onTaskStarted, w.onTaskEnded = d.taskStarted, d.taskEnded
	for _, n := range w.nodes { // again, with the site's settings
		n.start()
	}
}

// drawBootTime draws how long a machine boots: usually 0.6 to 1.5 times as long as the
// catalogue says, one in thirty three times as long, and one in a hundred forever.
func (d *driver) drawBootTime(r protocol.ProvisionRequest) time.Duration {
	const forever = 1e6
	factor := 0.6 + 0.9*d.world.rng.Float64()
	switch n := d.world.rng.IntN(300); {
	case n < 3:
		factor = forever
	case n < 13:
		factor = 3
	}
	return config.Seconds(factor * d.machineInfo[r.Type].BootS)
}

// drawRunTime draws how long a task runs, or returns what remains after its checkpoint.
// The tasks of a job have similar run times.
func (d *driver) drawRunTime(id protocol.TaskID) time.Duration {
	if remaining, ok := d.remaining[id]; ok {
		return remaining
	}
	j := d.jobState[id.Job]
	if j == nil {
		return time.Second
	}
	return config.Seconds(j.estimateS * j.factor * (0.85 + 0.3*d.world.rng.Float64()))
}

// machineProvisioned starts to count the cost of a machine.
func (d *driver) machineProvisioned(id protocol.MachineID, r protocol.ProvisionRequest) {
	info := d.machineInfo[r.Type]
	price := info.Price
	if r.Spot {
		price = info.SpotPrice
	}
	d.provisioned[id] = provisionedMachine{d.now, price}
}

// machineTerminated adds the cost of a machine.
func (d *driver) machineTerminated(id protocol.MachineID) {
	if m, ok := d.provisioned[id]; ok {
		delete(d.provisioned, id)
		d.result.Cost += m.price * (d.now - m.at).Hours()
	}
}

// taskStarted records a start of a task.
func (d *driver) taskStarted(m protocol.MachineID, id protocol.TaskID) {
	d.checkWindows(m)
	j := d.jobState[id.Job]
	if j == nil {
		return
	}
	if j.started[id.Index] {
		d.countRestart(id)
		return
	}
	j.started[id.Index] = true
	j.class.waits = append(j.class.waits, (d.now - j.submitted).Seconds())
	if o := j.occurrence; o != nil && len(j.started) == min(j.reserved, j.tasks) {
		due := max(j.submitted, warmUpTime+o.Start.Sub(d.site.Start))
		o.DelayS, o.Started = math.Max(0, (d.now-due).Seconds()), true
	}
}

// checkWindows counts starts on machines that are under maintenance.
func (d *driver) checkWindows(id protocol.MachineID) {
	m := d.workers[id]
	now := reservation.Moment(d.wallMS())
	for _, w := range d.windows {
		if reservation.WindowCovers(w.spec, id, m.Info.Name, m.Zone) && len(w.when.Occurrences(reservation.After(now, -config.Seconds(w.spec.LengthS)+1), now)) > 0 {
			d.result.InWindow++
		}
	}
}

// forgetFinished drops jobs, machines and changes that are not needed any more.
func (d *driver) forgetFinished() {
	d.collectFinishedJobs()
	for len(d.finishedJobs) > maxFinishedJobs {
		d.forgetJob(d.finishedJobs[0])
		d.finishedJobs = d.finishedJobs[1:]
	}
	d.machineOrder = slices.DeleteFunc(d.machineOrder, func(id protocol.MachineID) bool {
		if d.workers[id].Dead {
			delete(d.workers, id)
			return true
		}
		return false
	})
	d.forgetChanges()
}

// collectFinishedJobs moves finished jobs out of the order of jobs, and counts them.
func (d *driver) collectFinishedJobs() {
	var open []protocol.JobID
	for _, id := range d.jobOrder {
		if d.finalState[id] == "" {
			open = append(open, id)
			continue
		}
		if j := d.jobState[id]; j != nil {
			j.class.Done++
			j.class.times = append(j.class.times, (d.now - j.submitted).Seconds())
			delete(d.jobState, id)
		}
		d.finishedJobs = append(d.finishedJobs, id)
	}
	d.jobOrder = open
}

// forgetJob drops what is known of a job.
func (d *driver) forgetJob(id protocol.JobID) {
	for i := range d.jobs[id].Tasks {
		task := protocol.TaskID{Job: id, Index: i}
		delete(d.results, task)
		delete(d.remaining, task)
		delete(d.taskEndings, task)
	}
	delete(d.jobs, id)
	delete(d.cancelled, id)
}

// forgetChanges drops changes of the state service that all nodes and checks have seen.
func (d *driver) forgetChanges() {
	seen := d.state.Changes()
	for _, n := range d.nodes {
		if n.session != 0 {
			seen = min(seen, n.watched)
		}
	}
	if n := min(min(seen, d.checkedChanges)-d.state.Before, len(d.changeTimes)); n > minForgottenChanges {
		d.changeTimes = slices.Clone(d.changeTimes[n:])
		d.state.Forget(d.state.Before + n)
	}
}

// finish computes the result.
func (d *driver) finish() {
	for _, id := range slices.Sorted(maps.Keys(d.provisioned)) { // sorted, as float sums depend on their order
		d.machineTerminated(id)
	}
	d.result.Starts = d.starts
	d.result.ShardMoves = ShardMovesResult{
		Moves: len(d.movePauses), Aborted: d.abortedMoves, PauseP99S: d.movePauseP99().Seconds(), StoppedByMoves: d.stoppedByMoves, LostByMoves: d.lostByMoves,
	}
	d.result.summarize()
}
