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
	// writeInterval is the minimum time between two writes of the record.
	writeInterval = 5 * time.Second
	// maxHoldBytes is an upper bound of the encoded size of one hold in the record.
	maxHoldBytes = 350
)

// Record is the recorded list of holds, which controllers read when they start.
type Record struct {
	Holds []reservation.Hold `cbor:"holds"`
}

// Tag marks the transaction that writes the record of the holds.
type Tag struct{}

// WriteRecord writes the list of holds if it has changed since the last write and that was
// at least writeInterval ago. If the holds do not all fit into a record, it writes those
// that begin first. The record only serves to hold the same resources again soon after all
// controllers have ended. Without it, other tasks would fill the machines before any
// controller has a list of holds.
func (h *Holds) WriteRecord() {
	if !h.recordStale || h.Since(h.recordWrittenAt) < writeInterval {
		return
	}
	h.recordStale, h.recordWrittenAt = false, h.Now
	list := h.List[:min(len(h.List), int(1024*h.Settings.Site.State.ValueKB/maxHoldBytes))]
	h.Emit(message.Commit{Tag: Tag{}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{h.ViewUnchanged(), {Key: record.ReservationHoldsKey, Version: h.recordVersion}},
		Changes:    []protocol.Change{{Put: record.ReservationHoldsKey, Value: Record{list}}},
	}})
}

// HandleRecordWritten has the list written again by WriteRecord unless the write, whose outcome
// is out, was carried out.
func (h *Holds) HandleRecordWritten(out message.Outcome) {
	h.recordStale = h.recordStale || out != message.OutcomeDone
}

// AdoptRecord adopts the recorded list, unless this controller has a list already: only the
// first record of a session is adopted, and a list received from a peer is newer. It returns an
// error if the record can't be decoded.
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
	h.ReplaceList(r.Holds)
	return nil
}
