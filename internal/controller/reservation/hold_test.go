package reservation

import (
	"testing"

	"damsonkeel/internal/controller/resource"
)

// TestTaskStartsOnlyInWhatHoldsLeave: a task may use what is free beside the holds, and held
// resources if it ends or can be stopped in time.
func TestTaskStartsOnlyInWhatHoldsLeave(t *testing.T) {
	h := []Hold{{For: "one", Need: resource.Amount{CPUs: 4}, Level: 1, Clear: 1000_000, From: 1200_000, Until: 3000_000}}
	task := func(of bool, cpus float64, l resource.Level, saves bool, ends Moment) *Task {
		return &Task{IsOf: func(Name) bool { return of }, Need: resource.Amount{CPUs: cpus}, Level: l, SavesCheckpoint: saves, Ends: ends}
	}
	for i, tc := range []struct {
		t    *Task
		now  Moment
		want bool
	}{
		{task(false, 2, 1, false, 999_000), 0, true},          // over in time
		{task(false, 2, 1, false, 1001_000), 0, false},        // not
		{task(false, 1, 1, false, 9e9), 0, true},              // beside it
		{task(false, 2, 0, true, 9e9), 0, true},               // stopped in time
		{task(false, 2, 0, false, 9e9), 0, false},             // would lose its work
		{task(false, 2, 0, true, 9e9), 1190_000, false},       // too late to be stopped
		{task(false, 2, 1, true, 9e9), 0, false},              // no less urgent
		{task(true, 2, 0, false, 9e9), 1200_000, true},        // it is what it is held for
		{task(false, 2, 1, false, 1150_000), 1100_000, false}, // has to be clear now
		{task(false, 2, 1, false, 9e9), 3000_000, true},       // over
	} {
		if got := AllowsStart(h, tc.t, resource.Amount{CPUs: 5}, tc.now); got != tc.want {
			t.Errorf("case %d: %v", i, got)
		}
	}
}

// TestHoldIsNotBlockedByLaterHold: resources that are held for a job are its own for as
// long as that was accepted, though something else is held there for later and estimates
// of its kind are often wrong. With its machines empty the job waited for hours.
func TestHoldIsNotBlockedByLaterHold(t *testing.T) {
	mine := Hold{For: "one", Need: resource.Amount{CPUs: 8}, From: 1000_000, Clear: 900_000, Until: 2000_000}
	later := Hold{For: "two", Need: resource.Amount{CPUs: 8}, From: 2000_000, Clear: 1700_000, Until: 4000_000}
	task := &Task{IsOf: func(n Name) bool { return n == "one" }, Need: resource.Amount{CPUs: 8}, Ends: 9000_000}
	if !AllowsStart([]Hold{mine, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("kept out by what was accepted beside it")
	}
	later.From = 1500_000
	if AllowsStart([]Hold{mine, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("starts where something else is held meanwhile")
	}
}
