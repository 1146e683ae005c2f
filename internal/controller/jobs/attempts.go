package jobs

import (
	"math"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// Track notes that an attempt is on a machine.
func (oj *Owned) Track(t *Attempt) {
	on := oj.AttemptsOn[t.Machine]
	if on == nil {
		on = map[protocol.TaskID]*Attempt{}
		oj.AttemptsOn[t.Machine] = on
	}
	on[t.Task] = t
}

// RemoveAttempt forgets an attempt that is proven gone, or not this job's concern.
func (oj *Owned) RemoveAttempt(o *Job, t *Attempt) {
	if o.Placed[t.Task] == t {
		delete(o.Placed, t.Task)
		if !t.Started {
			o.Waiting--
		}
	}
	if t.running {
		o.running--
		t.running = false
	}
	oj.ownedChanges.Touch(o.ID)
	if oj.AttemptsOn[t.Machine][t.Task] == t {
		delete(oj.AttemptsOn[t.Machine], t.Task)
	}
}

// attemptLost makes a task whose attempt is proven gone placeable again.
func (oj *Owned) attemptLost(o *Job, t *Attempt) {
	if t.Started {
		o.retry.Set(uint(t.Task.Index))
	}
	oj.RemoveAttempt(o, t)
	// Of a job just taken over, an attempt that is gone proves nothing of the
	// others: a later one may run on a machine not heard yet. What is missing
	// when all are heard becomes placeable then.
	if !o.Unverified && !o.Done.Test(uint(t.Task.Index)) {
		o.Pending.Set(uint(t.Task.Index))
	}
	oj.table.PlacementDue = true
	if o.Kind == protocol.KindGang {
		// The rest of the attempt can't go on: its next one starts when all
		// of this one are gone.
		for _, other := range ordered.Tasks(o.Placed) {
			oj.SendStop(other, true, clusterstate.GraceS(&o.Job))
		}
	}
}

// SendStop asks the machine's keeper to end an attempt.
func (oj *Owned) SendStop(t *Attempt, kill bool, grace float64) {
	if t.Stopping && kill && grace > 0 {
		return
	}
	t.Stopping, t.ReleaseAsked = t.Stopping || kill, !kill
	oj.Send(oj.DispatcherOf(t.Machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: message.TaskRef{Task: t.Task, Attempt: t.Number, Machine: t.Machine}, Kill: kill, GraceS: grace,
	}})
}

// MachineLost: everything placed by the machine's present record is gone.
func (oj *Owned) MachineLost(m *waittable.Machine) {
	delete(oj.AwaitedInventories, m.ID)
	oj.clearEndedAttempts(m.ID, math.MaxUint64)
	for _, t := range ordered.Tasks(oj.AttemptsOn[m.ID]) {
		if o := oj.ByID[t.Task.Job]; o != nil && o.Placed[t.Task] == t {
			oj.attemptLost(o, t)
		}
	}
	delete(oj.AttemptsOn, m.ID)
	oj.table.PlacementDue = true
	oj.resolveUnverified()
}

// clearEndedAttempts: a machine holds no attempts of jobs that are over, of those placed up
// to a number.
func (oj *Owned) clearEndedAttempts(id protocol.MachineID, upto uint64) {
	for ref, t := range oj.EndedAttempts {
		if ref.Machine == id && t.placeNumber <= upto {
			delete(oj.EndedAttempts, ref)
			oj.table.PlacementDue = true
		}
	}
}

// refillable reports whether a task of a gang that its keeper has released, never
// sent, can be placed again under the same attempt: while nothing of the gang is
// being stopped, as the others only wait for it.
func (oj *Owned) refillable(o *Job, t *Attempt) bool {
	if !o.IsGang() || o.Unverified || t.Started || t.ReleaseAsked || len(o.Placed) < 2 {
		return false
	}
	for _, other := range o.Placed {
		if other.Stopping || other.Number != t.Number {
			return false
		}
	}
	return true
}
