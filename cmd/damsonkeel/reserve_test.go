package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestReservationSurvivesKilledProcesses adds a reservation through the command line to three
// controller processes, with fake workers on loopback in real time. Tasks that run past the start
// of the reservation keep the fleet full, and all controllers are killed and restarted while
// resources are held for it. The reserved job must start in time nevertheless.
func TestReservationSurvivesKilledProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about two minutes")
	}
	t.Parallel()
	c := newCluster(t, 4)
	c.newKey()
	job := func(i int, class string, tasks uint32, cpus, s float64) protocol.Job {
		return protocol.Job{ID: protocol.JobID(fmt.Sprintf("job-%s-%d", class, i)), Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: s}
	}
	c.submit(job(0, "first", 16, 1, 10)) // occupies every machine that the cloud can provide
	start := time.Now().Add(75 * time.Second).Truncate(time.Second)
	addArgs := []string{"reserve", "add", "dawn", "--class", "dawn", "--tasks", "6", "--cpus", "2", "--memory", "1", "--hold", "1m", "--length", "20s", "--when", start.UTC().Format("2006-01-02 at 15:04:05")}
	if reply, code := c.command(append(addArgs, "--dry-run")...); code != 0 || reply.Reservations[0].State != record.Proposed {
		t.Fatalf("dry run: %d, %+v", code, reply)
	}
	if reply, code := c.command(append(addArgs, "--id", "one")...); code != 0 {
		t.Fatalf("add: %d, %+v", code, reply)
	}
	if _, code := c.command(append(addArgs, "--id", "one")...); code != 0 {
		t.Errorf("repeated: exit %d", code)
	}
	if _, code := c.command(append(addArgs, "--id", "two")...); code != exitRefused {
		t.Errorf("another reservation of the same name: exit %d", code)
	}
	if reply, code := c.command("window", "add", "all", "--length", "1h", "--when", start.UTC().Format("2006-01-02 at 15:04:05")); code != exitRefused || len(reply.Conflicts) != 1 {
		t.Errorf("window that covers the reservation: exit %d, %+v", code, reply)
	}
	if _, code := c.command("reserve", "show", "dusk"); code != exitNotFound {
		t.Errorf("show of a missing reservation: exit %d", code)
	}
	// Keep submitting long jobs, which by their estimate of 60 s soon run past the start of
	// the reservation, and short jobs that fit before it.
	for i := 0; time.Until(start) > 12*time.Second; i++ {
		c.submit(job(i, "long", 2, 1, 60))
		c.submit(job(i, "short", 4, 1, 2))
		time.Sleep(3 * time.Second)
	}
	for n := range c.addrs {
		c.kill(n)
	}
	for n := range c.addrs {
		c.start(n)
	}
	time.Sleep(time.Until(start))
	c.submit(job(0, "dawn", 6, 2, 15))
	for deadline := start.Add(60 * time.Second); len(c.platform.FirstStarts("job-dawn-0")) < 6; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			reply, _ := c.command("reserve", "show", "dawn")
			t.Fatalf("%d of 6 tasks started within a minute: %+v", len(c.platform.FirstStarts("job-dawn-0")), reply.Reservations)
		}
	}
	t.Logf("all 6 started %v after its time", time.Since(start).Round(100*time.Millisecond))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		reply, code := c.command("reserve", "show", "dawn")
		if code == 0 && reply.Reservations[0].State == record.Used {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("reservation is not in state used: exit %d, %+v", code, reply)
		}
	}
	if reply, code := c.command("reserve", "list"); code != 0 || len(reply.Reservations) != 1 {
		t.Errorf("list: %d, %+v", code, reply)
	}
	if _, code := c.command("reserve", "cancel", "dawn"); code != 0 {
		t.Errorf("cancel: exit %d", code)
	}
	c.writeFile("keys", "ops "+strings.Repeat("00", 32)+"\n") // replaces the key for both the command and the controllers
	if _, code := c.command("reserve", "list"); code != 0 {
		t.Errorf("list with a replaced key: exit %d", code)
	}
}
