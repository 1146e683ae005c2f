// Package sharding divides the machines into shares, each kept by one controller,
// and decides who should keep which: who takes over what has no holder, and which
// shares move so that each controller keeps what it can. What a share is depends
// on nothing but the record of the shares; only who keeps it changes. The package
// decides; the record is changed by package membership (docs/shares.md).
package sharding

import (
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/cespare/xxhash/v2"
)

// ID is a share: its place in the record's list.
type ID int

const (
	// slots is how many shares each zone has, and most how many there are at the
	// most.
	slots = 32
	most  = 512
)

// InitialTable is the record of the shares of a site, none of them kept by anybody.
func InitialTable(zones []protocol.Zone) *record.ShardTable {
	s := &record.ShardTable{Zones: slices.Clone(zones), Slots: slots}
	slices.Sort(s.Zones)
	if s.Zones = slices.Compact(s.Zones); len(s.Zones) == 0 {
		s.Zones = []protocol.Zone{""}
	}
	if len(s.Zones)*slots > most {
		s.Slots = max(1, most/len(s.Zones))
	}
	s.List = make([]record.ShardAssignment, len(s.Zones)*s.Slots)
	return s
}

// Of is the share of a machine. One of a zone that the record does not know has
// its share among all.
func Of(s *record.ShardTable, id protocol.MachineID, z protocol.Zone) ID {
	h := xxhash.Sum64String(string(id))
	if i, ok := slices.BinarySearch(s.Zones, z); ok {
		return ID(i*s.Slots + int(h%uint64(s.Slots)))
	}
	return ID(h % uint64(len(s.List)))
}

// ZoneOf is the zone of a share.
func ZoneOf(s *record.ShardTable, id ID) protocol.Zone { return s.Zones[int(id)/s.Slots] }

// Copy is a record that can be changed.
func Copy(s *record.ShardTable) *record.ShardTable {
	c := *s
	c.List, c.Away = slices.Clone(s.List), slices.Clone(s.Away)
	return &c
}

// Assign gives a share to a holder, with an epoch above all there were.
func Assign(s *record.ShardTable, id ID, to protocol.LeaseID) {
	s.Epoch++
	s.List[id] = record.ShardAssignment{Holder: to, Since: s.Epoch, Epoch: s.Epoch}
}

// RaiseToken raises a share's epoch; its holder stays.
func RaiseToken(s *record.ShardTable, id ID) {
	s.Epoch++
	s.List[id].Epoch = s.Epoch
}

// RaiseEpochAbove lifts the record above a token that was given out without it.
func RaiseEpochAbove(s *record.ShardTable, t protocol.Term) { s.Epoch = max(s.Epoch, t) }
