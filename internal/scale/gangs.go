package scale

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
	tasks   uint32
	on      map[protocol.TaskID]protocol.MachineID
	running bool
}

// gangs lets the tasks of gangs meet: it tells when all of an attempt are there, and
// when one of them has gone.
type gangs struct {
	all map[gangKey]*gang
}

func newGangs() *gangs { return &gangs{all: map[gangKey]*gang{}} }

// on notes a task that has come onto its machine; complete once all are there.
func (g *gangs) on(job protocol.Job, e rules.MachineEvent) (complete bool) {
	key := gangKey{job.ID, e.Attempt}
	if g.all[key] == nil {
		g.all[key] = &gang{tasks: job.Tasks, on: map[protocol.TaskID]protocol.MachineID{}}
	}
	k := g.all[key]
	k.on[e.Task] = e.Machine
	if k.running || len(k.on) < int(k.tasks) {
		return false
	}
	k.running = true
	return true
}

// off notes a task that has left its machine, and tells what becomes of the others:
// DirectGangDone, DirectGangLost, or 0 for nothing.
func (g *gangs) off(key gangKey, task protocol.TaskID, cause protocol.EndCause) DirectiveKind {
	k := g.all[key]
	if k == nil {
		return 0
	}
	delete(k.on, task)
	if !k.running {
		return 0 // the rest keep waiting: a replacement may complete the gang
	}
	delete(g.all, key)
	if cause == protocol.EndDone {
		return DirectGangDone
	}
	return DirectGangLost
}

// gone lists the attempts that had tasks on a machine.
func (g *gangs) gone(machine protocol.MachineID) map[gangKey][]protocol.TaskID {
	found := map[gangKey][]protocol.TaskID{}
	for key, k := range g.all {
		for task, on := range k.on {
			if on == machine {
				found[key] = append(found[key], task)
			}
		}
	}
	return found
}
