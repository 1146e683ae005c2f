package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// entry is one attempt that waits in a machine's queue or is on the machine.
type entry struct {
	task     protocol.TaskID
	attempt  protocol.Attempt
	estimate float64 // estimated run time in seconds
	need     resource.Amount
	// arrival numbers the attempts in the order in which they were queued; 0 if the attempt
	// was found on the machine.
	arrival      uint64
	queuedSince  clock.Time // when it was queued or first seen here
	runningSince clock.Time // when it was first seen running here; 0 if it was not
	level        resource.Level
	levelGuessed bool
	deadline     clock.Time        // deadline of its job when the queue was last sorted
	inGang       bool              // the other tasks of its gang wait for it
	placedBy     protocol.NodeName // controller that placed it here, or its job's latest owner; empty if neither is known
	// configuration is the configuration revision that the owner used when it placed the
	// attempt.
	configuration record.ConfigurationRevision

	// sent is set once a start has been sent to the worker: the attempt may be on the
	// machine.
	sent bool
	// directFencingToken is the latest fencing token with which a start was sent directly.
	// Whether the start was answered or not, a copy of it may reach the worker minutes later,
	// and is refused only once the worker has seen a later token. 0 if there is no such start.
	directFencingToken protocol.Term
	// startResent is set if the latest start was sent although an earlier direct one was not
	// settled.
	startResent bool
	// startInLastReply is set while the reply to the latest heartbeat contains the start.
	// The worker's next heartbeat settles it.
	startInLastReply bool

	present      bool // the worker has listed the attempt
	state        protocol.TaskState
	cause        protocol.EndCause
	checkpointed bool
	kill         bool
	graceSeconds float64
	forget       bool // the owner has processed its end: the worker may forget it
	// forgetSince is the time since which a start that may still be delivered has delayed
	// the order to forget the attempt; 0 if it is not delayed.
	forgetSince clock.Time
	noticeSent  bool // the owner was notified of the machine's termination notice
}

// mayArrive reports whether a direct start of the attempt may still reach and be executed by
// its worker, which has seen the given fencing token.
func (e *entry) mayArrive(fencingTokenSeen protocol.Term) bool {
	return e.directFencingToken != 0 && fencingTokenSeen <= e.directFencingToken
}

// ended reports whether the attempt is known to have ended.
func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// newWaitingEntry returns the entry of an attempt that an owner has placed on a machine.
func newWaitingEntry(from protocol.NodeName, place *message.Place, placement *message.Placement, now clock.Time) *entry {
	return &entry{
		task:          placement.Task,
		attempt:       placement.Attempt,
		estimate:      placement.EstimateS,
		need:          placement.Need(),
		level:         resource.Level(placement.Level),
		inGang:        placement.Together,
		placedBy:      from,
		queuedSince:   now,
		configuration: place.Configuration,
	}
}

// entrySet holds the attempts in a queue or on its machine, one for each task.
type entrySet struct {
	entries       map[protocol.TaskID]*entry // changed only by addEntry and removeEntry
	attemptsOfJob map[protocol.JobID]int     // number of entries by job
}

func newEntrySet() entrySet {
	return entrySet{entries: map[protocol.TaskID]*entry{}, attemptsOfJob: map[protocol.JobID]int{}}
}

// addEntry adds an attempt and replaces any other attempt of the same task.
func (s *entrySet) addEntry(e *entry) {
	if s.entries[e.task] == nil {
		s.attemptsOfJob[e.task.Job]++
	}
	s.entries[e.task] = e
}

// removeEntry removes the attempt of a task, if there is one.
func (s *entrySet) removeEntry(id protocol.TaskID) {
	if s.entries[id] == nil {
		return
	}
	delete(s.entries, id)
	if s.attemptsOfJob[id.Job]--; s.attemptsOfJob[id.Job] == 0 {
		delete(s.attemptsOfJob, id.Job)
	}
}

const (
	// estimateMargin is the factor by which a task is assumed to exceed its estimated run
	// time: owners' estimates are often wrong by half.
	estimateMargin = 1.5
	// overrunDivisor gives the minimum remaining run time of a task, as a fraction of its
	// estimate: estimate / overrunDivisor.
	overrunDivisor = 4
)

// ownerOf returns the owner of an attempt's job: the owner named by the job's record or,
// before the record has arrived here, the controller that placed the attempt. Without that
// fallback, a dispatcher whose watch lags would omit queued attempts from an inventory, and
// their owner would consider them lost.
func (env *environment) ownerOf(e *entry) protocol.NodeName {
	if job := env.Live[e.task.Job]; job != nil {
		e.placedBy = env.OwnerOf(job)
	}
	return e.placedBy
}

// isOutdated reports whether an attempt was placed under a configuration revision before
// the last one that lowered the limit of its team. Its owner did not check it against the
// limit in force, so it must not be started: the dispatcher makes this check at the start,
// and the owner checks the limit when it places the attempt again.
func (env *environment) isOutdated(e *entry) bool {
	if e.configuration >= env.Configuration.Effective().Revision {
		return false // placed under the revision in force, or no revision is in force
	}
	job := env.Live[e.task.Job]
	return job != nil && e.configuration < env.LimitLowered(job.Team)
}

// startDeadline returns the time by which an attempt should start: the earliest objective
// that can still be met of its class or of its team's guarantee, and at the latest the
// time that still lets the attempt finish by its deadline.
func (env *environment) startDeadline(e *entry, job *clusterstate.LiveJob) clock.Time {
	earliest := env.FinishBy(job) - clock.Time(estimateMargin*e.estimate*float64(time.Second))
	for _, o := range env.Objectives() {
		applies := o.Kind == "wait" && o.Class == job.Class || o.Kind == "guarantee" && e.level.Guaranteed()
		if objectiveTime := job.SubmittedAt + clock.Time(o.WithinS*float64(time.Second)); applies && objectiveTime >= env.Now {
			earliest = min(earliest, objectiveTime)
		}
	}
	return earliest
}

// remainingTime returns the expected remaining run time of an attempt: its estimate minus
// the time that it has run, but at least a fixed fraction of the estimate (overrunDivisor).
// An attempt that overruns its estimate shows that the estimate is too low, not that the
// attempt ends now.
func (env *environment) remainingTime(e *entry) time.Duration {
	estimate := time.Duration(e.estimate * float64(time.Second))
	remaining := estimate
	if e.state == protocol.TaskRunning {
		remaining -= env.Since(e.runningSince)
	}
	return max(remaining, estimate/overrunDivisor)
}

// stopSeconds returns how long an attempt may take to end after it is stopped: its job's
// grace time in seconds, or 1 if the job's record is missing.
func (env *environment) stopSeconds(e *entry) float64 {
	if job := env.Live[e.task.Job]; job != nil {
		return clusterstate.GraceS(&job.Job)
	}
	return 1
}
