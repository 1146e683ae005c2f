package reservation

import (
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// stopLead is how long before its time the resources of a hold are cleared of what may
// be stopped for it, beyond the time that a checkpoint takes.
const stopLead = 15 * time.Second

// Run is work that a machine does, or has in its queue.
type Run struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Ends    Moment // when it is likely to be over, by its estimate and the error of such
	Need    resource.Amount
	Level   resource.Level
	For     Name // the reservation it is of, if any
	Sure    bool // its machine's dispatcher has seen it start
}

// Hold is resources of one machine that are held for a reservation. What is not of it
// may use them until Clear, and what may be stopped for it until From.
type Hold struct {
	For     Name               `cbor:"for"`
	Machine protocol.MachineID `cbor:"machine"`
	Tasks   int                `cbor:"tasks"`
	Need    resource.Amount    `cbor:"need"` // of all of them
	Level   resource.Level     `cbor:"level"`
	Clear   Moment             `cbor:"clear"`
	From    Moment             `cbor:"from"`
	Until   Moment             `cbor:"until"`
	// Ends is when the last of what can't be stopped for it is likely to be over.
	Ends Moment `cbor:"ends"`
}

// Task is work that is to start, as far as holds are concerned.
type Task struct {
	IsOf            func(Name) bool // whether it is of a reservation
	Need            resource.Amount
	Level           resource.Level
	SavesCheckpoint bool   // it saves a checkpoint when it is stopped
	Ends            Moment // when it is likely to be over, if it starts now
}

// AllowsStart reports whether a machine's holds let a task start in the free resources.
func AllowsStart(holds []Hold, t *Task, free resource.Amount, now Moment) bool {
	until := ReservedUntil(holds, t.IsOf)
	for i := range holds {
		if h := &holds[i]; !h.allows(t, now) && (until == 0 || until > h.From) {
			free = free.Minus(h.Need)
		}
	}
	return free.Covers(t.Need)
}

// ReservedUntil is until when resources are held for a task, by which reservations it is of;
// 0: none are. What is held there from a later moment on was accepted beside that, and
// does not keep the task from starting, however wrong estimates of its kind may be.
func ReservedUntil(holds []Hold, of func(Name) bool) Moment {
	until := Moment(0)
	for i := range holds {
		if h := &holds[i]; of(h.For) {
			until = max(until, h.Until)
		}
	}
	return until
}

// allows reports whether held resources may be used by a task: they are held for it, it
// is likely to end in time, or it saves checkpoints and may be stopped in time.
func (h *Hold) allows(t *Task, now Moment) bool {
	return t.IsOf(h.For) || now >= h.Until || t.Ends <= h.Clear && now <= h.Clear ||
		t.SavesCheckpoint && t.Level < h.Level && now < h.stopAt(stopLead)
}

func (h *Hold) stopAt(lead time.Duration) Moment { return After(h.From, -lead) }

// ShouldStop reports whether it is time to stop the work that uses the resources of a hold,
// given how long that takes to save a checkpoint.
func (h *Hold) ShouldStop(checkpoint time.Duration, now Moment) bool {
	return now >= h.stopAt(stopLead+checkpoint) && now < h.Until
}
