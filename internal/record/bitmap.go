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

// ChunkTasks is how many tasks one bitmap record covers: 4 KiB of bits, well below any
// limit of values that a job's own record fits into.
const ChunkTasks = 32768

const (
	bitsPerByte = 8
	// chunkBytes is the size of a chunk with all its bits.
	chunkBytes = ChunkTasks / bitsPerByte
	// chunkCapacity is the initial capacity for the bytes of a chunk.
	chunkCapacity = 64
)

var (
	errNoChunkNumber = errors.New("no chunk number")
	errChunkTooLong  = errors.New("too long")
)

// BitmapChunk is one chunk of a bitmap of finished tasks.
type BitmapChunk struct {
	Bits string `cbor:"bits"` // in base64: the store takes no binary values
}

// EncodeChunk encodes one chunk of the finished tasks.
func EncodeChunk(done *bitset.BitSet, chunk int) BitmapChunk {
	bits := make([]byte, 0, chunkCapacity)
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

// ChunkNumber parses the number of the chunk out of the key of a bitmap record.
func ChunkNumber(key string) (chunk int, ok bool) {
	chunk, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return chunk, err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}

// DecodeChunk adds the finished tasks of a chunk, read from key, to done.
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
