package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// machineEntry is a registered machine as the records have it, and what the
// wait table holds of it.
type machineEntry struct {
	*clusterstate.Machine
	reported message.MachineState // by its keeper
	by       *peer                // the keeper's session that told it in this term, if any
	at       Time                 // when that was
	coming   []comingWait         // placements that its keeper's word does not include yet
	extra    float64              // their waits
	taken    resource.Uses        // what they take
	reserved resource.Amount      // of what it has free: held for reservations now
	copied   float64              // its wait by a peer's table, until its keeper is heard
	held     resource.Uses        // what it was told to hold
	refused  bool                 // its keeper refused something and has not said since why
	late     int                  // tasks of this owner that ran too long there lately
	lateAt   Time                 // the last of them
	mine     map[protocol.TaskID]*placedTask
}
