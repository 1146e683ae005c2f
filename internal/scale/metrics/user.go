package metrics

// UserMetrics describe the answers that users got.
type UserMetrics struct {
	Submissions Waits `json:"submissions"`  // from a job's first attempt to its acceptance
	Polls       Waits `json:"polls"`        // that were answered
	Unanswered  int   `json:"unanswered"`   // polls without a successful answer
	NotAccepted int   `json:"not_accepted"` // jobs
}
