package reservation

import (
	"testing"

	"damsonkeel/internal/controller/resource"
)

// TestTaskStartsOnlyInResourcesLeftByHolds checks that a task may use the free resources that
// are not held, and held ones only if it is likely to end or can be stopped in time.
func TestTaskStartsOnlyInResourcesLeftByHolds(t *testing.T) {
	holds := []Hold{{For: "one", Need: resource.Amount{CPUs: 4}, Level: 1, Clear: 1000_000, From: 1200_000, Until: 3000_000}}
	task := func(isOf bool, cpus float64, l resource.Level, savesCheckpoint bool, ends Moment) *Task {
		return &Task{IsOf: func(Name) bool { return isOf }, Need: resource.Amount{CPUs: cpus}, Level: l, SavesCheckpoint: savesCheckpoint, Ends: ends}
	}
	for i, tc := range []struct {
		t    *Task
		now  Moment
		want bool
	}{
		{task(false, 2, 1, false, 999_000), 0, true},          // ends in time
		{task(false, 2, 1, false, 1001_000), 0, false},        // ends too late
		{task(false, 1, 1, false, 9e9), 0, true},              // fits into the resources that are not held
		{task(false, 2, 0, true, 9e9), 0, true},               // can be stopped in time
		{task(false, 2, 0, false, 9e9), 0, false},             // would lose its progress
		{task(false, 2, 0, true, 9e9), 1190_000, false},       // too late to be stopped
		{task(false, 2, 1, true, 9e9), 0, false},              // has the level of the hold
		{task(true, 2, 0, false, 9e9), 1200_000, true},        // the resources are held for it
		{task(false, 2, 1, false, 1150_000), 1100_000, false}, // ends in time, but the resources have to be clear now
		{task(false, 2, 1, false, 9e9), 3000_000, true},       // the hold has ended
	} {
		if got := AllowsStart(holds, tc.t, resource.Amount{CPUs: 5}, tc.now); got != tc.want {
			t.Errorf("case %d: %v", i, got)
		}
	}
}

// TestHoldIsNotBlockedByLaterHold guards against a later hold on the same machine blocking a
// task in the resources held for it. A job waited for hours while its machines were idle,
// because the inaccurate estimates for such jobs reached into the later hold. Both
// reservations had been accepted, as their holds do not overlap.
func TestHoldIsNotBlockedByLaterHold(t *testing.T) {
	own := Hold{For: "one", Need: resource.Amount{CPUs: 8}, From: 1000_000, Clear: 900_000, Until: 2000_000}
	later := Hold{For: "two", Need: resource.Amount{CPUs: 8}, From: 2000_000, Clear: 1700_000, Until: 4000_000}
	task := &Task{IsOf: func(n Name) bool { return n == "one" }, Need: resource.Amount{CPUs: 8}, Ends: 9000_000}
	if !AllowsStart([]Hold{own, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("blocked by a hold that begins when its own ends")
	}
	later.From = 1500_000
	if AllowsStart([]Hold{own, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("started in resources that are held for another reservation at the same time")
	}
}
