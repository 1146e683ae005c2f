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

// ChunkTasks is the number of tasks that one bitmap record covers. Its 4 KiB of bits are
// well below any limit on the size of values that a job's own record fits into.
const ChunkTasks = 32768

const (
	bitsPerByte = 8
	// chunkBytes is the size of a full chunk in bytes, before base64.
	chunkBytes = ChunkTasks / bitsPerByte
	// initialChunkBytes is the initial capacity, in bytes, of the buffer that a chunk is
	// encoded into.
	initialChunkBytes = 64
)

var (
	errNoChunkNumber = errors.New("key without a valid chunk number")
	errChunkTooLong  = errors.New("more bits than a chunk holds")
)

// BitmapChunk is the record of one chunk of a job's bitmap of finished tasks.
type BitmapChunk struct {
	// Bits has one bit for each task, the lowest bit of the first byte for the first task. It
	// is in base64, since the store accepts no binary values.
	Bits string `cbor:"bits"`
}

// EncodeChunk encodes the chunk with a number, counted from 0, of the bitmap of finished tasks.
// Trailing zero bytes are omitted.
func EncodeChunk(done *bitset.BitSet, chunk int) BitmapChunk {
	bits := make([]byte, 0, initialChunkBytes)
	base := uint(chunk * ChunkTasks)
	for task, ok := done.NextSet(base); ok && task < base+ChunkTasks; task, ok = done.NextSet(task + 1) {
		offset := int(task-base) / bitsPerByte
		for len(bits) <= offset {
			bits = append(bits, 0)
		}
		bits[offset] |= 1 << ((task - base) % bitsPerByte)
	}
	return BitmapChunk{Bits: base64.RawStdEncoding.EncodeToString(bits)}
}

// ChunkNumber parses the chunk number in the key of a bitmap record; ok is false if the key
// has none, or one beyond the last chunk of the largest job.
func ChunkNumber(key string) (chunk int, ok bool) {
	chunk, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return chunk, err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}

// DecodeChunk adds the finished tasks of the chunk stored at key to done. It ignores bits
// beyond tasks, the number of tasks of the job. It returns an error if the key has no valid
// chunk number, or the bits are not valid base64 or longer than a chunk; done is then unchanged.
func DecodeChunk(key string, b BitmapChunk, done *bitset.BitSet, tasks uint32) error {
	chunk, ok := ChunkNumber(key)
	if !ok {
		return fmt.Errorf("bitmap %s: %w", key, errNoChunkNumber)
	}
	bits, err := base64.RawStdEncoding.DecodeString(b.Bits)
	if err != nil {
		return fmt.Errorf("bitmap %s: %w", key, err)
	}
	if len(bits) > chunkBytes {
		return fmt.Errorf("bitmap %s: %w", key, errChunkTooLong)
	}
	for offset, value := range bits {
		for bit := range bitsPerByte {
			task := chunk*ChunkTasks + offset*bitsPerByte + bit
			if value&(1<<bit) != 0 && task < int(tasks) {
				done.Set(uint(task))
			}
		}
	}
	return nil
}
