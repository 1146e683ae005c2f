package jobs

import (
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// A failing job was submitted with an error in itself, and fails on every machine
// until its user cancels it; a faulty machine fails every job. What tells them apart is the rest:
// of a good job's tasks most run while a few faulty machines fail some, on a good
// machine other jobs' tasks are done. The job's owner judges the job, and says so
// to all; the machine's keeper judges the machine, and leaves out the failures of
// failing jobs (package keeping).
const (
	// failedMachines is on how many machines a job fails before that speaks against
	// the job.
	failedMachines = 3
	// A job that fails wherever it runs is tried again after so long at first, for
	// each task that a trial takes, and at the most.
	retryFirst, retryMost = 5 * time.Second, 5 * time.Minute
	// A trial that runs so many times as long as others took to fail, and a little
	// more, tells that what was wrong with the job is gone.
	trialFactor, trialSlack = 3, 5 * time.Second
)

// attemptFailed notes that a task of a job ended in an error, and judges the job: it is
// tried with one task at a time, ever later, once at least as many of its tasks have
// failed as run.
func (oj *Owned) attemptFailed(o *Job, t *Attempt) {
	o.FailedOn[t.Machine] = true
	o.failures++
	if t.running {
		o.failedAfter = max(o.failedAfter, oj.Since(t.runningSince))
	}
	switch {
	case o.Failing && t.Trial && o.NotBefore <= oj.Now: // the first of a trial's tasks
		o.backoff = min(2*o.backoff, retryMost)
		o.NotBefore = oj.After(o.backoff)
	case o.Failing || !oj.hasFailedEverywhere(o):
	default:
		o.Failing, o.backoff = true, retryFirst
		if o.IsGang() { // a trial takes the room of all its tasks
			o.backoff = min(retryFirst*time.Duration(o.Tasks), retryMost)
		}
		o.NotBefore = oj.After(o.backoff)
		oj.ownedChanges.Touch(o.ID)
		oj.Log.Info("job fails wherever it runs: one task is tried now and then", "job", o.ID, "machines", len(o.FailedOn))
		for _, other := range ordered.Tasks(o.Placed) {
			if !other.Started && !other.Stopping && o.Kind != protocol.KindGang {
				oj.SendStop(other, false, 0) // what waits in queues would fail as well
			}
		}
	}
}

// clearFailures takes back what was held against a job.
func (oj *Owned) clearFailures(o *Job) {
	o.failures = 0
	if !o.Failing {
		return
	}
	o.Failing, o.backoff, o.NotBefore = false, 0, 0
	clear(o.FailedOn)
	oj.ownedChanges.Touch(o.ID)
	oj.table.PlacementDue = true
	oj.Log.Info("job no longer fails", "job", o.ID)
}

// expireTrials looks whether the trial of a job that failed goes on for much longer
// than its tasks took to fail.
func (oj *Owned) expireTrials(o *Job) {
	if !o.Failing {
		return
	}
	for _, t := range o.Placed {
		if t.Trial && t.running && oj.Since(t.runningSince) > trialFactor*o.failedAfter+trialSlack {
			oj.clearFailures(o)
			return
		}
	}
}

// IsFailing reports whether a live job fails wherever it runs, by its owner's word.
func (oj *Owned) IsFailing(id protocol.JobID) bool {
	g, ok := oj.JobProgress(id)
	return ok && g.Failing
}

// FailedEverywhereElse reports whether a job failed on all machines that there are for it.
// Where the only machine of a zone had failed it once, it was never tried again, and
// no other was rented since that one had room.
func (oj *Owned) FailedEverywhereElse(o *Job) bool {
	if len(o.FailedOn) == 0 {
		return false
	}
	for _, m := range oj.table.InOrder() {
		if !o.FailedOn[m.ID] && oj.table.Usable(m) && o.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) {
			return false
		}
	}
	return true
}

// hasFailedEverywhere reports whether a job failed on several machines, no less often
// than its tasks run, or on all that there are for it. The tasks of a gang fail
// together: how many run then tells nothing.
func (oj *Owned) hasFailedEverywhere(o *Job) bool {
	return len(o.FailedOn) >= failedMachines && (o.IsGang() || o.failures >= int(o.running)) || oj.FailedEverywhereElse(o)
}
