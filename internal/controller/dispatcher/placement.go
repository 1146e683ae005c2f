package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// Place queues placements. One that can't be queued is released at once.
func (d *Dispatcher) Place(from protocol.NodeName, p *message.Place) {
	if _, member := d.View.Members[from]; member {
		d.handledPlaces[from] = p.Number
	}
	for i := range p.Tasks {
		d.placeTask(from, p, &p.Tasks[i])
	}
}

// placeTask queues one placement, or refuses it.
func (d *Dispatcher) placeTask(from protocol.NodeName, p *message.Place, t *message.Placement) {
	q := d.queues.get(t.Machine)
	if q == nil {
		d.refusePlacement(from, t)
		return
	}
	e := waitingEntry(from, p, t, d.Now)
	if !q.acceptsPlacement(p, t, e) {
		q.touch() // the owner waits for the machine's next state
		d.refusePlacement(from, t)
		return
	}
	if q.entries[t.Task] != nil {
		return // queued already
	}
	d.lastArrival++
	e.arrival = d.lastArrival
	q.addEntry(e)
	q.enqueue(e)
	q.requestDirect()
	if e.inGang {
		q.preempt()
	}
}

// acceptsPlacement reports whether a placement may be queued, or is queued already.
func (q *queue) acceptsPlacement(p *message.Place, t *message.Placement, e *entry) bool {
	if q.HasEnded(t.Task.Job) || !q.isCurrentPlacement(p, t) {
		return false
	}
	if q.refusesStarts() || q.handingOver() || q.closed() || q.outdated(e) {
		return false
	}
	if queued := q.entries[t.Task]; queued != nil {
		return queued.attempt == t.Attempt
	}
	// If something is in the way that can't be stopped, the owner of a gang did not know
	// of it yet. Waiting here would keep the machines of the whole gang idle.
	return !e.inGang || q.nonPreemptibleFree(e.level).Covers(e.need) || q.hasReservation(e)
}

// isCurrentPlacement reports whether the term, the shard epoch and the machine's record
// are those the owner placed by: a placement delayed by the network while the machine or
// the job went elsewhere and came back must not start anything.
func (q *queue) isCurrentPlacement(p *message.Place, t *message.Placement) bool {
	return p.Term == q.View.Term && t.Tenure == q.ShardEpoch(q.id, q.zone) && q.recordVersion != 0 && q.recordVersion == t.Epoch
}

// refusePlacement releases a placement that was not queued.
func (d *Dispatcher) refusePlacement(from protocol.NodeName, t *message.Placement) {
	d.Send(from, message.PeerMessage{Event: &message.TaskEvent{
		TaskRef: message.TaskRef{Task: t.Task, Attempt: t.Attempt, Machine: t.Machine},
		What:    message.EventReleased,
	}})
}

// Stop releases an attempt never sent, or has it killed.
func (d *Dispatcher) Stop(s message.Stop) {
	if d.divertIfNotHeld(s.Machine, message.PeerMessage{Stop: &s}) {
		return
	}
	q := d.queues.get(s.Machine)
	if q == nil {
		return
	}
	e := q.entries[s.Task]
	if e == nil || e.attempt != s.Attempt {
		return
	}
	if !e.sent && !e.present {
		q.release(e)
		return
	}
	if s.Kill && !e.ended() {
		e.kill, e.graceSeconds = true, s.GraceS
		q.touch()
		q.requestDirect()
	}
}

// Forget has the worker forget an ended attempt that its owner has dealt with.
func (d *Dispatcher) Forget(r message.TaskRef) {
	if d.divertIfNotHeld(r.Machine, message.PeerMessage{Forget: &r}) {
		return
	}
	if q := d.queues.get(r.Machine); q != nil {
		if e := q.entries[r.Task]; e != nil && e.attempt == r.Attempt && e.ended() {
			e.forget = true
		}
	}
}

// Drain has nothing more started on a machine, and gives what waits there back to its
// owners.
func (d *Dispatcher) Drain(id protocol.MachineID) {
	if d.divertIfNotHeld(id, message.PeerMessage{Drain: &id}) {
		return
	}
	if q := d.queues.get(id); q != nil && !q.draining {
		q.draining = true
		q.touch()
		q.releaseWaiting()
	}
}
