package simulator

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// restore ends a controller's process, which is back within a second.
func (n *node) restore() {
	w := n.world
	n.crashFor(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
}

// leader is the controller that writes machines' records, as far as anybody knows.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.core != nil && n.core.Status().Writes {
			return n
		}
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// callOff has users cancel up to so many jobs that run, within a fifth of a second, and
// some of their machines hang for a while, or be cut off from all controllers.
func (u *users) callOff(most int, hang time.Duration) {
	machines := map[protocol.MachineID]bool{}
	n := 0
	for _, id := range slices.Backward(u.jobOrder) {
		j := u.jobs[id]
		if j == nil || j.cancels || j.floor == over || n >= most {
			continue
		}
		runs := false
		for t, m := range u.onMachine {
			if t.Job == id {
				runs, machines[m.ID] = true, true
			}
		}
		if runs {
			n++
			u.after(time.Duration(u.rng.IntN(200))*time.Millisecond, func() { u.cancelJob(j) })
		}
	}
	if hang == 0 {
		return
	}
	for _, id := range u.machineOrder {
		if sw := u.workers[id]; machines[id] && u.rng.IntN(3) > 0 {
			switch u.rng.IntN(3) {
			case 0:
				sw.pausedUntil = max(sw.pausedUntil, u.now+hang)
			case 1:
				sw.inboundLostUntil = max(sw.inboundLostUntil, u.now+hang)
			case 2:
				sw.outboundLostUntil = max(sw.outboundLostUntil, u.now+hang)
			}
		}
	}
}

// boundTeams are teams that all have limits, less than their jobs ask for.
var boundTeams = []config.Team{{Name: "cold", CPUs: 8, MaxCPUs: 16}, {Name: "desk", CPUs: 6, MaxCPUs: 10}, {Name: "yield", MaxCPUs: 8}}

// boundJob is a job of one of these.
func boundJob(w *world) protocol.Job {
	j := w.randomJob()
	j.Team = boundTeams[w.rng.IntN(len(boundTeams))].Name
	if j.Kind != protocol.KindJobArray {
		j.Tasks = min(j.Tasks, uint32(8/j.CPUs))
	}
	return j
}

// oneZoneJob is bound to a zone, or has to have all of its tasks in one.
func oneZoneJob(w *world) protocol.Job {
	j := w.randomJob()
	if j.Spread = false; w.rng.IntN(2) == 0 {
		j.Zone, j.OneZone = []protocol.Zone{"a", "b"}[w.rng.IntN(2)], false
	} else {
		j.Zone, j.OneZone = "", true
	}
	return j
}

// smallJob has one task.
func smallJob(w *world) protocol.Job {
	return protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 3, Spot: true}
}

