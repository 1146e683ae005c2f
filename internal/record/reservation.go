package record

import "damsonkeel/internal/protocol"

const (
	// CalendarKey is the key of the Calendar. Each acceptance and cancellation compares
	// its version, so that they are serialized: each is decided on the result of those
	// before it.
	CalendarKey = "c/calendar"
	// ReservationHoldsKey is the key of the resources that are held for reservations, a
	// recent copy for controllers that restart.
	ReservationHoldsKey = "c/held"
	reservationPrefix   = "c/reservation/"
	windowPrefix        = "c/window/"
)

// EntryName is the name of a reservation or of a maintenance window.
type EntryName string

// ReservationKey is the key of a Reservation.
func ReservationKey(n EntryName) string { return reservationPrefix + string(n) }

// WindowKey is the key of a Window.
func WindowKey(n EntryName) string { return windowPrefix + string(n) }

// Moment is a time in milliseconds since the Unix epoch; 0 is none.
type Moment int64

// Calendar counts the accepted changes of reservations and windows.
type Calendar struct {
	Changes uint64 `json:"changes"`
}

// ReservationState is the state of a reservation's current occurrence.
type ReservationState string

// The states of reservations. A recurring one returns from Used or Expired to Accepted
// for its next occurrence.
const (
	// Proposed is the result of a dry run: checked, and not stored.
	Proposed ReservationState = "proposed"
	// Accepted is promised, and its start is not near yet.
	Accepted ReservationState = "accepted"
	// Holding has resources held for it.
	Holding ReservationState = "holding"
	// Used has seen its job start.
	Used ReservationState = "used"
	// Expired was held for HoldS without its job being submitted.
	Expired ReservationState = "expired"
	// Cancelled was cancelled by an operator.
	Cancelled ReservationState = "cancelled"
)

// ReservationSpec is a reservation as an operator requests it.
type ReservationSpec struct {
	Name EntryName `json:"name"`
	// Job is the job that may use it, or Class the class of such jobs, of Team if set.
	Job   protocol.JobID `json:"job,omitempty"`
	Class string         `json:"class,omitempty"`
	Team  protocol.Team  `json:"team,omitempty"`
	// When is its start, once or recurring.
	When string `json:"when"`
	// HoldS is how long resources are held for the job to be submitted, and LengthS its
	// expected run time, in seconds.
	HoldS   float64 `json:"hold_s"`
	LengthS float64 `json:"length_s"`

	Tasks    int                    `json:"tasks"`
	CPUs     float64                `json:"cpus"`
	GPUs     float64                `json:"gpus,omitempty"`
	MemoryGB float64                `json:"memory_gb,omitempty"`
	Types    []protocol.MachineType `json:"types,omitempty"`
	Zone     protocol.Zone          `json:"zone,omitempty"`
	OneZone  bool                   `json:"one_zone,omitempty"`
	Spot     bool                   `json:"spot,omitempty"`
	Priority protocol.Priority      `json:"priority"`
}

// Reservation is the record of an accepted reservation.
type Reservation struct {
	Spec    ReservationSpec  `json:"spec"`
	Request string           `json:"request"` // idempotency key of the request that made it
	By      string           `json:"by"`      // name of the operator's key
	MadeMS  Moment           `json:"made_ms"`
	Order   uint64           `json:"order"` // of acceptance
	State   ReservationState `json:"state"`
	StartMS Moment           `json:"start_ms"` // of the current occurrence
	// Risk is why the current occurrence is at risk, and RiskMS since when; empty if it
	// is not.
	Risk   string    `json:"risk,omitempty"`
	RiskMS Moment    `json:"risk_ms,omitempty"`
	Past   []Outcome `json:"past,omitempty"` // earlier occurrences, the latest last
}

// Outcome is how an occurrence of a reservation ended.
type Outcome struct {
	StartMS Moment           `json:"start_ms"`
	State   ReservationState `json:"state"`
	EndMS   Moment           `json:"end_ms"` // when it was used or expired
	Risk    string           `json:"risk,omitempty"`
}
