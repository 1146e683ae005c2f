package controller

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// isGang reports whether a task is of use only with others that run at the
// same time.
func (o *ownedJob) isGang() bool { return o.Kind == protocol.KindGang && o.Tasks > 1 }

// placeGang places all tasks of a gang with one attempt number, when nothing
// of its last attempt is left.
func (pl *placer) placeGang(o *ownedJob, usage map[protocol.Team]resource.Amount, cl *claims) []message.Placement {
	n := int(o.Tasks)
	if len(o.placed) > 0 && o.isGang() {
		return pl.refill(o, usage, cl)
	}
	if len(o.placed) > 0 || o.unverified || !pl.withinLimit(o, usage, n) || !cl.takeHeadroom(o, n) {
		return nil
	}
	var out []message.Placement
	for _, zone := range pl.gangZones(o, cl) {
		if out = pl.placeGangIn(o, zone, cl); out != nil {
			pl.jobs.addUse(o, usage, n)
			return out
		}
	}
	if o.isGang() && pl.Since(o.since) < pl.claimFor(o) {
		pl.claim(o, cl)
	}
	return nil
}

// placeGangIn places a gang in a zone, or in any if none is named.
func (pl *placer) placeGangIn(o *ownedJob, zone protocol.Zone, cl *claims) []message.Placement {
	return pl.placeTogether(o, pl.jobs.nextAttempt(), map[protocol.Zone]int{}, zone, cl)
}

// placeTogether places all pending tasks of a gang under one attempt, or none, given
// the zones of the others.
func (pl *placer) placeTogether(o *ownedJob, attempt protocol.Attempt, zones map[protocol.Zone]int, zone protocol.Zone, cl *claims) []message.Placement {
	undo := cl.tentative()
	from := pl.candidatesFor(o, zones, cl)
	if zone != "" || len(cl.gangs) > 0 {
		from.restrict(func(m *machineEntry) bool {
			return (zone == "" || m.Record.Zone == zone) && !cl.blocks(o, m)
		})
	}
	var out []message.Placement
	for i, ok := o.pending.NextSet(0); ok; i, ok = o.pending.NextSet(i + 1) {
		m := from.smallest(zones)
		if m == nil {
			for _, p := range out { // all or none
				t := o.placed[p.Task]
				pl.table.machines[t.machine].dropPendingWaits(1)
				pl.jobs.removeAttempt(o, t)
				o.pending.Set(uint(p.Task.Index))
			}
			undo()
			return nil
		}
		out = append(out, pl.placeFrom(from, uint32(i), m, attempt, zones))
	}
	return out
}

// refillable reports whether a task of a gang that its keeper has released, never
// sent, can be placed again under the same attempt: while nothing of the gang is
// being stopped, as the others only wait for it.
func (oj *ownedJobs) refillable(o *ownedJob, t *attempt) bool {
	if !o.isGang() || o.unverified || t.started || t.releaseAsked || len(o.placed) < 2 {
		return false
	}
	for _, other := range o.placed {
		if other.stopping || other.number != t.number {
			return false
		}
	}
	return true
}

// refillWithin is how long the others of a gang wait for a place for what was
// released: longer than the move of a share takes. Stopped at once, gangs were begun
// again while all their shares moved.
const refillWithin = 3 * time.Second

// refill places what of a gang was released, under the attempt of the others; or has
// these stopped, if there is no place for it for a while.
func (pl *placer) refill(o *ownedJob, usage map[protocol.Team]resource.Amount, cl *claims) []message.Placement {
	n := int(o.pending.Count())
	if o.unverified || n+len(o.placed) != int(o.Tasks) {
		return nil
	}
	var attempt protocol.Attempt
	for _, t := range o.placed {
		if t.stopping {
			return nil
		}
		attempt = t.number
	}
	if pl.withinLimit(o, usage, n) {
		if out := pl.placeTogether(o, attempt, o.zones(), "", cl); out != nil {
			o.lacksSince = 0
			pl.jobs.addUse(o, usage, n)
			return out
		}
	}
	if o.lacksSince == 0 {
		o.lacksSince = pl.Now
	}
	if pl.Since(o.lacksSince) < refillWithin {
		return nil
	}
	o.lacksSince = 0
	for _, t := range ordered.Tasks(o.placed) {
		pl.jobs.sendStop(t, true, clusterstate.GraceS(&o.Job))
	}
	return nil
}

