package operatorapi

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Code is the result of a request, as the controller that replies decided it.
type Code string

// The codes of replies.
const (
	Done       Code = "done"      // fulfilled
	Refused    Code = "refused"   // the request can't be fulfilled, or is malformed
	NotFound   Code = "not_found" // the object that the request names does not exist
	Denied     Code = "denied"    // the seal is invalid or expired
	RetryLater Code = "later"     // the request can't be decided now: retry
)

// Reply is the reply to a request: its result, and the objects that the operation returns.
type Reply struct {
	Code   Code   `cbor:"code" json:"code"`
	Reason string `cbor:"reason,omitempty" json:"reason,omitempty"`

	// Conflicts lists the reservations and windows because of which the requested one is
	// refused; Overlapping lists those that overlap it without a conflict. FirstMS has the
	// start times of its first occurrences.
	Conflicts   []record.EntryName `cbor:"in_the_way,omitempty" json:"in_the_way,omitempty"`
	Overlapping []record.EntryName `cbor:"beside,omitempty" json:"beside,omitempty"`
	FirstMS     []record.Moment    `cbor:"first_ms,omitempty" json:"first_ms,omitempty"`

	Reservations []Reservation `cbor:"reservations,omitempty" json:"reservations,omitempty"`
	Windows      []Window      `cbor:"windows,omitempty" json:"windows,omitempty"`
	More         bool          `cbor:"more,omitempty" json:"more,omitempty"` // more follow: a page after the last name or entry; for OpConfigHistory, earlier changes

	Controllers []Controller `cbor:"controllers,omitempty" json:"controllers,omitempty"`
	Shares      []Share      `cbor:"shares,omitempty" json:"shares,omitempty"`

	Config *ConfigReply `cbor:"config,omitempty" json:"config,omitempty"`
}

// Reservation is a reservation and its current state.
type Reservation struct {
	record.Reservation
	Held    int                  `cbor:"held" json:"held"`                 // number of tasks for which resources are held now
	On      []protocol.MachineID `cbor:"on,omitempty" json:"on,omitempty"` // machines on which resources are held
	Started int                  `cbor:"started" json:"started"`           // number of its tasks that have started
}

// Window is a maintenance window and its current state.
type Window struct {
	record.Window
	NextMS   record.Moment `cbor:"next_ms,omitempty" json:"next_ms,omitempty"` // start of the open or next occurrence
	Open     bool          `cbor:"open" json:"open"`
	Overruns []Overrun     `cbor:"overruns,omitempty" json:"overruns,omitempty"`
}

// Overrun is a machine that a window covers and whose last task is expected to end after
// the start of the window's open or next occurrence.
type Overrun struct {
	Machine protocol.MachineID `cbor:"machine" json:"machine"`
	ByS     float64            `cbor:"by_s" json:"by_s"` // expected end of the last task, in seconds after that start
}

// Controller is the state of a controller that is a member of the view. Shares and Machines
// are the numbers of shards that it holds and of their machines.
type Controller struct {
	Name        protocol.NodeName `cbor:"name" json:"name"`
	Zone        protocol.Zone     `cbor:"zone,omitempty" json:"zone,omitempty"`
	Shares      int               `cbor:"shares" json:"shares"`
	Machines    int               `cbor:"machines" json:"machines"`
	LateMS      float64           `cbor:"late_ms" json:"late_ms"`                     // moving average of the delay of its ticks, in milliseconds
	Unreachable bool              `cbor:"deaf,omitempty" json:"deaf,omitempty"`       // workers can't reach it
	Cordoned    bool              `cbor:"away,omitempty" json:"away,omitempty"`       // it may hold no shards
	Leaving     bool              `cbor:"leaving,omitempty" json:"leaving,omitempty"` // shutting down
}

// Share is the state of a shard. Machines is the number of its machines.
type Share struct {
	Number   int               `cbor:"number" json:"number"`
	Zone     protocol.Zone     `cbor:"zone" json:"zone"`
	Machines int               `cbor:"machines" json:"machines"`
	Holder   protocol.NodeName `cbor:"holder" json:"holder"` // controller that holds the shard
	Since    protocol.Term     `cbor:"since" json:"since"`   // epoch at which the holder took the shard over
	Epoch    protocol.Term     `cbor:"epoch" json:"epoch"`   // fencing token of commands to the shard's machines
}
