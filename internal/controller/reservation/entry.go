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

// Entry is a reservation or a window in the calendar. Exactly one of the two is set.
type Entry struct {
	*record.Reservation
	*record.Window
	Version  protocol.Version // version of the record
	Schedule Schedule

	duration        time.Duration
	indexKeys       []int64 // keys of the indexed occurrences, ordered by start
	indexedUntil    Moment  // all occurrences that begin before this moment were indexed
	indexIncomplete bool    // the occurrences are not indexed up to Horizon yet
}

// MaxOccurrenceDuration returns the longest time for which an occurrence of a reservation keeps
// its resources: they are held for its job for up to HoldS, and then used by it for LengthS.
func MaxOccurrenceDuration(s *record.ReservationSpec) time.Duration {
	return config.Seconds(s.HoldS + s.LengthS)
}

// Name returns the name of the reservation or window.
func (e *Entry) Name() Name {
	if e.Window != nil {
		return e.Window.Spec.Name
	}
	return e.Reservation.Spec.Name
}

// CreatedAt returns when a controller decided to add the entry.
func (e *Entry) CreatedAt() Moment {
	if e.Window != nil {
		return e.Window.MadeMS
	}
	return e.Reservation.MadeMS
}

// NotCancelled reports whether the entry has not been cancelled.
func (e *Entry) NotCancelled() bool {
	if e.Window != nil {
		return !e.Cancelled
	}
	return e.State != record.Cancelled
}

// Active reports whether the current occurrence of a reservation still needs its resources:
// its state is accepted (the start is not near yet) or holding. It must not be called for a
// window.
func (e *Entry) Active() bool {
	return e.State == record.Accepted || e.State == record.Holding
}

func compareNames(x, y *Entry) int { return cmp.Compare(x.Name(), y.Name()) }
