package record

import (
	"errors"
	"slices"

	"damsonkeel/internal/protocol"
)

// ShardTableKey is the record of who keeps which share of the machines.
const ShardTableKey = "c/shares"

// ShardTable is who keeps which share of the machines: so many of each zone, in the
// order of the zones. Neither zones nor slots ever change once it is written.
type ShardTable struct {
	// Epoch is the highest that any share has or ever had.
	Epoch protocol.Term
	Zones []protocol.Zone
	Slots int // shares of each zone
	// Away are the controllers that operators have told to keep nothing.
	Away []protocol.NodeName
	List []ShardAssignment
}

// ShardAssignment is one share of the machines.
type ShardAssignment struct {
	Holder protocol.LeaseID // session of the controller that keeps its machines
	// Since is the epoch that it got when its holder took it.
	Since protocol.Term
	// Epoch is the token of commands to its machines. It rises when its holder
	// changes, and when a start has to be settled.
	Epoch protocol.Term
}

// sharesRecord is Shares as it is written: sessions once each, and columns, so
// that hundreds of shares fit into a value.
type sharesRecord struct {
	Epoch    protocol.Term       `cbor:"epoch"`
	Zones    []protocol.Zone     `cbor:"zones"`
	Slots    int                 `cbor:"slots"`
	Away     []protocol.NodeName `cbor:"away,omitempty"`
	Sessions []protocol.LeaseID  `cbor:"sessions"`
	Holders  []int               `cbor:"holders"` // places in Sessions
	Since    []protocol.Term     `cbor:"since"`
	Epochs   []protocol.Term     `cbor:"epochs"`
}

// MarshalCBOR writes shares in columns.
func (s ShardTable) MarshalCBOR() ([]byte, error) {
	r := sharesRecord{Epoch: s.Epoch, Zones: s.Zones, Slots: s.Slots, Away: s.Away}
	for _, h := range s.List {
		i := slices.Index(r.Sessions, h.Holder)
		if i < 0 {
			i = len(r.Sessions)
			r.Sessions = append(r.Sessions, h.Holder)
		}
		r.Holders, r.Since, r.Epochs = append(r.Holders, i), append(r.Since, h.Since), append(r.Epochs, h.Epoch)
	}
	return protocol.Encode(r)
}

var errShares = errors.New("shares: columns of different lengths")

// UnmarshalCBOR reads shares.
func (s *ShardTable) UnmarshalCBOR(b []byte) error {
	var r sharesRecord
	if err := protocol.Decode(b, &r); err != nil {
		return err
	}
	n := len(r.Zones) * r.Slots
	if r.Slots <= 0 || len(r.Holders) != n || len(r.Since) != n || len(r.Epochs) != n {
		return errShares
	}
	*s = ShardTable{Epoch: r.Epoch, Zones: r.Zones, Slots: r.Slots, Away: r.Away, List: make([]ShardAssignment, n)}
	for i, h := range r.Holders {
		if h < 0 || h >= len(r.Sessions) {
			return errShares
		}
		s.List[i] = ShardAssignment{Holder: r.Sessions[h], Since: r.Since[i], Epoch: r.Epochs[i]}
	}
	return nil
}
