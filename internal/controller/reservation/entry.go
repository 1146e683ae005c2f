package reservation

import (
	"cmp"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Name names a reservation or a window.
type Name = record.EntryName

// Entry is a reservation or a window in the calendar; one of the two is set.
type Entry struct {
	*record.Reservation
	*record.Window
	Version  protocol.Version // of its record
	Schedule Schedule

	length     time.Duration
	keys       []int64 // of its occurrences in the index, the earliest first
	listedTo   Moment  // until when its occurrences are in the index
	incomplete bool    // its occurrences were not listed as far as Ahead yet
}

// MaxDuration is how long a reservation keeps its resources at the most: held for its job,
// then used by it.
func MaxDuration(s *record.ReservationSpec) time.Duration {
	return config.Seconds(s.HoldS + s.LengthS)
}

// Name is the entry's name.
func (e *Entry) Name() Name {
	if e.Window != nil {
		return e.Window.Spec.Name
	}
	return e.Reservation.Spec.Name
}

// CreatedAt is when the entry was requested.
func (e *Entry) CreatedAt() Moment {
	if e.Window != nil {
		return e.Window.MadeMS
	}
	return e.Reservation.MadeMS
}

// Valid reports whether the entry was not cancelled.
func (e *Entry) Valid() bool {
	if e.Window != nil {
		return !e.Cancelled
	}
	return e.State != record.Cancelled
}

// Active reports whether a reservation is still to be kept.
func (e *Entry) Active() bool {
	return e.State == record.Accepted || e.State == record.Holding
}

func compareNames(x, y *Entry) int { return cmp.Compare(x.Name(), y.Name()) }
