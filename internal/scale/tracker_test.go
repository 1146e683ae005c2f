package scale

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// TestAtLimit: a job counts as one whose team was at its limit by what is on machines
// when it is submitted.
func TestAtLimit(t *testing.T) {
	site, err := LoadSite("../../deploy/scale-small.toml") // bound00 may use 40 processors
	if err != nil {
		t.Fatal(err)
	}
	h := newHub(site, 1)
	upload := func(at time.Duration, id protocol.JobID, cpus float64) {
		job := protocol.Job{ID: id, Class: urgentClass, Team: "bound00", Kind: protocol.KindJobArray, Tasks: 1, CPUs: cpus}
		h.jobs[id] = job
		h.users = append(h.users, rules.UserEvent{RequestedAt: at, AnsweredAt: at, Kind: rules.UserDescribes, Job: id, Description: job})
	}
	event := func(at time.Duration, kind rules.MachineEventKind, machine protocol.MachineID, id protocol.JobID) {
		h.events = append(h.events, rules.MachineEvent{At: at, Kind: kind, Machine: machine, Task: protocol.TaskID{Job: id}})
	}
	upload(0, "job-large", 38)
	event(time.Second, rules.TaskStarted, "m1", "job-large")
	upload(2*time.Second, "job-fits", 2)
	upload(3*time.Second, "job-waits", 3)
	event(4*time.Second, rules.MachineLost, "m1", "")
	upload(5*time.Second, "job-after", 3)
	event(6*time.Second, rules.TaskStarted, "m2", "job-waits")
	got := h.atLimit()
	for id, want := range map[protocol.JobID]bool{"job-large": false, "job-fits": false, "job-waits": true, "job-after": false} {
		if got[id] != want {
			t.Errorf("%s: at its limit %v, want %v", id, got[id], want)
		}
	}
	waits, urgent := h.waits()
	if len(urgent) == 0 || waits[urgentClass].WorstS < 3 {
		t.Errorf("%+v, %+v", waits, urgent)
	}
}
