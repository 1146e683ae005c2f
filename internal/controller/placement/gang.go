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

// refillTimeout is how long the remaining tasks of a gang are kept while released tasks of
// the gang cannot be placed again. It is longer than a shard takes to move. If the
// remaining tasks were stopped at once, gangs would start over while all their shards moved.
const refillTimeout = 3 * time.Second

// PlaceGang places all tasks of a gang under one attempt number, once no attempt with the last
// number is left, and adds them to usage. If only some tasks of the gang were released, it
// places these again. It returns nil if it places nothing; a gang for which there are no
// machines then claims some, unless it has waited for longer than claimDuration.
func (p *Placer) PlaceGang(job *jobs.Job, usage map[protocol.Team]resource.Amount, claims *Claims) []message.Placement {
	tasks := int(job.Tasks)
	if len(job.Placed) > 0 && job.IsGang() {
		return p.refillGang(job, usage, claims)
	}
	if len(job.Placed) > 0 || job.Unverified || !p.withinLimit(job, usage, tasks) || !claims.consumeHeadroom(job, tasks) {
		return nil
	}
	for _, zone := range p.zonesToTry(job, claims) {
		attempt := p.jobs.NextAttempt()
		if placed := p.placeAllOrNone(job, attempt, map[protocol.Zone]int{}, zone, claims); placed != nil {
			p.jobs.AddUsage(job, usage, tasks)
			return placed
		}
	}
	if job.IsGang() && p.Since(job.WaitingSince) < p.claimDuration(job) {
		p.claimMachines(job, claims)
	}
	return nil
}

// placeAllOrNone places all pending tasks of a gang under one attempt number on machines of a
// zone, or of any zone if zone is empty, and returns the placements. zones counts the gang's
// other tasks in each zone. If one task fits nowhere, it places none and returns nil. It uses
// no machine that another gang of the same or a lower level has claimed.
func (p *Placer) placeAllOrNone(job *jobs.Job, attempt protocol.Attempt, zones map[protocol.Zone]int, zone protocol.Zone, claims *Claims) []message.Placement {
	undo := claims.savepoint()
	suitable := p.candidatesFor(job, zones, claims)
	if zone != "" || len(claims.Gangs) > 0 {
		suitable.restrict(func(m *waittable.Machine) bool {
			return (zone == "" || m.Record.Zone == zone) && !claims.Blocks(job, m)
		})
	}
	var placed []message.Placement
	for i, ok := job.Pending.NextSet(0); ok; i, ok = job.Pending.NextSet(i + 1) {
		m := suitable.best(zones)
		if m == nil {
			p.undoPlacements(job, placed)
			undo()
			return nil
		}
		placed = append(placed, p.placeOnBest(suitable, uint32(i), m, attempt, zones))
	}
	return placed
}

// undoPlacements undoes placements of this step that have not been sent: it removes their
// attempts and the waits that these added, and makes their tasks pending again.
func (p *Placer) undoPlacements(job *jobs.Job, placed []message.Placement) {
	for _, placement := range placed {
		attempt := job.Placed[placement.Task]
		p.table.Machines[attempt.Machine].DropPendingWaits(1)
		p.jobs.RemoveAttempt(job, attempt)
		job.Pending.Set(uint(placement.Task.Index))
	}
}

// refillGang places the released tasks of a gang under the attempt number of its remaining
// tasks. If that has been impossible for refillTimeout, it stops the remaining tasks. It
// returns nil if it places nothing, and does nothing while tasks of the gang are being stopped,
// or are neither placed nor pending.
func (p *Placer) refillGang(job *jobs.Job, usage map[protocol.Team]resource.Amount, claims *Claims) []message.Placement {
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
		if placed := p.placeAllOrNone(job, number, job.ZoneCounts(), "", claims); placed != nil {
			job.IncompleteSince = 0
			p.jobs.AddUsage(job, usage, missing)
			return placed
		}
	}
	if job.IncompleteSince == 0 {
		job.IncompleteSince = p.Now
	}
	if p.Since(job.IncompleteSince) < refillTimeout {
		return nil
	}
	job.IncompleteSince = 0
	p.jobs.StopAttempts(job)
	return nil
}

