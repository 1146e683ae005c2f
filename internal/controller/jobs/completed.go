package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/bits-and-blooms/bitset"
)

// sendCompletedTasks sends a job's next owner the tasks that finished under this owner and
// are not in the records yet. Their workers have been asked to forget them, so without this
// message the tasks would run again.
func (o *Owned) sendCompletedTasks(job *Job) {
	completed := message.CompletedTasks{Job: job.ID, Chunks: map[int]record.BitmapChunk{}}
	for chunk := range job.bitmap.dirty {
		completed.Chunks[chunk] = record.EncodeChunk(job.Done, chunk)
	}
	for _, chunk := range job.bitmap.inFlight {
		completed.Chunks[chunk] = record.EncodeChunk(job.Done, chunk)
	}
	if len(completed.Chunks) > 0 {
		o.Send(o.OwnerOf(job.LiveJob), message.PeerMessage{Done: &completed})
	}
}

// MergeCompletedTasks marks the tasks as done that a job's previous owner has reported as
// done, and kills their present attempts.
func (o *Owned) MergeCompletedTasks(completed *message.CompletedTasks) {
	job := o.ByID[completed.Job]
	if job == nil {
		return
	}
	done := bitset.New(uint(job.Tasks))
	for chunk, bitmap := range ordered.ByKey(completed.Chunks) {
		if err := record.DecodeChunk(record.BitmapChunkKey(completed.Job, chunk), bitmap, done, job.Tasks); err != nil {
			o.Log.Error("decoding a peer's bitmap failed", "job", completed.Job, "err", err)
		}
	}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		o.markTaskDone(job, uint32(i))
		if attempt := job.Placed[protocol.TaskID{Job: job.ID, Index: uint32(i)}]; attempt != nil {
			o.SendStop(attempt, true, 0)
		}
	}
	o.finishIfDone(job)
}
