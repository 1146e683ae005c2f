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
	// warmUpTime is how long the load runs before the measured part of a run begins.
	warmUpTime = time.Hour
	// maxViolations is how many violations the result of a run lists; later ones are dropped.
	maxViolations = 50
	// maxFinishedJobs is for how many finished jobs, the latest ones, the data is retained,
	// because late heartbeats may still refer to them.
	maxFinishedJobs = 500
	// minDiscardedChanges is the number of changes of the key-value store that must be exceeded
	// before changes are discarded.
	minDiscardedChanges = 1000
)

// Options are the options of a run.
type Options struct {
	Duration time.Duration // simulated time to run for, after the warm-up
	Seed     uint64
	// WithoutReservations omits the reservations; their jobs are still submitted.
	WithoutReservations bool
	// Progress, if set, is called after each simulated minute with the simulated time.
	Progress func(time.Duration)

	onStart, onEnd func(*driver) // called by tests before and after the run
}

// driver drives a world as the description of a site specifies: it submits the load, makes the
// operators' requests, injects the faults and collects the result.
type driver struct {
	*world
	site   *Site
	opts   Options
	rng    *rand.Rand // for load and faults; separate from the world's generator
	result *Result

	machineInfo      map[protocol.MachineType]protocol.TypeInfo
	remainingRunTime map[protocol.TaskID]time.Duration // of tasks that have saved a checkpoint
	jobState         map[protocol.JobID]*jobState
	provisioned      map[protocol.MachineID]provisionedMachine
	reservationTimes []time.Duration
	windows          []scheduledWindow
	taskEndings      map[protocol.TaskID]taskEnding
	// stoppedByMoves and lostByMoves count tasks that were started again after their machine's
	// shard moved: tasks that had been stopped, and tasks that had completed but whose
	// completion was lost.
	stoppedByMoves, lostByMoves int
	finishedJobs                []protocol.JobID // whose data has not been discarded yet
}

// provisionedMachine is a machine that the site is paying for.
type provisionedMachine struct {
	since time.Duration
	price float64
}

// scheduledWindow is a maintenance window with its parsed schedule.
type scheduledWindow struct {
	spec     *record.WindowSpec
	schedule reservation.Schedule
}

// jobState holds the data of a job that the result is computed from.
type jobState struct {
	class             *Class
	submitted         time.Duration
	started           map[uint32]bool
	tasks             int
	occurrence        *Occurrence // of the reservation that the job is for; nil if there is none
	reservedTasks     int         // tasks
	runTimeFactor     float64     // actual run time divided by the estimate
	cancelledFraction float64     // probability with which the job is cancelled
	estimateS         float64
}

// Run simulates a site for the warm-up time and o.Duration and returns the result, which
// includes the violations of rules.
func Run(s *Site, o Options) *Result {
	result := &Result{Seed: o.Seed, WithoutReservations: o.WithoutReservations, Days: o.Duration.Hours() / 24, Classes: map[string]*Class{}, Violations: []string{}}
	addViolation := func(format string, args ...any) {
		if len(result.Violations) < maxViolations {
			result.Violations = append(result.Violations, fmt.Sprintf(format, args...))
		}
	}
	d := &driver{
		world: newWorld(addViolation, o.Seed, s.settings(), s.Machines, 0),
		site:  s, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 3)),
		result:      result,
		machineInfo: map[protocol.MachineType]protocol.TypeInfo{}, remainingRunTime: map[protocol.TaskID]time.Duration{},
		jobState: map[protocol.JobID]*jobState{}, taskEndings: map[protocol.TaskID]taskEnding{}, provisioned: map[protocol.MachineID]provisionedMachine{},
	}
	d.setUpWorld()
	d.scheduleAll()
	if o.onStart != nil {
		o.onStart(d)
	}
	for end := warmUpTime + o.Duration; d.now < end; {
		d.run(min(end, d.now+time.Minute))
		d.discardFinished()
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

// setUpWorld configures the world as the site describes it (step, start time, machine types,
// capacity of the cloud), sets the hooks that the driver uses, and restarts the nodes with
// these settings. The world is event-driven.
func (d *driver) setUpWorld() {
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
	w.onCheckpoint = func(id protocol.TaskID, remaining time.Duration) { d.remainingRunTime[id] = remaining }
	w.onProvisioned, w.onTerminated = d.machineProvisioned, d.machineTerminated
	w.ageS = func(id protocol.MachineID) float64 { return (w.now - d.provisioned[id].since).Seconds() }
	w.onTaskStarted, w.onTaskEnded = d.taskStarted, d.taskEnded
	w.commandCopyFraction = d.site.CommandCopies
	w.onRepeatedStart = func(r repeatedStart) {
		w.fail("%v started_again: a copy of a command starts %v on %s", r.at, r.task, r.machine)
	}
	for _, n := range w.nodes { // restart with the site's settings
		n.start()
	}
}

// drawBootTime draws how long a machine takes to boot: usually 0.6 to 1.5 times the boot
// time in the catalogue; for one machine in thirty, three times; and one machine in a
// hundred never boots.
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

// drawRunTime draws how long a task runs: the job's estimate times its run time factor, varied
// by up to 15% either way. It returns the remaining run time if the task has saved a
// checkpoint, and one second for a job without data.
func (d *driver) drawRunTime(id protocol.TaskID) time.Duration {
	if remaining, ok := d.remainingRunTime[id]; ok {
		return remaining
	}
	j := d.jobState[id.Job]
	if j == nil {
		return time.Second
	}
	return config.Seconds(j.estimateS * j.runTimeFactor * (0.85 + 0.3*d.world.rng.Float64()))
}

// machineProvisioned records the time from which a machine is paid for and its price per hour,
// spot or on demand.
func (d *driver) machineProvisioned(id protocol.MachineID, r protocol.ProvisionRequest) {
	info := d.machineInfo[r.Type]
	price := info.Price
	if r.Spot {
		price = info.SpotPrice
	}
	d.provisioned[id] = provisionedMachine{d.now, price}
}

// machineTerminated adds the cost of a machine since it was provisioned to the result. It has
// no effect on a machine whose cost has been added already.
func (d *driver) machineTerminated(id protocol.MachineID) {
	if m, ok := d.provisioned[id]; ok {
		delete(d.provisioned, id)
		d.result.Cost += m.price * (d.now - m.since).Hours()
	}
}

// taskStarted records the start of a task: the wait of the task at its first start, a restart
// (see countRestart) at later ones, and the delay of the occurrence that its job is for, once
// all reserved tasks have started. That delay counts from the start of the occurrence or from
// the submission of the job, whichever is later.
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
	if o := j.occurrence; o != nil && len(j.started) == min(j.reservedTasks, j.tasks) {
		due := max(j.submitted, warmUpTime+o.Start.Sub(d.site.Start))
		o.DelayS, o.Started = math.Max(0, (d.now-due).Seconds()), true
	}
}

