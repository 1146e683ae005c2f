package jobs

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// Attempt is an attempt of a task that may exist: it is queued or started, and it is not
// proven to have ended or to be lost.
type Attempt struct {
	Task    protocol.TaskID
	Number  protocol.Attempt
	Machine protocol.MachineID
	Epoch   protocol.Version // version of the machine's record
	Zone    protocol.Zone    // zone of the machine
	// PlaceNumber is the number of the Place message that carried the attempt. If it is 0, any
	// inventory of the machine decides whether the attempt exists.
	PlaceNumber uint64
	// Estimate is the expected run time in seconds.
	Estimate float64
	// Trial is set if the attempt was placed while its job was failing.
	Trial bool

	// Started is set once the dispatcher has sent the attempt to its worker.
	Started bool
	// running is set once the worker has reported that the attempt runs. runningSince is
	// when this owner received the report.
	running      bool
	runningSince clock.Time
	// startUnseen is set if the attempt may have run for some time before this owner
	// received the first report of it running.
	startUnseen bool

	// Unverified is set until the inventory of its machine decides whether it exists.
	Unverified bool
	// Stopping is set once the dispatcher has been asked to kill the attempt.
	Stopping bool
	// ReleaseRequested is set once the dispatcher has been asked to release the attempt if it
	// has not been sent to the worker.
	ReleaseRequested bool
}

// IsMovable reports whether the dispatcher may still release the attempt, so that the task can
// be placed on another machine: the attempt is known to exist, has not started, and no stop or
// release of it has been requested.
func (a *Attempt) IsMovable() bool {
	return !a.Started && !a.Stopping && !a.ReleaseRequested && !a.Unverified
}

// ref returns the reference by which messages identify the attempt.
func (a *Attempt) ref() message.TaskRef {
	return message.TaskRef{Task: a.Task, Attempt: a.Number, Machine: a.Machine}
}
