package holds

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// RecordSeen is what is held, as it is written for who starts anew.
type Record struct {
	Holds []reservation.Hold `cbor:"holds"`
}

const (
	// writeHeldEvery is how often it is written at the most.
	writeHeldEvery = 5 * time.Second
	// heldBytes is more than one hold takes in a record.
	heldBytes = 350
)

// Write writes what is held, what is due first if not all of it fits into a
// record. Nothing depends on it but how soon the same is held again after all
// controllers have ended: without it their machines are filled before any of
// them knows what was held.
func (rh *Holds) Write() {
	pr := rh
	if !pr.Stale || rh.Since(pr.holdsWrittenAt) < writeHeldEvery {
		return
	}
	pr.Stale, pr.holdsWrittenAt = false, rh.Now
	list := pr.List[:min(len(pr.List), int(1024*rh.Settings.Site.State.ValueKB/heldBytes))]
	rh.Emit(message.Commit{Tag: Tag{}, Txn: protocol.Transaction{
		Conditions: []protocol.Condition{rh.ViewUnchanged(), {Key: record.ReservationHoldsKey, Version: pr.heldVersion}},
		Changes:    []protocol.Change{{Put: record.ReservationHoldsKey, Value: Record{list}}},
	}})
}

// Written takes the outcome of a write: what was not written is written again.
func (rh *Holds) Written(out message.Outcome) {
	rh.Stale = rh.Stale || out != message.OutcomeDone
}

// RecordSeen takes over what was written, unless a list was heard already, which
// is newer.
func (rh *Holds) RecordSeen(value protocol.RawValue, version protocol.Version) error {
	rh.heldVersion = version
	var r Record
	if err := protocol.Decode(value, &r); err != nil || rh.Listed {
		return err
	}
	rh.Listed = true
	rh.Set(r.Holds)
	return nil
}

// Tag marks the transaction that writes the holds.
type Tag struct{}
