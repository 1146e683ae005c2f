package binpack

import (
	"testing"

	"damsonkeel/internal/controller/resource"
)

// TestTasksWithoutProcessorsUseTheirShareOfPool: tasks that need only GPUs add to the backlog
// by their share of the machines, and other tasks can be assigned to the pool after them.
func TestTasksWithoutProcessorsUseTheirShareOfPool(t *testing.T) {
	need := resource.Amount{GPUs: 1, GB: 1}
	pl := &pool{capacity: resource.Amount{CPUs: 8, GPUs: 4, GB: 32}}
	if n := pl.assign(3, need, 10, 0); n != 3 || pl.backlogCPUSeconds != 60 {
		t.Errorf("%v of 3 tasks assigned, backlog of %v processor seconds, want 3 and 60", n, pl.backlogCPUSeconds)
	}
	if n := pl.assign(99, resource.Amount{CPUs: 1}, 10, 10); n <= 0 || n >= 99 {
		t.Errorf("%v of 99 tasks assigned after the GPU tasks, want some but not all", n)
	}
}
