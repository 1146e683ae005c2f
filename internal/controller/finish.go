package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func (c *Core) markDone(o *ownedJob, i uint32) {
	o.pending.Clear(uint(i))
	if o.done.Test(uint(i)) {
		return
	}
	o.done.Set(uint(i))
	o.nDone++
	c.ownedChanged.Touch(o.ID)
	o.dirty[int(i)/record.ChunkTasks] = true
	c.sound(o)
}

// checkDone has a job's end written once all its tasks are done. It is told
// to nobody before that is durable.
func (c *Core) checkDone(o *ownedJob) {
	if !o.loaded || o.nDone < o.Tasks || o.finish {
		return
	}
	o.finish = true
	c.writeFinish(o)
}

func (c *Core) writeFinish(o *ownedJob) {
	if o.ending || !c.Acting() {
		return
	}
	o.ending = true
	txn := protocol.Txn{
		If: []protocol.Condition{{Key: record.LiveKey(o.ID), Version: o.Version}, {Key: record.JobKey(o.ID), Version: o.Version}},
		Then: []protocol.Change{
			{Put: record.JobKey(o.ID), Value: record.JobRecord{State: record.RecordDone, Tasks: o.Tasks}},
			{Delete: record.LiveKey(o.ID)},
		},
	}
	for chunk := range ordered.Of(o.stored) { // a short job has none: what is not there costs a change all the same
		txn.Then = append(txn.Then, protocol.Change{Delete: record.BitsKey(o.ID, chunk)})
	}
	c.Do(message.Commit{Tag: finishTag{o.ID}, Txn: txn})
}

func (c *Core) finishDone(tag finishTag, out message.Outcome) {
	o := c.owner.jobs[tag.job]
	if o == nil {
		return
	}
	o.ending = out == message.OutcomeDone // otherwise again at a later tick; a conflict shows in the records
}

// flushBits writes the bitmaps that changed, a few at a time.
func (c *Core) flushBits() {
	if !c.Acting() {
		return
	}
	n := 0
	for _, o := range ordered.Of(c.owner.jobs) {
		if len(o.dirty) == 0 || o.writing || o.finish || !o.loaded || o.reread {
			continue
		}
		if n++; n > c.Settings.Site.State.TxnOps {
			return
		}
		tag := bitsTag{job: o.ID}
		txn := protocol.Txn{If: []protocol.Condition{
			{Key: record.ViewKey, Version: c.ViewVersion}, // a former owner writes nothing late
			{Key: record.LiveKey(o.ID), Version: o.Version},
		}}
		for chunk := range ordered.Of(o.dirty) {
			tag.chunks = append(tag.chunks, chunk)
			// On its version: a write without an answer may be carried out after the
			// next one, and would take back the ends that only that one has.
			key, have := record.BitsKey(o.ID, chunk), o.stored[chunk]
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: have})
			o.stored[chunk] = have // perhaps in the records from now on
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: record.EncodeChunk(o.done, chunk)})
		}
		clear(o.dirty)
		o.writing, o.underWay = true, tag.chunks
		c.Do(message.Commit{Tag: tag, Txn: txn})
	}
}

func (c *Core) bitsDone(tag bitsTag, out message.Outcome, at protocol.Revision) {
	o := c.owner.jobs[tag.job]
	if o == nil {
		return
	}
	o.writing, o.underWay = false, nil
	for _, chunk := range tag.chunks {
		if out == message.OutcomeDone {
			o.stored[chunk] = protocol.Version(at)
		} else {
			o.dirty[chunk] = true
		}
	}
	o.reread = out == message.OutcomeUnknown || out == message.OutcomeFailed
}
