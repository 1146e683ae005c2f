package coordination

import (
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// free is what no attempt takes that may be on the machine.
func (q *queue) free() resources {
	f := capacity(q.info)
	for _, e := range q.entries {
		if e.sent && !e.ended() {
			f = f.minus(e.need)
		}
	}
	return f
}

// held is what the attempts take that are on the machine or in its queue.
func (q *queue) held() uses {
	var u uses
	for _, e := range q.entries {
		if !e.ended() && !e.kill {
			u.add(e.level, e.need)
		}
	}
	return u
}

// ending is what comes free each second, on average, as tasks end.
func (q *queue) ending() Use {
	var u Use
	for _, e := range q.entries {
		if e.state == protocol.TaskRunning && e.estimate > 0 {
			u.CPUs += e.need.cpus / e.estimate
			u.GPUs += e.need.gpus / e.estimate
			u.GB += e.need.gb / e.estimate
		}
	}
	return u
}

// wait is the sum of the estimates of all that is queued or runs here, each
// weighed by the processors the task takes.
func (q *queue) wait() float64 {
	var w float64
	for _, e := range q.entries {
		if !e.ended() {
			w += e.estimate * e.need.cpus
		}
	}
	return w
}

// waits is the part of the wait that was never sent, by level.
func (q *queue) waits() []float64 {
	var by []float64
	for _, e := range q.waiting {
		for len(by) <= int(e.level) {
			by = append(by, 0)
		}
		by[e.level] += e.estimate * e.need.cpus
	}
	return by
}

// state is what others are told of a machine.
func (c *Core) state(q *queue) MachineState {
	f := q.free()
	held := q.held()
	s := MachineState{
		Machine: q.id, Epoch: q.epoch, Wait: q.wait(), Queue: q.waits(), FreeCPUs: f.cpus, FreeGPUs: f.gpus, FreeGB: f.gb,
		Images: slices.Clone(q.images), Uses: held.list(), Ending: q.ending(),
		Heard: q.known, Held: len(q.entries), Queued: len(q.waiting), Suspect: q.suspect, Draining: q.draining,
		SilentS: c.since(q.lastAnswer).Seconds(), Noticed: q.notice != nil,
		Closed: q.draining || q.suspect || q.notice != nil || c.since(q.lastAnswer) > 2*silence(c.settings.Site.Workers.ReportS),
	}
	if q.known && len(q.entries) == 0 {
		s.IdleS = c.since(q.idleSince).Seconds()
	}
	return s
}

// silence is the longest a healthy worker stays quiet.
func silence(reportS float64) time.Duration {
	return time.Duration(1.25*reportS*float64(time.Second)) + time.Second
}
