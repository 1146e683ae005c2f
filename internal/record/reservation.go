package record

import "damsonkeel/internal/protocol"

const (
	// CalendarKey is the key of the Calendar. Each acceptance and cancellation is
	// conditional on the version of this record. So they are serialized: each is decided
	// on the result of those before it.
	CalendarKey = "c/calendar"
	// ReservationHoldsKey is the key of a recent copy of the list of the resources that are
	// held for reservations. Controllers that start after all of them have ended read it.
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

// Moment is a time in milliseconds since the Unix epoch; 0 means no time.
type Moment int64

// Calendar is the record that counts the accepted changes of reservations and maintenance
// windows.
type Calendar struct {
	Changes uint64 `json:"changes"`
}

// ReservationState is the state of a reservation's current occurrence.
type ReservationState string

// The states of reservations. A recurring reservation returns from Used or Expired to
// Accepted for its next occurrence.
const (
	// Proposed is the state in the result of a dry run: checked, but not stored.
	Proposed ReservationState = "proposed"
	// Accepted means that the reservation is guaranteed and no resources are held yet, as
	// its start is not near.
	Accepted ReservationState = "accepted"
	// Holding means that resources are held for the reservation.
	Holding ReservationState = "holding"
	// Used means that the job of the reservation, or a job that matches it, has started.
	Used ReservationState = "used"
	// Expired means that resources were held for HoldS and no job was submitted.
	Expired ReservationState = "expired"
	// Cancelled means that an operator cancelled the reservation.
	Cancelled ReservationState = "cancelled"
)

// ReservationSpec is a reservation as an operator requests it.
type ReservationSpec struct {
	Name EntryName `json:"name"`
	// Job is the job that may use the reservation. If it is empty, any job of Class may use
	// it, and only jobs of Team if that is set.
	Job   protocol.JobID `json:"job,omitempty"`
	Class string         `json:"class,omitempty"`
	Team  protocol.Team  `json:"team,omitempty"`
	// When is the start of the reservation, once or recurring, as package reservation
	// parses it.
	When string `json:"when"`
	// HoldS is how long resources are held for the job to be submitted, in seconds.
	// LengthS is the expected run time of the job, in seconds.
	HoldS   float64 `json:"hold_s"`
	LengthS float64 `json:"length_s"`

	// Tasks is the number of tasks for which resources are held, and CPUs, GPUs and MemoryGB
	// are what each of them uses.
	Tasks    int                    `json:"tasks"`
	CPUs     float64                `json:"cpus"`
	GPUs     float64                `json:"gpus,omitempty"`
	MemoryGB float64                `json:"memory_gb,omitempty"`
	Types    []protocol.MachineType `json:"types,omitempty"`    // allowed types; empty: all
	Zone     protocol.Zone          `json:"zone,omitempty"`     // allowed zone; empty: all
	OneZone  bool                   `json:"one_zone,omitempty"` // all tasks run in the same zone
	Spot     bool                   `json:"spot,omitempty"`     // spot machines are allowed too
	Priority protocol.Priority      `json:"priority"`
}

// Reservation is the record of an accepted reservation.
type Reservation struct {
	Spec    ReservationSpec  `json:"spec"`
	Request string           `json:"request"` // idempotency key of the request that created it
	By      string           `json:"by"`      // name of the operator's key
	MadeMS  Moment           `json:"made_ms"` // time of the acceptance
	Order   uint64           `json:"order"`   // position in the order of acceptance
	State   ReservationState `json:"state"`
	StartMS Moment           `json:"start_ms"` // of the current occurrence
	// Risk is the reason why the current occurrence is at risk, and RiskMS the time since
	// when. Both are empty if it is not at risk.
	Risk   string    `json:"risk,omitempty"`
	RiskMS Moment    `json:"risk_ms,omitempty"`
	Past   []Outcome `json:"past,omitempty"` // earlier occurrences, the latest last
}

// Outcome describes how an occurrence of a reservation ended.
type Outcome struct {
	StartMS Moment           `json:"start_ms"`
	State   ReservationState `json:"state"`
	EndMS   Moment           `json:"end_ms"` // time at which it was used or expired
	Risk    string           `json:"risk,omitempty"`
}
