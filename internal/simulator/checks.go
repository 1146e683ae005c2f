package simulator

import (
	"strings"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// cpuTolerance is the allowed rounding error in sums of processors.
	cpuTolerance = 1e-9
	// maxMachinesForMisplacedCheck is the largest number of machines for which checkMisplaced
	// runs, because the check is slow.
	maxMachinesForMisplacedCheck = 1000
)

// checkStart is called when a task starts on a machine. It counts the start and checks that
// the task runs on no other machine, that its job was not cancelled too long ago (see
// isOverdue), that the machine has the zone, type and purchase option (spot or not) that the
// job allows, and the rules of checkQuotaAndZones.
func (w *world) checkStart(m *fake.Worker, id protocol.TaskID, _ protocol.Attempt) {
	w.starts++
	w.onTaskStarted(m.ID, id)
	j := w.jobs[id.Job]
	if other := w.onMachine[id]; other != nil && other != m {
		w.fail("%v ran_twice: %v starts on %s while on %s", w.now, id, m.ID, other.ID)
	}
	w.onMachine[id] = m
	w.peakRunning = max(w.peakRunning, len(w.onMachine))
	if w.isOverdue(id.Job) {
		w.fail("%v ran_cancelled: %v starts on %s", w.now, id, m.ID)
	}
	if m.Spot && !j.Spot || j.Zone != "" && j.Zone != m.Zone || len(j.Types) > 0 && j.Types[0] != m.Info.Name {
		w.fail("%v wrong_place: %v on %s", w.now, id, m.ID)
	}
	w.checkQuotaAndZones(m, j)
}

// isOverdue reports whether a job was cancelled more than the setting CancelS ago. By then all
// of its tasks must have been stopped.
func (w *world) isOverdue(id protocol.JobID) bool {
	at, cancelled := w.cancelled[id]
	return cancelled && (w.now-at).Seconds() > w.settings.Site.Workers.CancelS
}

// checkQuotaAndZones is called after a task of the job has started on a machine. It checks
// that the running tasks of the job's team use no more processors than the team's limit, that
// all tasks of a one-zone job run in one zone, and that at most half of the tasks of a spread
// job, rounded up, run in the zone of the machine.
func (w *world) checkQuotaAndZones(m *fake.Worker, j protocol.Job) {
	var used float64
	zones := map[protocol.Zone]int{}
	for t, machine := range w.onMachine {
		if other := w.jobs[t.Job]; other.Team == j.Team {
			used += other.CPUs
		}
		if t.Job == j.ID {
			zones[machine.Zone]++
		}
	}
	if limit := w.teamLimit(j.Team); limit > 0 && used > limit+cpuTolerance {
		w.fail("%v quota: %s uses %v of %v", w.now, j.Team, used, limit)
	}
	if j.OneZone && len(zones) > 1 || j.Spread && zones[m.Zone] > int(j.Tasks+1)/2 {
		w.fail("%v wrong_place: zones of %v: %v", w.now, j.ID, zones)
	}
}

// checkRules is called after each step. It runs checkMisplaced once per simulated second,
// checks that no task of an overdue job (see isOverdue) is on a machine, and runs checkChange
// on the new changes of the key-value store.
func (w *world) checkRules() {
	if w.now%time.Second == 0 && len(w.machineOrder) <= maxMachinesForMisplacedCheck {
		w.checkMisplaced()
	}
	for t := range w.onMachine {
		if w.isOverdue(t.Job) {
			w.fail("%v ran_cancelled: %v is still on a machine", w.now, t)
		}
	}
	for ; w.checkedChanges < w.state.Changes(); w.checkedChanges++ {
		w.checkChange(w.state.Change(w.checkedChanges))
	}
}

// checkMisplaced checks that no controller keeps the queue of a machine whose shard another
// controller holds.
func (w *world) checkMisplaced() {
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if m := n.core.Status().Misplaced; len(m) > 0 {
			w.fail("%v %s keeps %v of shares that it does not hold", w.now, n.name, m)
		}
	}
}

// checkChange checks a change in the key-value store: a job record is never deleted, a final
// state never changes, and a job is done only if all of its tasks have completed.
func (w *world) checkChange(ev protocol.Event) {
	key, isJob := strings.CutPrefix(ev.Put+ev.Delete, record.JobKey(""))
	if !isJob {
		return
	}
	id := protocol.JobID(key)
	if ev.Put == "" {
		w.fail("%v forgotten: %v", w.now, id)
	}
	var r record.JobRecord
	if err := protocol.Decode(ev.Value, &r); err != nil {
		w.fail("%v", err)
	}
	if previous := w.finalState[id]; previous != "" && previous != r.State {
		w.fail("%v went_back: %v from %s to %s", w.now, id, previous, r.State)
	}
	if r.State == record.RecordLive || w.finalState[id] != "" {
		return
	}
	w.finalState[id] = r.State
	if r.State == record.RecordDone {
		w.checkDone(id)
	}
}

// checkDone checks that all tasks of a job have completed. A gang completes as a whole, so
// the result of its first task counts for all of them.
func (w *world) checkDone(id protocol.JobID) {
	j := w.jobs[id]
	for i := range j.Tasks {
		if w.results[protocol.TaskID{Job: id, Index: i}] || j.Kind == protocol.KindGang && w.results[protocol.TaskID{Job: id}] {
			continue
		}
		w.fail("%v not_done: %v/%d", w.now, id, i)
	}
}
