package rules

import "time"

// Rule names a rule of the protocol between the scheduler, its users and its workers.
type Rule string

// The rules that are checked.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task ran on two machines at once
	RuleQuota        Rule = "quota"         // a team used more than its limit
	RuleWrongPlace   Rule = "wrong_place"   // a task ran on a machine that its job's constraints exclude
	RuleRanCancelled Rule = "ran_cancelled" // a task ran too long after its job's cancellation was confirmed
	RuleForgotten    Rule = "forgotten"     // an accepted job was later rejected or not found, or its polls were not answered
	RuleInvented     Rule = "invented"      // a job was reported that nobody submitted
	RuleNotDone      Rule = "not_done"      // a job was reported as done before its tasks had completed
	RuleWentBack     Rule = "went_back"     // a job left its final state, or was reported as cancelled without a request
	RuleNothingRan   Rule = "nothing_ran"   // no task started in the whole run
	// RuleStartedAgain is broken if a copy of a command starts an attempt that its worker has
	// forgotten. It leads to the other rules' violations if the task runs elsewhere by then.
	RuleStartedAgain Rule = "started_again"
)

// Violation is one breach of a rule, with the time at which it was observed.
type Violation struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"what"`
}
