package jobs

// recordRunTime adds the run time of a finished task to the run times of its job. Two kinds
// of tasks are left out, since their full run time is unknown: a task with an earlier attempt
// may have resumed from a checkpoint, and a task that was taken over may have run for long
// before this owner observed it. When the latter were counted with their short observed
// times, all other tasks seemed late after each takeover, and their machines slow.
func (o *Owned) recordRunTime(job *Job, attempt *Attempt) {
	if !attempt.running || attempt.startUnseen || job.interrupted.Test(uint(attempt.Task.Index)) {
		return
	}
	job.runTimes.Note(o.Since(attempt.runningSince).Seconds(), o.rng)
}

// EstimateRunSeconds returns the expected run time of a job's tasks in seconds: the median run
// time of its finished tasks once MedianRunSeconds has one, and before that the submitted
// estimate, or the default estimate if none was submitted.
func (o *Owned) EstimateRunSeconds(job *Job) float64 {
	if seconds, ok := job.MedianRunSeconds(); ok {
		return seconds
	}
	return o.Estimate(&job.Job)
}
