package record

import (
	"strings"

	"damsonkeel/internal/protocol"
)

// FollowedKey is a parsed key under FollowedPrefix, which every controller watches. Exactly
// one field is set: true for a key without a name, else the name or ID in the key.
type FollowedKey struct {
	View    bool
	Node    protocol.NodeName
	Job     protocol.JobID     // of a live job's record
	Machine protocol.MachineID // of a single record
	Block   string

	ShardTable       bool
	Calendar         bool
	ReservationHolds bool
	Reservation      EntryName
	Window           EntryName

	Configuration      bool
	ConfigurationEntry EntryID
}

// ParseFollowedKey parses a key under FollowedPrefix. It returns false for a kind of key
// that this version does not support.
func ParseFollowedKey(key string) (FollowedKey, bool) {
	if key == ViewKey {
		return FollowedKey{View: true}, true
	}
	if key == ShardTableKey {
		return FollowedKey{ShardTable: true}, true
	}
	if n, ok := strings.CutPrefix(key, nodePrefix); ok {
		return FollowedKey{Node: protocol.NodeName(n)}, true
	}
	if j, ok := strings.CutPrefix(key, livePrefix); ok {
		return FollowedKey{Job: protocol.JobID(j)}, true
	}
	if m, ok := strings.CutPrefix(key, machinePrefix); ok {
		return FollowedKey{Machine: protocol.MachineID(m)}, true
	}
	if n, ok := strings.CutPrefix(key, blockPrefix); ok {
		return FollowedKey{Block: n}, true
	}
	if key == ConfigurationKey {
		return FollowedKey{Configuration: true}, true
	}
	if id, ok := parseConfigurationEntryKey(key); ok {
		return FollowedKey{ConfigurationEntry: id}, true
	}
	if key == ReservationHoldsKey {
		return FollowedKey{ReservationHolds: true}, true
	}
	if key == CalendarKey {
		return FollowedKey{Calendar: true}, true
	}
	if n, ok := strings.CutPrefix(key, reservationPrefix); ok {
		return FollowedKey{Reservation: EntryName(n)}, true
	}
	if n, ok := strings.CutPrefix(key, windowPrefix); ok {
		return FollowedKey{Window: EntryName(n)}, true
	}
	return FollowedKey{}, false
}