// userMeetings are the operators' meetings, each by itself, with users at all
// controllers.
func userMeetings() map[string]userDay {
	second := time.Second
	base := userDay{machines: 9, lasts: 100 * second, job: (*world).randomJob, every: second, cancels: 0.3, after: 30 * second}
	with := func(change func(*userDay)) userDay {
		d := base
		change(&d)
		return d
	}
	long := func(u *users) { u.runTime = u.farApart }
	closely := func(u *users) { u.closely, u.cancelEnds, u.cancelAtOnce = true, 0.2, 0.2 }
	return map[string]userDay{
		"users ask at all nodes within milliseconds": with(func(d *userDay) {
			d.prepare = closely
			d.trouble = func(u *users) {
				u.watchLag = time.Duration(u.rng.IntN(4)) * 300 * time.Millisecond
				n := u.nodes[u.rng.IntN(3)]
				for end := u.now + 3*second; u.now < end; { // some begin as they are asked
					u.after(time.Duration(u.rng.IntN(2000))*time.Millisecond, func() { n.restore() })
					u.run(u.now + second)
				}
				u.stateLatency = time.Duration(u.rng.IntN(3)) * 150 * time.Millisecond
				if u.rng.IntN(2) == 0 {
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", time.Duration(1+u.rng.IntN(10))*second, u.rng.IntN(2) == 0)
				}
			}
		}),
		"only the answer of a transaction is lost": with(func(d *userDay) {
			d.prepare = closely
			d.trouble = func(u *users) {
				u.lostAnswerFraction = 0.5
				switch u.rng.IntN(4) {
				case 0:
					u.nodes[u.rng.IntN(3)].restore()
				case 1:
					u.moveRandomShards(16)
				case 2:
					u.nodes[u.rng.IntN(3)].shutDown()
				}
			}
		}),
		"teams at their limits, machines cut off or hanging, a new leader": with(func(d *userDay) {
			d.teams, d.job, d.waits = boundTeams, boundJob, true
			d.prepare = long
			d.trouble = func(u *users) {
				n := u.nodes[u.rng.IntN(3)]
				u.watchLag = time.Duration(u.rng.IntN(4)) * 500 * time.Millisecond
				if u.rng.IntN(2) == 0 {
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", time.Duration(1+u.rng.IntN(7))*second, true) // follows late
				}
				u.callOff(4, time.Duration(1+u.rng.IntN(20))*second)
				switch u.rng.IntN(4) {
				case 0, 1:
					u.after(time.Duration(u.rng.IntN(1000))*time.Millisecond, func() { n.restore() })
				case 2:
					u.moveRandomShards(24)
				case 3: // a keeper takes over, and then follows late what is cancelled
					u.moveRandomShards(60)
					after := time.Duration(u.rng.IntN(1500)) * time.Millisecond
					u.after(after, func() {
						u.partition(string(n.name), "state", time.Duration(4+u.rng.IntN(4))*second, true)
						u.callOff(8, 0)
					})
				}
			}
		}),
		"jobs are cancelled while work changes hands": with(func(d *userDay) {
			d.prepare = closely
			d.trouble = func(u *users) {
				n := u.nodes[u.rng.IntN(3)]
				u.watchLag = time.Duration(u.rng.IntN(4)) * 300 * time.Millisecond
				switch u.rng.IntN(4) {
				case 0:
					u.moveRandomShards(24)
				case 1:
					n.shutDown()
				case 2:
					n.restore()
				case 3:
					u.partition(string(n.name), "state", 10*second, u.rng.IntN(2) == 0)
				}
				u.cancelOver(4, 2*second)
			}
		}),
		"new machines within two seconds, late writes, the leader ends": with(func(d *userDay) {
			d.machines, d.every = 3, second/2
			d.prepare = func(u *users) {
				u.cloud.Capacity = 14
				u.bootTime = func(protocol.ProvisionRequest) time.Duration {
					return time.Duration(100+u.rng.IntN(1900)) * time.Millisecond
				}
				rented := u.onProvisioned
				u.onProvisioned = func(id protocol.MachineID, r protocol.ProvisionRequest) {
					rented(id, r)
					if u.rng.IntN(3) == 0 && u.now < 100*second {
						u.after(time.Duration(u.rng.IntN(3000))*time.Millisecond, func() { u.leader().restore() })
					}
				}
			}
			d.trouble = func(u *users) {
				u.lateWriteFraction = 0.4
				if u.rng.IntN(3) == 0 && len(u.machineOrder) > 3 {
					u.killMachine(u.machineOrder[u.rng.IntN(len(u.machineOrder))])
				}
			}
		}),
		"an old report reaches every controller as a new leader begins": with(func(d *userDay) {
			d.trouble = func(u *users) {
				u.keepHeartbeats, u.duplicateHeartbeatFraction = true, 0.3
				u.some(0.2, func(sw *worker) { sw.pausedUntil = u.now + time.Duration(u.rng.IntN(20))*second })
				switch u.rng.IntN(3) {
				case 0:
					u.leader().restore()
				case 1:
					u.leader().crashFor(9 * second)
				}
			}
		}),
		"one-task jobs come four a second": with(func(d *userDay) {
			d.job, d.every, d.cancels, d.machines = smallJob, second/4, 0.25, 9
			d.trouble = func(u *users) {
				if u.rng.IntN(6) == 0 {
					u.nodes[u.rng.IntN(3)].restore()
				}
			}
		}),
		"jobs bound to one zone lose machines": with(func(d *userDay) {
			d.job = oneZoneJob
			d.trouble = func(u *users) {
				u.some(0.15, func(sw *worker) { u.killMachine(sw.ID) })
				u.some(0.15, func(sw *worker) { sw.inboundLostUntil = u.now + time.Duration(u.rng.IntN(25))*second })
				if u.rng.IntN(3) == 0 {
					u.nodes[u.rng.IntN(3)].restore()
				}
			}
		}),
		"leaders change ten times in two minutes, also in an outage": with(func(d *userDay) {
			d.lasts = 120 * second
			d.trouble = func(u *users) {
				if u.rng.IntN(2) == 0 {
					u.leader().crashFor(time.Duration(100+u.rng.IntN(9000)) * time.Millisecond)
				}
				if u.rng.IntN(5) == 0 {
					u.outageUntil = u.now + time.Duration(3+u.rng.IntN(15))*second
				}
			}
		}),
		"workers reach no controller, commands reach them": with(func(d *userDay) {
			d.prepare = long
			d.trouble = func(u *users) {
				u.some(0.3, func(sw *worker) { sw.outboundLostUntil = u.now + time.Duration(u.rng.IntN(30))*second })
				u.cancelOver(2, 5*second)
				if u.rng.IntN(4) == 0 {
					u.nodes[u.rng.IntN(3)].restore()
				}
			}
		}),
		"a zone with a controller cut off for longer than leases": with(func(d *userDay) {
			d.lasts, d.prepare = 150*second, long
			d.trouble = func(u *users) {
				if u.rng.IntN(3) == 0 {
					u.partitionZone(u.zoneOf(u.rng.IntN(2)), u.rng.IntN(2) == 0, time.Duration(16+u.rng.IntN(30))*second, u.rng.IntN(2) == 0)
				}
				u.cancelOver(2, 5*second)
			}
		}),
		"cancelled at the moment of the lone refusal, then out for all": with(func(d *userDay) {
			d.lasts, d.prepare, d.after = 200*second, long, 90*second
			d.trouble = func(u *users) {
				if u.now < 25*second || u.outageUntil > u.now || u.rng.IntN(3) > 0 {
					return
				}
				out := time.Duration(36+u.rng.IntN(15)) * second
				u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", second+out, u.rng.IntN(2) == 0)
				u.callOff(6, time.Duration(u.rng.IntN(2)*10)*second)
				u.after(second, func() { u.outageUntil = u.now + out })
			}
		}),
		"all controllers are away for longer than leases": with(func(d *userDay) {
			d.lasts, d.prepare = 150*second, long
			d.trouble = func(u *users) {
				if u.rng.IntN(6) == 0 {
					away := time.Duration(16+u.rng.IntN(20)) * second
					for _, n := range u.nodes {
						n.crashFor(away + time.Duration(u.rng.IntN(1500))*time.Millisecond)
					}
				}
			}
		}),
		"more work than room, over slow links": with(func(d *userDay) {
			d.machines, d.every, d.waits = 5, second/3, true
			d.job = func(w *world) protocol.Job {
				j := w.randomJob()
				j.Types = nil // the cloud has no more of a type
				j.Priority = []protocol.Priority{"production", "high", "standard", "best_effort"}[w.rng.IntN(4)]
				return j
			}
			d.lasts = 60 * second
			d.prepare = func(u *users) { u.cloud.Capacity = 6 }
			d.trouble = func(u *users) { u.stateLatency, u.slowMessageFraction = 300*time.Millisecond, 0.3 }
		}),
		"two troubles at once": with(func(d *userDay) {
			d.prepare = func(u *users) { closely(u); long(u) }
			d.trouble = func(u *users) {
				if u.rng.IntN(2) == 0 {
					u.meeting()
					u.meeting()
				}
				u.callOff(u.rng.IntN(3), time.Duration(u.rng.IntN(15))*second)
				switch u.rng.IntN(5) {
				case 0:
					u.lostAnswerFraction = u.rng.Float64() / 2
				case 1:
					u.keepHeartbeats = !u.keepHeartbeats
				case 2:
					u.some(0.2, func(sw *worker) { sw.outboundLostUntil = u.now + time.Duration(u.rng.IntN(20))*second })
				}
			}
		}),
	}
}

