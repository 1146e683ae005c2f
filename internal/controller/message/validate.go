package message

import (
	"errors"
	"fmt"
	"math"

	"damsonkeel/internal/controller/resource"
)

// Bounds of the values in a peer's message, far above the values of any real cluster. A
// message with a value out of bounds is corrupt, or its sender has another version.
const (
	maxAmount = 1e18
	maxPieces = 1 << 16
	maxCount  = 1 << 30
)

// OutOfRangeError reports a value in a peer's message that is out of bounds, and the field
// or kind of value that it was found in.
type OutOfRangeError struct {
	Field string
	Value any // a float64 or an int
}

// Error implements error.
func (e *OutOfRangeError) Error() string { return fmt.Sprintf("%s: %v", e.Field, e.Value) }

// Validate returns an error that joins an OutOfRangeError for each value of a peer's
// message that is out of bounds, or nil if there is none. The core calculates with the
// values that pass, and uses them as indexes.
func (m *PeerMessage) Validate() error {
	v := &validator{}
	if m.Place != nil {
		v.place(m.Place)
	}
	if m.Stop != nil {
		v.amounts("grace", 0, m.Stop.GraceS)
	}
	if m.Added != nil {
		v.waits(m.Added.Waits)
	}
	v.waits(m.Table)
	if m.Relay != nil {
		v.stateUpdate(m.Relay)
	}
	if m.Inventory != nil {
		v.inventory(m.Inventory)
	}
	if m.Hand != nil {
		v.handover(m.Hand)
	}
	return errors.Join(v.errs...)
}

// validator collects the values of a message that are out of bounds.
type validator struct{ errs []error }

// amounts checks decimal numbers, which must be at least minimum and at most maxAmount, and
// collects those that are not, under the given field.
func (v *validator) amounts(field string, minimum float64, values ...float64) {
	for _, value := range values {
		if math.IsNaN(value) || value < minimum || value > maxAmount {
			v.errs = append(v.errs, &OutOfRangeError{Field: field, Value: value})
		}
	}
}

// counts checks integers, which must be at least 0 and below bound, and collects those that
// are not, under the given field.
func (v *validator) counts(field string, bound int, values ...int) {
	for _, value := range values {
		if value < 0 || value >= bound {
			v.errs = append(v.errs, &OutOfRangeError{Field: field, Value: value})
		}
	}
}

// need checks the resources of a task.
func (v *validator) need(field string, need resource.Amount) {
	v.amounts(field, 0, need.CPUs, need.GPUs, need.GB)
}

// place checks the level, run time and resources of each placement.
func (v *validator) place(p *Place) {
	for i := range p.Tasks {
		task := &p.Tasks[i]
		v.counts("level", resource.Levels, task.Level)
		v.amounts("placement", 0, task.EstimateS)
		v.need("placement", task.Need())
	}
}

// waits checks the processor seconds and resources of changes of expected waits.
func (v *validator) waits(changes []WaitChange) {
	for i := range changes {
		v.amounts("wait", 0, changes[i].Add)
		v.uses(changes[i].Taken)
	}
}

// uses checks the level and amounts of the resources in use on a machine.
func (v *validator) uses(uses []LevelUse) {
	for _, use := range uses {
		v.counts("level", resource.Levels, use.Level)
		v.amounts("use", 0, use.CPUs, use.GPUs, use.GB)
	}
}

// stateUpdate checks the machine states, levels, demands and the load in a state update.
func (v *validator) stateUpdate(update *StateUpdate) {
	for i := range update.States {
		v.machineState(&update.States[i])
	}
	for _, progress := range update.Progress {
		v.counts("level", resource.Levels+1, progress.Level)
	}
	for i := range update.Demand {
		demand := &update.Demand[i]
		v.counts("level", resource.Levels, demand.Level)
		v.counts("unstarted", maxCount, demand.Unstarted)
		v.amounts("demand", 0, demand.EstimateS, demand.OldestS)
	}
	v.amounts("lateness", 0, update.Load.LateMS)
}

// machineState checks the state of one machine.
func (v *validator) machineState(state *MachineState) {
	v.amounts("wait", 0, state.Wait, state.IdleS)
	v.amounts("free", -maxAmount, state.FreeCPUs, state.FreeGPUs, state.FreeGB)
	v.amounts("queue", 0, state.Queue...)
	v.counts("levels", resource.Levels+1, len(state.Queue))
	v.counts("attempts", maxCount, state.Held, state.Queued)
	v.uses([]LevelUse{state.Ending})
	v.uses(state.Uses)
}

// inventory checks the attempts in an inventory.
func (v *validator) inventory(inventory *Inventory) {
	for i := range inventory.Held {
		v.need("held", inventory.Held[i].Need)
	}
}

// handover checks one piece of a handover.
func (v *validator) handover(handover *Handover) {
	v.counts("pieces", maxPieces, handover.Pieces, handover.Piece)
	for i := range handover.Queues {
		v.handoverQueue(&handover.Queues[i])
	}
}

// handoverQueue checks the attempts of one machine in a handover.
func (v *validator) handoverQueue(queue *HandoverQueue) {
	for i := range queue.Entries {
		entry := &queue.Entries[i]
		v.counts("level", resource.Levels, int(entry.Level))
		v.amounts("attempt", 0, entry.EstimateS)
		v.need("attempt", entry.Need)
		v.amounts("attempt", 0, entry.GraceS)
	}
}
