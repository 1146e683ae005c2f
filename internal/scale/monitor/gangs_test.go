package monitor

import (
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// TestGangRunsOnceComplete: a gang runs once all tasks of an attempt have started, in
// whatever order, and ends with the first of them that ends.
func TestGangRunsOnceComplete(t *testing.T) {
	job := protocol.Job{ID: "job-g", Kind: protocol.KindGang, Tasks: 3}
	started := func(g *gangs, index uint32, attempt protocol.Attempt) bool {
		return g.taskStarted(job, rules.MachineEvent{Task: protocol.TaskID{Job: job.ID, Index: index}, Attempt: attempt, Machine: protocol.MachineID("m" + string(rune('0'+index)))})
	}
	g := newGangs()
	task := protocol.TaskID{Job: job.ID, Index: 1}
	if started(g, 0, 1) || started(g, 1, 1) || started(g, 2, 2) {
		t.Fatal("runs before all tasks of an attempt have started")
	}
	if kind := g.taskEnded(gangKey{job.ID, 1}, task, protocol.EndStopped); kind != 0 {
		t.Errorf("a task that waits ends: %v", kind)
	}
	if started(g, 2, 1) || !started(g, 1, 1) {
		t.Fatal("a replacement completes the gang")
	}
	if attempts := g.attemptsOn("m2"); len(attempts[gangKey{job.ID, 1}]) != 1 || len(attempts[gangKey{job.ID, 2}]) != 1 {
		t.Errorf("attempts on the machine: %v", attempts)
	}
	if kind := g.taskEnded(gangKey{job.ID, 1}, task, protocol.EndDone); kind != DirectGangDone {
		t.Errorf("one is done: %v", kind)
	}
	if kind := g.taskEnded(gangKey{job.ID, 1}, task, protocol.EndGangLost); kind != 0 {
		t.Errorf("the others follow: %v", kind)
	}
	started(g, 0, 2)
	started(g, 1, 2)
	if kind := g.taskEnded(gangKey{job.ID, 2}, task, ""); kind != DirectGangLost {
		t.Errorf("one is lost: %v", kind)
	}
}
