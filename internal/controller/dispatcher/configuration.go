package dispatcher

import "slices"

// closed reports whether the configuration has nothing new started on the machine.
func (q *queue) closed() bool { return q.PlaceClosed(q.machineType.Name, q.zone) }

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
