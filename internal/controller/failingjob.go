package controller

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
func (oj *ownedJobs) attemptFailed(o *ownedJob, t *attempt) {
	o.failedOn[t.machine] = true
	o.failures++
	if t.running {
		o.failedAfter = max(o.failedAfter, oj.Since(t.runningSince))
	}
	switch {
	case o.failing && t.trial && o.notBefore <= oj.Now: // the first of a trial's tasks
		o.backoff = min(2*o.backoff, retryMost)
		o.notBefore = oj.After(o.backoff)
	case o.failing || !oj.hasFailedEverywhere(o):
	default:
		o.failing, o.backoff = true, retryFirst
		if o.isGang() { // a trial takes the room of all its tasks
			o.backoff = min(retryFirst*time.Duration(o.Tasks), retryMost)
		}
		o.notBefore = oj.After(o.backoff)
		oj.ownedChanges.Touch(o.ID)
		oj.Log.Info("job fails wherever it runs: one task is tried now and then", "job", o.ID, "machines", len(o.failedOn))
		for _, other := range ordered.Tasks(o.placed) {
			if !other.started && !other.stopping && o.Kind != protocol.KindGang {
				oj.sendStop(other, false, 0) // what waits in queues would fail as well
			}
		}
	}
}

// clearFailures takes back what was held against a job.
func (oj *ownedJobs) clearFailures(o *ownedJob) {
	o.failures = 0
	if !o.failing {
		return
	}
	o.failing, o.backoff, o.notBefore = false, 0, 0
	clear(o.failedOn)
	oj.ownedChanges.Touch(o.ID)
	oj.table.placementDue = true
	oj.Log.Info("job no longer fails", "job", o.ID)
}

// expireTrials looks whether the trial of a job that failed goes on for much longer
// than its tasks took to fail.
func (oj *ownedJobs) expireTrials(o *ownedJob) {
	if !o.failing {
		return
	}
	for _, t := range o.placed {
		if t.trial && t.running && oj.Since(t.runningSince) > trialFactor*o.failedAfter+trialSlack {
			oj.clearFailures(o)
			return
		}
	}
}

// mayTry is how many of n tasks of a job may be placed now.
func (o *ownedJob) mayTry(n int) int {
	switch {
	case !o.failing:
		return n
	case len(o.placed) > 0:
		return 0 // until all that is known to be there has ended
	}
	return min(n, 1)
}

// isFailing reports whether a live job fails wherever it runs, by its owner's word.
func (oj *ownedJobs) isFailing(id protocol.JobID) bool {
	g, ok := oj.JobProgress(id)
	return ok && g.Failing
}
