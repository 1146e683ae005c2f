package operatorapi

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Path is the path of operators' requests, sent by POST.
const Path = "/operator/v1"

// Op is the operation of a request.
type Op string

// Operations on reservations, windows and shards. Request.Window distinguishes
// reservations and windows.
const (
	OpAdd    Op = "add"
	OpList   Op = "list"
	OpShow   Op = "show"
	OpCancel Op = "cancel"
	OpShares Op = "shares" // lists the shards of the machines
	OpMove   Op = "move"   // moves shards to a controller
	OpAway   Op = "away"   // cordons a controller, which then leads no shards, or ends that
)

// Request is a request of an operator. On the wire it is part of a Sealed.
type Request struct {
	Op     Op               `cbor:"op"`
	Window bool             `cbor:"window,omitempty"`
	Name   record.EntryName `cbor:"name,omitempty"`
	// ID is the idempotency key: a repeated request for a change gets the same reply and
	// changes nothing more.
	ID string `cbor:"id,omitempty"`
	// DryRun decides a change without making it.
	DryRun bool `cbor:"dry_run,omitempty"`
	// Replace lets OpAdd replace the entry of the same name.
	Replace bool `cbor:"replace,omitempty"`
	// CreatedAt is the creation time of the entry to be cancelled. An entry of the same name
	// that was made at another time is not cancelled.
	CreatedAt record.Moment `cbor:"made_ms,omitempty"`

	Reservation *record.ReservationSpec `cbor:"reservation,omitempty"`
	Spec        *record.WindowSpec      `cbor:"spec,omitempty"` // the window of OpAdd

	Shares     []int             `cbor:"shares,omitempty"`     // to move
	Controller protocol.NodeName `cbor:"controller,omitempty"` // that the shards move to, or that is cordoned
	End        bool              `cbor:"end,omitempty"`        // of the cordon

	Config *ConfigRequest `cbor:"config,omitempty"`
}
