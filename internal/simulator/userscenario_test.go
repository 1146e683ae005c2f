package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// userScenario describes a generated run in which users send all kinds of requests.
type userScenario struct {
	machines       int
	duration       time.Duration
	job            func(*world) protocol.Job
	interval       time.Duration // between submissions
	cancelFraction float64       // fraction of the jobs that are cancelled at a random time
	teams          []config.Team
	prepare        func(*users)
	fault          func(*users)  // called at each step of one to six seconds
	settleTime     time.Duration // for the last faults to end
	fail           func(string, ...any)
	requestOften   bool         // see users.requestOften
	atEnd          func(*users) // called after all jobs have finished
	allowLongWaits bool         // jobs may wait for longer, as there are more jobs than capacity
}

// maxWaitBesideFreeMachine is how long a job may wait, once all faults have ended, although a
// machine can run one of its tasks.
const maxWaitBesideFreeMachine = 90 * time.Second

// run runs the scenario with a seed: users submit and cancel jobs while faults are injected.
// Then all faults end, and every accepted job must reach a final state that its user gets as
// an answer.
func (d userScenario) run(t *testing.T, seed int) *users {
	t.Helper()
	fail := d.fail
	if fail == nil {
		fail = t.Fatalf
	}
	settings := fake.Settings()
	if d.teams != nil {
		settings.Site.Teams = d.teams
	}
	w := newWorld(fail, uint64(seed), settings, d.machines, d.machines)
	w.eventDriven = true // requests arrive within milliseconds
	u := w.withUsers()
	u.requestOften = d.requestOften
	if d.prepare != nil {
		d.prepare(u)
	}
	w.run(3 * time.Second)
	var submit func()
	submit = func() {
		if u.now >= d.duration {
			return
		}
		j := u.submit(d.job(w))
		if w.rng.Float64() < d.cancelFraction {
			w.after(time.Duration(w.rng.IntN(20_000))*time.Millisecond, func() { u.cancelJob(j) })
		}
		w.after(time.Duration(w.rng.Int64N(int64(2*d.interval))), submit)
	}
	submit()
	for w.now < d.duration {
		if d.fault != nil {
			d.fault(u)
		}
		w.run(w.now + time.Duration(1000+w.rng.IntN(5000))*time.Millisecond)
	}
	w.run(w.now + d.settleTime)
	w.outageUntil, w.stateLatency, w.lateWriteFraction, w.duplicateHeartbeatFraction, w.slowMessageFraction, w.lostAnswerFraction, w.watchLag, w.slowWatchFraction, w.commandWaitFraction, w.commandCopyFraction, w.recordHeartbeats = 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, false
	clear(w.partitions)
	for _, id := range w.machineOrder {
		m := w.workers[id]
		m.pausedUntil, m.inboundLostUntil, m.outboundLostUntil = min(m.pausedUntil, w.now), min(m.inboundLostUntil, w.now), min(m.outboundLostUntil, w.now)
	}
	w.run(w.now + 40*time.Second)
	u.faultFreeSince = w.now
	waitingSince := map[protocol.JobID]time.Duration{}
	openJobs := func() (n int) {
		for _, j := range u.jobs {
			if j.accepted && j.rank < rankFinal {
				n++
			}
		}
		return n
	}
	for end := w.now + 900*time.Second; w.now < end && (openJobs() > 0 || w.now < u.faultFreeSince+10*time.Second); {
		w.run(w.now + 5*time.Second)
		u.checkRecords()
		u.checkForgotten()
		for _, j := range ordered.ByKey(u.jobs) {
			if j.accepted && j.rank < rankFinal && (j.job.Kind == protocol.KindService || w.faultyJobs[j.id]) {
				u.cancelJob(j)
			}
		}
		if !d.allowLongWaits {
			u.checkWaitsBesideFreeMachines(waitingSince)
		}
	}
	for _, j := range ordered.ByKey(u.jobs) {
		if j.accepted && j.rank < rankFinal {
			fail("the user of %s got no final answer; record %q, cancelled %v, %+v\n%s", j.id, w.finalState[j.id], j.cancelRequested, j.job, w.describeJob(j.id))
		}
	}
	if w.starts == 0 {
		t.Error("no task was started")
	}
	if d.atEnd != nil {
		d.atEnd(u)
	}
	slices.Sort(u.cancelWaits)
	median, longest := time.Duration(0), time.Duration(0)
	if n := len(u.cancelWaits); n > 0 {
		median, longest = u.cancelWaits[n/2], u.cancelWaits[n-1]
	}
	t.Logf("%d jobs, %d requests, %d answered, %d of these 503, %d late ends; %d starts sent, %d after a confirmed cancellation; %d cancellations, median %v, longest %v", len(u.jobs), u.requests, u.answered, u.unavailable, u.lateEnds, u.startsSent, u.startsAfterCancellation, len(u.cancelWaits), median, longest)
	return u
}

