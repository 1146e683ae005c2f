package record

import (
	"fmt"
	"strconv"

	"damsonkeel/internal/protocol"
)

// Keys of the records. The records that every controller watches share one prefix. Job
// records and bitmaps are read on demand and have other prefixes.
const (
	// FollowedPrefix is the prefix of the records that every controller watches.
	FollowedPrefix = "c/"
	// ViewKey is the key of the View.
	ViewKey       = "c/view"
	nodePrefix    = "c/node/"
	livePrefix    = "c/live/"
	machinePrefix = "c/mach/"
	blockPrefix   = "c/block/"
	jobPrefix     = "job/"
	bitsPrefix    = "bits/"
)

// NodeKey is the key of a controller's node record, a Node.
func NodeKey(n protocol.NodeName) string { return nodePrefix + string(n) }

// LiveKey is the key of a live job's record, a protocol.Job, which is deleted when the job is
// done or cancelled.
func LiveKey(j protocol.JobID) string { return livePrefix + string(j) }

// JobKey is the key of the JobRecord of a job, live or not. It is never deleted.
func JobKey(j protocol.JobID) string { return jobPrefix + string(j) }

// BlockKey is the key of the Block with a name.
func BlockKey(name string) string { return blockPrefix + name }

// BlockName returns the name of the block with the given number. Numbers start at 1.
func BlockName(n uint64) string { return fmt.Sprintf("%08d", n) }

// BlockNumber parses the number in the name of a block; it returns 0 for a name that is
// not a number.
func BlockNumber(name string) uint64 {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// MachineKey is the key of a single record: a Machine that is stored outside of any block.
func MachineKey(m protocol.MachineID) string { return machinePrefix + string(m) }

// BitmapPrefix is the prefix of the keys of the chunks of a job's bitmap of finished tasks.
func BitmapPrefix(j protocol.JobID) string { return bitsPrefix + string(j) + "/" }

// BitmapChunkKey is the key of the chunk with a number, counted from 0, of a job's bitmap.
func BitmapChunkKey(j protocol.JobID, chunk int) string {
	return fmt.Sprintf("%s%d", BitmapPrefix(j), chunk)
}
