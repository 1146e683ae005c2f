package record

import (
	"testing"

	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
	"pgregory.net/rapid"
)

// TestBitmapChunksRoundTrip: the bitmap of a job of any size decodes from its chunks, and
// each encoded chunk is at most 6 KiB, well below the smallest known limit on the size of
// values. A chunk beyond the largest job and invalid base64 are rejected.
func TestBitmapChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.Uint32Range(1, protocol.MaxTasks).Draw(t, "tasks")
		done := bitset.New(uint(tasks))
		for _, i := range rapid.SliceOfN(rapid.Uint32Range(0, tasks-1), 0, 50).Draw(t, "done") {
			done.Set(uint(i))
		}
		if rapid.Bool().Draw(t, "all") {
			done.FlipRange(0, uint(tasks))
		}
		decoded := bitset.New(uint(tasks))
		for chunk := 0; chunk*ChunkTasks < int(tasks); chunk++ {
			b := EncodeChunk(done, chunk)
			if len(b.Bits) > 6<<10 {
				t.Fatalf("chunk of %d bytes, want at most 6 KiB", len(b.Bits))
			}
			if err := DecodeChunk(BitmapChunkKey("job-1", chunk), b, decoded, tasks); err != nil {
				t.Fatal(err)
			}
		}
		if decoded.Count() != done.Count() || !decoded.IsSuperSet(done) {
			t.Fatalf("%d bits after decoding, want the same %d bits", decoded.Count(), done.Count())
		}
	})
	if err := DecodeChunk("bits/job-1/9", BitmapChunk{"//8"}, bitset.New(1), 1); err == nil {
		t.Error("a chunk beyond the largest job was accepted")
	}
	if err := DecodeChunk("bits/job-1/0", BitmapChunk{"not base64!"}, bitset.New(1), 1); err == nil {
		t.Error("invalid base64 was accepted")
	}
}