// TestUsersInEachMeeting plays the operators' meetings with users at all controllers.
// Every rule is checked at every step, and every answer against all that came before
// its question.
func TestUsersInEachMeeting(t *testing.T) {
	for name, d := range userMeetings() {
		t.Run(name, func(t *testing.T) { d.playSeeds(t, 5, 1_200_000) })
	}
}

// TestCancelledAtEachStepOfAHandover: a job is cancelled at each moment, 20 ms apart, of
// a share's move, a controller's leave, its end and its loss of the records; its tasks
// are gone in time, and none is started after the confirmation.
func TestCancelledAtEachStepOfAHandover(t *testing.T) {
	for name, hand := range map[string]struct {
		do   func(*world, *node)
		over time.Duration
	}{
		"shares move":     {func(w *world, n *node) { w.moveShards(n.shards(), w.nodes[0]) }, time.Second},
		"told to end":     {func(w *world, n *node) { n.shutDown() }, 1500 * time.Millisecond},
		"ends":            {func(w *world, n *node) { n.crashFor(200 * time.Millisecond) }, 1500 * time.Millisecond},
		"ends for longer": {func(w *world, n *node) { n.crashFor(12 * time.Second) }, 12 * time.Second},
		"refused alone":   {func(w *world, n *node) { w.partition(string(n.name), "state", 12*time.Second, false) }, 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step := 20 * time.Millisecond
			if hand.over > 2*time.Second {
				step = 200 * time.Millisecond
			}
			for at := time.Duration(0); at < hand.over; at += step {
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
				hand.do(w, n)
				w.run(w.now + at + time.Duration(w.settings.Site.Workers.CancelS)*time.Second + 10*time.Second)
				for id, j := range ordered.Of(u.jobs) {
					if j.told != protocol.JobCancelled {
						t.Errorf("after %v: the user of %s was not told: %+v, record %q", at, id, *j, w.finalState[id])
					}
				}
				if len(w.onMachine) > 0 {
					t.Errorf("after %v: %d tasks are still on machines", at, len(w.onMachine))
				}
				if u.startsAfter > u.apart {
					t.Errorf("after %v: %d starts sent after the confirmation, %d by one cut off", at, u.startsAfter, u.apart)
				}
			}
		})
	}
}

