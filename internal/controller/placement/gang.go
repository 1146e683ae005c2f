package placement

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// refillWithin is how long the other tasks of a gang wait for a new place for tasks that
// were released: longer than the move of a shard takes. When they were stopped at once,
// gangs started over while all their shards moved.
const refillWithin = 3 * time.Second

// PlaceGang places all tasks of a gang under one attempt number, once nothing of its last
// attempt is left.
func (p *Placer) PlaceGang(job *jobs.Job, usage map[protocol.Team]resource.Amount, claims *Claims) []message.Placement {
	tasks := int(job.Tasks)
	if len(job.Placed) > 0 && job.IsGang() {
		return p.refill(job, usage, claims)
	}
	if len(job.Placed) > 0 || job.Unverified || !p.withinLimit(job, usage, tasks) || !claims.takeHeadroom(job, tasks) {
		return nil
	}
	for _, zone := range p.gangZones(job, claims) {
		attempt := p.jobs.NextAttempt()
		if placed := p.placeTogether(job, attempt, map[protocol.Zone]int{}, zone, claims); placed != nil {
			p.jobs.AddUsage(job, usage, tasks)
			return placed
		}
	}
	if job.IsGang() && p.Since(job.WaitingSince) < p.claimDuration(job) {
		p.claimMachines(job, claims)
	}
	return nil
}

// placeTogether places all pending tasks of a gang under one attempt, or none, given the
// zones of its other tasks. An empty zone allows all.
func (p *Placer) placeTogether(job *jobs.Job, attempt protocol.Attempt, zones map[protocol.Zone]int, zone protocol.Zone, claims *Claims) []message.Placement {
	undo := claims.savepoint()
	from := p.candidatesFor(job, zones, claims)
	if zone != "" || len(claims.Gangs) > 0 {
		from.restrict(func(m *waittable.Machine) bool {
			return (zone == "" || m.Record.Zone == zone) && !claims.Blocks(job, m)
		})
	}
	var placed []message.Placement
	for i, ok := job.Pending.NextSet(0); ok; i, ok = job.Pending.NextSet(i + 1) {
		m := from.smallest(zones)
		if m == nil {
			p.unplace(job, placed)
			undo()
			return nil
		}
		placed = append(placed, p.placeFrom(from, uint32(i), m, attempt, zones))
	}
	return placed
}

// unplace takes back placements of this step that were not sent.
func (p *Placer) unplace(job *jobs.Job, placed []message.Placement) {
	for _, placement := range placed {
		attempt := job.Placed[placement.Task]
		p.table.Machines[attempt.Machine].DropPendingWaits(1)
		p.jobs.RemoveAttempt(job, attempt)
		job.Pending.Set(uint(placement.Task.Index))
	}
}

// refill places the tasks of a gang that were released under the attempt of the others.
// If there has been no place for them for refillWithin, it stops the others.
func (p *Placer) refill(job *jobs.Job, usage map[protocol.Team]resource.Amount, claims *Claims) []message.Placement {
	missing := int(job.Pending.Count())
	if job.Unverified || missing+len(job.Placed) != int(job.Tasks) {
		return nil
	}
	var number protocol.Attempt
	for _, attempt := range job.Placed {
		if attempt.Stopping {
			return nil
		}
		number = attempt.Number
	}
	if p.withinLimit(job, usage, missing) {
		if placed := p.placeTogether(job, number, job.ZoneCounts(), "", claims); placed != nil {
			job.IncompleteSince = 0
			p.jobs.AddUsage(job, usage, missing)
			return placed
		}
	}
	if job.IncompleteSince == 0 {
		job.IncompleteSince = p.Now
	}
	if p.Since(job.IncompleteSince) < refillWithin {
		return nil
	}
	job.IncompleteSince = 0
	p.jobs.StopAttempts(job)
	return nil
}

