package jobs

// recordRunTime learns from a task that is done how long the job's tasks run. One
// that ran before may have saved its progress, and one taken over may have run
// for long unseen: they tell nothing. Counted as short, the latter made all
// others seem late after each takeover, and their machines slow.
func (oj *Owned) recordRunTime(o *Job, t *Attempt) {
	if !t.running || t.startUnseen || o.retry.Test(uint(t.Task.Index)) {
		return
	}
	o.runTimes.Note(oj.Since(t.runningSince).Seconds(), oj.rng)
}

// EstimateOf is a task's expected run time: what the job's other tasks took,
// once enough of them are done, and before that its owner's estimate.
func (oj *Owned) EstimateOf(o *Job) float64 {
	if s, ok := o.UsualSeconds(); ok {
		return s
	}
	return oj.Estimate(&o.Job)
}
