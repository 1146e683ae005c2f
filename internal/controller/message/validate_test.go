package message

import (
	"errors"
	"math"
	"testing"

	"damsonkeel/internal/controller/resource"
)

// TestOutOfRangeFieldIsReported checks that a message with a value out of bounds is refused
// with an error that names the field, and that a valid message is accepted.
func TestOutOfRangeFieldIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		message PeerMessage
		field   string // empty: the message is valid
	}{
		"empty message": {},
		"valid placement": {
			message: PeerMessage{Place: &Place{Tasks: []Placement{{EstimateS: 10, CPUs: 1, Level: resource.Levels - 1}}}},
		},
		"placement with too high a level": {
			message: PeerMessage{Place: &Place{Tasks: []Placement{{Level: resource.Levels}}}},
			field:   "level",
		},
		"placement with negative resources": {
			message: PeerMessage{Place: &Place{Tasks: []Placement{{CPUs: -1}}}},
			field:   "placement",
		},
		"grace period that is not a number": {
			message: PeerMessage{Stop: &Stop{GraceS: math.NaN()}},
			field:   "grace",
		},
		"negative wait": {
			message: PeerMessage{Added: &WaitsAdded{Waits: []WaitChange{{Add: -1}}}},
			field:   "wait",
		},
		"table with a negative use": {
			message: PeerMessage{Table: []WaitChange{{Taken: []LevelUse{{GB: -1}}}}},
			field:   "use",
		},
		"negative free resources": {
			message: PeerMessage{Relay: &StateUpdate{States: []MachineState{{FreeCPUs: -2}}}},
		},
		"infinite free resources": {
			message: PeerMessage{Relay: &StateUpdate{States: []MachineState{{FreeCPUs: math.Inf(1)}}}},
			field:   "free",
		},
		"queue with too many levels": {
			message: PeerMessage{Relay: &StateUpdate{States: []MachineState{{Queue: make([]float64, resource.Levels+1)}}}},
			field:   "levels",
		},
		"negative resources of ending tasks": {
			message: PeerMessage{Relay: &StateUpdate{States: []MachineState{{Ending: LevelUse{CPUs: -1}}}}},
			field:   "use",
		},
		"highest level of progress": {
			message: PeerMessage{Relay: &StateUpdate{Progress: []Progress{{Level: resource.Levels}}}},
		},
		"negative demand": {
			message: PeerMessage{Relay: &StateUpdate{Demand: []Demand{{Unstarted: -1}}}},
			field:   "unstarted",
		},
		"negative lateness": {
			message: PeerMessage{Relay: &StateUpdate{Load: Load{LateMS: -1}}},
			field:   "lateness",
		},
		"inventory with negative resources": {
			message: PeerMessage{Inventory: &Inventory{Held: []HeldAttempt{{Need: resource.Amount{GPUs: -1}}}}},
			field:   "held",
		},
		"handover with too many pieces": {
			message: PeerMessage{Hand: &Handover{Pieces: maxPieces}},
			field:   "pieces",
		},
		"handover with a negative grace period": {
			message: PeerMessage{Hand: &Handover{Queues: []HandoverQueue{{Entries: []HandoverEntry{{GraceS: -1}}}}}},
			field:   "attempt",
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := tc.message.Validate()
			if tc.field == "" {
				if err != nil {
					t.Fatalf("valid message refused: %v", err)
				}
				return
			}
			var outOfRange *OutOfRangeError
			if !errors.As(err, &outOfRange) || outOfRange.Field != tc.field {
				t.Errorf("error %v, want an OutOfRangeError for field %s", err, tc.field)
			}
		})
	}
}
