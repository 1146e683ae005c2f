package scale

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// TestGangsMeet: a gang runs once all tasks of an attempt are there, in whatever
// order they come, and its end follows that of the first that leaves.
func TestGangsMeet(t *testing.T) {
	job := protocol.Job{ID: "job-g", Kind: protocol.KindGang, Tasks: 3}
	on := func(g *gangs, index uint32, attempt protocol.Attempt) bool {
		return g.on(job, rules.MachineEvent{Task: protocol.TaskID{Job: job.ID, Index: index}, Attempt: attempt, Machine: protocol.MachineID("m" + string(rune('0'+index)))})
	}
	g := newGangs()
	task := protocol.TaskID{Job: job.ID, Index: 1}
	if on(g, 0, 1) || on(g, 1, 1) || on(g, 2, 2) {
		t.Fatal("runs before all tasks of an attempt are there")
	}
	if kind := g.off(gangKey{job.ID, 1}, task, protocol.EndStopped); kind != 0 {
		t.Errorf("a task that waits leaves: %v", kind)
	}
	if on(g, 2, 1) || !on(g, 1, 1) {
		t.Fatal("a replacement completes the gang")
	}
	if at := g.gone("m2"); len(at[gangKey{job.ID, 1}]) != 1 || len(at[gangKey{job.ID, 2}]) != 1 {
		t.Errorf("attempts on the machine: %v", at)
	}
	if kind := g.off(gangKey{job.ID, 1}, task, protocol.EndDone); kind != DirectGangDone {
		t.Errorf("one is done: %v", kind)
	}
	if kind := g.off(gangKey{job.ID, 1}, task, protocol.EndGangLost); kind != 0 {
		t.Errorf("the others follow: %v", kind)
	}
	on(g, 0, 2)
	on(g, 1, 2)
	if kind := g.off(gangKey{job.ID, 2}, task, ""); kind != DirectGangLost {
		t.Errorf("one is lost: %v", kind)
	}
}

// TestNeedIsRefused: a run that would take more than its part of the machine is
// refused with the numbers.
func TestNeedIsRefused(t *testing.T) {
	site, err := LoadSite("../../deploy/scale-target.toml")
	if err != nil {
		t.Fatal(err)
	}
	need := site.Need()
	roomy := Machine{Cores: 8, MemoryMB: 2*need.MemoryMB + 1, Files: need.Files}
	if err := need.Fits(roomy); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Machine){
		func(m *Machine) { m.MemoryMB -= 2 },
		func(m *Machine) { m.Files-- },
	} {
		m := roomy
		if change(&m); need.Fits(m) == nil {
			t.Errorf("%+v fits %+v", need, m)
		}
	}
	if need.Processes = maxProcesses + 1; need.Fits(roomy) == nil {
		t.Error("too many processes fit")
	}
}

// TestStartsAreBack: the time until as many tasks start again as before a trouble.
func TestStartsAreBack(t *testing.T) {
	var starts []time.Duration
	for at := time.Duration(0); at < 60*time.Second; at += 100 * time.Millisecond {
		if at < 20*time.Second || at >= 30*time.Second {
			starts = append(starts, at)
		}
	}
	if got := startsBackAfter(starts, 20*time.Second, 22*time.Second); got != 8 {
		t.Errorf("back after %v s, want 8", got)
	}
	if got := startsBackAfter(starts[:200], 20*time.Second, 22*time.Second); got != neverAgain {
		t.Errorf("back after %v s, want never", got)
	}
	if got := peakPerSecond(starts); got != 10 {
		t.Errorf("%d a second, want 10", got)
	}
}
