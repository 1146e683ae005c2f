package holds

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// newHolds returns the state of a controller without machines, jobs and reservations.
func newHolds(t *testing.T) *Holds {
	t.Helper()
	module := clusterstate.NewModule(fake.Settings(), config.DefaultOperator(), slog.New(slog.DiscardHandler))
	table := waittable.New(module, rand.New(rand.NewPCG(1, 1)))
	table.Reset()
	progress := func(protocol.JobID) (message.Progress, bool) { return message.Progress{}, false }
	h := New(module, table, progress, func() {})
	h.Reset()
	return h
}

// TestChosenListGetsNewNumberIfItDiffers checks that the number of the list grows with each
// change and with each term, and only then. Peers compare it to determine whether they have
// the list.
func TestChosenListGetsNewNumberIfItDiffers(t *testing.T) {
	h := newHolds(t)
	list := []reservation.Hold{{For: "one", Machine: "vm-1", Tasks: 2}}
	for _, tc := range []struct {
		name string
		term protocol.Term
		list []reservation.Hold
		want uint64
	}{
		{"first list of the term", 3, nil, 3<<32 | 1},
		{"same list", 3, nil, 3<<32 | 1},
		{"another list", 3, list, 3<<32 | 2},
		{"equal list", 3, append([]reservation.Hold(nil), list...), 3<<32 | 2},
		{"same list in the next term", 4, list, 4<<32 | 1},
	} {
		h.View.Term = tc.term
		if h.AdoptChosenList(tc.list); h.ListNumber != tc.want {
			t.Errorf("%s: number %x, want %x", tc.name, h.ListNumber, tc.want)
		}
	}
	if on := h.Holds["vm-1"]; len(on) != 1 || on[0].Tasks != 2 {
		t.Errorf("holds on the machine: %+v", on)
	}
}

// TestFailedWriteOfHoldsIsRetried checks that the record is written once per change and again
// after a failed write, with at least writeInterval between two writes.
func TestFailedWriteOfHoldsIsRetried(t *testing.T) {
	h := newHolds(t)
	writes := func() int {
		h.Actions = nil
		h.WriteRecord()
		return len(h.Actions)
	}
	h.AdoptChosenList([]reservation.Hold{{For: "one", Machine: "vm-1", Tasks: 2}})
	h.Now = h.After(writeInterval)
	if n := writes(); n != 1 {
		t.Fatalf("%d writes of a changed list", n)
	}
	h.HandleRecordWritten(message.OutcomeRefused)
	if n := writes(); n != 0 {
		t.Errorf("%d writes immediately after a failure", n)
	}
	h.Now = h.After(writeInterval)
	if n := writes(); n != 1 {
		t.Errorf("%d writes after a failure and a write interval", n)
	}
	h.HandleRecordWritten(message.OutcomeDone)
	h.Now = h.After(writeInterval)
	if n := writes(); n != 0 {
		t.Errorf("%d writes though nothing changed", n)
	}
}
