package dispatcher

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// free is what no attempt takes that may be on the machine.
func (q *queue) free() resource.Amount {
	f := resource.Capacity(q.info)
	for _, e := range q.entries {
		if e.sent && !e.ended() {
			f = f.Minus(e.need)
		}
	}
	return f
}

// freeSoon is what is free once everything is gone that is on its way out already.
func (q *queue) freeSoon() resource.Amount {
	f := q.free()
	for _, e := range q.entries {
		if e.present && !e.ended() && e.kill {
			f = f.Plus(e.need)
		}
	}
	return f
}

// deferred is what the attempts take that are on the machine or in its queue.
func (q *queue) held() resource.Uses {
	var u resource.Uses
	for _, e := range q.entries {
		if !e.ended() && !e.kill {
			u.Add(e.level, e.need)
		}
	}
	return u
}

// nonPreemptibleFree is what a task of a level finds once all that may be stopped for it
// is gone.
func (q *queue) nonPreemptibleFree(l resource.Level) resource.Amount {
	held := q.held()
	return resource.Capacity(q.info).Minus(held.NonPreemptible(l))
}

// stateOfQueue is what others are told of a machine, reckoned once after each change.
func (k *Dispatcher) stateOfQueue(q *queue) message.MachineState {
	if m := k.Records[q.id]; m == nil || q.recordVersion != m.Epoch {
		return message.MachineState{Machine: q.id}
	}
	k.computeState(q)
	s := q.published
	s.Runs = q.runs
	if q.inventoryKnown && len(q.entries) == 0 {
		s.IdleS = k.Since(q.idleSince).Seconds()
	}
	return s
}

// computeState goes through a queue once after each change, for what others are
// publishedValid of it and for whether anything there might be stopped for something else.
func (k *Dispatcher) computeState(q *queue) {
	if q.publishedValid {
		return
	}
	s := message.MachineState{
		Machine: q.id, Epoch: q.recordVersion, Images: slices.Clone(q.images),
		Heard: q.inventoryKnown, Held: len(q.entries), Queued: len(q.waiting), Suspect: q.quarantined, Draining: q.draining,
		Silence: q.silence, Noticed: q.noticeSeconds != nil,
		Closed: q.draining || q.quarantined || q.noticeSeconds != nil || q.silence == message.SilenceLong || k.closed(q),
	}
	free, held := resource.Capacity(q.info), resource.Uses{}
	least, most := resource.Ranks, -1 // ranks of what may be stopped, and of what waits
	borrows, guaranteed := false, false
	for _, e := range q.entries {
		if e.ended() {
			continue
		}
		s.Wait += e.estimate * e.need.CPUs
		if e.sent {
			free = free.Minus(e.need)
		} else if !e.present {
			most = max(most, e.level.Rank())
			guaranteed = guaranteed || e.level.Guaranteed()
			for len(s.Queue) <= int(e.level) {
				s.Queue = append(s.Queue, 0)
			}
			s.Queue[e.level] += e.estimate * e.need.CPUs
		}
		if e.state == protocol.TaskRunning && e.estimate > 0 {
			s.Ending.CPUs += e.need.CPUs / e.estimate
			s.Ending.GPUs += e.need.GPUs / e.estimate
			s.Ending.GB += e.need.GB / e.estimate
		}
		if e.kill {
			continue
		}
		held.Add(e.level, e.need)
		if e.present {
			least = min(least, e.level.Rank())
			borrows = borrows || !e.level.Guaranteed()
		}
	}
	free, s.Wait = free.Round(), resource.Round(s.Wait)
	for i := range s.Queue {
		s.Queue[i] = resource.Round(s.Queue[i])
	}
	for i := range held {
		held[i] = held[i].Round()
	}
	s.Ending.CPUs, s.Ending.GPUs, s.Ending.GB = resource.Round(s.Ending.CPUs), resource.Round(s.Ending.GPUs), resource.Round(s.Ending.GB)
	s.FreeCPUs, s.FreeGPUs, s.FreeGB, s.Uses = free.CPUs, free.GPUs, free.GB, message.LevelUses(&held)
	q.runs = k.runsOf(q)
	q.published, q.publishedValid = s, true
	q.preemptible = least < most || guaranteed && borrows
}

// healthySilence is the longest a healthy worker stays quiet.
func healthySilence(reportS float64) time.Duration {
	return time.Duration(1.25*reportS*float64(time.Second)) + time.Second
}

// silenceAfter is how a quiet of so long looks.
func (k *Dispatcher) silenceAfter(d time.Duration) message.Silence {
	switch most := healthySilence(k.Settings.Site.Workers.ReportS); {
	case d > 2*most:
		return message.SilenceLong
	case d > most:
		return message.SilenceSome
	}
	return message.SilenceNone
}

// touch notes that what others are told of a machine has changed. What makes
// a keeper tell an owner anything of an attempt does so, too: the owner may
// have held something against the machine until its keeper's next word.
func (k *Dispatcher) touch(q *queue) {
	q.publishedValid = false
	k.changes.Touch(q.id)
}
