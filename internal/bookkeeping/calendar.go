package bookkeeping

import "damsonkeel/internal/protocol"

// CalendarKey counts the changes of the calendar. Each acceptance and
// cancellation is conditional on it, so that all were decided one after the
// other, each on what those before it left.
const (
	CalendarKey       = "c/calendar"
	reservationPrefix = "c/reservation/"
	windowPrefix      = "c/window/"
)

// EntryName names a reservation or a window.
type EntryName string

// ReservationKey is the record of a reservation.
func ReservationKey(n EntryName) string { return reservationPrefix + string(n) }

// WindowKey is the record of a maintenance window.
func WindowKey(n EntryName) string { return windowPrefix + string(n) }

// Moment is a time of day, in milliseconds since 1970; 0: none.
type Moment int64

// Calendar is the record under CalendarKey.
type Calendar struct {
	Changes uint64 `cbor:"changes"`
}

// ReservationState is what a reservation's present occurrence is.
type ReservationState string

// The states of reservations. A recurring one goes from used or expired to
// accepted again, for its next time.
const (
	// Proposed was checked and is stored nowhere: the answer of a dry run.
	Proposed ReservationState = "proposed"
	// Accepted is promised; its time is not near yet.
	Accepted ReservationState = "accepted"
	// Holding has room held for it.
	Holding ReservationState = "holding"
	// Used has had its job start.
	Used ReservationState = "used"
	// Expired was held for as long as it asked, and its job did not come.
	Expired ReservationState = "expired"
	// Cancelled was taken back by an operator.
	Cancelled ReservationState = "cancelled"
)

// ReservationSpec is what an operator asks for.
type ReservationSpec struct {
	Name EntryName `cbor:"name"`
	// Job is the job it is for, or Class its class, of Team if that is named.
	Job   protocol.JobID `cbor:"job,omitempty"`
	Class string         `cbor:"class,omitempty"`
	Team  protocol.Team  `cbor:"team,omitempty"`
	// When it begins: see calendar.ParseWhen.
	When string `cbor:"when"`
	// HoldS is how long it is held if its job doesn't come, LengthS how long the
	// job is expected to run, in seconds.
	HoldS   float64 `cbor:"hold_s"`
	LengthS float64 `cbor:"length_s"`

	Tasks    int                    `cbor:"tasks"`
	CPUs     float64                `cbor:"cpus"`
	GPUs     float64                `cbor:"gpus,omitempty"`
	MemoryGB float64                `cbor:"memory_gb,omitempty"`
	Types    []protocol.MachineType `cbor:"types,omitempty"`
	Zone     protocol.Zone          `cbor:"zone,omitempty"`
	OneZone  bool                   `cbor:"one_zone,omitempty"`
	Spot     bool                   `cbor:"spot,omitempty"`
	Priority protocol.Priority      `cbor:"priority"`
}

// Reservation is the record of a reservation.
type Reservation struct {
	Spec    ReservationSpec  `cbor:"spec"`
	Request string           `cbor:"request"` // that made it: a repeated one gets the same answer
	By      string           `cbor:"by"`      // the operator's key
	MadeMS  Moment           `cbor:"made_ms"`
	Order   uint64           `cbor:"order"` // of acceptance
	State   ReservationState `cbor:"state"`
	StartMS Moment           `cbor:"start_ms"` // of the present occurrence
	// Risk is why the present occurrence is at risk, and since when; empty: it is
	// not.
	Risk   string    `cbor:"risk,omitempty"`
	RiskMS Moment    `cbor:"risk_ms,omitempty"`
	Past   []Outcome `cbor:"past,omitempty"` // of earlier occurrences, the latest last
}

// Outcome is how an occurrence of a reservation ended.
type Outcome struct {
	StartMS Moment           `cbor:"start_ms"`
	State   ReservationState `cbor:"state"`
	EndMS   Moment           `cbor:"end_ms"` // when it was used or expired
	Risk    string           `cbor:"risk,omitempty"`
}

// WindowSpec is a maintenance window as an operator asks for it: it covers the
// machines named, or those of a type, a zone or both; with none of them, the
// site.
type WindowSpec struct {
	Name     EntryName            `cbor:"name"`
	When     string               `cbor:"when"`
	LengthS  float64              `cbor:"length_s"`
	Machines []protocol.MachineID `cbor:"machines,omitempty"`
	Type     protocol.MachineType `cbor:"type,omitempty"`
	Zone     protocol.Zone        `cbor:"zone,omitempty"`
}

// Window is the record of a maintenance window.
type Window struct {
	Spec      WindowSpec `cbor:"spec"`
	Request   string     `cbor:"request"`
	By        string     `cbor:"by"`
	MadeMS    Moment     `cbor:"made_ms"`
	Cancelled bool       `cbor:"cancelled,omitempty"`
}
