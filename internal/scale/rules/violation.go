package rules

import "time"

// Rule names a rule of the protocol.
type Rule string

// The rules that are checked.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task ran on two machines at once
	RuleQuota        Rule = "quota"         // a team used more than its limit
	RuleWrongPlace   Rule = "wrong_place"   // a task ran where its job does not allow
	RuleRanCancelled Rule = "ran_cancelled" // a task ran after its cancellation
	RuleForgotten    Rule = "forgotten"     // an accepted job was not known any more
	RuleInvented     Rule = "invented"      // a job was known that nobody submitted
	RuleNotDone      Rule = "not_done"      // a job was done before its tasks
	RuleWentBack     Rule = "went_back"     // a job changed its final state
	RuleNothingRan   Rule = "nothing_ran"   // no task started in the whole run
)

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"what"`
}