// gangZones lists the zones to try for a gang: any, unless its tasks have to
// be in the same one. Then those that can hold it come in the order of what
// they have room for now.
func (pl *placer) gangZones(o *ownedJob, cl *claims) []protocol.Zone {
	if !o.OneZone || !o.isGang() {
		return []protocol.Zone{""}
	}
	n := int(o.Tasks)
	var zones []protocol.Zone
	now, firm := pl.zoneRoom(o, cl, pl.workload.risky(&o.Job))
	for range 2 {
		for z := range ordered.Of(firm) {
			if firm[z] >= n {
				zones = append(zones, z)
			}
		}
		if len(zones) > 0 || !pl.workload.risky(&o.Job) {
			break
		}
		now, firm = pl.zoneRoom(o, cl, false) // rather on spot machines than not at all
	}
	slices.SortStableFunc(zones, func(a, b protocol.Zone) int { return min(now[b], n) - min(now[a], n) })
	return zones
}

// zoneRoom is how many of a gang's tasks have room by zone: now, and once what
// is less urgent is stopped. Spot machines may be left out.
func (pl *placer) zoneRoom(o *ownedJob, cl *claims, shun bool) (now, firm map[protocol.Zone]int) {
	now, firm = map[protocol.Zone]int{}, map[protocol.Zone]int{}
	size, none := resource.Need(&o.Job), map[protocol.Zone]int{}
	pl.candidatesExamined += len(pl.table.sortedMachines)
	mayTake := pl.feasible(o, none)
	for _, m := range pl.table.machinesInOrder() {
		if mayTake(m) && !cl.blocks(o, m) && !(shun && m.Record.Spot) {
			free, most := m.free(), m.nonPreemptibleFree(o.level)
			if pl.reservations.holdsFor(&o.Job, m) {
				free = m.idle() // it does not wait behind the rest
				most = free
			}
			now[m.Record.Zone] += free.CountFitting(size)
			firm[m.Record.Zone] += most.CountFitting(size)
		}
	}
	return now, firm
}

// claim claims as many machines as a gang needs, where the most of them have
// room for it.
func (pl *placer) claim(o *ownedJob, cl *claims) {
	size, none := resource.Need(&o.Job), map[protocol.Zone]int{}
	var best protocol.Zone
	if o.OneZone {
		_, firm := pl.zoneRoom(o, cl, false)
		for z, n := range ordered.Of(firm) {
			if best == "" || n > firm[best] {
				best = z
			}
		}
	}
	left := int(o.Tasks)
	pl.candidatesExamined += len(pl.table.sortedMachines)
	mayTake := pl.feasible(o, none)
	for _, m := range pl.table.machinesInOrder() {
		if left <= 0 {
			return
		}
		if best != "" && m.Record.Zone != best || cl.blocks(o, m) || !mayTake(m) {
			continue
		}
		if n := m.nonPreemptibleFree(o.level).CountFitting(size); n > 0 {
			cl.gangs[m] = o.level
			o.claimedMachines = append(o.claimedMachines, m)
			left -= n
		}
	}
}

// claimAgain claims what a gang claimed when it was last tried, until it is
// tried again.
func (pl *placer) claimAgain(o *ownedJob, cl *claims) {
	for _, m := range o.claimedMachines {
		if pl.table.machines[m.ID] == m && !cl.blocks(o, m) {
			cl.gangs[m] = o.level
		}
	}
}

// claimFor bounds how long a gang claims machines: what has not come in the
// time that several boots take may never come.
func (pl *placer) claimFor(o *ownedJob) time.Duration {
	boot := 0.0
	for _, t := range pl.Types {
		if o.AllowsKind(t, o.Zone, false) {
			boot = math.Max(boot, t.BootS)
		}
	}
	return time.Duration(4 * boot * float64(time.Second))
}
