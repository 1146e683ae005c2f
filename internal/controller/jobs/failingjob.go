package jobs

import (
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// A failing job contains an error of its own and fails on every machine until its user
// cancels it. A faulty machine fails the tasks of every job. The other attempts distinguish
// the two: most tasks of a good job run while a few faulty machines fail some of them, and
// on a good machine tasks of other jobs succeed. The job's owner decides whether the job is
// failing and replicates the result to all members. The machine's dispatcher decides whether
// the machine is faulty, and ignores the failures of failing jobs (package dispatcher).
const (
	// minFailedMachines is the number of machines on which a job must fail before it can be
	// classified as failing.
	minFailedMachines = 3
	// minTrialBackoff is the first backoff of a failing job, multiplied by the number of
	// tasks that a trial starts. maxTrialBackoff is the longest backoff.
	minTrialBackoff, maxTrialBackoff = 5 * time.Second, 5 * time.Minute
	// A trial that runs longer than trialFactor times the longest run of a failed attempt
	// plus trialSlack shows that the job no longer fails.
	trialFactor, trialSlack = 3, 5 * time.Second
)

// handleFailedAttempt records that an attempt ended in an error and decides whether its job is
// failing (see hasFailedEverywhere). Of a failing job one task at a time is placed as a trial,
// or the whole gang, with a backoff that doubles after each failed trial up to maxTrialBackoff.
func (o *Owned) handleFailedAttempt(job *Job, attempt *Attempt) {
	job.FailedOn[attempt.Machine] = true
	job.failure.count++
	if attempt.running {
		job.failure.longestRun = max(job.failure.longestRun, o.Since(attempt.runningSince))
	}
	switch {
	case job.Failing && attempt.Trial && job.NotBefore <= o.Now: // the first failed task of a trial
		job.failure.backoff = min(2*job.failure.backoff, maxTrialBackoff)
		job.NotBefore = o.After(job.failure.backoff)
	case !job.Failing && o.hasFailedEverywhere(job):
		o.markFailing(job)
	}
}

// markFailing marks a job as failing, sets the backoff of its first trial and requests the
// release of its queued attempts, except those of a gang.
func (o *Owned) markFailing(job *Job) {
	job.Failing, job.failure.backoff = true, minTrialBackoff
	if job.IsGang() { // a trial uses the resources of all its tasks
		job.failure.backoff = min(minTrialBackoff*time.Duration(job.Tasks), maxTrialBackoff)
	}
	job.NotBefore = o.After(job.failure.backoff)
	o.changes.Touch(job.ID)
	o.Log.Info("job fails on every machine: retrying one task at a time with backoff", "job", job.ID, "machines", len(job.FailedOn))
	for _, other := range ordered.Tasks(job.Placed) {
		if !other.Started && !other.Stopping && job.Kind != protocol.KindGang {
			o.SendStop(other, false, 0) // queued attempts would fail as well
		}
	}
}

// clearFailures resets the failure count of a job after a success. If the job was failing, it
// no longer is: its backoff and its list of machines with failures are cleared, and all its
// tasks may be placed.
func (o *Owned) clearFailures(job *Job) {
	job.failure.count = 0
	if !job.Failing {
		return
	}
	job.Failing, job.failure.backoff, job.NotBefore = false, 0, 0
	clear(job.FailedOn)
	o.changes.Touch(job.ID)
	o.table.PlacementDue = true
	o.Log.Info("job no longer fails", "job", job.ID)
}

// endTrialsAfterLongRun clears the failures of a failing job once a trial has run for longer
// than trialFactor times the longest run of a failed attempt plus trialSlack.
func (o *Owned) endTrialsAfterLongRun(job *Job) {
	if !job.Failing {
		return
	}
	limit := trialFactor*job.failure.longestRun + trialSlack
	for _, attempt := range job.Placed {
		if attempt.Trial && attempt.running && o.Since(attempt.runningSince) > limit {
			o.clearFailures(job)
			return
		}
	}
}

// IsFailing reports whether the owner of a live job has classified it as failing. It is false
// if the owner, a peer, has not reported the job's progress yet.
func (o *Owned) IsFailing(id protocol.JobID) bool {
	progress, ok := o.JobProgress(id)
	return ok && progress.Failing
}

// FailedOnAllMachines reports whether a job has failed on some machine, and on all machines
// that accept placements (see waittable.Table.Usable) and that its requirements of type, zone,
// purchase option and size allow. The job may then be placed again on machines where it has
// failed. Otherwise a job that failed once on the only machine of a zone would never be
// retried: no other machine is provisioned while that machine has free resources.
func (o *Owned) FailedOnAllMachines(job *Job) bool {
	if len(job.FailedOn) == 0 {
		return false
	}
	for _, m := range o.table.InOrder() {
		if !job.FailedOn[m.ID] && o.table.Usable(m) && job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) {
			return false
		}
	}
	return true
}

// hasFailedEverywhere reports whether a job has failed on at least minFailedMachines machines,
// with at least as many failures since a task was last done as it has running tasks, or on all
// machines on which it may run (see FailedOnAllMachines). The number of running tasks is
// ignored for a gang, since its tasks fail together.
func (o *Owned) hasFailedEverywhere(job *Job) bool {
	failedOnSeveral := len(job.FailedOn) >= minFailedMachines && (job.IsGang() || job.failure.count >= int(job.runningCount))
	return failedOnSeveral || o.FailedOnAllMachines(job)
}
