package operatorapi

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Path is the HTTP path of operators' requests, which are sent by POST.
const Path = "/operator/v1"

// Op is the operation of a request.
type Op string

// Operations on reservations, maintenance windows and shards. The first four concern a
// window if Request.Window is set, otherwise a reservation.
const (
	OpAdd    Op = "add"
	OpList   Op = "list"
	OpShow   Op = "show"
	OpCancel Op = "cancel"
	OpShares Op = "shares" // lists the shards of the machines
	OpMove   Op = "move"   // moves shards to a controller
	OpAway   Op = "away"   // cordons a controller, which then holds no shards, or ends the cordon
)

// Request is a request of an operator. It is sent as part of a Sealed.
type Request struct {
	Op     Op               `cbor:"op"`
	Window bool             `cbor:"window,omitempty"`
	Name   record.EntryName `cbor:"name,omitempty"`
	// ID is the idempotency key: a repeated request for a change gets the same reply and
	// changes nothing more.
	ID string `cbor:"id,omitempty"`
	// DryRun requests the decision on a change without making the change.
	DryRun bool `cbor:"dry_run,omitempty"`
	// Replace lets OpAdd replace the entry of the same name.
	Replace bool `cbor:"replace,omitempty"`
	// CreatedAt is the creation time of the entry to be cancelled. An entry of the same name
	// that was created at another time is not cancelled.
	CreatedAt record.Moment `cbor:"made_ms,omitempty"`

	Reservation *record.ReservationSpec `cbor:"reservation,omitempty"`
	Spec        *record.WindowSpec      `cbor:"spec,omitempty"` // the window of OpAdd

	Shares     []int             `cbor:"shares,omitempty"`     // numbers of the shards to move
	Controller protocol.NodeName `cbor:"controller,omitempty"` // target of the moves, or controller to cordon
	End        bool              `cbor:"end,omitempty"`        // ends the cordon

	Config *ConfigRequest `cbor:"config,omitempty"`
}
