package dispatcher

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// entry is one attempt in a queue or on its machine.
type entry struct {
	task     protocol.TaskID
	attempt  protocol.Attempt
	estimate float64 // of its run time, in seconds
	need     resource.Amount
	// arrival numbers the attempts in the order they were queued; 0: found on the machine.
	arrival      uint64
	queuedSince  clock.Time // queued here, or first seen here
	runningSince clock.Time // as far as seen here; 0: not seen to run
	level        resource.Level
	levelGuessed bool
	deadline     clock.Time        // of its job, when the queue was last sorted
	inGang       bool              // others of its gang wait for it
	placedBy     protocol.NodeName // the controller that placed it here, if any
	// configuration is the revision that its owner placed it by.
	configuration record.ConfigurationRevision

	sent bool
	// directFencingToken is the fencing token of a direct start that has no answer: the start
	// may be executed until the worker sees a later token. 0: none.
	directFencingToken protocol.Term
	// startResent is set once its start has been sent a second way too: that the attempt
	// is there does not tell which of them arrived.
	startResent bool
	// startInLastReply is set while its start is in the reply to the latest heartbeat:
	// the worker's next heartbeat settles it.
	startInLastReply bool

	present      bool // the worker has listed it
	state        protocol.TaskState
	cause        protocol.EndCause
	checkpointed bool
	kill         bool
	graceSeconds float64
	forget       bool // its owner has dealt with its end: the worker may forget it
	// forgetSince is since when forgetting it waits for a start that may be under way.
	forgetSince clock.Time
	noticed     bool // its owner knows of the machine's termination notice
}

func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// waitingEntry returns the entry of an attempt that an owner asks to be queued.
func waitingEntry(from protocol.NodeName, p *message.Place, t *message.Placement, now clock.Time) *entry {
	return &entry{
		task:          t.Task,
		attempt:       t.Attempt,
		estimate:      t.EstimateS,
		need:          t.Need(),
		level:         resource.Level(t.Level),
		inGang:        t.Together,
		placedBy:      from,
		queuedSince:   now,
		configuration: p.Configuration,
	}
}
