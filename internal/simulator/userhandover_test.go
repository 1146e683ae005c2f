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

// TestCancellationAtEachStepOfHandover cancels all jobs at each time, 20 or 200 ms apart, of a
// shard move, a controller's shutdown, its crash and its partition from the key-value store. The
// tasks of the jobs must be stopped in time, and none may be started after the confirmation,
// also not by a controller that is partitioned from the others or paused.
func TestCancellationAtEachStepOfHandover(t *testing.T) {
	for name, handover := range map[string]struct {
		do       func(*world, *node)
		duration time.Duration
	}{
		"shards move":              {func(w *world, n *node) { w.moveShards(n.heldShards(), w.nodes[0]) }, time.Second},
		"shutdown":                 {func(w *world, n *node) { n.shutDown() }, 1500 * time.Millisecond},
		"crash":                    {func(w *world, n *node) { n.crashFor(200 * time.Millisecond) }, 1500 * time.Millisecond},
		"crash for longer":         {func(w *world, n *node) { n.crashFor(12 * time.Second) }, 12 * time.Second},
		"paused":                   {func(w *world, n *node) { n.pausedUntil = w.now + 3*time.Second }, 3 * time.Second},
		"partitioned from records": {func(w *world, n *node) { w.partition(string(n.name), "state", 12*time.Second, false) }, 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step := 20 * time.Millisecond
			if handover.duration > 2*time.Second {
				step = 200 * time.Millisecond
			}
			for at := time.Duration(0); at < handover.duration; at += step {
				w := newWorld(t.Fatalf, 77, fake.Settings(), 6, 6)
				w.eventDriven = true
				w.runTime = func(protocol.TaskID) time.Duration { return 5 * time.Minute }
				u := w.withUsers()
				u.wellFormed = true
				w.run(4 * time.Second)
				for range 12 { // more than fit: some tasks are queued, some fetch images, some run
					u.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, EstimateS: 300, Spot: true})
					w.run(w.now + 400*time.Millisecond)
				}
				for slices.ContainsFunc(slices.Collect(maps.Values(u.jobs)), func(j *userJob) bool { return !j.accepted }) {
					w.run(w.now + time.Second)
				}
				n := w.nodes[1+int(at/step)%2]
				for _, j := range ordered.ByKey(u.jobs) {
					w.after(at, func() { u.cancelJob(j) })
				}
				handover.do(w, n)
				w.run(w.now + at + time.Duration(w.settings.Site.Workers.CancelS)*time.Second + 10*time.Second)
				for id, j := range ordered.ByKey(u.jobs) {
					if j.finalAnswer != protocol.JobCancelled {
						t.Errorf("cancelled after %v: the user of %s got no confirmation: %+v, record %q", at, id, *j, w.finalState[id])
					}
				}
				if len(w.onMachine) > 0 {
					t.Errorf("cancelled after %v: %d tasks are still on machines", at, len(w.onMachine))
				}
				if u.startsAfterCancellation > 0 {
					t.Errorf("cancelled after %v: %d starts sent after the confirmation", at, u.startsAfterCancellation)
				}
			}
		})
	}
}

