package controller

// recordRunTime learns from a task that is done how long the job's tasks run. One
// that ran before may have saved its progress, and one taken over may have run
// for long unseen: they tell nothing. Counted as short, the latter made all
// others seem late after each takeover, and their machines slow.
func (oj *ownedJobs) recordRunTime(o *ownedJob, t *attempt) {
	if !t.running || t.startUnseen || o.retry.Test(uint(t.task.Index)) {
		return
	}
	o.runTimes.Note(oj.Since(t.runningSince).Seconds(), oj.rng)
}

// usual is how long half of a job's tasks run at the most, once that is known.
func (o *ownedJob) usual() (seconds float64, ok bool) { return o.runTimes.Usual(int(o.running)) }

// estimateOf is a task's expected run time: what the job's other tasks took,
// once enough of them are done, and before that its owner's estimate.
func (oj *ownedJobs) estimateOf(o *ownedJob) float64 {
	if s, ok := o.usual(); ok {
		return s
	}
	return oj.Estimate(&o.Job)
}
