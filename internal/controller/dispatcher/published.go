package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// free returns the resources of the machine that are not used by attempts that are or may
// be on it: all that were sent and have not ended.
func (q *queue) free() resource.Amount {
	free := resource.Capacity(q.machineType)
	for _, e := range q.entries {
		if e.sent && !e.ended() {
			free = free.Minus(e.need)
		}
	}
	return free
}

// freeAfterStops returns the resources that are free once all attempts that are being
// stopped have ended.
func (q *queue) freeAfterStops() resource.Amount {
	free := q.free()
	for _, e := range q.entries {
		if e.present && !e.ended() && e.kill {
			free = free.Plus(e.need)
		}
	}
	return free
}

// nonPreemptibleFree returns the resources that are free for a task of a level once all
// attempts of lower levels, which may be stopped for it, and those that are being killed
// have ended. Waiting attempts count as if they used their resources.
func (q *queue) nonPreemptibleFree(level resource.Level) resource.Amount {
	var uses resource.Uses
	for _, e := range q.entries {
		if !e.ended() && !e.kill {
			uses.Add(e.level, e.need)
		}
	}
	return resource.Capacity(q.machineType).Minus(uses.NonPreemptible(level))
}

// markChanged has the machine's state computed anew and sent to peers. Every event that
// makes a dispatcher notify the owner of an attempt must mark it, too: the owner may count
// an amount against the machine until it receives the next state.
func (q *queue) markChanged() {
	q.publishedValid = false
	q.changes.Touch(q.id)
}

// publishedState returns the state of the machine that is sent to peers. If the machine's
// present agent epoch is not registered, only its name is set.
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

// computeState computes, once after each change, the published state and whether any
// attempt in the queue might be preempted for a waiting one.
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

// stateSummary sums up the attempts of a queue for the machine's published state.
type stateSummary struct {
	state message.MachineState
	free  resource.Amount
	uses  resource.Uses
	// lowestPresentRank is the lowest rank of the attempts on the machine,
	// highestWaitingRank the highest rank of the attempts that wait for it.
	lowestPresentRank, highestWaitingRank int
	exceedsGuarantee                      bool // an attempt on the machine is beyond its team's guarantee
	guaranteedWaiting                     bool // a waiting attempt is within its team's guarantee
}

// newStateSummary returns the state of the machine itself, to which add adds the attempts.
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
			Closed:   q.refusesStarts() || q.silence == message.SilenceLong || q.inCordonedPlace(),
		},
		free:               resource.Capacity(q.machineType),
		lowestPresentRank:  resource.Ranks,
		highestWaitingRank: -1,
	}
}

// add adds an attempt that has not ended to the sums: its expected wait in processor
// seconds, its resources and its level.
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
		s.lowestPresentRank = min(s.lowestPresentRank, e.level.Rank())
		s.exceedsGuarantee = s.exceedsGuarantee || !e.level.Guaranteed()
	}
}

// addWaiting adds an attempt that was never sent to the sums of its level.
func (s *stateSummary) addWaiting(e *entry) {
	s.highestWaitingRank = max(s.highestWaitingRank, e.level.Rank())
	s.guaranteedWaiting = s.guaranteedWaiting || e.level.Guaranteed()
	for len(s.state.Queue) <= int(e.level) {
		s.state.Queue = append(s.state.Queue, 0)
	}
	s.state.Queue[e.level] += e.estimate * e.need.CPUs
}

// finish rounds the sums and writes them into the state. Rounding makes the sums
// independent of the order of the additions, which is not fixed.
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

// preemptible reports whether an attempt on the machine might be stopped for a waiting one:
// one has a lower priority than the highest of the waiting ones, or one is beyond its
// team's guarantee while a waiting one is within its own.
func (s *stateSummary) preemptible() bool {
	return s.lowestPresentRank < s.highestWaitingRank || s.guaranteedWaiting && s.exceedsGuarantee
}
