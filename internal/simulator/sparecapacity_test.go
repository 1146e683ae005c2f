package simulator

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// spareCapacitySettings is a site with a team whose class has a deadline, and a low-priority team
// without a guarantee.
func spareCapacitySettings() *config.Settings {
	s := fake.Settings()
	s.Site.Teams = []config.Team{{Name: "home"}, {Name: "guest"}}
	s.Site.Objectives = []config.Objective{{Kind: "deadline", Class: "sheet", Share: 0.85, Times: 1}}
	return s
}

// TestLowPriorityTeamUsesSpareCapacity: low-priority teams' long tasks of the same priority, far more than
// a fleet holds, come beside a class with a deadline, while controllers crash. It
// starts nearly as soon as without them; they get a good part of what it leaves.
func TestLowPriorityTeamUsesSpareCapacity(t *testing.T) {
	t.Parallel()
	run := func(seed uint64, withGuests bool) (waits []time.Duration, maxGuestTasks int) {
		w := newWorld(t.Fatalf, seed, spareCapacitySettings(), 60, 60)
		for _, m := range w.workers { // else every task would take a second more than anybody can know of
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

// startTracker records which jobs have not started, since when, and how long the others
// waited.
type startTracker struct {
	submitted map[protocol.JobID]time.Duration
	waits     []time.Duration
}

// trackLastJob records that the job submitted last has to start.
func (b *startTracker) trackLastJob(w *world) { b.submitted[w.jobOrder[len(w.jobOrder)-1]] = w.now }

// hasLateJobs reports that some have not begun, or not soon enough.
func (b *startTracker) hasLateJobs(maxWait time.Duration) bool {
	return len(b.submitted) > 0 || slices.Max(b.waits) > maxWait
}

// newStartTracker returns a fleet of 20 machines, and no more, that records when jobs start.
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

// TestUrgentJobsAreNotLimitedToSpareCapacity: jobs that no objective names, more urgent than all that
// have one, do not count as low-priority: on a fleet that is full of less urgent work their tasks,
// each as large as a machine, begin once what runs there ends. If they counted so, they
// had what was left, in small pieces: nothing.
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
		t.Errorf("%d of 10 have not begun, the others waited up to %v", len(tracker.submitted), slices.Max(append(tracker.waits, 0)))
	}
	t.Log(tracker.waits)
}

// TestJobsWithoutObjectiveStart: beside a class with an objective that could use all there is,
// every job without one begins within two minutes, however large.
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
		t.Errorf("%d of 12 have not begun, the others waited up to %v", len(tracker.submitted), slices.Max(append(tracker.waits, 0)))
	}
	t.Log(tracker.waits)
}
