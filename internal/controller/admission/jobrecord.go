package admission

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// maxFinalRecords bounds the cache of the records of finished jobs.
	maxFinalRecords = 20000
	// maxWriteAttempts is after how many writes that settled nothing a request is given
	// up.
	maxWriteAttempts = 3
)

// finalRecord is a job's record if it is known to be over.
func (a *Admission) finalRecord(id protocol.JobID) (record.JobRecord, bool) {
	if current := a.announcements[id]; current != nil {
		return current.record, true
	}
	rec, ok := a.finalRecords[id]
	return rec, ok
}

// rememberFinal caches the record of a finished job, which never changes any more.
func (a *Admission) rememberFinal(id protocol.JobID, rec record.JobRecord) {
	if len(a.finalRecords) >= maxFinalRecords {
		for evicted := range a.finalRecords { // any one: it can be read again
			delete(a.finalRecords, evicted)
			break
		}
	}
	a.finalRecords[id] = rec
}

// readRecord reads a job's record: from the cache if the job is over, else from the
// key-value store.
func (a *Admission) readRecord(r *request) {
	if rec, ok := a.finalRecord(r.Job); ok {
		a.answerFromRecord(r, rec)
		return
	}
	a.emit(Get{r.ID, r.Job})
}

// recordRead goes on with a request once the job's record was read.
func (a *Admission) recordRead(m Read) {
	r := a.requests[m.ID]
	if r == nil {
		return
	}
	found := m.Outcome == message.OutcomeDone
	live := m.Record.State == record.RecordLive
	settled := found && (r.Operation == Submit || !live)
	switch {
	case r.writePending && !settled: // the answer to the write may still come
	case found && live && r.Operation == Cancel:
		a.write(r, CancelTransaction(r.Job, m.Version, m.Record))
	case found:
		a.answerFromRecord(r, m.Record)
	case m.Outcome != message.OutcomeFailed:
		a.unavailable(r, "state service can't be asked")
	default:
		a.recordMissing(r)
	}
}

// recordMissing goes on with a request for a job that has no record.
func (a *Admission) recordMissing(r *request) {
	switch {
	case r.refusal != nil:
		a.reply(r, *r.refusal)
	case r.conditionFailed:
		a.resubmit(r)
	case r.Operation == Submit:
		// A write that is under way may still create it: its absence says nothing.
		a.unavailable(r, "not settled yet")
	default:
		a.reply(r, Failure(statusNotFound, "no such job"))
	}
}

// write executes a transaction for a request. If its answer is late, tick reads the
// record to find out what became of it.
func (a *Admission) write(r *request, txn protocol.Transaction) {
	r.writePending, r.recheckAt = true, a.after(writeRecheckDelay)
	a.emit(Write{r.ID, txn})
	a.wakeBy(r.recheckAt)
}

// written goes on with a request once its transaction was answered.
func (a *Admission) written(m Written) {
	r := a.requests[m.ID]
	if r == nil {
		return
	}
	r.writePending, r.recheckAt = false, 0
	switch {
	case m.Outcome == message.OutcomeRefused:
		a.unavailable(r, "state service can't be asked")
	case r.Operation == Submit && m.Outcome == message.OutcomeDone && r.refusal != nil:
		// Refused by the configuration in force, and the job is not known.
		a.reply(r, *r.refusal)
	case r.Operation == Submit && m.Outcome == message.OutcomeDone:
		a.reply(r, success(statusCreated, protocol.JobStatus{ID: r.Job, State: protocol.JobQueued}))
	case r.Operation == Cancel && m.Outcome == message.OutcomeDone:
		a.answerFromRecord(r, record.JobRecord{State: record.RecordCancelled})
	default:
		a.writeUnsettled(r, m.Outcome)
	}
}

// writeUnsettled goes on with a request whose transaction failed, or whose answer was
// lost: the job is not as it was read, or known already, and its record can tell.
func (a *Admission) writeUnsettled(r *request, outcome message.Outcome) {
	r.attempts++
	if r.attempts >= maxWriteAttempts {
		a.unavailable(r, "not settled yet")
		return
	}
	r.conditionFailed = r.Operation == Submit && a.configurable && outcome == message.OutcomeFailed
	if r.conditionFailed {
		r.refusal = nil
	}
	a.readRecord(r)
}

// answerFromRecord answers a request from a job's record.
func (a *Admission) answerFromRecord(r *request, rec record.JobRecord) {
	switch rec.State {
	case record.RecordLive:
		a.queryOwners(progressQuery{r}, r.Job)
	case record.RecordCancelled:
		a.answerCancelled(r, rec)
	default:
		a.rememberFinal(r.Job, rec)
		a.reply(r, finalAnswer(r, rec))
	}
}
