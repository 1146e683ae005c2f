package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
)

// AdoptConfiguration goes over to a new configuration: what may not be started by it any more
// goes back to its owners.
func (k *Dispatcher) AdoptConfiguration() {
	for _, q := range k.queuesInOrder() {
		k.touch(q) // whether it is closed may have changed
		if !k.handingOver(q) {
			k.releaseOutdated(q)
		}
	}
}

// closed reports whether the configuration has nothing new started on a machine.
func (k *Dispatcher) closed(q *queue) bool { return k.PlaceClosed(q.info.Name, q.zone) }

// outdated reports whether an attempt was placed before its team's limit was lowered.
// Its owner did not hold it against the limit in force, so it may not be started: the
// limit is checked here at the start, and by the owner when it places it anew.
func (k *Dispatcher) outdated(e *entry) bool {
	if e.configuration >= k.Configuration.Effective().Revision {
		return false // placed by the revision in force, or there is none
	}
	job := k.Live[e.task.Job]
	return job != nil && e.configuration < k.LimitLowered(job.Team)
}

// releaseOutdated gives back to its owners what waits on a machine and may not be
// started by the configuration in force.
func (k *Dispatcher) releaseOutdated(q *queue) {
	if k.closed(q) {
		k.releaseWaiting(q)
		return
	}
	if !slices.ContainsFunc(q.waiting, k.outdated) {
		return
	}
	for _, e := range slices.Clone(q.waiting) {
		if k.outdated(e) {
			k.dropWaiting(q, e)
			k.notifyOwner(q, e, message.EventReleased)
		}
	}
}
