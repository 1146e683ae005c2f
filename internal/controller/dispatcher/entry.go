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

// entry is one attempt in a queue or on its machine.
type entry struct {
	task     protocol.TaskID
	attempt  protocol.Attempt
	estimate float64 // of its run time, in seconds
	need     resource.Amount
	// arrival numbers the attempts in the order they were queued; 0: found on the machine.
	arrival      uint64
	queuedSince  clock.Time // queued here, or first seen here
	runningSince clock.Time // as far as seen here; 0: not seen to run
	level        resource.Level
	levelGuessed bool
	deadline     clock.Time        // of its job, when the queue was last sorted
	inGang       bool              // others of its gang wait for it
	placedBy     protocol.NodeName // the controller that placed it here, if any
	// configuration is the revision that its owner placed it by.
	configuration record.ConfigurationRevision

	sent bool
	// directFencingToken is the fencing token of a direct start that has no answer: the start
	// may be executed until the worker sees a later token. 0: none.
	directFencingToken protocol.Term
	// startResent is set once its start has been sent a second way too: that the attempt
	// is there does not tell which of them arrived.
	startResent bool
	// startInLastReply is set while its start is in the reply to the latest heartbeat:
	// the worker's next heartbeat settles it.
	startInLastReply bool

	present      bool // the worker has listed it
	state        protocol.TaskState
	cause        protocol.EndCause
	checkpointed bool
	kill         bool
	graceSeconds float64
	forget       bool // its owner has dealt with its end: the worker may forget it
	// forgetSince is since when forgetting it waits for a start that may be under way.
	forgetSince clock.Time
	noticed     bool // its owner knows of the machine's termination notice
}

func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// waitingEntry returns the entry of an attempt that an owner asks to be queued.
func waitingEntry(from protocol.NodeName, p *message.Place, t *message.Placement, now clock.Time) *entry {
	return &entry{
		task:          t.Task,
		attempt:       t.Attempt,
		estimate:      t.EstimateS,
		need:          t.Need(),
		level:         resource.Level(t.Level),
		inGang:        t.Together,
		placedBy:      from,
		queuedSince:   now,
		configuration: p.Configuration,
	}
}

// entrySet holds the attempts in a queue or on its machine, one for each task.
type entrySet struct {
	entries       map[protocol.TaskID]*entry // changed by addEntry and removeEntry alone
	attemptsOfJob map[protocol.JobID]int     // how many of these
}

func newEntrySet() entrySet {
	return entrySet{entries: map[protocol.TaskID]*entry{}, attemptsOfJob: map[protocol.JobID]int{}}
}

// addEntry adds an attempt, in place of another of its task if there is one.
func (s *entrySet) addEntry(e *entry) {
	if s.entries[e.task] == nil {
		s.attemptsOfJob[e.task.Job]++
	}
	s.entries[e.task] = e
}

// removeEntry forgets a task's attempt.
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
