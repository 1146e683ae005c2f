package holds

import (
	"fmt"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// writeEvery is the least time between two writes of the record.
	writeEvery = 5 * time.Second
	// maxHoldBytes is more than one hold takes in the record.
	maxHoldBytes = 350
)

// Record is the list of holds as it is written for controllers that start anew.
type Record struct {
	Holds []reservation.Hold `cbor:"holds"`
}

// Tag marks the transaction that writes the record of the holds.
type Tag struct{}

// Write writes the list of holds if it has changed: those that begin first, if not all of
// them fit into a record. Only one thing depends on it: how soon the same resources are
// held again after all controllers have ended. Without the record their machines would be
// filled before any controller knows the holds.
func (h *Holds) Write() {
	if !h.recordStale || h.Since(h.recordWrittenAt) < writeEvery {
		return
	}
	h.recordStale, h.recordWrittenAt = false, h.Now
	list := h.List[:min(len(h.List), int(1024*h.Settings.Site.State.ValueKB/maxHoldBytes))]
	h.Emit(message.Commit{Tag: Tag{}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{h.ViewUnchanged(), {Key: record.ReservationHoldsKey, Version: h.recordVersion}},
		Changes:    []protocol.Change{{Put: record.ReservationHoldsKey, Value: Record{list}}},
	}})
}

// Written handles the outcome of a write: one that failed is repeated.
func (h *Holds) Written(out message.Outcome) {
	h.recordStale = h.recordStale || out != message.OutcomeDone
}

// AdoptRecord adopts the list in the record, unless a list has been received from a peer
// already: that one is newer.
func (h *Holds) AdoptRecord(value protocol.RawValue, version protocol.Version) error {
	h.recordVersion = version
	var r Record
	if err := protocol.Decode(value, &r); err != nil {
		return fmt.Errorf("decoding the holds: %w", err)
	}
	if h.HoldsListed {
		return nil
	}
	h.HoldsListed = true
	h.Set(r.Holds)
	return nil
}
