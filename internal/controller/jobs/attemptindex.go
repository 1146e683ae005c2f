package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// AttemptIndex has attempts by the machines on which they may exist.
type AttemptIndex map[protocol.MachineID]map[protocol.TaskID]*Attempt

// add adds an attempt to those on its machine.
func (x AttemptIndex) add(attempt *Attempt) {
	onMachine := x[attempt.Machine]
	if onMachine == nil {
		onMachine = map[protocol.TaskID]*Attempt{}
		x[attempt.Machine] = onMachine
	}
	onMachine[attempt.Task] = attempt
}

// remove removes an attempt from those on its machine, unless another one of its task has
// taken its place.
func (x AttemptIndex) remove(attempt *Attempt) {
	if x[attempt.Machine][attempt.Task] == attempt {
		delete(x[attempt.Machine], attempt.Task)
	}
}

// unverify marks the attempts on a machine as unverified.
func (x AttemptIndex) unverify(id protocol.MachineID) {
	for _, attempt := range x[id] {
		attempt.Unverified = true
	}
}

// EndedAttempts are attempts of jobs that are over. They count against their teams' limits
// for as long as they may be on their machines.
type EndedAttempts map[message.TaskRef]endedAttempt

type endedAttempt struct {
	team protocol.Team
	need resource.Amount
	// placeNumber is the number of the Place message that carried the attempt; 0: any
	// inventory of its machine decides whether it exists.
	placeNumber uint64
}

// dropUpto drops the attempts on a machine that were placed by Place messages up to a
// number, and reports whether there were any.
func (e EndedAttempts) dropUpto(id protocol.MachineID, upto uint64) (dropped bool) {
	for ref, ended := range e {
		if ref.Machine == id && ended.placeNumber <= upto {
			delete(e, ref)
			dropped = true
		}
	}
	return dropped
}

// unverifyOn has any inventory of the machines that meet a condition decide on their
// attempts: the numbers of Place messages were counted by an earlier dispatcher.
func (e EndedAttempts) unverifyOn(meets func(protocol.MachineID) bool) {
	for ref, ended := range e {
		if meets(ref.Machine) {
			ended.placeNumber = 0
			e[ref] = ended
		}
	}
}
