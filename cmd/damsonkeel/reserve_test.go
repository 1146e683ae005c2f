package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestReservationSurvivesKilledProcesses: three controllers as processes with fake
// workers, on loopback in real time, through the command line. The fleet is kept full of
// work that runs longer than the time until the reservation; all controllers are killed
// while resources are held for it. Its job starts in time nevertheless.
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
	c.submit(job(0, "first", 16, 1, 10)) // all that there is to rent is up and busy then
	start := time.Now().Add(75 * time.Second).Truncate(time.Second)
	add := []string{"reserve", "add", "dawn", "--class", "dawn", "--tasks", "6", "--cpus", "2", "--memory", "1", "--hold", "1m", "--length", "20s", "--when", start.UTC().Format("2006-01-02 at 15:04:05")}
	if reply, code := c.command(append(add, "--dry-run")...); code != 0 || reply.Reservations[0].State != record.Proposed {
		t.Fatalf("dry run: %d, %+v", code, reply)
	}
	if reply, code := c.command(append(add, "--id", "one")...); code != 0 {
		t.Fatalf("add: %d, %+v", code, reply)
	}
	if _, code := c.command(append(add, "--id", "one")...); code != 0 {
		t.Errorf("repeated: exit %d", code)
	}
	if _, code := c.command(append(add, "--id", "two")...); code != exitRefused {
		t.Errorf("of the same name: exit %d", code)
	}
	if reply, code := c.command("window", "add", "all", "--length", "1h", "--when", start.UTC().Format("2006-01-02 at 15:04:05")); code != exitRefused || len(reply.Conflicts) != 1 {
		t.Errorf("a window over it: exit %d, %+v", code, reply)
	}
	if _, code := c.command("reserve", "show", "dusk"); code != exitNotFound {
		t.Errorf("nothing of the name: exit %d", code)
	}
	// Long work keeps coming, three times as long as it takes to the reservation
	// by its estimate, and short work that fits before it.
	for i := 0; time.Until(start) > 12*time.Second; i++ {
		c.submit(job(i, "long", 2, 1, 60))
		c.submit(job(i, "short", 4, 1, 2))
		time.Sleep(3 * time.Second)
	}
	for n := range c.nodes {
		c.kill(n)
	}
	for n := range c.nodes {
		c.start(n)
	}
	time.Sleep(time.Until(start))
	c.submit(job(0, "dawn", 6, 2, 15))
	for deadline := start.Add(60 * time.Second); len(c.p.Started("job-dawn-0")) < 6; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			reply, _ := c.command("reserve", "show", "dawn")
			t.Fatalf("%d of 6 tasks started within a minute: %+v", len(c.p.Started("job-dawn-0")), reply.Reservations)
		}
	}
	t.Logf("all 6 started %v after its time", time.Since(start).Round(100*time.Millisecond))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		reply, code := c.command("reserve", "show", "dawn")
		if code == 0 && reply.Reservations[0].State == record.Used {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("not used: %d, %+v", code, reply)
		}
	}
	if reply, code := c.command("reserve", "list"); code != 0 || len(reply.Reservations) != 1 {
		t.Errorf("list: %d, %+v", code, reply)
	}
	if _, code := c.command("reserve", "cancel", "dawn"); code != 0 {
		t.Errorf("cancel: exit %d", code)
	}
	c.write("keys", "ops "+strings.Repeat("00", 32)+"\n") // another key: of who asks and of the controllers
	if _, code := c.command("reserve", "list"); code != 0 {
		t.Errorf("with a changed key: exit %d", code)
	}
}
