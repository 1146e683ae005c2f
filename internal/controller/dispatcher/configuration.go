package dispatcher

import "slices"

// closed reports whether the configuration has nothing new started on the machine.
func (q *queue) closed() bool { return q.PlaceClosed(q.machineType.Name, q.zone) }

// outdated reports whether an attempt was placed before its team's limit was lowered.
// Its owner did not check it against the limit in force, so it may not be started: the
// limit is checked here at the start, and by the owner when it places it anew.
func (q *queue) outdated(e *entry) bool {
	if e.configuration >= q.Configuration.Effective().Revision {
		return false // placed by the revision in force, or there is none
	}
	job := q.Live[e.task.Job]
	return job != nil && e.configuration < q.LimitLowered(job.Team)
}

// releaseOutdated gives back to its owners what waits on the machine and may not be
// started by the configuration in force.
func (q *queue) releaseOutdated() {
	if q.closed() {
		q.releaseWaiting()
		return
	}
	if slices.ContainsFunc(q.waiting, q.outdated) {
		q.releaseWhere(q.outdated)
	}
}
