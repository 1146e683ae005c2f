package dispatcher

import "slices"

// inCordonedPlace reports whether the configuration cordons the machine's zone or type, so that
// nothing is started on the machine.
func (q *queue) inCordonedPlace() bool { return q.PlaceCordoned(q.machineType.Name, q.zone) }

// releaseOutdated releases the waiting attempts that must not start under the configuration
// in force: all of them if the machine's zone or type is cordoned, and otherwise those
// placed before their team's limit was lowered.
func (q *queue) releaseOutdated() {
	if q.inCordonedPlace() {
		q.releaseWaiting()
		return
	}
	if slices.ContainsFunc(q.waiting, q.isOutdated) {
		q.releaseWhere(q.isOutdated)
	}
}
