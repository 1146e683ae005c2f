package simulator

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// crashBriefly crashes a controller's process and restarts it after 0.1 to 1 s.
func (n *node) crashBriefly() {
	w := n.world
	n.crashFor(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
}

// registrar returns a controller that considers itself the registrar, which writes the machine
// records, or a random one if there is none.
func (w *world) registrar() *node {
	for _, n := range w.nodes {
		if n.core != nil && n.core.Status().IsRegistrar {
			return n
		}
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// cancelRunningJobs makes users cancel up to maxJobs running jobs, the latest ones, within 200
// ms. If hang is not 0, two thirds of the machines of these jobs, at random, are paused for
// that time, or their messages to or from the controllers are lost.
func (u *users) cancelRunningJobs(maxJobs int, hang time.Duration) {
	machines := map[protocol.MachineID]bool{}
	n := 0
	for _, id := range slices.Backward(u.jobOrder) {
		j := u.jobs[id]
		if j == nil || j.cancelRequested || j.rank == rankFinal || n >= maxJobs {
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
		if m := u.workers[id]; machines[id] && u.rng.IntN(3) > 0 {
			switch u.rng.IntN(3) {
			case 0:
				m.pausedUntil = max(m.pausedUntil, u.now+hang)
			case 1:
				m.inboundLostUntil = max(m.inboundLostUntil, u.now+hang)
			case 2:
				m.outboundLostUntil = max(m.outboundLostUntil, u.now+hang)
			}
		}
	}
}

// limitedTeams are teams with limits that are lower than what their jobs need.
var limitedTeams = []config.Team{{Name: "cold", CPUs: 8, MaxCPUs: 16}, {Name: "desk", CPUs: 6, MaxCPUs: 10}, {Name: "yield", MaxCPUs: 8}}

// limitedTeamJob returns a random job of one of limitedTeams.
func limitedTeamJob(w *world) protocol.Job {
	j := w.randomJob()
	j.Team = limitedTeams[w.rng.IntN(len(limitedTeams))].Name
	if j.Kind != protocol.KindJobArray {
		j.Tasks = min(j.Tasks, uint32(8/j.CPUs))
	}
	return j
}

// oneZoneJob returns a random job that must run in a given zone, or whose tasks must all run in
// the same zone.
func oneZoneJob(w *world) protocol.Job {
	j := w.randomJob()
	if j.Spread = false; w.rng.IntN(2) == 0 {
		j.Zone, j.OneZone = []protocol.Zone{"a", "b"}[w.rng.IntN(2)], false
	} else {
		j.Zone, j.OneZone = "", true
	}
	return j
}

// smallJob returns a job with one task.
func smallJob(w *world) protocol.Job {
	return protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 3, Spot: true}
}

// overlappingFaultScenarios returns a scenario for each combination of overlapping faults that
// the operators have specified, with users at all controllers.
func overlappingFaultScenarios() map[string]userScenario {
	second := time.Second
	base := userScenario{machines: 9, duration: 100 * second, job: (*world).randomJob, interval: second, cancelFraction: 0.3, settleTime: 30 * second}
	with := func(change func(*userScenario)) userScenario {
		d := base
		change(&d)
		return d
	}
	useSpreadRunTimes := func(u *users) { u.runTime = u.drawSpreadRunTime }
	requestOften := func(u *users) { u.requestOften, u.cancelAtEndFraction, u.cancelAtOnceFraction = true, 0.2, 0.2 }
	return map[string]userScenario{
		"users send requests to all nodes within milliseconds": with(func(d *userScenario) {
			d.prepare = requestOften
			d.fault = func(u *users) {
				u.watchLag = time.Duration(u.rng.IntN(4)) * 300 * time.Millisecond
				n := u.nodes[u.rng.IntN(3)]
				for end := u.now + 3*second; u.now < end; { // some processes start while requests arrive
					u.after(time.Duration(u.rng.IntN(2000))*time.Millisecond, func() { n.crashBriefly() })
					u.run(u.now + second)
				}
				u.stateLatency = time.Duration(u.rng.IntN(3)) * 150 * time.Millisecond
				if u.rng.IntN(2) == 0 {
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", time.Duration(1+u.rng.IntN(10))*second, u.rng.IntN(2) == 0)
				}
			}
		}),
		"refused by the state service for longer than a lease, with slow watch answers": with(func(d *userScenario) {
			// The answer of a watch that was asked for before the lease was lost arrives after
			// the next session has read its snapshot: docs/incidents/2026-12-04-late-watch-of-an-ended-session.md.
			d.duration = 150 * second
			d.prepare = func(u *users) {
				useSpreadRunTimes(u)
				u.slowWatchFraction = 0.5
			}
			d.fault = func(u *users) {
				if u.rng.IntN(3) == 0 {
					refused := time.Duration(8000+u.rng.IntN(6000)) * time.Millisecond
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", refused, false)
					u.after(refused, func() { u.cancelRunningJobs(6, 0) })
				}
			}
		}),
		"commands wait for a slot while jobs are cancelled": with(func(d *userScenario) {
			d.machines, d.allowLongWaits = 5, true
			d.prepare = func(u *users) {
				requestOften(u)
				u.commandWaitFraction = 0.5
			}
			d.fault = func(u *users) {
				u.cancelRandomJobs(4, 2*second)
				if u.rng.IntN(4) == 0 {
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", time.Duration(8+u.rng.IntN(5))*second, false)
				}
			}
		}),
		"only the replies of transactions are lost": with(func(d *userScenario) {
			d.prepare = requestOften
			d.fault = func(u *users) {
				u.lostAnswerFraction = 0.5
				switch u.rng.IntN(4) {
				case 0:
					u.nodes[u.rng.IntN(3)].crashBriefly()
				case 1:
					u.moveRandomShards(16)
				case 2:
					u.nodes[u.rng.IntN(3)].shutDown()
				}
			}
		}),
		"teams at their limits, machines partitioned or paused, a new leader": with(func(d *userScenario) {
			d.teams, d.job, d.allowLongWaits = limitedTeams, limitedTeamJob, true
			d.prepare = useSpreadRunTimes
			d.fault = func(u *users) {
				n := u.nodes[u.rng.IntN(3)]
				u.watchLag = time.Duration(u.rng.IntN(4)) * 500 * time.Millisecond
				if u.rng.IntN(2) == 0 {
					u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", time.Duration(1+u.rng.IntN(7))*second, true) // observes changes late
				}
				u.cancelRunningJobs(4, time.Duration(1+u.rng.IntN(20))*second)
				switch u.rng.IntN(4) {
				case 0, 1:
					u.after(time.Duration(u.rng.IntN(1000))*time.Millisecond, func() { n.crashBriefly() })
				case 2:
					u.moveRandomShards(24)
				case 3: // a controller takes over shards, and then observes cancellations late
					u.moveRandomShards(60)
					after := time.Duration(u.rng.IntN(1500)) * time.Millisecond
					u.after(after, func() {
						u.partition(string(n.name), "state", time.Duration(4+u.rng.IntN(4))*second, true)
						u.cancelRunningJobs(8, 0)
					})
				}
			}
		}),
		"jobs are cancelled while shards move": with(func(d *userScenario) {
			d.prepare = requestOften
			d.fault = func(u *users) {
				n := u.nodes[u.rng.IntN(3)]
				u.watchLag = time.Duration(u.rng.IntN(4)) * 300 * time.Millisecond
				switch u.rng.IntN(4) {
				case 0:
					u.moveRandomShards(24)
				case 1:
					n.shutDown()
				case 2:
					n.crashBriefly()
				case 3:
					u.partition(string(n.name), "state", 10*second, u.rng.IntN(2) == 0)
				}
				u.cancelRandomJobs(4, 2*second)
			}
		}),
		"new machines within two seconds, late writes, leader crashes": with(func(d *userScenario) {
			d.machines, d.interval = 3, second/2
			d.prepare = func(u *users) {
				u.cloud.Capacity = 14
				u.bootTime = func(protocol.ProvisionRequest) time.Duration {
					return time.Duration(100+u.rng.IntN(1900)) * time.Millisecond
				}
				onProvisioned := u.onProvisioned
				u.onProvisioned = func(id protocol.MachineID, r protocol.ProvisionRequest) {
					onProvisioned(id, r)
					if u.rng.IntN(3) == 0 && u.now < 100*second {
						u.after(time.Duration(u.rng.IntN(3000))*time.Millisecond, func() { u.registrar().crashBriefly() })
					}
				}
			}
			d.fault = func(u *users) {
				u.lateWriteFraction = 0.4
				if u.rng.IntN(3) == 0 && len(u.machineOrder) > 3 {
					u.killMachine(u.machineOrder[u.rng.IntN(len(u.machineOrder))])
				}
			}
		}),
		"old heartbeats reach every controller when a new leader starts": with(func(d *userScenario) {
			d.fault = func(u *users) {
				u.recordHeartbeats, u.duplicateHeartbeatFraction = true, 0.3
				u.forRandomWorkers(0.2, func(m *worker) { m.pausedUntil = u.now + time.Duration(u.rng.IntN(20))*second })
				switch u.rng.IntN(3) {
				case 0:
					u.registrar().crashBriefly()
				case 1:
					u.registrar().crashFor(9 * second)
				}
			}
		}),
		"four one-task jobs per second": with(func(d *userScenario) {
			d.job, d.interval, d.cancelFraction, d.machines = smallJob, second/4, 0.25, 9
			d.fault = func(u *users) {
				if u.rng.IntN(6) == 0 {
					u.nodes[u.rng.IntN(3)].crashBriefly()
				}
			}
		}),
		"jobs restricted to one zone lose machines": with(func(d *userScenario) {
			d.job = oneZoneJob
			d.fault = func(u *users) {
				u.forRandomWorkers(0.15, func(m *worker) { u.killMachine(m.ID) })
				u.forRandomWorkers(0.15, func(m *worker) { m.inboundLostUntil = u.now + time.Duration(u.rng.IntN(25))*second })
				if u.rng.IntN(3) == 0 {
					u.nodes[u.rng.IntN(3)].crashBriefly()
				}
			}
		}),
		"leaders change ten times in two minutes, also during an outage": with(func(d *userScenario) {
			d.duration = 120 * second
			d.fault = func(u *users) {
				if u.rng.IntN(2) == 0 {
					u.registrar().crashFor(time.Duration(100+u.rng.IntN(9000)) * time.Millisecond)
				}
				if u.rng.IntN(5) == 0 {
					u.outageUntil = u.now + time.Duration(3+u.rng.IntN(15))*second
				}
			}
		}),
		"workers reach no controller, but commands reach them": with(func(d *userScenario) {
			d.prepare = useSpreadRunTimes
			d.fault = func(u *users) {
				u.forRandomWorkers(0.3, func(m *worker) { m.outboundLostUntil = u.now + time.Duration(u.rng.IntN(30))*second })
				u.cancelRandomJobs(2, 5*second)
				if u.rng.IntN(4) == 0 {
					u.nodes[u.rng.IntN(3)].crashBriefly()
				}
			}
		}),
		"a zone with a controller partitioned for longer than leases": with(func(d *userScenario) {
			d.duration, d.prepare = 150*second, useSpreadRunTimes
			d.fault = func(u *users) {
				if u.rng.IntN(3) == 0 {
					u.partitionZone(u.nodeZone(u.rng.IntN(2)), u.rng.IntN(2) == 0, time.Duration(16+u.rng.IntN(30))*second, u.rng.IntN(2) == 0)
				}
				u.cancelRandomJobs(2, 5*second)
			}
		}),
		"cancellations during a short partition, then an outage": with(func(d *userScenario) {
			d.duration, d.prepare, d.settleTime = 200*second, useSpreadRunTimes, 90*second
			d.fault = func(u *users) {
				if u.now < 25*second || u.outageUntil > u.now || u.rng.IntN(3) > 0 {
					return
				}
				outage := time.Duration(36+u.rng.IntN(15)) * second
				u.partition(string(u.nodes[u.rng.IntN(3)].name), "state", second+outage, u.rng.IntN(2) == 0)
				u.cancelRunningJobs(6, time.Duration(u.rng.IntN(2)*10)*second)
				u.after(second, func() { u.outageUntil = u.now + outage })
			}
		}),
		"all controllers down for longer than leases": with(func(d *userScenario) {
			d.duration, d.prepare = 150*second, useSpreadRunTimes
			d.fault = func(u *users) {
				if u.rng.IntN(6) == 0 {
					downFor := time.Duration(16+u.rng.IntN(20)) * second
					for _, n := range u.nodes {
						n.crashFor(downFor + time.Duration(u.rng.IntN(1500))*time.Millisecond)
					}
				}
			}
		}),
		"more jobs than capacity, with slow messages": with(func(d *userScenario) {
			d.machines, d.interval, d.allowLongWaits = 5, second/3, true
			d.job = func(w *world) protocol.Job {
				j := w.randomJob()
				j.Types = nil // the cloud has no more machines of some type
				j.Priority = []protocol.Priority{"production", "high", "standard", "best_effort"}[w.rng.IntN(4)]
				return j
			}
			d.duration = 60 * second
			d.prepare = func(u *users) { u.cloud.Capacity = 6 }
			d.fault = func(u *users) { u.stateLatency, u.slowMessageFraction = 300*time.Millisecond, 0.3 }
		}),
		"two faults at once": with(func(d *userScenario) {
			d.prepare = func(u *users) { requestOften(u); useSpreadRunTimes(u) }
			d.fault = func(u *users) {
				if u.rng.IntN(2) == 0 {
					u.injectOverlappingFault()
					u.injectOverlappingFault()
				}
				u.cancelRunningJobs(u.rng.IntN(3), time.Duration(u.rng.IntN(15))*second)
				switch u.rng.IntN(5) {
				case 0:
					u.lostAnswerFraction = u.rng.Float64() / 2
				case 1:
					u.recordHeartbeats = !u.recordHeartbeats
				case 2:
					u.forRandomWorkers(0.2, func(m *worker) { m.outboundLostUntil = u.now + time.Duration(u.rng.IntN(20))*second })
				}
			}
		}),
	}
}

// TestUserAnswersUnderEachOverlappingFault runs the scenarios of overlapping faults with users
// at all controllers. Every rule is checked at every step, and every answer against all
// answers that arrived before its request was sent.
func TestUserAnswersUnderEachOverlappingFault(t *testing.T) {
	for name, d := range overlappingFaultScenarios() {
		t.Run(name, func(t *testing.T) { d.runSeeds(t, 5, 1_200_000) })
	}
}
