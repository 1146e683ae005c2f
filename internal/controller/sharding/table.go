package sharding

import (
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a shard: it is its index in the list of the shard table.
type ID int

const (
	// shardsPerZone is the number of shards of each zone, unless the shards of all zones
	// together would exceed maxShards.
	shardsPerZone = 32
	// maxShards bounds the number of shards of a site, unless it has more zones: each zone has
	// at least one shard.
	maxShards = 512
)

// InitialTable returns the first shard table of a site with the given zones: each zone has the
// same number of shards, no shard has a holder, and all epochs are 0. A site without zones
// counts as one zone with an empty name.
func InitialTable(zones []protocol.Zone) *record.ShardTable {
	table := &record.ShardTable{Zones: slices.Clone(zones), Slots: shardsPerZone}
	slices.Sort(table.Zones)
	table.Zones = slices.Compact(table.Zones)
	if len(table.Zones) == 0 {
		table.Zones = []protocol.Zone{""}
	}
	if len(table.Zones)*shardsPerZone > maxShards {
		table.Slots = max(1, maxShards/len(table.Zones))
	}
	table.List = make([]record.ShardAssignment, len(table.Zones)*table.Slots)
	return table
}

// ShardOf returns the shard of a machine, chosen by a hash of the machine's ID: one of its
// zone's shards, or one of all shards if the table does not contain the zone.
func ShardOf(table *record.ShardTable, machine protocol.MachineID, zone protocol.Zone) ID {
	hash := xxhash.Sum64String(string(machine))
	if i, ok := slices.BinarySearch(table.Zones, zone); ok {
		return ID(i*table.Slots + int(hash%uint64(table.Slots)))
	}
	return ID(hash % uint64(len(table.List)))
}

// ZoneOf returns the zone of a shard.
func ZoneOf(table *record.ShardTable, id ID) protocol.Zone {
	return table.Zones[int(id)/table.Slots]
}

// Copy returns a copy of a table whose assignments can be changed without an effect on the
// original.
func Copy(table *record.ShardTable) *record.ShardTable {
	c := *table
	c.List = slices.Clone(table.List)
	c.Away = slices.Clone(table.Away)
	return &c
}

// TokensPerEpoch is the number of fencing tokens that a shard gets whenever its epoch number
// rises: its dispatcher issues those up to the epoch number one after the other, without a
// change of the table. More of them make the numbers in the table longer.
const TokensPerEpoch = 128

// Assign makes the member with a session the holder of a shard, as AssignAll does.
func Assign(table *record.ShardTable, id ID, holder protocol.LeaseID) {
	AssignAll(table, []Move{{Shard: id, To: holder}})
}

// AssignAll gives shards the holders that the moves name, and raises their epochs and that of
// the table above all previous ones.
func AssignAll(table *record.ShardTable, moves []Move) {
	if len(moves) == 0 {
		return
	}
	first, last := reserveTokens(table)
	for _, move := range moves {
		table.List[move.Shard] = record.ShardAssignment{Holder: move.To, Since: first, Epoch: last}
	}
}

// RaiseEpochs sets the epoch numbers of shards above all previous ones; their holders stay.
func RaiseEpochs(table *record.ShardTable, ids []ID) {
	if len(ids) == 0 {
		return
	}
	_, last := reserveTokens(table)
	for _, id := range ids {
		table.List[id].Epoch = last
	}
}

// reserveTokens raises the epoch of the table by TokensPerEpoch and returns the first and the
// last of the new numbers. The shards that change together share them: a machine belongs to
// one shard only.
func reserveTokens(table *record.ShardTable) (first, last protocol.Term) {
	first = table.Epoch + 1
	table.Epoch += TokensPerEpoch
	return first, table.Epoch
}

// RaiseEpochAbove raises the epoch of the table to a fencing token that was issued from
// another source than this table, so that the next epoch is above the token.
func RaiseEpochAbove(table *record.ShardTable, token protocol.Term) {
	table.Epoch = max(table.Epoch, token)
}

// Loads estimates the load of each shard from the number of machines in each zone: 1 plus the
// shard's equal part of these machines. The load is the same for all shards of a zone, since
// machines are distributed over them by hash.
func Loads(table *record.ShardTable, machines map[protocol.Zone]int) []float64 {
	load := make([]float64, len(table.List))
	for id := range load {
		load[id] = 1 + float64(machines[ZoneOf(table, ID(id))])/float64(table.Slots)
	}
	return load
}
