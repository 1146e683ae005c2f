package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
)

const (
	// estimateMargin is how much longer than estimated a task is assumed to run: owners'
	// estimates are often wrong by half.
	estimateMargin = 1.5
	// overrunDivisor is the part of its estimate that a task is assumed to run on for at
	// least.
	overrunDivisor = 4
)

// ownerOf is the owner of an attempt's job: by its record, or, before that has arrived
// here, the controller that placed it. Without the latter, a dispatcher whose watch lags
// would leave queued attempts out of an inventory, and their owner would take them for
// lost.
func (env *environment) ownerOf(e *entry) protocol.NodeName {
	if job := env.Live[e.task.Job]; job != nil {
		e.placedBy = env.OwnerOf(job)
	}
	return e.placedBy
}

// outdated reports whether an attempt was placed before its team's limit was lowered.
// Its owner did not check it against the limit in force, so it may not be started: the
// limit is checked here at the start, and by the owner when it places it anew.
func (env *environment) outdated(e *entry) bool {
	if e.configuration >= env.Configuration.Effective().Revision {
		return false // placed by the revision in force, or there is none
	}
	job := env.Live[e.task.Job]
	return job != nil && e.configuration < env.LimitLowered(job.Team)
}

// startBy is the time by which an attempt should start: the first objective that can
// still be met of its class and its team's guarantee, else when it has to start to be
// done by its deadline.
func (env *environment) startBy(e *entry, job *clusterstate.LiveJob) clock.Time {
	first := env.FinishBy(job) - clock.Time(estimateMargin*e.estimate*float64(time.Second))
	for _, o := range env.Objectives() {
		applies := o.Kind == "wait" && o.Class == job.Class || o.Kind == "guarantee" && e.level.Guaranteed()
		if by := job.Since + clock.Time(o.WithinS*float64(time.Second)); applies && by >= env.Now {
			first = min(first, by)
		}
	}
	return first
}

// remainingTime is how long a running attempt is likely to go on. That it overruns its
// estimate says that the estimate is too low, not that it ends now.
func (env *environment) remainingTime(e *entry) time.Duration {
	estimate := time.Duration(e.estimate * float64(time.Second))
	remaining := estimate
	if e.state == protocol.TaskRunning {
		remaining -= env.Since(e.runningSince)
	}
	return max(remaining, estimate/overrunDivisor)
}

// stopSeconds is how long an attempt may take to end once it is stopped.
func (env *environment) stopSeconds(e *entry) float64 {
	if job := env.Live[e.task.Job]; job != nil {
		return clusterstate.GraceS(&job.Job)
	}
	return 1
}
