package jobs

import (
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// A failing job was submitted with an error of its own and fails on every machine until
// its user cancels it; a faulty machine fails every job. The other attempts tell them
// apart: of a good job's tasks most run while a few faulty machines fail some of them, and
// on a good machine tasks of other jobs are done. The job's owner judges the job and
// replicates that to all members; the machine's dispatcher judges the machine and leaves
// out the failures of failing jobs (package dispatcher).
const (
	// failedMachines is the number of machines on which a job must fail before it can be
	// taken for failing.
	failedMachines = 3
	// minBackoff is the first backoff of a failing job, for each task that a trial takes,
	// and maxBackoff the longest.
	minBackoff, maxBackoff = 5 * time.Second, 5 * time.Minute
	// trialFactor and trialSlack: a trial that runs so many times as long as others took
	// to fail, and that much longer, shows that the job no longer fails.
	trialFactor, trialSlack = 3, 5 * time.Second
)

// attemptFailed records that an attempt ended in an error and judges the job. Once at
// least as many of its tasks have failed as run, the job is failing: one task at a time is
// tried, with growing backoff.
func (o *Owned) attemptFailed(job *Job, attempt *Attempt) {
	job.FailedOn[attempt.Machine] = true
	job.failure.count++
	if attempt.running {
		job.failure.longestRun = max(job.failure.longestRun, o.Since(attempt.runningSince))
	}
	switch {
	case job.Failing && attempt.Trial && job.NotBefore <= o.Now: // the first of a trial's tasks
		job.failure.backoff = min(2*job.failure.backoff, maxBackoff)
		job.NotBefore = o.After(job.failure.backoff)
	case !job.Failing && o.hasFailedEverywhere(job):
		o.markFailing(job)
	}
}

// markFailing begins the trials of a job that fails wherever it runs.
func (o *Owned) markFailing(job *Job) {
	job.Failing, job.failure.backoff = true, minBackoff
	if job.IsGang() { // a trial uses the resources of all its tasks
		job.failure.backoff = min(minBackoff*time.Duration(job.Tasks), maxBackoff)
	}
	job.NotBefore = o.After(job.failure.backoff)
	o.changes.Touch(job.ID)
	o.Log.Info("job fails wherever it runs: one task is tried now and then", "job", job.ID, "machines", len(job.FailedOn))
	for _, other := range ordered.Tasks(job.Placed) {
		if !other.Started && !other.Stopping && job.Kind != protocol.KindGang {
			o.SendStop(other, false, 0) // what is queued would fail as well
		}
	}
}

// clearFailures ends the trials of a job that no longer fails.
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

// expireTrials ends the trials of a failing job once one of them has run for much longer
// than its tasks took to fail.
func (o *Owned) expireTrials(job *Job) {
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

// IsFailing reports whether a live job fails wherever it runs, according to its owner.
func (o *Owned) IsFailing(id protocol.JobID) bool {
	progress, ok := o.JobProgress(id)
	return ok && progress.Failing
}

// FailedOnAllMachines reports whether a job has failed on all usable machines that suit
// it. It may then be placed again where it has failed: otherwise, if the only machine of a
// zone had failed it once, it would never be tried again, as no other machine is
// provisioned while that one has free resources.
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

// hasFailedEverywhere reports whether a job has failed on several machines, no less often
// than its tasks run, or on all machines that suit it. The tasks of a gang fail together:
// how many run then tells nothing.
func (o *Owned) hasFailedEverywhere(job *Job) bool {
	onSeveral := len(job.FailedOn) >= failedMachines && (job.IsGang() || job.failure.count >= int(job.running))
	return onSeveral || o.FailedOnAllMachines(job)
}
