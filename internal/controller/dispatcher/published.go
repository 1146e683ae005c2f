package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// free is what no attempt takes that may be on the machine.
func (q *queue) free() resource.Amount {
	free := resource.Capacity(q.machineType)
	for _, e := range q.entries {
		if e.sent && !e.ended() {
			free = free.Minus(e.need)
		}
	}
	return free
}

// freeAfterStops is what is free once everything has ended that is being stopped.
func (q *queue) freeAfterStops() resource.Amount {
	free := q.free()
	for _, e := range q.entries {
		if e.present && !e.ended() && e.kill {
			free = free.Plus(e.need)
		}
	}
	return free
}

// nonPreemptibleFree is what a task of a level finds once all has ended that may be
// stopped for it.
func (q *queue) nonPreemptibleFree(level resource.Level) resource.Amount {
	var uses resource.Uses
	for _, e := range q.entries {
		if !e.ended() && !e.kill {
			uses.Add(e.level, e.need)
		}
	}
	return resource.Capacity(q.machineType).Minus(uses.NonPreemptible(level))
}

// touch marks the machine's published state as changed. Whatever makes a dispatcher
// notify an owner of an attempt does so, too: the owner may have counted something
// against the machine until the next state it receives.
func (q *queue) touch() {
	q.publishedValid = false
	q.changes.Touch(q.id)
}

// publishedState is what peers are sent of the machine.
func (q *queue) publishedState() message.MachineState {
	if m := q.Records[q.id]; m == nil || q.recordVersion != m.Epoch {
		return message.MachineState{Machine: q.id}
	}
	q.computeState()
	state := q.published
	state.Runs = q.runs
	if q.inventoryKnown && len(q.entries) == 0 {
		state.IdleS = q.Since(q.idleSince).Seconds()
	}
	return state
}

// computeState goes through the queue once after each change, for its published state and
// for whether anything there might be stopped for something else.
func (q *queue) computeState() {
	if q.publishedValid {
		return
	}
	summary := newStateSummary(q)
	for _, e := range q.entries {
		if !e.ended() {
			summary.add(e)
		}
	}
	q.runs = q.reservationRuns()
	summary.finish()
	q.published, q.publishedValid = summary.state, true
	q.preemptible = summary.preemptible()
}

// stateSummary adds up the attempts of a queue for the machine's published state.
type stateSummary struct {
	state message.MachineState
	free  resource.Amount
	uses  resource.Uses
	// lowestPresent is the lowest rank of what is on the machine, highestWaiting the
	// highest of what waits for it.
	lowestPresent, highestWaiting int
	borrows                       bool // something present is beyond its team's guarantee
	guaranteedWaits               bool // something that waits is within its team's guarantee
}

func newStateSummary(q *queue) stateSummary {
	return stateSummary{
		state: message.MachineState{
			Machine:  q.id,
			Epoch:    q.recordVersion,
			Images:   slices.Clone(q.images),
			Heard:    q.inventoryKnown,
			Held:     len(q.entries),
			Queued:   len(q.waiting),
			Suspect:  q.quarantine.active,
			Draining: q.draining,
			Silence:  q.silence,
			Noticed:  q.noticeSeconds != nil,
			Closed:   q.refusesStarts() || q.silence == message.SilenceLong || q.closed(),
		},
		free:           resource.Capacity(q.machineType),
		lowestPresent:  resource.Ranks,
		highestWaiting: -1,
	}
}

// add counts an attempt that has not ended.
func (s *stateSummary) add(e *entry) {
	s.state.Wait += e.estimate * e.need.CPUs
	if e.sent {
		s.free = s.free.Minus(e.need)
	} else if !e.present {
		s.addWaiting(e)
	}
	if e.state == protocol.TaskRunning && e.estimate > 0 {
		s.state.Ending.CPUs += e.need.CPUs / e.estimate
		s.state.Ending.GPUs += e.need.GPUs / e.estimate
		s.state.Ending.GB += e.need.GB / e.estimate
	}
	if e.kill {
		return
	}
	s.uses.Add(e.level, e.need)
	if e.present {
		s.lowestPresent = min(s.lowestPresent, e.level.Rank())
		s.borrows = s.borrows || !e.level.Guaranteed()
	}
}

func (s *stateSummary) addWaiting(e *entry) {
	s.highestWaiting = max(s.highestWaiting, e.level.Rank())
	s.guaranteedWaits = s.guaranteedWaits || e.level.Guaranteed()
	for len(s.state.Queue) <= int(e.level) {
		s.state.Queue = append(s.state.Queue, 0)
	}
	s.state.Queue[e.level] += e.estimate * e.need.CPUs
}

// finish rounds the sums, which were added up in no order, and completes the state.
func (s *stateSummary) finish() {
	state := &s.state
	free := s.free.Round()
	state.Wait = resource.Round(state.Wait)
	for i := range state.Queue {
		state.Queue[i] = resource.Round(state.Queue[i])
	}
	for i := range s.uses {
		s.uses[i] = s.uses[i].Round()
	}
	state.Ending.CPUs = resource.Round(state.Ending.CPUs)
	state.Ending.GPUs = resource.Round(state.Ending.GPUs)
	state.Ending.GB = resource.Round(state.Ending.GB)
	state.FreeCPUs, state.FreeGPUs, state.FreeGB = free.CPUs, free.GPUs, free.GB
	state.Uses = message.LevelUses(&s.uses)
}

// preemptible reports whether something present might be stopped for something that waits.
func (s *stateSummary) preemptible() bool {
	return s.lowestPresent < s.highestWaiting || s.guaranteedWaits && s.borrows
}
