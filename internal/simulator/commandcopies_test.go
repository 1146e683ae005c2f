package simulator

import (
	"fmt"
	"testing"
	"time"
)

// commandCopyScenario returns a scenario in which copies of executed commands arrive once more,
// up to minutes later. Machines fail their tasks for a while, so that tasks run elsewhere
// afterwards, users cancel jobs, controllers restart within a second, and shards move.
func commandCopyScenario() userScenario {
	return userScenario{
		machines: 9, duration: 100 * time.Second, job: (*world).randomJob, interval: time.Second, cancelFraction: 0.3, settleTime: 30 * time.Second,
		prepare: func(u *users) {
			u.runTime = u.drawSpreadRunTime
			u.cacheImages()
			u.commandCopyFraction = 0.5
		},
		fault: func(u *users) {
			u.cacheImages()
			u.failRandomMachine(3 * time.Second)
			switch u.rng.IntN(6) {
			case 0:
				u.nodes[u.rng.IntN(3)].crashBriefly()
			case 1:
				u.moveRandomShards(16)
			case 2:
				u.cancelRunningJobs(3, 0)
			}
		},
	}
}

// cacheImages makes all workers keep the images that they fetch, so that a start that a copy
// repeats takes effect at once.
func (w *world) cacheImages() {
	for _, m := range w.workers {
		m.CachesImages = true
	}
}

// reboot restarts a machine at once. Its tasks are lost; its worker keeps its agent epoch and
// fencing token.
func (m *worker) reboot() {
	m.advanceBeforeMessage()
	m.Reboot(m.world.now)
	m.nextEvent = m.world.now
}

// failRandomMachine makes all tasks that run on a random machine fail for the duration d.
func (w *world) failRandomMachine(d time.Duration) {
	m := w.workers[w.machineOrder[w.rng.IntN(len(w.machineOrder))]]
	m.Faulty = true
	w.after(d, func() { m.Faulty = false })
}

// checkNoRepeatedStart fails the test if a copy of a command started an attempt again, or if no
// copy arrived.
func (w *world) checkNoRepeatedStart(t *testing.T) {
	t.Helper()
	if n := len(w.repeatedStarts); n > 0 {
		first := w.repeatedStarts[0]
		t.Errorf("%d attempts were started again by copies, the first: %+v", n, first)
	}
	if w.commandCopies == 0 {
		t.Error("no copy of a command arrived, so the test proves nothing")
	}
}

func TestCopyOfAnsweredCommandBreaksNoRule(t *testing.T) {
	d := commandCopyScenario()
	withoutReboots := d.fault
	d.fault = func(u *users) {
		withoutReboots(u)
		u.forRandomWorkers(0.1, func(m *worker) { m.reboot() })
	}
	d.runSeeds(t, 6, 1_300_000)
}

func TestCopyOfAnsweredStartStartsNothing(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := commandCopyScenario()
			d.fail = func(string, ...any) {} // TestCopyOfAnsweredCommandBreaksNoRule checks the rules
			d.run(t, 1_300_000+seed).checkNoRepeatedStart(t)
		})
	}
}

const (
	// copiesSite is a site on which copies of direct commands reach their machines once more.
	copiesSite     = "testdata/copies.toml"
	copiesDuration = 20 * time.Minute
)

func TestCopyOfAnsweredCommandBreaksNoRuleOfSite(t *testing.T) {
	checkSiteBreaksNoRule(t, copiesSite, copiesDuration, 1, 2)
}
