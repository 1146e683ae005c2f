package admission

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// RetryAfterSeconds is the number of seconds after which a user may retry a request that
// was answered with 503.
const RetryAfterSeconds = 1

// HTTP status codes of the answers.
const (
	statusOK            = 200
	statusCreated       = 201
	statusBadRequest    = 400
	statusNotFound      = 404
	statusUnprocessable = 422
	statusInternalError = 500
	statusUnavailable   = 503
)

// Failure returns an answer with an HTTP status whose body gives the reason of the failure.
// An answer with status 503 also says when to retry.
func Failure(status int, reason string) Answer {
	body, _ := protocol.Encode(protocol.ErrorBody{Error: reason}) // a struct of text always encodes
	answer := Answer{Status: status, Body: body}
	if status == statusUnavailable {
		answer.RetryAfterS = RetryAfterSeconds
	}
	return answer
}

// success returns an answer with an HTTP status whose body is the status of a job; 500 if
// it can't be encoded.
func success(status int, s protocol.JobStatus) Answer {
	body, err := protocol.Encode(s)
	if err != nil {
		return Failure(statusInternalError, "encoding failed")
	}
	return Answer{Status: status, Body: body}
}

// finalAnswer returns the answer to a request for a finished job: that it is done or
// cancelled and, except to a cancellation, that none of its tasks run and all or none of
// them are counted as done.
func finalAnswer(r *request, rec record.JobRecord) Answer {
	status := protocol.JobStatus{ID: r.Job, State: protocol.JobCancelled}
	done, running := uint32(0), uint32(0)
	if rec.State == record.RecordDone {
		status.State, done = protocol.JobDone, rec.Tasks
	}
	if r.Operation != Cancel {
		status.Done, status.Running = &done, &running
	}
	return success(statusOK, status)
}

// liveAnswer returns the answer to a request for a live job, with the numbers of its
// completed and running tasks: it is running if any task runs, and queued otherwise.
func liveAnswer(id protocol.JobID, progress message.Progress) Answer {
	status := protocol.JobStatus{ID: id, State: protocol.JobQueued, Done: &progress.Done, Running: &progress.Running}
	if progress.Running > 0 {
		status.State = protocol.JobRunning
	}
	return success(statusOK, status)
}

// reply answers a request and ends it; later answers to the same request are dropped.
func (a *Admission) reply(r *request, answer Answer) {
	if a.requests[r.ID] == r {
		delete(a.requests, r.ID)
		if r.awaitsConfirmation {
			a.awaitingConfirmation--
		}
		a.emit(Reply{r.ID, answer})
	}
}
