package admission

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// AnnounceTimeout is the maximum time a user waits for all controllers to acknowledge a
// cancellation. The bound on how long tasks of cancelled jobs may run doesn't depend on
// it: controllers also observe cancellations by watching the records.
const AnnounceTimeout = 250 * time.Millisecond

// announcement is the notification of all controllers that a job is cancelled, until the
// members of the view have acknowledged it.
type announcement struct {
	record   record.JobRecord
	pending  map[protocol.NodeName]bool // controllers without acknowledgement; nil: not sent yet
	deadline clock.Time
	waiting  []*request // answered when the announcement ends
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

// answerCancelled answers that a job is cancelled. Before the first such answer it
// announces the cancellation to all controllers, and the answer is delayed until all
// members have acknowledged it, at most for AnnounceTimeout: each controller watches the
// records, but with a lag of milliseconds to seconds, during which it may still start a
// task. After the answer no controller may start one.
func (a *Admission) answerCancelled(r *request, rec record.JobRecord) {
	if _, ok := a.finalRecords[r.Job]; ok {
		a.reply(r, finalAnswer(r, rec))
		return
	}
	current := a.announcements[r.Job]
	if current == nil {
		current = &announcement{record: rec, deadline: a.timeAfter(AnnounceTimeout)}
		a.announcements[r.Job] = current
		a.queryCore(announceQuery{r.Job})
	}
	r.deadline = max(r.deadline, current.deadline+1)
	current.waiting = append(current.waiting, r)
}

// announceQuery asks which controllers are members, in order to announce a cancellation.
type announceQuery struct{ job protocol.JobID }

func (q announceQuery) resume(a *Admission, _ QueryID, m CoreAnswered) {
	a.announce(q.job, m.Members)
}

// announce sends a cancellation to all controllers. Only members of the view have to
// acknowledge it, since other controllers can't start anything; if the members are not
// known, all controllers have to. Until the view excludes it, a member that has ended or
// hangs delays the answer up to the deadline.
func (a *Admission) announce(id protocol.JobID, members []protocol.NodeName) {
	current := a.announcements[id]
	if current == nil {
		return // the deadline has passed
	}
	controllers := []protocol.NodeName{a.settings.Name}
	for _, m := range a.settings.Members {
		controllers = append(controllers, m.Name)
	}
	current.pending = map[protocol.NodeName]bool{}
	for _, to := range controllers {
		if len(members) == 0 || slices.Contains(members, to) {
			current.pending[to] = true
		}
		a.emit(Announce{id, to})
	}
}

// handleAcknowledgement records that a controller has acknowledged a cancellation, and ends
// the announcement if that was the last one.
func (a *Admission) handleAcknowledgement(m AnnouncementAcknowledged) {
	if current := a.announcements[m.Job]; current != nil {
		delete(current.pending, m.By)
		a.finishAnnouncement(m.Job, current)
	}
}

// finishAnnouncement ends an announcement once all members have acknowledged it or its
// deadline has passed: it caches the job's final record and answers the waiting requests.
// Before that it does nothing.
func (a *Admission) finishAnnouncement(id protocol.JobID, current *announcement) {
	acknowledged := current.pending != nil && len(current.pending) == 0
	if !acknowledged && a.now < current.deadline {
		return
	}
	delete(a.announcements, id)
	a.cacheFinalRecord(id, current.record)
	for _, r := range current.waiting {
		a.reply(r, finalAnswer(r, current.record))
	}
}
