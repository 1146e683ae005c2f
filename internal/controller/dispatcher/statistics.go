package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
)

// statisticsInterval is the time between two log records of the command statistics.
const statisticsInterval = time.Minute

// commandStatistics counts what was ordered of the workers and what they answered, since the
// session began.
type commandStatistics struct {
	directStarts   uint64 // starts sent in direct commands
	replyStarts    uint64 // starts sent in replies to heartbeats
	forgets        uint64 // orders to forget an attempt
	tokensIssued   uint64 // fencing tokens issued to machines
	tokenRequests  uint64 // requests for more fencing tokens, each a change of the shard table
	refused        uint64 // direct commands that a worker refused
	unanswered     uint64 // direct commands without an answer
	foundAttempts  uint64 // attempts that a worker listed and this dispatcher had not started
	missingPresent uint64 // attempts that a worker no longer listed although they had not ended
}

// statisticsLog is the state of the log of the command statistics.
type statisticsLog struct {
	commandStatistics
	logged   commandStatistics // as last logged
	loggedAt clock.Time
}

// LogStatistics logs the command statistics every statisticsInterval if they have changed.
func (d *Dispatcher) LogStatistics() {
	s := &d.statistics
	if d.Since(s.loggedAt) < statisticsInterval || s.commandStatistics == s.logged {
		return
	}
	s.logged, s.loggedAt = s.commandStatistics, d.Now
	d.Log.Info("command statistics",
		"direct_starts", s.directStarts, "reply_starts", s.replyStarts, "forgets", s.forgets,
		"tokens_issued", s.tokensIssued, "token_requests", s.tokenRequests,
		"refused", s.refused, "unanswered", s.unanswered,
		"found_attempts", s.foundAttempts, "missing_attempts", s.missingPresent)
}
