package record

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// Keys of the records. What every controller follows has one prefix; final
// states of jobs and bitmaps, read when asked for, have others.
const (
	FollowedPrefix = "c/"
	ViewKey        = "c/view"
	nodePrefix     = "c/node/"
	livePrefix     = "c/live/"
	machinePrefix  = "c/mach/"
	blockPrefix    = "c/block/"
	jobPrefix      = "job/"
	bitsPrefix     = "bits/"
)

// NodeKey is a controller's membership, attached to its lease.
func NodeKey(n protocol.NodeName) string { return nodePrefix + string(n) }

// LiveKey is an accepted job that is neither done nor cancelled.
func LiveKey(j protocol.JobID) string { return livePrefix + string(j) }

// JobKey is the state of a job; it is never deleted.
func JobKey(j protocol.JobID) string { return jobPrefix + string(j) }

// BlockKey is the record of several machines' sessions.
func BlockKey(name string) string { return blockPrefix + name }

// BlockName is the name of a block by its number, and BlockNumber the other way
// round; 0 is no block's number.
func BlockName(n uint64) string { return fmt.Sprintf("%08d", n) }

// BlockNumber is the number of a block by its name; 0 if it has none.
func BlockNumber(name string) uint64 {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// MachineKey is a machine's session that may hold tasks, in a record of its own.
func MachineKey(m protocol.MachineID) string { return machinePrefix + string(m) }

// BitmapPrefix is the prefix of the bitmaps of a job's finished tasks.
func BitmapPrefix(j protocol.JobID) string { return bitsPrefix + string(j) + "/" }

// BitmapChunkKey is one chunk of such a bitmap.
func BitmapChunkKey(j protocol.JobID, chunk int) string {
	return fmt.Sprintf("%s%d", BitmapPrefix(j), chunk)
}

// FollowedKey is what a followed key is about; one field is set.
type FollowedKey struct {
	View    bool
	Node    protocol.NodeName
	Job     protocol.JobID
	Machine protocol.MachineID
	Block   string

	ShardTable       bool
	Calendar         bool
	ReservationHolds bool
	Reservation      EntryName
	Window           EntryName

	Configuration      bool
	ConfigurationEntry EntryID
}

// ParseFollowedKey tells what a followed key is about.
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
	if id, ok := entryOf(key); ok {
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

// Layout is how machines' sessions, and who keeps them, are recorded.
type Layout int

// The layouts. Views and nodes that name none are of versions that know only
// the first.
const (
	LayoutSingle Layout = 1 // each in a record of its own
	LayoutBlocks Layout = 2 // several in one record
	LayoutShards Layout = 3 // the same, and shares of the machines have their holders in a record
	// LayoutConfiguration is the same, and all members follow the records of the
	// configuration.
	LayoutConfiguration Layout = 4
	// LatestLayout is the latest of them.
	LatestLayout = LayoutConfiguration
)

// View is who may act in a term: the controllers with their sessions.
type View struct {
	Term    protocol.Term
	Members map[protocol.NodeName]protocol.LeaseID
	// Deaf members act, but workers can't reach them: they keep no machines.
	Deaf []protocol.NodeName
	// Layout is how machines are recorded in this term.
	Layout Layout
}

// viewRecord is a view as it is written.
type viewRecord struct {
	Term    protocol.Term       `cbor:"term"`
	Members any                 `cbor:"members"`
	Who     members             `cbor:"who,omitempty"`
	Deaf    []protocol.NodeName `cbor:"deaf,omitempty"`
	Layout  Layout              `cbor:"layout,omitempty"`
}

type members = map[protocol.NodeName]protocol.LeaseID

// laterMembers stands where versions that know no blocks look for the members.
// They can't read such a view, so none of them ever acts by it: it would take a
// machine recorded in a block for one that was never there.
const laterMembers = "who"

// MarshalCBOR writes a view in the form that fits its layout.
func (v View) MarshalCBOR() ([]byte, error) {
	r := viewRecord{Term: v.Term, Members: v.Members, Deaf: v.Deaf}
	if v.Layout >= LayoutBlocks {
		r.Members, r.Who, r.Layout = laterMembers, v.Members, v.Layout
	}
	return protocol.Encode(r)
}

// UnmarshalCBOR reads a view of either form.
func (v *View) UnmarshalCBOR(b []byte) error {
	r := struct {
		viewRecord
		Members protocol.RawValue `cbor:"members"`
	}{}
	if err := protocol.Decode(b, &r); err != nil {
		return err
	}
	*v = View{Term: r.Term, Members: r.Who, Deaf: r.Deaf, Layout: max(r.Layout, LayoutSingle)}
	if r.Layout >= LayoutBlocks {
		return nil
	}
	return protocol.Decode(r.Members, &v.Members)
}

// Node is a controller's membership record.
type Node struct {
	Session protocol.LeaseID `cbor:"session"`
	Layout  Layout           `cbor:"layout,omitempty"` // the latest it knows
}

// Block is the record of several machines.
type Block struct {
	Machines []BlockEntry `cbor:"machines"`
}

// BlockEntry is one machine's record in a block. Its epoch stands for the
// version that a record of its own would have: another means that everything of
// the one before is gone.
type BlockEntry struct {
	ID    protocol.MachineID `cbor:"id"`
	Epoch protocol.Version   `cbor:"epoch"`
	Machine
}

// Machine is a machine's record: its tasks are of this session, and gone when
// the record changes or goes.
type Machine struct {
	Session protocol.AgentEpoch  `cbor:"session"`
	Address string               `cbor:"address"`
	Type    protocol.MachineType `cbor:"type"`
	Zone    protocol.Zone        `cbor:"zone"`
	Spot    bool                 `cbor:"spot"`
}

// JobRecord is the state of a job as users were told. "live" is any state
// that is not final.
type JobRecord struct {
	State string `cbor:"state"`
	Tasks uint32 `cbor:"tasks"`
}

// States of job records.
const (
	RecordLive      = "live"
	RecordDone      = "done"
	RecordCancelled = "aborted"
)

// ChunkTasks is how many tasks one bitmap record covers: 4 KiB of bits, well
// under any value limit that a job's own record fits in.
const ChunkTasks = 32768

// BitmapChunk is one chunk of a bitmap. Values hold nothing binary, so it is text.
type BitmapChunk struct {
	Bits string `cbor:"bits"`
}

// EncodeChunk writes chunk number chunk of done.
func EncodeChunk(done *bitset.BitSet, chunk int) BitmapChunk {
	out := make([]byte, 0, 64)
	base := uint(chunk * ChunkTasks)
	for i, ok := done.NextSet(base); ok && i < base+ChunkTasks; i, ok = done.NextSet(i + 1) {
		at := int(i-base) / 8
		for len(out) <= at {
			out = append(out, 0)
		}
		out[at] |= 1 << ((i - base) % 8)
	}
	return BitmapChunk{Bits: base64.RawStdEncoding.EncodeToString(out)}
}

// ChunkNumber is the number of the chunk that a key of a bitmap is of.
func ChunkNumber(key string) (chunk int, ok bool) {
	chunk, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return chunk, err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}

// DecodeChunk adds a chunk, read from key, to done.
func DecodeChunk(key string, b BitmapChunk, done *bitset.BitSet, tasks uint32) error {
	chunk, ok := ChunkNumber(key)
	if !ok {
		return fmt.Errorf("bitmap %s: no chunk number", key)
	}
	raw, err := base64.RawStdEncoding.DecodeString(b.Bits)
	if err != nil {
		return fmt.Errorf("bitmap %s: %w", key, err)
	}
	if len(raw) > ChunkTasks/8 {
		return errors.New("bitmap " + key + ": too long")
	}
	for at, v := range raw {
		for bit := range 8 {
			if i := chunk*ChunkTasks + at*8 + bit; v&(1<<bit) != 0 && i < int(tasks) {
				done.Set(uint(i))
			}
		}
	}
	return nil
}
