package admission

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// AnnounceTimeout is how long a user waits at the most for all controllers to acknowledge
// a cancellation. The bound on tasks of cancelled jobs rests on what controllers
// follow, not on this.
const AnnounceTimeout = 250 * time.Millisecond

// announcement is a cancellation that is being announced to the controllers.
type announcement struct {
	record   record.JobRecord
	pending  map[protocol.NodeName]bool // have not acknowledged it; nil: not sent yet
	deadline clock.Time
	waiting  []*request
}

// CancelTransaction cancels a job: it holds only if the job is still as it was read.
// Both of its records change together, always, so they have one version.
func CancelTransaction(id protocol.JobID, version protocol.Version, r record.JobRecord) protocol.Transaction {
	r.State = record.RecordCancelled
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(id), Version: version}, {Key: record.LiveKey(id), Version: version}},
		Changes:    []protocol.Change{{Put: record.JobKey(id), Value: r}, {Delete: record.LiveKey(id)}},
	}
}

// answerCancelled answers that a job is cancelled. Before the first such answer the
// cancellation is announced to all controllers: each follows the records, but some
// milliseconds late, or seconds, and may start a task until then. From the answer on
// none may.
func (a *Admission) answerCancelled(r *request, rec record.JobRecord) {
	if _, ok := a.finalRecords[r.Job]; ok {
		a.reply(r, finalAnswer(r, rec))
		return
	}
	current := a.announcements[r.Job]
	if current == nil {
		current = &announcement{record: rec, deadline: a.after(AnnounceTimeout)}
		a.announcements[r.Job] = current
		a.queryOwners(announceQuery{r.Job})
	}
	r.deadline = max(r.deadline, current.deadline+1)
	current.waiting = append(current.waiting, r)
}

// announceQuery asks which controllers are members, to announce a cancellation.
type announceQuery struct{ job protocol.JobID }

func (q announceQuery) resume(a *Admission, _ QueryID, m OwnersAnswered) {
	a.announce(q.job, m.Members)
}

// announce sends a cancellation to all controllers. It waits for the acknowledgement of
// those that are members by the view: others can't start anything. One that has ended,
// or stands still, is waited for until the view leaves it out.
func (a *Admission) announce(id protocol.JobID, members []protocol.NodeName) {
	current := a.announcements[id]
	if current == nil {
		return // its time is over
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

// announced takes a controller's acknowledgement of a cancellation.
func (a *Admission) announced(m Announced) {
	if current := a.announcements[m.Job]; current != nil {
		delete(current.pending, m.By)
		a.finishAnnouncement(m.Job, current)
	}
}

// finishAnnouncement answers the requests that wait for a cancellation once all members
// have acknowledged it, or its deadline has passed.
func (a *Admission) finishAnnouncement(id protocol.JobID, current *announcement) {
	acknowledged := current.pending != nil && len(current.pending) == 0
	if !acknowledged && a.now < current.deadline {
		return
	}
	delete(a.announcements, id)
	a.rememberFinal(id, current.record)
	for _, r := range current.waiting {
		a.reply(r, finalAnswer(r, current.record))
	}
}
