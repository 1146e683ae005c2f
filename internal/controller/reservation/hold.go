package reservation

import (
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// stopLead is how long before the start of a hold the tasks that may be stopped for it are
// stopped, in addition to the time that they take to save a checkpoint.
const stopLead = 15 * time.Second

// Run is a task attempt that a machine runs or has in its queue.
type Run struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Ends    Moment // when it is likely to have ended, by its estimate and the error of such estimates
	Need    resource.Amount
	Level   resource.Level
	For     Name // reservation that it belongs to, if any
	Sure    bool // the machine's dispatcher has observed its start
}

// Hold is the resources of one machine that are held for a reservation. Other tasks may use
// them until Clear, and those that may be stopped for the reservation until shortly before
// From.
type Hold struct {
	For     Name               `cbor:"for"` // the reservation
	Machine protocol.MachineID `cbor:"machine"`
	Tasks   int                `cbor:"tasks"` // number of tasks that the resources are for
	Need    resource.Amount    `cbor:"need"`  // of all these tasks together
	Level   resource.Level     `cbor:"level"` // of the reserved work
	Clear   Moment             `cbor:"clear"` // when work that can't be stopped has to have ended
	From    Moment             `cbor:"from"`  // start of the occurrence
	Until   Moment             `cbor:"until"` // when the job of the occurrence should have ended at the latest
	// Ends is when the last task on the machine that can't be stopped for the reservation
	// is likely to have ended.
	Ends Moment `cbor:"ends"`
}

// Task describes a task that is to start, as far as holds depend on it.
type Task struct {
	IsOf            func(Name) bool // reports whether the task belongs to a reservation
	Need            resource.Amount
	Level           resource.Level
	SavesCheckpoint bool   // the task saves a checkpoint when it is stopped
	Ends            Moment // when the task is likely to have ended if it starts now
}

// AllowsStart reports whether a task fits into a machine's free resources less those that the
// holds of the machine keep from it: all that are for other work, unless the task may use them
// in the meantime or they begin only when its own hold has ended.
func AllowsStart(holds []Hold, t *Task, free resource.Amount, now Moment) bool {
	until := ReservedUntil(holds, t.IsOf)
	for i := range holds {
		if h := &holds[i]; !h.allows(t, now) && (until == 0 || until > h.From) {
			free = free.Minus(h.Need)
		}
	}
	return free.Covers(t.Need)
}

// ReservedUntil returns the latest moment until which any of the holds is for a task, or 0 if
// none is; isOf reports whether the task belongs to a reservation. A hold on the same machine
// that begins at that moment or later was accepted with the task's own hold taken into
// account. It does not keep the task from starting, however inaccurate the estimates for such
// tasks are.
func ReservedUntil(holds []Hold, isOf func(Name) bool) Moment {
	until := Moment(0)
	for i := range holds {
		if h := &holds[i]; isOf(h.For) {
			until = max(until, h.Until)
		}
	}
	return until
}

// allows reports whether a task may use the held resources: because they are held for it or
// no longer held, because it is likely to end before they have to be clear, or because it
// saves checkpoints, is of a lower level and can still be stopped in time.
func (h *Hold) allows(t *Task, now Moment) bool {
	return t.IsOf(h.For) || now >= h.Until || t.Ends <= h.Clear && now <= h.Clear ||
		t.SavesCheckpoint && t.Level < h.Level && now < h.stopAt(stopLead)
}

// stopAt returns the moment that precedes From by a lead.
func (h *Hold) stopAt(lead time.Duration) Moment { return After(h.From, -lead) }

// ShouldStop reports whether a task that uses the resources of a hold should be stopped now,
// given how long the task takes to save a checkpoint: the hold has not ended, and begins
// within that time plus stopLead.
func (h *Hold) ShouldStop(checkpoint time.Duration, now Moment) bool {
	return now >= h.stopAt(stopLead+checkpoint) && now < h.Until
}
