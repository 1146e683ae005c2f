package record

import (
	"errors"
	"fmt"
	"slices"

	"damsonkeel/internal/protocol"
)

// ShardTableKey is the key of the ShardTable.
const ShardTableKey = "c/shares"

// ShardTable is the record that assigns the shards of the machines to controllers. Each zone
// has the same number of shards. Zones and Slots never change once the table is written.
type ShardTable struct {
	// Epoch is the highest epoch that any shard has or had.
	Epoch protocol.Term
	Zones []protocol.Zone // in ascending order of their names
	Slots int             // number of shards of each zone
	// Away are the controllers that operators have cordoned. They hold no shards.
	Away []protocol.NodeName
	// List has Slots assignments for each zone, in the order of Zones.
	List []ShardAssignment
}

// ShardAssignment is the assignment of one shard.
type ShardAssignment struct {
	// Holder is the lease of the controller that holds the shard; 0 before the first one.
	Holder protocol.LeaseID
	// Since is the epoch at which the holder took the shard over.
	Since protocol.Term
	// Epoch is the highest fencing token that the holder may issue to the machines of the
	// shard; the lowest is Since. It rises when the holder changes, when the holder has
	// few tokens left, and when a handover of the shard is aborted.
	Epoch protocol.Term
}

// shardTableRecord is the stored form of ShardTable. It lists each lease once and stores the
// assignments in columns, so that hundreds of shards fit into a value.
type shardTableRecord struct {
	Epoch    protocol.Term       `cbor:"epoch"`
	Zones    []protocol.Zone     `cbor:"zones"`
	Slots    int                 `cbor:"slots"`
	Away     []protocol.NodeName `cbor:"away,omitempty"`
	Sessions []protocol.LeaseID  `cbor:"sessions"`
	Holders  []int               `cbor:"holders"` // indices into Sessions
	Since    []protocol.Term     `cbor:"since"`
	Epochs   []protocol.Term     `cbor:"epochs"`
}

// MarshalCBOR encodes the table as a shardTableRecord.
func (s ShardTable) MarshalCBOR() ([]byte, error) {
	r := shardTableRecord{Epoch: s.Epoch, Zones: s.Zones, Slots: s.Slots, Away: s.Away}
	for _, shard := range s.List {
		holder := slices.Index(r.Sessions, shard.Holder)
		if holder < 0 {
			holder = len(r.Sessions)
			r.Sessions = append(r.Sessions, shard.Holder)
		}
		r.Holders = append(r.Holders, holder)
		r.Since = append(r.Since, shard.Since)
		r.Epochs = append(r.Epochs, shard.Epoch)
	}
	b, err := protocol.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("shard table: %w", err)
	}
	return b, nil
}

var errShardColumns = errors.New("shard table: columns of different lengths")

// UnmarshalCBOR decodes a table from a shardTableRecord. It returns an error if the columns do
// not have one element for each shard, or refer to a session that is not in Sessions.
func (s *ShardTable) UnmarshalCBOR(b []byte) error {
	var r shardTableRecord
	if err := protocol.Decode(b, &r); err != nil {
		return fmt.Errorf("shard table: %w", err)
	}
	count := len(r.Zones) * r.Slots
	if r.Slots <= 0 || len(r.Holders) != count || len(r.Since) != count || len(r.Epochs) != count {
		return errShardColumns
	}
	*s = ShardTable{Epoch: r.Epoch, Zones: r.Zones, Slots: r.Slots, Away: r.Away, List: make([]ShardAssignment, count)}
	for i, holder := range r.Holders {
		if holder < 0 || holder >= len(r.Sessions) {
			return errShardColumns
		}
		s.List[i] = ShardAssignment{Holder: r.Sessions[holder], Since: r.Since[i], Epoch: r.Epochs[i]}
	}
	return nil
}
