package analysis

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// TestSubmittedAtLimitCountsRunningTasks checks that the tasks on machines at the time of a job's
// submission decide whether the job's team is at its limit.
func TestSubmittedAtLimitCountsRunningTasks(t *testing.T) {
	site, err := siteconfig.LoadSite("../../../deploy/scale-small.toml") // bound00 may use 40 processors
	if err != nil {
		t.Fatal(err)
	}
	r := &Run{Site: site, Jobs: map[protocol.JobID]protocol.Job{}}
	submit := func(at time.Duration, id protocol.JobID, cpus float64) {
		job := protocol.Job{ID: id, Class: urgentClass, Team: "bound00", Kind: protocol.KindJobArray, Tasks: 1, CPUs: cpus}
		r.Jobs[id] = job
		r.Users = append(r.Users, rules.UserEvent{RequestedAt: at, AnsweredAt: at, Kind: rules.UserDescribes, Job: id, Description: job})
	}
	event := func(at time.Duration, kind rules.MachineEventKind, machine protocol.MachineID, id protocol.JobID) {
		r.Machines = append(r.Machines, rules.MachineEvent{At: at, Kind: kind, Machine: machine, Task: protocol.TaskID{Job: id}})
	}
	submit(0, "job-large", 38)
	event(time.Second, rules.TaskStarted, "m1", "job-large")
	submit(2*time.Second, "job-fits", 2)
	submit(3*time.Second, "job-waits", 3)
	event(4*time.Second, rules.MachineLost, "m1", "")
	submit(5*time.Second, "job-after", 3)
	event(6*time.Second, rules.TaskStarted, "m2", "job-waits")
	got := r.submittedAtLimit()
	for id, want := range map[protocol.JobID]bool{"job-large": false, "job-fits": false, "job-waits": true, "job-after": false} {
		if got[id] != want {
			t.Errorf("%s: submitted at the limit of its team: %v, want %v", id, got[id], want)
		}
	}
	waits, urgent := r.measureWaits()
	if len(urgent) == 0 || waits[urgentClass].WorstS < 3 {
		t.Errorf("waits %+v, urgent jobs %+v: want urgent jobs, of which one waited at least 3 s", waits, urgent)
	}
}
