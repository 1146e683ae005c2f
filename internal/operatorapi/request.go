package operatorapi

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Path is the HTTP path of operators' requests, which are sent by POST.
const Path = "/operator/v1"

// Op is the operation that a request asks for.
type Op string

// Operations on reservations, maintenance windows and shards. The first four concern a
// window if Request.Window is set, otherwise a reservation.
const (
	OpAdd    Op = "add"    // adds or replaces the entry in Reservation or Spec
	OpList   Op = "list"   // returns a page of entries, those with names after Name
	OpShow   Op = "show"   // returns the entry called Name
	OpCancel Op = "cancel" // cancels the entry called Name
	OpShares Op = "shares" // lists the shards and the controllers
	OpMove   Op = "move"   // requests the handover of the shards in Shares to Controller
	OpAway   Op = "away"   // cordons a controller, which then holds no shards, or ends the cordon
)

// Request is a request of an operator. It is sent as part of a Sealed.
type Request struct {
	Op     Op               `cbor:"op"`
	Window bool             `cbor:"window,omitempty"`
	Name   record.EntryName `cbor:"name,omitempty"`
	// ID is the idempotency key of OpAdd and OpConfigure: a repeated request is reported as
	// done and changes nothing more. Other changes only log it.
	ID string `cbor:"id,omitempty"`
	// DryRun requests the decision on a change without making the change. Only OpAdd and
	// OpConfigure observe it.
	DryRun bool `cbor:"dry_run,omitempty"`
	// Replace lets OpAdd replace an existing reservation or window of the same name. Without
	// it, OpAdd replaces only one that is cancelled or, for a reservation, used or expired.
	Replace bool `cbor:"replace,omitempty"`
	// CreatedAt is the creation time of the entry to be cancelled. An entry of the same name
	// that was created at another time is not cancelled. 0 is any time.
	CreatedAt record.Moment `cbor:"made_ms,omitempty"`

	Reservation *record.ReservationSpec `cbor:"reservation,omitempty"`
	Spec        *record.WindowSpec      `cbor:"spec,omitempty"` // the window of OpAdd

	Shares     []int             `cbor:"shares,omitempty"`     // numbers of the shards to move
	Controller protocol.NodeName `cbor:"controller,omitempty"` // target of the moves, or controller to cordon
	End        bool              `cbor:"end,omitempty"`        // ends the cordon

	Config *ConfigRequest `cbor:"config,omitempty"`
}