// checkWindows adds one to StartsInWindows for each maintenance window that covers the machine
// at the current time.
func (d *driver) checkWindows(id protocol.MachineID) {
	m := d.workers[id]
	now := reservation.Moment(d.wallMS())
	for _, w := range d.windows {
		if reservation.WindowCovers(w.spec, id, m.Info.Name, m.Zone) && len(w.schedule.Occurrences(reservation.After(now, -config.Seconds(w.spec.LengthS)+1), now)) > 0 {
			d.result.StartsInWindows++
		}
	}
}

// discardFinished adds the jobs that have finished to the result and discards the data that is
// no longer needed: that of all but the latest maxFinishedJobs finished jobs, that of
// terminated machines, and changes of the key-value store (see discardChanges).
func (d *driver) discardFinished() {
	d.collectFinishedJobs()
	for len(d.finishedJobs) > maxFinishedJobs {
		d.discardJob(d.finishedJobs[0])
		d.finishedJobs = d.finishedJobs[1:]
	}
	d.machineOrder = slices.DeleteFunc(d.machineOrder, func(id protocol.MachineID) bool {
		if d.workers[id].Dead {
			delete(d.workers, id)
			return true
		}
		return false
	})
	d.discardChanges()
}

// collectFinishedJobs moves the jobs in a final state from jobOrder to finishedJobs, and adds
// their completion times, from submission until now, to the result.
func (d *driver) collectFinishedJobs() {
	var unfinished []protocol.JobID
	for _, id := range d.jobOrder {
		if d.finalState[id] == "" {
			unfinished = append(unfinished, id)
			continue
		}
		if _, cancelled := d.cancelled[id]; cancelled {
			delete(d.jobState, id)
		} else if j := d.jobState[id]; j != nil {
			j.class.Done++
			j.class.completionTimes = append(j.class.completionTimes, (d.now - j.submitted).Seconds())
			delete(d.jobState, id)
		}
		d.finishedJobs = append(d.finishedJobs, id)
	}
	d.jobOrder = unfinished
}

// discardJob discards the job, its cancellation time, and the results, checkpoints and endings
// of its tasks.
func (d *driver) discardJob(id protocol.JobID) {
	for i := range d.jobs[id].Tasks {
		task := protocol.TaskID{Job: id, Index: i}
		delete(d.results, task)
		delete(d.remainingRunTime, task)
		delete(d.taskEndings, task)
	}
	delete(d.jobs, id)
	delete(d.cancelled, id)
}

// discardChanges discards the changes of the key-value store that the checks and all nodes
// with a session have processed, if they are more than minDiscardedChanges.
func (d *driver) discardChanges() {
	seen := d.state.Changes()
	for _, n := range d.nodes {
		if n.session != 0 {
			seen = min(seen, n.watchedChanges)
		}
	}
	if n := min(min(seen, d.checkedChanges)-d.state.CompactedChanges, len(d.changeTimes)); n > minDiscardedChanges {
		d.changeTimes = slices.Clone(d.changeTimes[n:])
		d.state.Compact(d.state.CompactedChanges + n)
	}
}

// finish completes the result: it adds the cost of the machines that still exist and the
// counts of starts and shard moves, and computes the summaries.
func (d *driver) finish() {
	for _, id := range slices.Sorted(maps.Keys(d.provisioned)) { // sorted: float sums depend on the order
		d.machineTerminated(id)
	}
	d.result.Starts = d.starts
	d.result.ShardMoves = ShardMovesResult{
		Moves: len(d.movePauses), Aborted: d.abortedMoves, PauseP99S: d.movePauseP99().Seconds(), StoppedByMoves: d.stoppedByMoves, LostByMoves: d.lostByMoves,
	}
	d.result.summarize()
}
