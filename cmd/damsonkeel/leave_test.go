package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// shares lists who keeps what, by the command.
func (r *real) shares() (by map[protocol.NodeName]operatorapi.Controller) {
	reply, code := r.command("shares", "list")
	if code != 0 {
		r.t.Fatalf("shares list: exit %d, %+v", code, reply)
	}
	by = map[protocol.NodeName]operatorapi.Controller{}
	for _, c := range reply.Controllers {
		by[c.Name] = c
	}
	return by
}

// until waits until something holds.
func (r *real) until(what string, most time.Duration, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(most); !holds(); time.Sleep(300 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within %v: %s", most, what)
		}
	}
}

// TestSharesForReal: three real controllers with stand-in workers, on loopback at
// real speed. Shares are moved and a controller is sent away by the command line,
// then all are restarted one after the other by SIGTERM, while jobs run: each ends
// by itself in time, and every task is started once.
func TestSharesForReal(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about a minute")
	}
	t.Parallel()
	r := newReal(t, 4)
	r.newKey()
	job := func(i int) protocol.Job {
		return protocol.Job{ID: protocol.JobID(fmt.Sprintf("job-%06d", i)), Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 12, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 3}
	}
	jobs := 0
	work := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
			r.submit(job(jobs))
			jobs++
		}
	}
	work(4 * time.Second)
	r.until("all three keep shares", 30*time.Second, func() bool {
		by := r.shares()
		return len(by) == 3 && by["node-0"].Shares > 5 && by["node-1"].Shares > 5 && by["node-2"].Shares > 5
	})
	reply, _ := r.command("shares", "list")
	var theirs []string
	for _, s := range reply.Shares {
		if s.Holder == "node-2" && len(theirs) < 3 {
			theirs = append(theirs, fmt.Sprint(s.Number))
		}
	}
	if reply, code := r.command(append([]string{"shares", "move", "node-0"}, theirs...)...); code != 0 {
		t.Fatalf("move: exit %d, %+v", code, reply)
	}
	if _, code := r.command("shares", "move", "node-7", "1"); code != exitNotFound {
		t.Errorf("move to nobody: exit %d", code)
	}
	if _, code := r.command("shares", "away", "node-1"); code != 0 {
		t.Errorf("away: exit %d", code)
	}
	work(3 * time.Second)
	r.until("node-1 keeps nothing", 30*time.Second, func() bool { return r.shares()["node-1"].Shares == 0 })
	if _, code := r.command("shares", "away", "node-1", "--end"); code != 0 {
		t.Errorf("away --end: exit %d", code)
	}
	for _, n := range []protocol.NodeName{"node-0", "node-1", "node-2"} {
		cmd := r.running[n]
		delete(r.running, n)
		told := time.Now()
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil || time.Since(told) > 13*time.Second {
			t.Errorf("%s ended after %v: %v", n, time.Since(told), err)
		}
		t.Logf("%s ended after %v", n, time.Since(told).Round(10*time.Millisecond))
		work(2 * time.Second)
		r.start(n)
		work(4 * time.Second)
		r.until("it has its part again", 60*time.Second, func() bool { return r.shares()[n].Shares > 5 })
	}
	for i := range jobs {
		id := job(i).ID
		r.until(fmt.Sprint(id, " has run"), 60*time.Second, func() bool { return len(r.p.Started(id)) >= 12 })
		if n := r.p.Starts(id); n != 12 {
			t.Errorf("%s: %d starts of 12 tasks", id, n)
		}
	}
}
