// Package operatorapi is what operators' commands and controllers say to one
// another: requests about the calendar, sealed with an operator's key, and the
// answers. It is the same on both sides.
package operatorapi

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Path is where controllers take operators' requests, by POST.
const Path = "/operator/v1"

// Op is what is asked for.
type Op string

// The operations. Window tells reservations and windows apart.
const (
	OpAdd    Op = "add"
	OpList   Op = "list"
	OpShow   Op = "show"
	OpCancel Op = "cancel"
	// OpShares lists the shares of the machines, OpMove has some moved to a
	// controller, and OpAway has a controller keep none, or keep some again.
	OpShares Op = "shares"
	OpMove   Op = "move"
	OpAway   Op = "away"
)

// Request is one request; it is sealed on its way.
type Request struct {
	Op     Op               `cbor:"op"`
	Window bool             `cbor:"window,omitempty"`
	Name   record.EntryName `cbor:"name,omitempty"`
	// ID is chosen by who asks: a repeated request for a change gets the same
	// answer and changes nothing more.
	ID string `cbor:"id,omitempty"`
	// DryRun has an add decided and nothing changed.
	DryRun bool `cbor:"dry_run,omitempty"`
	// Replace lets an add take the place of what has its name.
	Replace bool `cbor:"replace,omitempty"`
	// Made is when what is to be cancelled was made: another of its name stays.
	Made record.Moment `cbor:"made_ms,omitempty"`

	Reservation *record.ReservationSpec `cbor:"reservation,omitempty"`
	Spec        *record.WindowSpec      `cbor:"spec,omitempty"` // of a window

	Shares     []int             `cbor:"shares,omitempty"`     // to be moved
	Controller protocol.NodeName `cbor:"controller,omitempty"` // to which, or that is to keep none
	End        bool              `cbor:"end,omitempty"`        // of being away

	Config *ConfigRequest `cbor:"config,omitempty"`
}

// Code is how a request ended.
type Code string

// The codes.
const (
	Done     Code = "done"
	Refused  Code = "refused" // can't be kept, or is malformed
	NotFound Code = "not_found"
	Denied   Code = "denied" // the seal is no operator's, or too old
	Later    Code = "later"  // can't be decided now: ask again
)

// Reply answers a request.
type Reply struct {
	Code     Code               `cbor:"code" json:"code"`
	Reason   string             `cbor:"reason,omitempty" json:"reason,omitempty"`
	InTheWay []record.EntryName `cbor:"in_the_way,omitempty" json:"in_the_way,omitempty"`
	Beside   []record.EntryName `cbor:"beside,omitempty" json:"beside,omitempty"`
	FirstMS  []record.Moment    `cbor:"first_ms,omitempty" json:"first_ms,omitempty"`

	Reservations []Reservation `cbor:"reservations,omitempty" json:"reservations,omitempty"`
	Windows      []Window      `cbor:"windows,omitempty" json:"windows,omitempty"`
	More         bool          `cbor:"more,omitempty" json:"more,omitempty"` // list: go on after the last name

	Controllers []Controller `cbor:"controllers,omitempty" json:"controllers,omitempty"`
	Shares      []Share      `cbor:"shares,omitempty" json:"shares,omitempty"`

	Config *ConfigReply `cbor:"config,omitempty" json:"config,omitempty"`
}

// Reservation is a reservation as operators see it.
type Reservation struct {
	record.Reservation
	Held    int                  `cbor:"held" json:"held"` // tasks that room is held for
	On      []protocol.MachineID `cbor:"on,omitempty" json:"on,omitempty"`
	Started int                  `cbor:"started" json:"started"` // of its job's tasks
}

// Window is a window as operators see it.
type Window struct {
	record.Window
	NextMS   record.Moment `cbor:"next_ms,omitempty" json:"next_ms,omitempty"` // that is open, or opens next
	Open     bool          `cbor:"open" json:"open"`
	Overruns []Overrun     `cbor:"overruns,omitempty" json:"overruns,omitempty"`
}

// Overrun is a machine of a window whose work is likely to go on after the
// window has opened, and by how much.
type Overrun struct {
	Machine protocol.MachineID `cbor:"machine" json:"machine"`
	ByS     float64            `cbor:"by_s" json:"by_s"`
}

// Controller is a controller as operators see it.
type Controller struct {
	Name     protocol.NodeName `cbor:"name" json:"name"`
	Zone     protocol.Zone     `cbor:"zone,omitempty" json:"zone,omitempty"`
	Shares   int               `cbor:"shares" json:"shares"`
	Machines int               `cbor:"machines" json:"machines"`
	LateMS   float64           `cbor:"late_ms" json:"late_ms"` // how late its ticks come
	Deaf     bool              `cbor:"deaf,omitempty" json:"deaf,omitempty"`
	Away     bool              `cbor:"away,omitempty" json:"away,omitempty"`
	Leaving  bool              `cbor:"leaving,omitempty" json:"leaving,omitempty"`
}

// Share is a share of the machines as operators see it.
type Share struct {
	Number   int               `cbor:"number" json:"number"`
	Zone     protocol.Zone     `cbor:"zone" json:"zone"`
	Machines int               `cbor:"machines" json:"machines"`
	Holder   protocol.NodeName `cbor:"holder" json:"holder"`
	Since    protocol.Term     `cbor:"since" json:"since"`
	Epoch    protocol.Term     `cbor:"epoch" json:"epoch"`
}
