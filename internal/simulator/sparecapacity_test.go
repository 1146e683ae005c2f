package simulator

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// spareCapacitySettings returns the settings of a site with a team whose class has a deadline
// objective, and a low-priority team without a guarantee.
func spareCapacitySettings() *config.Settings {
	s := fake.Settings()
	s.Site.Teams = []config.Team{{Name: "home"}, {Name: "guest"}}
	s.Site.Objectives = []config.Objective{{Kind: "deadline", Class: "sheet", Share: 0.85, Times: 1}}
	return s
}

// TestLowPriorityTeamUsesSpareCapacity submits more long tasks of a team without a guarantee, the
// guests, than fit on the fleet, and jobs of a class with a deadline and the same priority. A
// controller crashes meanwhile. The class must wait at most 3 s longer than without guests, at the
// 90th percentile, and the guests must use a large part of the remaining capacity.
func TestLowPriorityTeamUsesSpareCapacity(t *testing.T) {
	t.Parallel()
	run := func(seed uint64, withGuests bool) (waits []time.Duration, maxGuestTasks int) {
		w := newWorld(t.Fatalf, seed, spareCapacitySettings(), 60, 60)
		for _, m := range w.workers { // otherwise every task would take a second longer than its estimate
			m.CachesImages = true
		}
		submittedAt, started, guestTasks := map[protocol.JobID]time.Duration{}, map[protocol.TaskID]bool{}, 0
		w.runTime = func(id protocol.TaskID) time.Duration {
			return config.Seconds(w.jobs[id.Job].EstimateS)
		}
		w.onTaskStarted = func(_ protocol.MachineID, id protocol.TaskID) {
			switch j := w.jobs[id.Job]; {
			case j.Class == "idle":
				if guestTasks++; guestTasks > maxGuestTasks {
					maxGuestTasks = guestTasks
				}
			case !started[id]:
				started[id] = true
				waits = append(waits, w.now-submittedAt[id.Job])
			}
		}
		w.onTaskEnded = func(_ protocol.MachineID, id protocol.TaskID, _ protocol.EndCause) {
			if w.jobs[id.Job].Class == "idle" {
				guestTasks--
			}
		}
		w.run(3 * time.Second)
		for i := range 80 {
			if i%2 == 0 {
				w.submit(protocol.Job{Class: "sheet", Team: "home", Kind: protocol.KindJobArray, Priority: "low", Tasks: uint32(20 + i%3*20), CPUs: 2, EstimateS: 5, Spot: true, DeadlineS: 20})
				submittedAt[w.jobOrder[len(w.jobOrder)-1]] = w.now
			}
			if withGuests && i%10 == 5 {
				w.submit(protocol.Job{Class: "idle", Team: "guest", Kind: protocol.KindJobArray, Priority: "low", Tasks: 150, CPUs: 1, EstimateS: 90, Spot: true})
			}
			if i == 45 {
				w.nodes[i%3].crash()
			}
			w.run(w.now + time.Second)
		}
		slices.Sort(waits)
		return waits, maxGuestTasks
	}
	for seed := uint64(21); seed < 24; seed++ {
		waitsAlone, _ := run(seed, false)
		waitsWithGuests, maxGuestTasks := run(seed, true)
		p90 := func(waits []time.Duration) time.Duration { return waits[len(waits)*9/10] }
		if len(waitsWithGuests) < len(waitsAlone)*9/10 || p90(waitsWithGuests) > p90(waitsAlone)+3*time.Second {
			t.Errorf("%d tasks of the class with a deadline wait up to %v at the 90th percentile, %d and %v without guests", len(waitsWithGuests), p90(waitsWithGuests), len(waitsAlone), p90(waitsAlone))
		}
		if maxGuestTasks < 60 {
			t.Errorf("guests have at most %d of 360 processors, where the others use 100 on average", maxGuestTasks)
		}
		t.Logf("%v and %v at the 90th percentile, guests up to %d", p90(waitsAlone), p90(waitsWithGuests), maxGuestTasks)
	}
}

