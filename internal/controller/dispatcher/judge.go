package dispatcher

import "damsonkeel/internal/protocol"

// jobFailing tells whether a job fails wherever it runs, by its owner's word.
type jobFailing func(protocol.JobID) bool

// jobsAgainst is how many jobs have to fail on a machine in a row, none of them
// failing elsewhere as well, until that speaks against the machine.
const jobsAgainst = 2

// quarantineIfFailing sets a machine aside that fails what it starts, and takes it back where its
// failures turn out to be those of jobs with a mistake. It waits until the owners
// have had the time to say so: of two arrays with a mistake nearly every machine
// fails a task of each, and the whole fleet was set aside.
func (k *Dispatcher) quarantineIfFailing(q *queue, fails jobFailing) {
	if len(q.failedJobs) == 0 {
		return
	}
	against := 0
	for id, at := range q.failedJobs {
		switch {
		case fails(id):
			delete(q.failedJobs, id)
		case k.Since(at) >= 2*k.Op.RelayEvery:
			against++
		}
	}
	k.setQuarantined(q, against >= jobsAgainst)
}

// setQuarantined has nothing started on a machine any more, or goes on with it.
func (k *Dispatcher) setQuarantined(q *queue, suspect bool) {
	if q.quarantined == suspect {
		return
	}
	q.quarantined = suspect
	k.touch(q)
	if !suspect {
		k.Log.Info("machine works again", "machine", q.id)
		return
	}
	k.Log.Info("machine set aside: it fails its tasks", "machine", q.id, "jobs", len(q.failedJobs))
	k.releaseWaiting(q)
}
