package frontend

import (
	"net/http"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Failure returns the response to a refused request.
func Failure(status int, reason string) *transport.Message {
	return response(admission.Failure(status, reason))
}

// HeartbeatResponse returns the HTTP response for the core's reply to a worker's heartbeat.
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

// success returns a response with an encoded body.
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

// operatorResponse returns the response to an operator's request.
func operatorResponse(reply operatorapi.Reply) *transport.Message {
	status := operatorStatus[reply.Code]
	m := success(status, reply)
	if status == http.StatusServiceUnavailable {
		m.RetryAfterS = admission.RetryAfterSeconds
	}
	return m
}
