package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// QueuePlacements queues the placements of an owner's message, and records the message's
// number if the owner is a member. A placement that can't be queued is released to the
// owner at once.
func (d *Dispatcher) QueuePlacements(from protocol.NodeName, place *message.Place) {
	if _, member := d.View.Members[from]; member {
		d.handledPlaces[from] = place.Number
	}
	for i := range place.Tasks {
		d.placeTask(from, place, &place.Tasks[i])
	}
}

// placeTask queues one placement and schedules direct commands, or refuses it if its
// machine is not held here or does not accept it. For a task of a gang it also preempts
// other attempts if necessary.
func (d *Dispatcher) placeTask(from protocol.NodeName, place *message.Place, placement *message.Placement) {
	q := d.queues.get(placement.Machine)
	if q == nil {
		d.refusePlacement(from, placement)
		return
	}
	e := newWaitingEntry(from, place, placement, d.Now)
	if !q.acceptsPlacement(place, placement, e) {
		q.markChanged() // the owner waits for the next published state of the machine
		d.refusePlacement(from, placement)
		return
	}
	if q.entries[placement.Task] != nil {
		return // already queued
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

// acceptsPlacement reports whether a placement may be queued or is already queued: its job
// has not ended, the owner placed it by the current term, shard epoch and machine record,
// the machine may start attempts, no other attempt of the task is here, and a task of a
// gang fits next to the attempts that can't be preempted for it or has a reservation.
func (q *queue) acceptsPlacement(place *message.Place, placement *message.Placement, e *entry) bool {
	if q.HasEnded(placement.Task.Job) || !q.isCurrentPlacement(place, placement) {
		return false
	}
	if q.refusesStarts() || q.handingOver() || q.inCordonedPlace() || q.isOutdated(e) {
		return false
	}
	if queued := q.entries[placement.Task]; queued != nil {
		return queued.attempt == placement.Attempt
	}
	// If resources are in use by attempts that can't be stopped, the owner of the gang
	// placed the task before it received that state. Queued here, the task would keep the
	// machines of the whole gang idle.
	return !e.inGang || q.nonPreemptibleFree(e.level).Covers(e.need) || q.hasReservation(e)
}

// isCurrentPlacement reports whether the owner placed the task by the current term, shard
// epoch and machine record. A placement that was delayed by the network, while the machine
// or the job moved to another controller and back, must not start anything.
func (q *queue) isCurrentPlacement(place *message.Place, placement *message.Placement) bool {
	return place.Term == q.View.Term && placement.Tenure == q.ShardEpoch(q.id, q.zone) && q.recordVersion != 0 && q.recordVersion == placement.Epoch
}

// refusePlacement notifies the owner that a placement was released without having been
// queued.
func (d *Dispatcher) refusePlacement(from protocol.NodeName, placement *message.Placement) {
	d.Send(from, message.PeerMessage{Event: &message.TaskEvent{
		TaskRef: message.TaskRef{Task: placement.Task, Attempt: placement.Attempt, Machine: placement.Machine},
		What:    message.EventReleased,
	}})
}

// StopAttempt releases an attempt that was never sent. An attempt that was sent is killed if the
// message asks for that.
func (d *Dispatcher) StopAttempt(stop message.Stop) {
	if d.divertIfNotHeld(stop.Machine, message.PeerMessage{Stop: &stop}) {
		return
	}
	q := d.queues.get(stop.Machine)
	if q == nil {
		return
	}
	e := q.entries[stop.Task]
	if e == nil || e.attempt != stop.Attempt {
		return
	}
	if !e.sent && !e.present {
		q.release(e)
		return
	}
	if stop.Kill && !e.ended() {
		e.kill, e.graceSeconds = true, stop.GraceS
		q.markChanged()
		q.requestDirect()
	}
}

// ForgetAttempt allows the worker to forget an ended attempt whose end the owner has processed.
func (d *Dispatcher) ForgetAttempt(ref message.TaskRef) {
	if d.divertIfNotHeld(ref.Machine, message.PeerMessage{Forget: &ref}) {
		return
	}
	if q := d.queues.get(ref.Machine); q != nil {
		if e := q.entries[ref.Task]; e != nil && e.attempt == ref.Attempt && e.ended() {
			e.forget = true
		}
	}
}

// DrainMachine has a machine accept no further starts and placements, and releases its
// waiting attempts to their owners. Running attempts continue.
func (d *Dispatcher) DrainMachine(id protocol.MachineID) {
	if d.divertIfNotHeld(id, message.PeerMessage{Drain: &id}) {
		return
	}
	if q := d.queues.get(id); q != nil && !q.draining {
		q.draining = true
		q.markChanged()
		q.releaseWaiting()
	}
}
