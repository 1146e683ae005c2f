package simulator

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestCancellationAtEachStepOfHandover: a job is cancelled at each moment, 20 ms apart, of
// a share's move, a controller's leave, its end and its loss of the records; its tasks
// are stopped in time, and none is started after the confirmation.
func TestCancellationAtEachStepOfHandover(t *testing.T) {
	for name, handover := range map[string]struct {
		do   func(*world, *node)
		over time.Duration
	}{
		"shares move":     {func(w *world, n *node) { w.moveShards(n.heldShards(), w.nodes[0]) }, time.Second},
		"told to end":     {func(w *world, n *node) { n.shutDown() }, 1500 * time.Millisecond},
		"ends":            {func(w *world, n *node) { n.crashFor(200 * time.Millisecond) }, 1500 * time.Millisecond},
		"ends for longer": {func(w *world, n *node) { n.crashFor(12 * time.Second) }, 12 * time.Second},
		"refused alone":   {func(w *world, n *node) { w.partition(string(n.name), "state", 12*time.Second, false) }, 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step := 20 * time.Millisecond
			if handover.over > 2*time.Second {
				step = 200 * time.Millisecond
			}
			for at := time.Duration(0); at < handover.over; at += step {
				w := newWorld(t.Fatalf, 77, fake.Settings(), 6, 6)
				w.eventDriven = true
				w.runTime = func(protocol.TaskID) time.Duration { return 5 * time.Minute }
				u := w.withUsers()
				u.wellFormed = true
				w.run(4 * time.Second)
				for range 12 { // more than fit: some tasks wait, some fetch, some run
					u.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, EstimateS: 300, Spot: true})
					w.run(w.now + 400*time.Millisecond)
				}
				for slices.ContainsFunc(slices.Collect(maps.Values(u.jobs)), func(j *userJob) bool { return !j.accepted }) {
					w.run(w.now + time.Second)
				}
				n := w.nodes[1+int(at/step)%2]
				for _, j := range ordered.Of(u.jobs) {
					w.after(at, func() { u.cancelJob(j) })
				}
				handover.do(w, n)
				w.run(w.now + at + time.Duration(w.settings.Site.Workers.CancelS)*time.Second + 10*time.Second)
				for id, j := range ordered.Of(u.jobs) {
					if j.finalAnswer != protocol.JobCancelled {
						t.Errorf("after %v: the user of %s was not told: %+v, record %q", at, id, *j, w.finalState[id])
					}
				}
				if len(w.onMachine) > 0 {
					t.Errorf("after %v: %d tasks are still on machines", at, len(w.onMachine))
				}
				if u.startsAfterCancellation > u.startsByPartitionedNodes {
					t.Errorf("after %v: %d starts sent after the confirmation, %d by one cut off", at, u.startsAfterCancellation, u.startsByPartitionedNodes)
				}
			}
		})
	}
}

// TestSmallJobsStayWithinStateServiceLimits: one-task jobs that come four a second for two minutes, a
// quarter of them cancelled, send no more requests to the state service than its limits allow, and leave
// nothing but their states behind.
func TestSmallJobsStayWithinStateServiceLimits(t *testing.T) {
	d := userScenario{machines: 9, duration: 120 * time.Second, job: smallJob, interval: time.Second / 4, cancelFraction: 0.25, prepare: func(u *users) { u.wellFormed = true }}
	u := d.run(t, 1_300_000)
	maxPerSecond, from := 0, 0
	for at := range u.changeTimes {
		for u.changeTimes[at]-u.changeTimes[from] > time.Second {
			from++
		}
		maxPerSecond = max(maxPerSecond, at-from+1)
	}
	if rate := u.settings.Site.State.WriteRPS; float64(maxPerSecond) > rate {
		t.Errorf("%d changes within a second, of %v", maxPerSecond, rate)
	}
	remaining := 0
	for _, it := range u.state.List("") {
		if strings.HasPrefix(it.Key, record.LiveKey("")) || strings.HasPrefix(it.Key, "bits/") {
			remaining++
		}
	}
	if remaining > 0 {
		t.Errorf("%d records are left of jobs that are over", remaining)
	}
	t.Logf("%d changes within a second at the most, of %v", maxPerSecond, u.settings.Site.State.WriteRPS)
}

// TestLeaderCrashAtEachStep: the controller that writes records ends at each moment, 20 ms
// apart, of a new machine's first seconds, and of the election that follows when another
// has ended; the state service takes long, and carries out some transactions late. What
// waits for the machine runs, once; every job comes to its end.
func TestLeaderCrashAtEachStep(t *testing.T) {
	for name, first := range map[string]func(*users){
		"of a registration": func(u *users) {
			r := protocol.ProvisionRequest{Name: "new", Type: "large", Zone: "a", Count: 1}
			_, ids := u.cloud.Provision(r)
			u.bootMachine(ids[0], r)
		},
		"of an election":            func(u *users) { u.leader().crashFor(9 * time.Second) },
		"of an election, back soon": func(u *users) { u.leader().crashBriefly() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := time.Duration(0); at < 2500*time.Millisecond; at += 20 * time.Millisecond {
				w := newWorld(t.Fatalf, 78, fake.Settings(), 3, 3)
				w.eventDriven = true
				w.cloud.Capacity = 4
				u := w.withUsers()
				u.wellFormed = true
				w.run(8 * time.Second)
				for range 8 { // more than fit
					u.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, EstimateS: 5, Spot: true})
				}
				w.run(w.now + time.Second)
				w.stateLatency, w.lateWriteFraction = 100*time.Millisecond, 0.2
				first(u)
				w.after(at, func() { u.leader().crashFor(300 * time.Millisecond) })
				w.after(at+600*time.Millisecond, func() { u.leader().crashFor(300 * time.Millisecond) })
				w.run(w.now + 15*time.Second)
				w.stateLatency, w.lateWriteFraction = 0, 0
				for end := w.now + 2*time.Minute; w.now < end && slices.ContainsFunc(slices.Collect(maps.Values(u.jobs)), func(j *userJob) bool { return j.rank < rankFinal }); {
					w.run(w.now + time.Second)
				}
				for id, j := range ordered.Of(u.jobs) {
					if j.finalAnswer != protocol.JobDone {
						t.Errorf("after %v: the user of %s was not told that it is done", at, id)
					}
				}
			}
		})
	}
}
