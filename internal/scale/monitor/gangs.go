package monitor

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// gangKey names an attempt of a gang.
type gangKey struct {
	job     protocol.JobID
	attempt protocol.Attempt
}

// gang is where the tasks of an attempt are.
type gang struct {
	tasks     uint32
	machineOf map[protocol.TaskID]protocol.MachineID
	running   bool
}

// gangs follows the tasks of gangs: when all tasks of an attempt have started, and when
// one of them has ended.
type gangs struct {
	attempts map[gangKey]*gang
}

func newGangs() *gangs { return &gangs{attempts: map[gangKey]*gang{}} }

// taskStarted adds a started task. Complete is true once for an attempt, when all of its
// tasks have started.
func (g *gangs) taskStarted(job protocol.Job, e rules.MachineEvent) (complete bool) {
	key := gangKey{job.ID, e.Attempt}
	if g.attempts[key] == nil {
		g.attempts[key] = &gang{tasks: job.Tasks, machineOf: map[protocol.TaskID]protocol.MachineID{}}
	}
	attempt := g.attempts[key]
	attempt.machineOf[e.Task] = e.Machine
	if attempt.running || len(attempt.machineOf) < int(attempt.tasks) {
		return false
	}
	attempt.running = true
	return true
}

// taskEnded removes an ended task, and returns what the other tasks are to be told:
// DirectGangDone, DirectGangLost, or 0 for nothing.
func (g *gangs) taskEnded(key gangKey, task protocol.TaskID, cause protocol.EndCause) DirectiveKind {
	attempt := g.attempts[key]
	if attempt == nil {
		return 0
	}
	delete(attempt.machineOf, task)
	if !attempt.running {
		return 0 // the others keep waiting: a replacement may complete the gang
	}
	delete(g.attempts, key)
	if cause == protocol.EndDone {
		return DirectGangDone
	}
	return DirectGangLost
}

// attemptsOn returns the attempts with tasks on a machine, and these tasks.
func (g *gangs) attemptsOn(id protocol.MachineID) map[gangKey][]protocol.TaskID {
	found := map[gangKey][]protocol.TaskID{}
	for key, attempt := range g.attempts {
		for task, on := range attempt.machineOf {
			if on == id {
				found[key] = append(found[key], task)
			}
		}
	}
	return found
}
