package frontend

import (
	"net/http"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Failure returns the response to a refused request, with the reason in its body and, for the
// status 503, a time after which the client may retry.
func Failure(status int, reason string) *transport.Message {
	return response(admission.Failure(status, reason))
}

// HeartbeatResponse returns the HTTP response for the core's reply to a worker's heartbeat: the
// commands for the worker (200), the controller to which it should send its heartbeats (421),
// or a failure.
func HeartbeatResponse(reply message.ReplyHeartbeat) *transport.Message {
	switch reply.Status {
	case http.StatusOK:
		return success(http.StatusOK, reply.Reply)
	case http.StatusMisdirectedRequest:
		return success(http.StatusMisdirectedRequest, protocol.Redirect{Leader: reply.Leader})
	}
	return Failure(reply.Status, "not entitled")
}

// response returns the HTTP response for an answer to a user.
func response(answer admission.Answer) *transport.Message {
	return &transport.Message{Status: answer.Status, Body: answer.Body, RetryAfterS: answer.RetryAfterS}
}

// success returns a response with a status and an encoded body, or a 500 if the body can't be
// encoded.
func success(status int, body any) *transport.Message {
	encoded, err := protocol.Encode(body)
	if err != nil {
		return Failure(http.StatusInternalServerError, "encoding failed")
	}
	return &transport.Message{Status: status, Body: encoded}
}

// operatorStatus maps the codes of replies to operators to HTTP statuses.
var operatorStatus = map[operatorapi.Code]int{
	operatorapi.Done:       http.StatusOK,
	operatorapi.Refused:    http.StatusConflict,
	operatorapi.NotFound:   http.StatusNotFound,
	operatorapi.RetryLater: http.StatusServiceUnavailable,
}

// operatorResponse returns the response to an operator's request, with the status for the
// reply's code and, for 503, the time after which the operator may retry.
func operatorResponse(reply operatorapi.Reply) *transport.Message {
	status := operatorStatus[reply.Code]
	m := success(status, reply)
	if status == http.StatusServiceUnavailable {
		m.RetryAfterS = admission.RetryAfterSeconds
	}
	return m
}
