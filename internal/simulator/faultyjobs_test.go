package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// TestFaultyJobsDoNotQuarantineHealthyMachines has a third of the jobs, also large arrays and
// gangs, fail on every machine, and three machines fail every task. The faulty machines must be
// quarantined, and healthy ones not for long. Faulty jobs must be retried less and less often and
// must not keep other jobs from finishing, and one that is repaired must finish.
func TestFaultyJobsDoNotQuarantineHealthyMachines(t *testing.T) {
	t.Parallel()
	w := newWorld(t.Fatalf, 31, fake.Settings(), 60, 60)
	w.run(3 * time.Second)
	faultyMachines := map[protocol.MachineID]bool{}
	for _, i := range []int{5, 25, 45} {
		faultyMachines[w.machineOrder[i]] = true
		w.workers[w.machineOrder[i]].Faulty = true
	}
	starts := map[protocol.JobID]int{}
	w.onTaskStarted = func(_ protocol.MachineID, id protocol.TaskID) { starts[id.Job]++ }
	quarantined, healthyQuarantineSeconds := map[protocol.MachineID]bool{}, 0
	for i := range 80 {
		j := protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 30, CPUs: 2, EstimateS: 5, Spot: true}
		switch i % 4 {
		case 0:
			j.Class, j.Kind, j.Tasks, j.Priority = "gang", protocol.KindGang, 6, "high"
		case 1:
			j.Tasks = 1
		case 2:
			j.Tasks = 120
		}
		if i%2 == 0 {
			w.submit(j)
			w.faultyJobs[w.jobOrder[len(w.jobOrder)-1]] = i/2%3 == 0
		}
		w.run(w.now + time.Second)
		for _, n := range w.nodes {
			for _, id := range n.core.Status().Quarantined {
				if quarantined[id] = true; !faultyMachines[id] {
					healthyQuarantineSeconds++
				}
			}
		}
	}
	for id := range faultyMachines {
		if !quarantined[id] {
			t.Errorf("%s fails every task and was not quarantined", id)
		}
	}
	if healthyQuarantineSeconds > 60 { // of 80 s times 57 machines
		t.Errorf("healthy machines were quarantined for %d s in all", healthyQuarantineSeconds)
	}
	repaired := w.jobOrder[0]
	if !w.faultyJobs[repaired] {
		t.Fatal("the first job is not faulty")
	}
	for _, id := range w.jobOrder {
		if j := w.jobs[id]; w.faultyJobs[id] && starts[id] > 3*int(j.Tasks)+30 {
			t.Errorf("tasks of %s, which has %d tasks that fail on every machine, were started %d times", id, j.Tasks, starts[id])
		}
	}
	delete(w.faultyJobs, repaired)
	for end := w.now + 400*time.Second; w.finalState[repaired] == "" && w.now < end; {
		w.run(w.now + time.Second)
	}
	w.run(w.now + 60*time.Second)
	for _, id := range w.jobOrder {
		if w.finalState[id] == "" != w.faultyJobs[id] {
			t.Errorf("final state of %s, faulty: %v, is %q", id, w.faultyJobs[id], w.finalState[id])
		}
		if w.faultyJobs[id] {
			w.cancel(id)
		}
	}
	w.run(w.now + 20*time.Second)
	if len(w.onMachine) > 0 {
		t.Errorf("%d tasks are on machines after all were cancelled", len(w.onMachine))
	}
	t.Logf("healthy machines were quarantined for %d s in all; starts %v", healthyQuarantineSeconds, starts)
}
