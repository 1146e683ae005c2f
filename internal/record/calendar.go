package record

import "damsonkeel/internal/protocol"

// CalendarKey counts the changes of the calendar. Each acceptance and
// cancellation is conditional on it, so that all were decided one after the
// other, each on what those before it left.
const (
	CalendarKey = "c/calendar"
	// ReservationHoldsKey is what was held for reservations a moment ago, for who starts anew.
	ReservationHoldsKey = "c/held"
	reservationPrefix   = "c/reservation/"
	windowPrefix        = "c/window/"
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
	Changes uint64 `json:"changes"`
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
	Name EntryName `json:"name"`
	// Job is the job it is for, or Class its class, of Team if that is named.
	Job   protocol.JobID `json:"job,omitempty"`
	Class string         `json:"class,omitempty"`
	Team  protocol.Team  `json:"team,omitempty"`
	// When it begins: see calendar.ParseWhen.
	When string `json:"when"`
	// HoldS is how long it is held if its job doesn't come, LengthS how long the
	// job is expected to run, in seconds.
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

// Reservation is the record of a reservation.
type Reservation struct {
	Spec    ReservationSpec  `json:"spec"`
	Request string           `json:"request"` // that made it: a repeated one gets the same answer
	By      string           `json:"by"`      // the operator's key
	MadeMS  Moment           `json:"made_ms"`
	Order   uint64           `json:"order"` // of acceptance
	State   ReservationState `json:"state"`
	StartMS Moment           `json:"start_ms"` // of the present occurrence
	// Risk is why the present occurrence is at risk, and since when; empty: it is
	// not.
	Risk   string    `json:"risk,omitempty"`
	RiskMS Moment    `json:"risk_ms,omitempty"`
	Past   []Outcome `json:"past,omitempty"` // of earlier occurrences, the latest last
}

// Outcome is how an occurrence of a reservation ended.
type Outcome struct {
	StartMS Moment           `json:"start_ms"`
	State   ReservationState `json:"state"`
	EndMS   Moment           `json:"end_ms"` // when it was used or expired
	Risk    string           `json:"risk,omitempty"`
}

// WindowSpec is a maintenance window as an operator asks for it: it covers the
// machines named, or those of a type, a zone or both; with none of them, the
// site.
type WindowSpec struct {
	Name     EntryName            `json:"name"`
	When     string               `json:"when"`
	LengthS  float64              `json:"length_s"`
	Machines []protocol.MachineID `json:"machines,omitempty"`
	Type     protocol.MachineType `json:"type,omitempty"`
	Zone     protocol.Zone        `json:"zone,omitempty"`
}

// Window is the record of a maintenance window.
type Window struct {
	Spec      WindowSpec `json:"spec"`
	Request   string     `json:"request"`
	By        string     `json:"by"`
	MadeMS    Moment     `json:"made_ms"`
	Cancelled bool       `json:"cancelled,omitempty"`
}
