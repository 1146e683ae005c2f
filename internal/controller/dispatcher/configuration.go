package dispatcher

import "slices"

// inCordonedPlace reports whether the configuration cordons the machine's zone or type, so that
// nothing is started on the machine.
func (q *queue) inCordonedPlace() bool { return q.PlaceCordoned(q.machineType.Name, q.zone) }

// releaseOutdated releases the waiting attempts that the configuration in force does not
// allow to start.
func (q *queue) releaseOutdated() {
	if q.inCordonedPlace() {
		q.releaseWaiting()
		return
	}
	if slices.ContainsFunc(q.waiting, q.isOutdated) {
		q.releaseWhere(q.isOutdated)
	}
}
