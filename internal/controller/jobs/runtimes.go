package jobs

// recordRunTime learns from a task that is done how long the job's tasks run. A task with
// an earlier attempt may have resumed from a checkpoint, and one that was taken over may
// have run unseen for long: they tell nothing. When the latter were counted as short, all
// others seemed late after each takeover, and their machines slow.
func (o *Owned) recordRunTime(job *Job, attempt *Attempt) {
	if !attempt.running || attempt.startUnseen || job.interrupted.Test(uint(attempt.Task.Index)) {
		return
	}
	job.runTimes.Note(o.Since(attempt.runningSince).Seconds(), o.rng)
}

// EstimateOf returns the expected run time of a job's task in seconds: what its other
// tasks took, once enough of them are done, and before that the submitted estimate.
func (o *Owned) EstimateOf(job *Job) float64 {
	if seconds, ok := job.MedianRunSeconds(); ok {
		return seconds
	}
	return o.Estimate(&job.Job)
}
