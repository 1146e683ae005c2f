package metrics

// UserMetrics describes the responses that users received.
type UserMetrics struct {
	Submissions Quantiles `json:"submissions"`  // times from the first submission of a job to its acceptance
	Polls       Quantiles `json:"polls"`        // response times of the polls that succeeded
	Unanswered  int       `json:"unanswered"`   // polls without a successful response
	NotAccepted int       `json:"not_accepted"` // jobs whose submission was rejected or not accepted in time
}
