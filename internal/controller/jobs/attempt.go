package jobs

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// Attempt is an attempt of a task that may exist: it is queued or started, or not proven
// to have ended or been lost.
type Attempt struct {
	Task    protocol.TaskID
	Number  protocol.Attempt
	Machine protocol.MachineID
	Epoch   protocol.Version // of the machine
	Zone    protocol.Zone    // of the machine
	// PlaceNumber is the number of the Place message that carried the attempt.
	PlaceNumber uint64
	// Estimate is the expected run time in seconds.
	Estimate float64
	// Trial is set if the attempt was placed while its job was failing.
	Trial bool

	// Started is set once the dispatcher has sent the attempt to its worker.
	Started bool
	// running is set once the worker has reported that it runs, and runningSince is when
	// that was learned.
	running      bool
	runningSince clock.Time
	// startUnseen is set if the attempt may have run for a while before it was first
	// reported to run.
	startUnseen bool

	// Unverified is set until the inventory of its machine decides whether it exists.
	Unverified bool
	// Stopping is set once the attempt has been asked to be killed.
	Stopping bool
	// ReleaseAsked is set once its dispatcher has been asked to release it if it has not
	// been sent to the worker.
	ReleaseAsked bool
}

// IsMovable reports whether the attempt may still be released by its dispatcher to be
// placed on another machine.
func (a *Attempt) IsMovable() bool {
	return !a.Started && !a.Stopping && !a.ReleaseAsked && !a.Unverified
}

func (a *Attempt) ref() message.TaskRef {
	return message.TaskRef{Task: a.Task, Attempt: a.Number, Machine: a.Machine}
}
