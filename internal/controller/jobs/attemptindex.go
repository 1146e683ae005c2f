package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// AttemptIndex maps each machine to the attempts of owned jobs that may exist on it, by task.
type AttemptIndex map[protocol.MachineID]map[protocol.TaskID]*Attempt

// add adds an attempt to the entry of its machine.
func (x AttemptIndex) add(attempt *Attempt) {
	onMachine := x[attempt.Machine]
	if onMachine == nil {
		onMachine = map[protocol.TaskID]*Attempt{}
		x[attempt.Machine] = onMachine
	}
	onMachine[attempt.Task] = attempt
}

// remove removes an attempt from the entry of its machine, unless another attempt of the
// same task has replaced it there.
func (x AttemptIndex) remove(attempt *Attempt) {
	if x[attempt.Machine][attempt.Task] == attempt {
		delete(x[attempt.Machine], attempt.Task)
	}
}

// markUnverified marks the attempts on a machine as unverified: the machine's next inventory
// decides whether they exist.
func (x AttemptIndex) markUnverified(id protocol.MachineID) {
	for _, attempt := range x[id] {
		attempt.Unverified = true
	}
}

// EndedJobAttempts are attempts of jobs that have ended. They count against their teams'
// limits for as long as they may still exist on their machines.
type EndedJobAttempts map[message.TaskRef]endedJobAttempt

// endedJobAttempt is what an attempt of an ended job counts against the limit of its team.
type endedJobAttempt struct {
	team protocol.Team
	need resource.Amount
	// placeNumber is the number of the Place message that carried the attempt. If it is 0,
	// any inventory of the machine decides whether the attempt exists.
	placeNumber uint64
}

// dropUpto drops the attempts on a machine that were placed by Place messages with numbers
// up to maxPlaceNumber, and reports whether there were any.
func (e EndedJobAttempts) dropUpto(id protocol.MachineID, maxPlaceNumber uint64) (dropped bool) {
	for ref, ended := range e {
		if ref.Machine == id && ended.placeNumber <= maxPlaceNumber {
			delete(e, ref)
			dropped = true
		}
	}
	return dropped
}

// resetPlaceNumbers sets the Place numbers of the attempts on all matching machines to 0, so
// that any inventory of these machines decides whether the attempts exist. The old numbers
// were counted by an earlier dispatcher.
func (e EndedJobAttempts) resetPlaceNumbers(matches func(protocol.MachineID) bool) {
	for ref, ended := range e {
		if matches(ref.Machine) {
			ended.placeNumber = 0
			e[ref] = ended
		}
	}
}