// zonesToTry lists the zones to try for a gang. If its tasks may be in different zones, that
// is the empty zone, which allows all zones. Otherwise it lists the zones with capacity for
// the whole gang; zones in which more of its tasks fit now come first.
func (p *Placer) zonesToTry(job *jobs.Job, claims *Claims) []protocol.Zone {
	if !job.OneZone || !job.IsGang() {
		return []protocol.Zone{""}
	}
	tasks := int(job.Tasks)
	avoidsSpot := p.workload.AvoidsSpot(&job.Job)
	fitNow, fitPreempting := p.countFittingByZone(job, claims, avoidsSpot)
	zones := zonesWithCapacity(fitPreempting, tasks)
	if len(zones) == 0 && avoidsSpot { // an avoided spot machine is better than none
		fitNow, fitPreempting = p.countFittingByZone(job, claims, false)
		zones = zonesWithCapacity(fitPreempting, tasks)
	}
	slices.SortStableFunc(zones, func(a, b protocol.Zone) int { return min(fitNow[b], tasks) - min(fitNow[a], tasks) })
	return zones
}

// zonesWithCapacity lists the zones in which at least the given number of tasks fit, by name.
func zonesWithCapacity(fitting map[protocol.Zone]int, tasks int) []protocol.Zone {
	var zones []protocol.Zone
	for zone := range ordered.ByKey(fitting) {
		if fitting[zone] >= tasks {
			zones = append(zones, zone)
		}
	}
	return zones
}

// countFittingByZone returns, by zone, how many tasks of a gang fit now, and how many would fit
// once tasks of lower levels are preempted. It counts only feasible machines that no claim of
// another gang blocks (see Claims.Blocks), and no spot machines if withoutSpot is set.
func (p *Placer) countFittingByZone(job *jobs.Job, claims *Claims, withoutSpot bool) (now, preempting map[protocol.Zone]int) {
	now, preempting = map[protocol.Zone]int{}, map[protocol.Zone]int{}
	need, noZones := resource.Need(&job.Job), map[protocol.Zone]int{}
	p.ExaminedMachines += len(p.table.InOrder())
	feasible := p.Feasible(job, noZones)
	for _, m := range p.table.InOrder() {
		if !feasible(m) || claims.Blocks(job, m) || withoutSpot && m.Record.Spot {
			continue
		}
		free, obtainable := m.Free(), m.NonPreemptibleFree(job.Level)
		if p.reservations.HeldFor(&job.Job, m) {
			free = m.Idle() // the gang's reservation lets it overtake queued tasks
			obtainable = free
		}
		now[m.Record.Zone] += free.CountFitting(need)
		preempting[m.Record.Zone] += obtainable.CountFitting(need)
	}
	return now, preempting
}

// claimMachines claims as many machines as a gang needs if tasks of lower levels are preempted,
// or fewer if there are not enough. Until the end of the step, gangs that the claiming gang
// could not preempt must use other machines. A gang that must run in one zone claims machines
// in the zone in which most of its tasks would fit.
func (p *Placer) claimMachines(job *jobs.Job, claims *Claims) {
	need, noZones := resource.Need(&job.Job), map[protocol.Zone]int{}
	var best protocol.Zone
	if job.OneZone {
		_, fitting := p.countFittingByZone(job, claims, false)
		for zone, n := range ordered.ByKey(fitting) {
			if best == "" || n > fitting[best] {
				best = zone
			}
		}
	}
	remaining := int(job.Tasks)
	p.ExaminedMachines += len(p.table.InOrder())
	feasible := p.Feasible(job, noZones)
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

// renewClaims repeats, in a step in which a gang is not tried, the claims that the gang made
// when it was last tried.
func (p *Placer) renewClaims(job *jobs.Job, claims *Claims) {
	for _, m := range job.ClaimedMachines {
		if p.table.Machines[m.ID] == m && !claims.Blocks(job, m) {
			claims.Gangs[m] = job.Level
		}
	}
}

// claimDurationBoots is the time for which a gang claims machines, in boot times of the slowest
// machine type that the gang may use.
const claimDurationBoots = 4

// claimDuration returns how long after its submission a gang claims machines:
// claimDurationBoots boot times of the slowest machine type that it may use. Machines that have
// not been provisioned within several boot times may never be.
func (p *Placer) claimDuration(job *jobs.Job) time.Duration {
	bootSeconds := 0.0
	for _, machineType := range p.Types {
		if job.AllowsKind(machineType, job.Zone, false) {
			bootSeconds = max(bootSeconds, machineType.BootS)
		}
	}
	return time.Duration(claimDurationBoots * bootSeconds * float64(time.Second))
}
