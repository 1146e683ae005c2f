package admission

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// AnnounceTimeout is the maximum time for one announcement of a cancellation to a
	// controller. Without an acknowledgement it is announced again after that time.
	AnnounceTimeout = time.Second
	// membersCheckInterval is the interval at which the core is asked which of the
	// controllers that have not acknowledged a cancellation may still start its tasks.
	membersCheckInterval = 25 * time.Millisecond
	// confirmationBudget is how long a cancellation, or a submission of a cancelled job, may
	// take while the cancellation is being announced. Users time these requests out after 5 s.
	confirmationBudget = 4500 * time.Millisecond
	// stepMargin is the time in which a step that another controller has begun sends its
	// commands.
	stepMargin = 200 * time.Millisecond
)

// cancellationUnconfirmed is the reason of an answer with status 503 to a request for a cancelled
// job while a controller may still start its tasks.
const cancellationUnconfirmed = "cancellation not confirmed yet"

// announcement is the notification of all controllers that a job is cancelled. It lasts until
// no controller can start a task of the job any more, which confirms the cancellation.
type announcement struct {
	record record.JobRecord
	// revision is one at which the records of the key-value store contain the cancellation.
	revision protocol.Revision
	// cancelledBy is a time by which the cancellation had been written.
	cancelledBy clock.Time
	announcedAt clock.Time                 // when it was last sent
	pending     map[protocol.NodeName]bool // controllers that may still start tasks of the job
	waiting     []*request                 // answered when the cancellation is confirmed
}

// CancelTransaction returns the transaction that cancels a job: it marks the job's record r
// as cancelled and deletes its record as a live job. It is conditional on the version at
// which the job was read. One version covers both records of the job, since they always
// change in the same transaction.
func CancelTransaction(id protocol.JobID, version protocol.Version, r record.JobRecord) protocol.Transaction {
	r.State = record.RecordCancelled
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(id), Version: version}, {Key: record.LiveKey(id), Version: version}},
		Changes:    []protocol.Change{{Put: record.JobKey(id), Value: r}, {Delete: record.LiveKey(id)}},
	}
}

// answerCancelled answers that a job, whose record of the given revision says so, is cancelled.
// Before the first such answer it announces the cancellation to all controllers, and the answer
// waits until none of them can start a task of the job any more: each controller watches the
// records, but with a lag of milliseconds to seconds, and one that can't reach the key-value
// store may start tasks until its lease has ended. A request whose budget is used up before
// that is answered with 503.
func (a *Admission) answerCancelled(r *request, rec record.JobRecord, revision protocol.Revision) {
	if _, ok := a.finalRecords[r.Job]; ok {
		a.reply(r, finalAnswer(r, rec))
		return
	}
	if a.awaitingConfirmation >= MaxRequests {
		a.reply(r, Failure(statusUnavailable, cancellationUnconfirmed))
		return
	}
	current := a.announcements[r.Job]
	if current == nil {
		current = &announcement{record: rec, revision: revision, cancelledBy: a.now, pending: map[protocol.NodeName]bool{a.settings.Name: true}}
		for _, member := range a.settings.Members {
			current.pending[member.Name] = true
		}
		a.announcements[r.Job] = current
		a.announce(r.Job, current)
		a.wakeBy(a.timeAfter(membersCheckInterval))
	}
	current.waiting = append(current.waiting, r)
	r.awaitsConfirmation = true
	a.awaitingConfirmation++
	if r.Operation != Poll && !r.Forwarded {
		r.deadline += clock.Time(confirmationBudget - requestBudget)
	}
}

// announce sends a cancellation to all controllers that have not acknowledged it.
func (a *Admission) announce(id protocol.JobID, current *announcement) {
	current.announcedAt = a.now
	for to := range ordered.ByKey(current.pending) {
		a.emit(Announce{id, to})
	}
}

// handleAcknowledgement records that a controller starts no more tasks of a cancelled job.
func (a *Admission) handleAcknowledgement(m AnnouncementAcknowledged) {
	if current := a.announcements[m.Job]; current != nil {
		delete(current.pending, m.By)
		a.confirmIfSafe(m.Job, current)
	}
}

// checkAnnouncements repeats the announcements that were not acknowledged within
// AnnounceTimeout, and asks the core which controllers may still act, at most once per
// membersCheckInterval.
func (a *Admission) checkAnnouncements() {
	if len(a.announcements) == 0 || a.now < a.nextMembersCheckAt {
		return
	}
	a.nextMembersCheckAt = a.timeAfter(membersCheckInterval)
	a.wakeBy(a.nextMembersCheckAt)
	var jobs []protocol.JobID
	for id, current := range ordered.ByKey(a.announcements) {
		jobs = append(jobs, id)
		if a.now >= current.announcedAt+clock.Time(AnnounceTimeout) {
			a.announce(id, current)
		}
	}
	a.queryCore(membersQuery{}, jobs...)
}

// membersQuery asks which controllers may act, in order to confirm the announced
// cancellations.
type membersQuery struct{}

func (q membersQuery) resume(a *Admission, _ QueryID, m CoreAnswered) {
	for id, current := range ordered.ByKey(a.announcements) {
		if endedAt, ok := m.Ended[id]; ok {
			current.cancelledBy = min(current.cancelledBy, endedAt)
		}
		if len(m.Members) > 0 && m.ObservedRevision >= current.revision {
			current.dropNonMembers(m.Members)
		}
		a.confirmIfSafe(id, current)
	}
}

// dropNonMembers drops the controllers that are not in a view which was in force when the
// cancellation was in the records, or later: they can start none of its tasks. One that has
// left the view has lost its lease, and one that joins it later observes the cancellation
// before the view.
func (current *announcement) dropNonMembers(members []protocol.NodeName) {
	for name := range current.pending {
		if !slices.Contains(members, name) {
			delete(current.pending, name)
		}
	}
}

// confirmIfSafe ends an announcement once no controller can start a task of the job any more:
// it caches the job's final record and answers the waiting requests. Before that it does
// nothing.
func (a *Admission) confirmIfSafe(id protocol.JobID, current *announcement) {
	if len(current.pending) > 0 && a.now < current.cancelledBy+clock.Time(a.maxObservationDelay) {
		return
	}
	delete(a.announcements, id)
	a.cacheFinalRecord(id, current.record)
	for _, r := range current.waiting {
		a.reply(r, finalAnswer(r, current.record))
	}
}

// maxObservationDelay returns the time after which every controller that acts has observed a
// change of the records, by the clock of any of them: see config.MaxWatchStaleness.
func maxObservationDelay(nodeLease time.Duration) time.Duration {
	staleness := config.MaxWatchStaleness(nodeLease)
	return staleness + clock.MaxDrift(staleness) + stepMargin
}
