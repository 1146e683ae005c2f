package monitor

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// gangAttemptKey identifies an attempt to run a gang.
type gangAttemptKey struct {
	job     protocol.JobID
	attempt protocol.Attempt
}

// gangAttempt is the state of an attempt: the machines of its started tasks, and whether all
// tasks have started.
type gangAttempt struct {
	tasks     uint32
	machineOf map[protocol.TaskID]protocol.MachineID
	running   bool
}

// gangTracker tracks the tasks of gangs to find out when all tasks of an attempt have started,
// and when one task of a running attempt has ended.
type gangTracker struct {
	attempts map[gangAttemptKey]*gangAttempt
}

func newGangTracker() *gangTracker { return &gangTracker{attempts: map[gangAttemptKey]*gangAttempt{}} }

// taskStarted records a started task. It returns true once for each attempt, when the last of
// its tasks has started.
func (g *gangTracker) taskStarted(job protocol.Job, e rules.MachineEvent) (complete bool) {
	key := gangAttemptKey{job.ID, e.Attempt}
	if g.attempts[key] == nil {
		g.attempts[key] = &gangAttempt{tasks: job.Tasks, machineOf: map[protocol.TaskID]protocol.MachineID{}}
	}
	attempt := g.attempts[key]
	attempt.machineOf[e.Task] = e.Machine
	if attempt.running || len(attempt.machineOf) < int(attempt.tasks) {
		return false
	}
	attempt.running = true
	return true
}

// taskEnded removes an ended task and returns the directive for the other tasks of the attempt:
// DirectGangDone if the task completed, DirectGangLost if it ended otherwise, and 0 for none if
// not all tasks of the attempt had started.
func (g *gangTracker) taskEnded(key gangAttemptKey, id protocol.TaskID, cause protocol.EndCause) DirectiveKind {
	attempt := g.attempts[key]
	if attempt == nil {
		return 0
	}
	delete(attempt.machineOf, id)
	if !attempt.running {
		return 0 // the other tasks keep waiting, as a replacement may complete the gang
	}
	delete(g.attempts, key)
	if cause == protocol.EndDone {
		return DirectGangDone
	}
	return DirectGangLost
}

// attemptsOnMachine returns the attempts that have tasks on a machine, with these tasks.
func (g *gangTracker) attemptsOnMachine(id protocol.MachineID) map[gangAttemptKey][]protocol.TaskID {
	found := map[gangAttemptKey][]protocol.TaskID{}
	for key, attempt := range g.attempts {
		for task, on := range attempt.machineOf {
			if on == id {
				found[key] = append(found[key], task)
			}
		}
	}
	return found
}
