package admission

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// RetryAfterSeconds is after how many seconds a user who gets 503 may retry.
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

// Failure is an answer that says what is wrong. With 503 it says when to retry.
func Failure(status int, what string) Answer {
	body, _ := protocol.Encode(protocol.ErrorBody{Error: what}) // a struct of text always encodes
	answer := Answer{Status: status, Body: body}
	if status == statusUnavailable {
		answer.RetryAfterS = RetryAfterSeconds
	}
	return answer
}

// success is an answer with the status of a job.
func success(status int, s protocol.JobStatus) Answer {
	body, err := protocol.Encode(s)
	if err != nil {
		return Failure(statusInternalError, "encoding failed")
	}
	return Answer{Status: status, Body: body}
}

// finalAnswer is the answer to a request for a job that is over.
func finalAnswer(r *request, rec record.JobRecord) Answer {
	s := protocol.JobStatus{ID: r.Job, State: protocol.JobCancelled}
	done, running := uint32(0), uint32(0)
	if rec.State == record.RecordDone {
		s.State, done = protocol.JobDone, rec.Tasks
	}
	if r.Operation != Cancel {
		s.Done, s.Running = &done, &running
	}
	return success(statusOK, s)
}

// liveAnswer is the answer to a request for a job that is live.
func liveAnswer(id protocol.JobID, p message.Progress) Answer {
	s := protocol.JobStatus{ID: id, State: protocol.JobQueued, Done: &p.Done, Running: &p.Running}
	if p.Running > 0 {
		s.State = protocol.JobRunning
	}
	return success(statusOK, s)
}

// reply answers a request, once: later answers to the same request are dropped.
func (a *Admission) reply(r *request, answer Answer) {
	if a.requests[r.ID] == r {
		delete(a.requests, r.ID)
		a.emit(Reply{r.ID, answer})
	}
}