// freeMachineFor returns a machine that can run a task of the job now: it is healthy, has
// enough free processors, and its zone, type and purchase option (spot or not) are allowed. It
// returns false if there is none, if a task of the job is on a machine, if all have completed,
// if the job's team would exceed its limit, or if the job is a gang.
func (u *users) freeMachineFor(j *userJob) (protocol.MachineID, bool) {
	if j.job.Kind == protocol.KindGang {
		return "", false
	}
	missing, zones, used := false, map[protocol.Zone]int{}, 0.0
	free := map[protocol.MachineID]float64{}
	placed := map[protocol.TaskID]bool{}
	for _, id := range u.machineOrder {
		m := u.workers[id]
		free[id] = m.Info.CPUs
		for _, task := range m.Tasks() {
			other := u.world.jobs[task.Job]
			free[id] -= other.CPUs
			if other.Team == j.job.Team {
				used += other.CPUs
			}
			if task.Job == j.id {
				placed[task] = true
				zones[m.Zone]++
			}
		}
	}
	for i := range j.job.Tasks {
		task := protocol.TaskID{Job: j.id, Index: i}
		missing = missing || !u.results[task] && !placed[task]
	}
	team, _ := u.settings.Team(j.job.Team)
	if !missing || len(placed) > 0 || team.MaxCPUs > 0 && used+j.job.CPUs > team.MaxCPUs {
		return "", false
	}
	for _, id := range u.machineOrder {
		m := u.workers[id]
		fits := !m.Dead && !m.Faulty && m.Notice == nil && free[id] >= j.job.CPUs && (j.job.Spot || !m.Spot) && (j.job.Zone == "" || j.job.Zone == m.Zone) &&
			(len(j.job.Types) == 0 || slices.Contains(j.job.Types, m.Info.Name))
		if j.job.OneZone && len(zones) > 0 && zones[m.Zone] == 0 || j.job.Spread && zones[m.Zone] >= int(j.job.Tasks+1)/2 {
			fits = false
		}
		if fits {
			return id, true
		}
	}
	return "", false
}

// checkWaitsBesideFreeMachines checks that no accepted job waits longer than
// maxWaitBesideFreeMachine although freeMachineFor returns a machine for it. It keeps the time
// since which each such job waits in waitingSince, which the caller passes to each call.
func (u *users) checkWaitsBesideFreeMachines(waitingSince map[protocol.JobID]time.Duration) {
	for _, j := range ordered.ByKey(u.jobs) {
		m, waits := protocol.MachineID(""), false
		if j.accepted && u.finalState[j.id] == "" && !u.faultyJobs[j.id] {
			m, waits = u.freeMachineFor(j)
		}
		switch {
		case !waits:
			delete(waitingSince, j.id)
		case waitingSince[j.id] == 0:
			waitingSince[j.id] = u.now
		case u.now-waitingSince[j.id] > maxWaitBesideFreeMachine:
			u.fail("%v left waiting: %s for %v, although %s has room\n%s", u.now, j.id, u.now-waitingSince[j.id], m, u.describeJob(j.id))
		}
	}
}

// runSeeds runs the scenario with consecutive seeds, starting at firstSeed. No start may be
// sent after a confirmed cancellation.
func (d userScenario) runSeeds(t *testing.T, defaultCount, firstSeed int) {
	t.Helper()
	for seed := range seedCount(defaultCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if u := d.run(t, firstSeed+seed); u.startsAfterCancellation > 0 {
				t.Errorf("%d starts were sent after a confirmed cancellation", u.startsAfterCancellation)
			}
		})
	}
}

// TestUserAnswersWithoutFaults tests, without faults, that answers to users do not contradict
// each other and that no start is sent after a confirmed cancellation. Jobs are also
// cancelled, polled and submitted again when their last task ends.
func TestUserAnswersWithoutFaults(t *testing.T) {
	d := userScenario{
		machines: 9, duration: 60 * time.Second, job: (*world).randomJob, interval: time.Second, cancelFraction: 0.4,
		prepare: func(u *users) { u.requestOften, u.cancelAtEndFraction = true, 0.5 },
	}
	d.runSeeds(t, 6, 1_000_000)
}

// TestUserAnswersWithFaults tests that answers to users do not contradict each other, and that
// no controller sends a start after a confirmed cancellation, with
// the faults of the other generated scenarios, alone and two at once.
func TestUserAnswersWithFaults(t *testing.T) {
	fault := func(u *users) {
		u.runTime = u.drawSpreadRunTime
		switch u.rng.IntN(6) {
		case 0, 1:
			u.injectRandomFault()
		case 2:
			u.injectOverlappingFault()
			u.injectOverlappingFault()
		case 3:
			u.moveRandomShards(16)
		}
	}
	userScenario{
		machines: 9, duration: 120 * time.Second, job: (*world).randomJob, interval: time.Second, cancelFraction: 0.4, settleTime: 30 * time.Second,
		prepare: func(u *users) { u.requestOften, u.cancelAtEndFraction = true, 0.2 }, fault: fault,
	}.runSeeds(t, 20, 1_100_000)
}
