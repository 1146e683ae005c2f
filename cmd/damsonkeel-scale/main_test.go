package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsonkeel/internal/scale/results"
)

// buildProgram builds this program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "damsonkeel-scale")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// TestSmallSite checks that a small site with real controllers breaks no rule while a
// controller is killed, machines are killed and a region is partitioned. It does not check
// latencies.
func TestSmallSite(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 40 seconds")
	}
	var out, progress bytes.Buffer
	cmd := exec.Command(buildProgram(t), "--site", "../../deploy/scale-small.toml", "--root", "../..", "--output", "json")
	cmd.Stdout, cmd.Stderr = &out, &progress
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	var r results.Result
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if len(r.Rules) > 0 {
		t.Errorf("rules broken: %v", r.Rules)
	}
	if r.CommandCopies == 0 {
		t.Error("no copy of a command reached a worker")
	}
	if r.Workers != 60 || r.Controllers != 3 || r.Starts < 100 || r.Urgent.Jobs < 10 {
		t.Errorf("%d workers, %d controllers, %d starts, %d urgent jobs", r.Workers, r.Controllers, r.Starts, r.Urgent.Jobs)
	}
	if len(r.Faults) != 3 || r.ControllersDied > 0 {
		t.Errorf("faults %+v, %d controllers died", r.Faults, r.ControllersDied)
	}
	if r.Config == nil || r.Config.Changes < 10 || r.Config.InForceWorstS > 11 {
		t.Errorf("changes of the configuration: %+v", r.Config)
	}
	if r.Worker.MemoryMB <= 0 || r.Worker.BytesS <= 0 || len(r.Roles) != 6 {
		t.Errorf("nothing measured: %+v, %d roles", r.Worker, len(r.Roles))
	}
}

// TestInterruptCleansUp checks that an interrupted run ends all of its processes and removes
// its files.
func TestInterruptCleansUp(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about ten seconds")
	}
	dir := t.TempDir()
	cmd := exec.Command(buildProgram(t), "--site", "../../deploy/scale-small.toml", "--root", "../..")
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	const minProcesses = 10 // of 16
	for deadline := time.Now().Add(60 * time.Second); len(childProcesses(t, cmd.Process.Pid)) < minProcesses; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the run has not started its processes within a minute")
		}
	}
	pids := childProcesses(t, cmd.Process.Pid)
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil {
		t.Error("an interrupted run exited with 0")
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		remaining := 0
		for _, pid := range pids {
			if syscall.Kill(pid, 0) == nil {
				remaining++
			}
		}
		if remaining == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d processes remain", remaining, len(pids))
		}
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) > 0 {
		t.Errorf("files remain: %v, %v", files, err)
	}
}

// childProcesses lists the processes that a process has started.
func childProcesses(t *testing.T, pid int) []int {
	t.Helper()
	var pids []int
	tasks, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "children"))
	if err != nil {
		t.Fatal(err)
	}
	for _, task := range tasks {
		b, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		for _, field := range strings.Fields(string(b)) {
			child, err := strconv.Atoi(field)
			if err != nil {
				t.Fatal(err)
			}
			pids = append(pids, child)
		}
	}
	return pids
}