// gangZones lists the zones to try for a gang: the empty zone, which allows all, unless
// its tasks must be in the same zone. Then it lists the zones that could hold the whole
// gang, those first in which most of it would fit now.
func (p *Placer) gangZones(job *jobs.Job, claims *Claims) []protocol.Zone {
	if !job.OneZone || !job.IsGang() {
		return []protocol.Zone{""}
	}
	tasks := int(job.Tasks)
	avoidsSpot := p.workload.AvoidsSpot(&job.Job)
	fitNow, fitPreempting := p.countFittingByZone(job, claims, avoidsSpot)
	zones := zonesFitting(fitPreempting, tasks)
	if len(zones) == 0 && avoidsSpot { // rather on spot machines than not at all
		fitNow, fitPreempting = p.countFittingByZone(job, claims, false)
		zones = zonesFitting(fitPreempting, tasks)
	}
	slices.SortStableFunc(zones, func(a, b protocol.Zone) int { return min(fitNow[b], tasks) - min(fitNow[a], tasks) })
	return zones
}

// zonesFitting lists the zones in which so many tasks fit.
func zonesFitting(fitting map[protocol.Zone]int, tasks int) []protocol.Zone {
	var zones []protocol.Zone
	for zone := range ordered.Of(fitting) {
		if fitting[zone] >= tasks {
			zones = append(zones, zone)
		}
	}
	return zones
}

// countFittingByZone returns how many of a gang's tasks fit by zone: now, and once work of
// lower levels is preempted. Spot machines may be left out.
func (p *Placer) countFittingByZone(job *jobs.Job, claims *Claims, withoutSpot bool) (now, preempting map[protocol.Zone]int) {
	now, preempting = map[protocol.Zone]int{}, map[protocol.Zone]int{}
	need, none := resource.Need(&job.Job), map[protocol.Zone]int{}
	p.Examined += len(p.table.InOrder())
	feasible := p.Feasible(job, none)
	for _, m := range p.table.InOrder() {
		if !feasible(m) || claims.Blocks(job, m) || withoutSpot && m.Record.Spot {
			continue
		}
		free, obtainable := m.Free(), m.NonPreemptibleFree(job.Level)
		if p.reservations.HeldFor(&job.Job, m) {
			free = m.Idle() // its reservation lets it overtake what is queued
			obtainable = free
		}
		now[m.Record.Zone] += free.CountFitting(need)
		preempting[m.Record.Zone] += obtainable.CountFitting(need)
	}
	return now, preempting
}

// claimMachines claims as many machines as a gang needs. A gang that must be in one zone
// claims them where most of its tasks would fit.
func (p *Placer) claimMachines(job *jobs.Job, claims *Claims) {
	need, none := resource.Need(&job.Job), map[protocol.Zone]int{}
	var best protocol.Zone
	if job.OneZone {
		_, fitting := p.countFittingByZone(job, claims, false)
		for zone, n := range ordered.Of(fitting) {
			if best == "" || n > fitting[best] {
				best = zone
			}
		}
	}
	remaining := int(job.Tasks)
	p.Examined += len(p.table.InOrder())
	feasible := p.Feasible(job, none)
	for _, m := range p.table.InOrder() {
		if remaining <= 0 {
			return
		}
		if best != "" && m.Record.Zone != best || claims.Blocks(job, m) || !feasible(m) {
			continue
		}
		if n := m.NonPreemptibleFree(job.Level).CountFitting(need); n > 0 {
			claims.Gangs[m] = job.Level
			job.ClaimedMachines = append(job.ClaimedMachines, m)
			remaining -= n
		}
	}
}

// renewClaims claims again what a gang claimed when it was last tried, until it is tried
// again.
func (p *Placer) renewClaims(job *jobs.Job, claims *Claims) {
	for _, m := range job.ClaimedMachines {
		if p.table.Machines[m.ID] == m && !claims.Blocks(job, m) {
			claims.Gangs[m] = job.Level
		}
	}
}

// claimBoots is how many boots of the slowest suitable machine type a gang's claims last.
const claimBoots = 4

// claimDuration bounds how long a gang claims machines: those that have not come within
// the time that several boots take may never come.
func (p *Placer) claimDuration(job *jobs.Job) time.Duration {
	bootSeconds := 0.0
	for _, machineType := range p.Types {
		if job.AllowsKind(machineType, job.Zone, false) {
			bootSeconds = max(bootSeconds, machineType.BootS)
		}
	}
	return time.Duration(claimBoots * bootSeconds * float64(time.Second))
}
