package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// TestShardsMoveBetweenProcesses runs three controller processes with fake workers on loopback in
// real time. While jobs run, it moves shards and cordons a controller through the command line and
// restarts the controllers one after the other by SIGTERM. Each must terminate by itself in time,
// and every task must be started exactly once.
func TestShardsMoveBetweenProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about a minute")
	}
	t.Parallel()
	c := newCluster(t, 4)
	c.newKey()
	job := func(i int) protocol.Job {
		return protocol.Job{ID: protocol.JobID(fmt.Sprintf("job-%06d", i)), Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 12, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 3}
	}
	submitted := 0
	submitJobsFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
			c.submit(job(submitted))
			submitted++
		}
	}
	submitJobsFor(4 * time.Second)
	c.waitUntil("all three controllers hold shards", 30*time.Second, func() bool {
		controllers := c.controllers()
		return len(controllers) == 3 && controllers["node-0"].Shares > 5 && controllers["node-1"].Shares > 5 && controllers["node-2"].Shares > 5
	})
	reply, _ := c.command("shares", "list")
	var movedShards []string
	for _, s := range reply.Shares {
		if s.Holder == "node-2" && len(movedShards) < 3 {
			movedShards = append(movedShards, fmt.Sprint(s.Number))
		}
	}
	if reply, code := c.command(append([]string{"shares", "move", "node-0"}, movedShards...)...); code != 0 {
		t.Fatalf("move: exit %d, %+v", code, reply)
	}
	if _, code := c.command("shares", "move", "node-7", "1"); code != exitNotFound {
		t.Errorf("move to an unknown controller: exit %d", code)
	}
	if _, code := c.command("shares", "away", "node-1"); code != 0 {
		t.Errorf("away: exit %d", code)
	}
	submitJobsFor(3 * time.Second)
	c.waitUntil("node-1 holds no shards", 30*time.Second, func() bool { return c.controllers()["node-1"].Shares == 0 })
	if _, code := c.command("shares", "away", "node-1", "--end"); code != 0 {
		t.Errorf("away --end: exit %d", code)
	}
	for _, n := range []protocol.NodeName{"node-0", "node-1", "node-2"} {
		cmd := c.running[n]
		delete(c.running, n)
		signalled := time.Now()
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil || time.Since(signalled) > 13*time.Second {
			t.Errorf("%s ended after %v: %v", n, time.Since(signalled), err)
		}
		t.Logf("%s ended after %v", n, time.Since(signalled).Round(10*time.Millisecond))
		submitJobsFor(2 * time.Second)
		c.start(n)
		submitJobsFor(4 * time.Second)
		c.waitUntil("the restarted controller holds shards again", 60*time.Second, func() bool { return c.controllers()[n].Shares > 5 })
	}
	for i := range submitted {
		id := job(i).ID
		c.waitUntil(fmt.Sprint(id, " has run"), 60*time.Second, func() bool { return len(c.platform.FirstStarts(id)) >= 12 })
		if n := c.platform.StartCount(id); n != 12 {
			t.Errorf("%s: %d starts of 12 tasks", id, n)
		}
	}
}
