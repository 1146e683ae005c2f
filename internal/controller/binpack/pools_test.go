package binpack

import (
	"testing"

	"damsonkeel/internal/controller/resource"
)

// TestTasksWithoutProcessorsTakeTheirPart: a job that takes GPUs alone is counted by its
// part of the machines; it does not spoil the plan for what comes after it.
func TestTasksWithoutProcessorsTakeTheirPart(t *testing.T) {
	size := resource.Amount{GPUs: 1, GB: 1}
	l := &pool{capacity: resource.Amount{CPUs: 8, GPUs: 4, GB: 32}}
	if n := l.take(3, size, 10, 0); n != 3 || l.backlogSeconds != 60 {
		t.Errorf("%v of 3 tasks taken, %v processor seconds ahead, want 3 and 60", n, l.backlogSeconds)
	}
	if n := l.take(99, resource.Amount{CPUs: 1}, 10, 10); n <= 0 || n >= 99 {
		t.Errorf("%v tasks taken after it", n)
	}
}
