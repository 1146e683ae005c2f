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
	reported      message.MachineState // by its keeper
	reportedBy    *peer                // the keeper's session that told it in this term, if any
	reportedAt    Time                 // when that was
	pendingWaits  []pendingWait        // placements that its keeper's word does not include yet
	pendingSum    float64              // their waits
	pendingUses   resource.Uses        // what they take
	reserved      resource.Amount      // of what it has free: held for reservations now
	copiedWait    float64              // its wait by a peer's table, until its keeper is heard
	announcedUses resource.Uses        // what it was told to hold
	refused       bool                 // its keeper refused something and has not said since why
	lateRuns      int                  // tasks of this owner that ran too long there lately
	lastLateRun   Time                 // the last of them
	ownAttempts   map[protocol.TaskID]*attempt
}
