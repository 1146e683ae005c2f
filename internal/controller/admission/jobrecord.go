package admission

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// maxFinalRecords is the maximum number of records in the cache of finished jobs'
	// records.
	maxFinalRecords = 20000
	// maxWriteAttempts is the number of writes that were answered without settling a
	// request (failed, or with unknown outcome) after which the request is answered with
	// 503.
	maxWriteAttempts = 3
)

// finalRecord returns a job's record if the job is known here to be finished, which
// includes a job whose cancellation is still being announced; false if it is not known to
// be.
func (a *Admission) finalRecord(id protocol.JobID) (record.JobRecord, bool) {
	if current := a.announcements[id]; current != nil {
		return current.record, true
	}
	rec, ok := a.finalRecords[id]
	return rec, ok
}

// cacheFinalRecord caches the record of a finished job, which never changes again. If the
// cache is full, any other record is evicted.
func (a *Admission) cacheFinalRecord(id protocol.JobID, rec record.JobRecord) {
	if len(a.finalRecords) >= maxFinalRecords {
		for evicted := range a.finalRecords { // any record: it can be read again
			delete(a.finalRecords, evicted)
			break
		}
	}
	a.finalRecords[id] = rec
}

// readRecord answers a request from the cache if its job is known to be finished, and
// otherwise reads the job's record from the key-value store.
func (a *Admission) readRecord(r *request) {
	if rec, ok := a.finalRecord(r.Job); ok {
		a.answerFromRecord(r, rec, 0)
		return
	}
	a.emit(GetRecord{r.ID, r.Job})
}

// handleRecordRead continues a request after the job's record has been read: it writes the
// cancellation of a live job, answers other requests from the record, and answers 503 if
// the store could not be read. While a write is pending, only a record that shows the
// result of the request answers it.
func (a *Admission) handleRecordRead(m RecordRead) {
	r := a.requests[m.ID]
	if r == nil {
		return
	}
	found := m.Outcome == message.OutcomeDone
	live := m.Record.State == record.RecordLive
	settled := found && (r.Operation == Submit || !live)
	switch {
	case r.writePending && !settled: // the answer to the write may still arrive
	case found && live && r.Operation == Cancel:
		a.write(r, CancelTransaction(r.Job, m.Version, m.Record))
	case found:
		a.answerFromRecord(r, m.Record, protocol.Revision(m.Version))
	case m.Outcome != message.OutcomeFailed:
		a.answerUnavailable(r, "state service can't be asked")
	default:
		a.handleMissingRecord(r)
	}
}

// handleMissingRecord continues a request for a job that has no record: a refused
// submission is refused, one whose transaction failed is checked again, any other gets 503,
// and polls and cancellations get 404.
func (a *Admission) handleMissingRecord(r *request) {
	switch {
	case r.refusal != nil:
		a.reply(r, *r.refusal)
	case r.conditionFailed:
		a.resubmit(r)
	case r.Operation == Submit:
		// A write in flight may still create the record, so its absence is not conclusive.
		a.answerUnavailable(r, "not settled yet")
	default:
		a.reply(r, Failure(statusNotFound, "no such job"))
	}
}

// write executes a transaction for a request. If there is no answer within
// writeRecheckDelay, tick reads the job's record to find out whether the transaction was
// executed.
func (a *Admission) write(r *request, txn protocol.Transaction) {
	r.writePending, r.recheckAt = true, a.timeAfter(writeRecheckDelay)
	a.emit(Write{r.ID, txn})
	a.wakeBy(r.recheckAt)
}

// handleWritten continues a request after its transaction has been answered: an executed
// transaction settles the request, one that was certainly not executed leads to 503, and
// any other outcome to handleUnsettledWrite.
func (a *Admission) handleWritten(m Written) {
	r := a.requests[m.ID]
	if r == nil {
		return
	}
	r.writePending, r.recheckAt = false, 0
	switch {
	case m.Outcome == message.OutcomeRefused:
		a.answerUnavailable(r, "state service can't be asked")
	case r.Operation == Submit && m.Outcome == message.OutcomeDone && r.refusal != nil:
		// The configuration in force refuses the job, and no record of it exists.
		a.reply(r, *r.refusal)
	case r.Operation == Submit && m.Outcome == message.OutcomeDone:
		a.reply(r, success(statusCreated, protocol.JobStatus{ID: r.Job, State: protocol.JobQueued}))
	case r.Operation == Cancel && m.Outcome == message.OutcomeDone:
		a.answerFromRecord(r, record.JobRecord{State: record.RecordCancelled}, m.Revision)
	default:
		a.handleUnsettledWrite(r, m.Outcome)
	}
}

// handleUnsettledWrite reads the record of a request whose transaction failed or whose
// outcome is unknown. The job has changed since it was read, or its ID is in use already,
// or the transaction may have been executed: the record shows which. After maxWriteAttempts
// such writes the request is answered with 503.
func (a *Admission) handleUnsettledWrite(r *request, outcome message.Outcome) {
	r.attempts++
	if r.attempts >= maxWriteAttempts {
		a.answerUnavailable(r, "not settled yet")
		return
	}
	r.conditionFailed = r.Operation == Submit && a.configurable && outcome == message.OutcomeFailed
	if r.conditionFailed {
		r.refusal = nil
	}
	a.readRecord(r)
}

// answerFromRecord answers a request from a job's record, which has not changed since the given
// revision: with the progress of a live job, with the cancellation once it is confirmed, or
// that the job is done.
func (a *Admission) answerFromRecord(r *request, rec record.JobRecord, revision protocol.Revision) {
	switch rec.State {
	case record.RecordLive:
		a.queryCore(progressQuery{r}, r.Job)
	case record.RecordCancelled:
		a.answerCancelled(r, rec, revision)
	default:
		a.cacheFinalRecord(r.Job, rec)
		a.reply(r, finalAnswer(r, rec))
	}
}
