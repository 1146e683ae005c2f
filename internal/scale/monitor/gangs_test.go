package monitor

import (
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// TestGangRunsOnceAllTasksStarted checks that a gang runs once all tasks of an attempt have
// started, in any order, and that the attempt ends when the first of its running tasks ends.
func TestGangRunsOnceAllTasksStarted(t *testing.T) {
	job := protocol.Job{ID: "job-g", Kind: protocol.KindGang, Tasks: 3}
	started := func(g *gangTracker, index uint32, attempt protocol.Attempt) bool {
		return g.taskStarted(job, rules.MachineEvent{Task: protocol.TaskID{Job: job.ID, Index: index}, Attempt: attempt, Machine: protocol.MachineID("m" + string(rune('0'+index)))})
	}
	g := newGangTracker()
	task := protocol.TaskID{Job: job.ID, Index: 1}
	if started(g, 0, 1) || started(g, 1, 1) || started(g, 2, 2) {
		t.Fatal("the gang runs before all tasks of an attempt have started")
	}
	if kind := g.taskEnded(gangAttemptKey{job.ID, 1}, task, protocol.EndStopped); kind != 0 {
		t.Errorf("directive %v after the end of a task of an incomplete gang, want none", kind)
	}
	if started(g, 2, 1) || !started(g, 1, 1) {
		t.Fatal("a replacement task did not complete the gang")
	}
	if attempts := g.attemptsOnMachine("m2"); len(attempts[gangAttemptKey{job.ID, 1}]) != 1 || len(attempts[gangAttemptKey{job.ID, 2}]) != 1 {
		t.Errorf("attempts on machine m2: %v", attempts)
	}
	if kind := g.taskEnded(gangAttemptKey{job.ID, 1}, task, protocol.EndDone); kind != DirectGangDone {
		t.Errorf("directive %v after the first task completed, want DirectGangDone", kind)
	}
	if kind := g.taskEnded(gangAttemptKey{job.ID, 1}, task, protocol.EndGangLost); kind != 0 {
		t.Errorf("directive %v after the end of another task of the same attempt, want none", kind)
	}
	started(g, 0, 2)
	started(g, 1, 2)
	if kind := g.taskEnded(gangAttemptKey{job.ID, 2}, task, ""); kind != DirectGangLost {
		t.Errorf("directive %v after a task was lost, want DirectGangLost", kind)
	}
}