// TestSmallJobsKeepToTheRates: one-task jobs that come four a second for two minutes, a
// quarter of them cancelled, ask no more of the state service than it takes, and leave
// nothing but their states behind.
func TestSmallJobsKeepToTheRates(t *testing.T) {
	d := userDay{machines: 9, lasts: 120 * time.Second, job: smallJob, every: time.Second / 4, cancels: 0.25, prepare: func(u *users) { u.wellFormed = true }}
	u := d.play(t, 1_300_000)
	most, from := 0, 0
	for at := range u.changeTimes {
		for u.changeTimes[at]-u.changeTimes[from] > time.Second {
			from++
		}
		most = max(most, at-from+1)
	}
	if rate := u.settings.Site.State.WriteRPS; float64(most) > rate {
		t.Errorf("%d changes within a second, of %v", most, rate)
	}
	left := 0
	for _, it := range u.state.List("") {
		if strings.HasPrefix(it.Key, record.LiveKey("")) || strings.HasPrefix(it.Key, "bits/") {
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d records are left of jobs that are over", left)
	}
	t.Logf("%d changes within a second at the most, of %v", most, u.settings.Site.State.WriteRPS)
}

// TestLeaderEndsAtEachStep: the controller that writes records ends at each moment, 20 ms
// apart, of a new machine's first seconds, and of the election that follows when another
// has ended; the state service takes long, and carries out some transactions late. What
// waits for the machine runs, once; every job comes to its end.
func TestLeaderEndsAtEachStep(t *testing.T) {
	for name, first := range map[string]func(*users){
		"of a registration": func(u *users) {
			r := protocol.ProvisionRequest{Name: "new", Type: "large", Zone: "a", Count: 1}
			_, ids := u.cloud.Rent(r)
			u.bootMachine(ids[0], r)
		},
		"of an election":            func(u *users) { u.leader().crashFor(9 * time.Second) },
		"of an election, back soon": func(u *users) { u.leader().restore() },
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
				for end := w.now + 2*time.Minute; w.now < end && slices.ContainsFunc(slices.Collect(maps.Values(u.jobs)), func(j *userJob) bool { return j.floor < over }); {
					w.run(w.now + time.Second)
				}
				for id, j := range ordered.Of(u.jobs) {
					if j.told != protocol.JobDone {
						t.Errorf("after %v: the user of %s was not told that it is done", at, id)
					}
				}
			}
		})
	}
}