// startTracker records the tracked jobs that have not started, with the times of their
// submission, and how long the tracked jobs that have started waited.
type startTracker struct {
	submitted map[protocol.JobID]time.Duration
	waits     []time.Duration
}

// trackLastJob tracks the job that was submitted last.
func (b *startTracker) trackLastJob(w *world) { b.submitted[w.jobOrder[len(w.jobOrder)-1]] = w.now }

// hasLateJobs reports whether a tracked job has not started, or waited longer than maxWait.
func (b *startTracker) hasLateJobs(maxWait time.Duration) bool {
	return len(b.submitted) > 0 || slices.Max(b.waits) > maxWait
}

// newStartTracker returns a world with exactly 20 machines and a tracker of the starts of its
// jobs.
func newStartTracker(t *testing.T, seed uint64) (*world, *startTracker) {
	t.Helper()
	w, tracker := newWorld(t.Fatalf, seed, spareCapacitySettings(), 20, 20), &startTracker{submitted: map[protocol.JobID]time.Duration{}}
	w.cloud.Capacity = 20
	w.runTime = func(id protocol.TaskID) time.Duration { return config.Seconds(w.jobs[id.Job].EstimateS) }
	w.onTaskStarted = func(_ protocol.MachineID, id protocol.TaskID) {
		if at, awaited := tracker.submitted[id.Job]; awaited {
			tracker.waits = append(tracker.waits, w.now-at)
			delete(tracker.submitted, id.Job)
		}
	}
	w.run(3 * time.Second)
	return w, tracker
}

// TestUrgentJobsAreNotLimitedToSpareCapacity submits jobs without an objective whose priority is
// higher than that of all jobs with one, to a full fleet. Their tasks, each as large as a machine,
// must start as running tasks end. If these jobs counted as low-priority, they would be confined
// to the headroom, which is too fragmented for a task of that size.
func TestUrgentJobsAreNotLimitedToSpareCapacity(t *testing.T) {
	t.Parallel()
	w, tracker := newStartTracker(t, 22)
	for i := range 200 {
		w.submit(protocol.Job{Class: "sheet", Team: "home", Kind: protocol.KindJobArray, Priority: "low", Tasks: 12, CPUs: 2, EstimateS: 12, Spot: true, DeadlineS: 60})
		if i%20 == 10 {
			w.submit(protocol.Job{Class: "urgent", Team: "home", Kind: protocol.KindGang, Priority: "high", Tasks: 1, CPUs: 8, EstimateS: 60, Spot: true})
			tracker.trackLastJob(w)
		}
		w.run(w.now + time.Second)
	}
	w.run(w.now + 30*time.Second)
	if tracker.hasLateJobs(60 * time.Second) {
		t.Errorf("%d of 10 jobs have not started, the others waited up to %v", len(tracker.submitted), slices.Max(append(tracker.waits, 0)))
	}
	t.Log(tracker.waits)
}

// TestJobsWithoutObjectiveStart tests that every job without an objective starts within two
// minutes, whatever its size, although a class with an objective could use the whole fleet.
func TestJobsWithoutObjectiveStart(t *testing.T) {
	t.Parallel()
	w, tracker := newStartTracker(t, 23)
	for i := range 240 {
		w.submit(protocol.Job{Class: "sheet", Team: "home", Kind: protocol.KindJobArray, Priority: "low", Tasks: uint32(4 + i%2), CPUs: 2, EstimateS: 12, Spot: true, DeadlineS: 60})
		if i%10 == 5 && i < 120 {
			w.submit(protocol.Job{Class: "idle", Team: "guest", Kind: protocol.KindJobArray, Priority: "low", Tasks: uint32(20 + i), CPUs: 2, EstimateS: 90, Spot: true})
			tracker.trackLastJob(w)
		}
		w.run(w.now + time.Second)
	}
	if tracker.hasLateJobs(2 * time.Minute) {
		t.Errorf("%d of 12 jobs have not started, the others waited up to %v", len(tracker.submitted), slices.Max(append(tracker.waits, 0)))
	}
	t.Log(tracker.waits)
}