// TestNoStartAfterConfirmation cancels jobs that wait for room, while short tasks on the machines
// end all the time, through the controllers that reach each other, with each controller in turn as
// the one that does not. No controller may send a start of a cancelled job once its user was told.
// It guards against a confirmation after 250 ms that a member had not acknowledged, which started
// the waiting tasks for seconds more.
func TestNoStartAfterConfirmation(t *testing.T) {
	const duration = 12 * time.Second
	for name, disrupt := range map[string]func(*world, *node){
		"partitioned from records and controllers": func(w *world, n *node) {
			w.partition(string(n.name), "state", duration, false)
			n.partitionFromPeers(duration, false)
		},
		"partitioned from records and controllers, messages delayed": func(w *world, n *node) {
			w.partition(string(n.name), "state", duration, true)
			n.partitionFromPeers(duration, true)
		},
		"partitioned from controllers": func(_ *world, n *node) { n.partitionFromPeers(duration, false) },
		"paused":                       func(w *world, n *node) { n.pausedUntil = w.now + 3*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for victim := range 3 {
				w := newWorld(t.Fatalf, uint64(80+victim), fake.Settings(), 6, 6)
				w.eventDriven = true
				w.runTime = func(protocol.TaskID) time.Duration { return time.Duration(2000+w.rng.IntN(4000)) * time.Millisecond }
				u := w.withUsers()
				u.wellFormed = true
				w.run(10 * time.Second)
				for range 8 {
					u.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 40, CPUs: 1, EstimateS: 4, Spot: true})
				}
				w.run(w.now + 8*time.Second)
				disrupt(w, w.nodes[victim])
				w.run(w.now + time.Second)
				before := u.startsSent
				for _, j := range ordered.ByKey(u.jobs) {
					u.cancelJob(j)
				}
				w.run(w.now + 200*time.Millisecond)
				startsAfterRequest := u.startsSent
				w.run(w.now + 40*time.Second)
				for id, j := range ordered.ByKey(u.jobs) {
					if j.finalAnswer != protocol.JobCancelled {
						t.Errorf("controller %d: the user of %s got no confirmation", victim, id)
					}
				}
				if u.startsAfterCancellation > 0 {
					t.Errorf("controller %d: %d starts sent after the confirmation", victim, u.startsAfterCancellation)
				}
				slices.Sort(u.cancelWaits)
				t.Logf("controller %d: %d starts before the cancellations, %d from 200 ms after them on, %d confirmed after %v to %v", victim, before, u.startsSent-startsAfterRequest, len(u.cancelWaits), u.cancelWaits[0], u.cancelWaits[len(u.cancelWaits)-1])
			}
		})
	}
}

// TestSmallJobsStayWithinStateServiceLimits submits one-task jobs, four per second for two
// minutes, and cancels a quarter of them. The write rate at the key-value store must stay within
// its limit, and of each finished job only the job record may remain.
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
		t.Errorf("%d changes within a second, the limit is %v", maxPerSecond, rate)
	}
	remaining := 0
	for _, it := range u.state.List("") {
		if strings.HasPrefix(it.Key, record.LiveKey("")) || strings.HasPrefix(it.Key, "bits/") {
			remaining++
		}
	}
	if remaining > 0 {
		t.Errorf("%d records of finished jobs remain", remaining)
	}
	t.Logf("at most %d changes within a second, the limit is %v", maxPerSecond, u.settings.Site.State.WriteRPS)
}

// TestRegistrarCrashAtEachStep crashes the registrar, which writes the machine records, at each
// time, 20 ms apart, of the first 2.5 s of a new machine, and of the election after another
// registrar has crashed. The key-value store is slow and applies some transactions late. Tasks
// that wait for the machine must run exactly once, and every job must finish.
func TestRegistrarCrashAtEachStep(t *testing.T) {
	for name, first := range map[string]func(*users){
		"during a registration": func(u *users) {
			r := protocol.ProvisionRequest{Name: "new", Type: "large", Zone: "a", Count: 1}
			_, ids := u.cloud.Provision(r)
			u.bootMachine(ids[0], r)
		},
		"during an election":                          func(u *users) { u.registrar().crashFor(9 * time.Second) },
		"during an election, restart within a second": func(u *users) { u.registrar().crashBriefly() },
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
				w.after(at, func() { u.registrar().crashFor(300 * time.Millisecond) })
				w.after(at+600*time.Millisecond, func() { u.registrar().crashFor(300 * time.Millisecond) })
				w.run(w.now + 15*time.Second)
				w.stateLatency, w.lateWriteFraction = 0, 0
				for end := w.now + 2*time.Minute; w.now < end && slices.ContainsFunc(slices.Collect(maps.Values(u.jobs)), func(j *userJob) bool { return j.rank < rankFinal }); {
					w.run(w.now + time.Second)
				}
				for id, j := range ordered.ByKey(u.jobs) {
					if j.finalAnswer != protocol.JobDone {
						t.Errorf("crash after %v: the user of %s did not get the answer done", at, id)
					}
				}
			}
		})
	}
}
