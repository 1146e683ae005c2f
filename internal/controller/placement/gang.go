package placement

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// PlaceGang places all tasks of a gang with one attempt number, when nothing
// of its last attempt is left.
func (pl *Placer) PlaceGang(o *jobs.Job, usage map[protocol.Team]resource.Amount, cl *Claims) []message.Placement {
	n := int(o.Tasks)
	if len(o.Placed) > 0 && o.IsGang() {
		return pl.refill(o, usage, cl)
	}
	if len(o.Placed) > 0 || o.Unverified || !pl.withinLimit(o, usage, n) || !cl.takeHeadroom(o, n) {
		return nil
	}
	var out []message.Placement
	for _, zone := range pl.gangZones(o, cl) {
		if out = pl.placeGangIn(o, zone, cl); out != nil {
			pl.jobs.AddUse(o, usage, n)
			return out
		}
	}
	if o.IsGang() && pl.Since(o.WaitingSince) < pl.claimFor(o) {
		pl.claim(o, cl)
	}
	return nil
}

// placeGangIn places a gang in a zone, or in any if none is named.
func (pl *Placer) placeGangIn(o *jobs.Job, zone protocol.Zone, cl *Claims) []message.Placement {
	return pl.placeTogether(o, pl.jobs.NextAttempt(), map[protocol.Zone]int{}, zone, cl)
}

// placeTogether places all pending tasks of a gang under one attempt, or none, given
// the zones of the others.
func (pl *Placer) placeTogether(o *jobs.Job, attempt protocol.Attempt, zones map[protocol.Zone]int, zone protocol.Zone, cl *Claims) []message.Placement {
	undo := cl.tentative()
	from := pl.CandidatesFor(o, zones, cl)
	if zone != "" || len(cl.Gangs) > 0 {
		from.restrict(func(m *waittable.Machine) bool {
			return (zone == "" || m.Record.Zone == zone) && !cl.Blocks(o, m)
		})
	}
	var out []message.Placement
	for i, ok := o.Pending.NextSet(0); ok; i, ok = o.Pending.NextSet(i + 1) {
		m := from.Smallest(zones)
		if m == nil {
			for _, p := range out { // all or none
				t := o.Placed[p.Task]
				pl.table.Machines[t.Machine].DropPendingWaits(1)
				pl.jobs.RemoveAttempt(o, t)
				o.Pending.Set(uint(p.Task.Index))
			}
			undo()
			return nil
		}
		out = append(out, pl.PlaceFrom(from, uint32(i), m, attempt, zones))
	}
	return out
}

// refillWithin is how long the others of a gang wait for a place for what was
// released: longer than the move of a share takes. Stopped at once, gangs were begun
// again while all their shares moved.
const refillWithin = 3 * time.Second

// refill places what of a gang was released, under the attempt of the others; or has
// these stopped, if there is no place for it for a while.
func (pl *Placer) refill(o *jobs.Job, usage map[protocol.Team]resource.Amount, cl *Claims) []message.Placement {
	n := int(o.Pending.Count())
	if o.Unverified || n+len(o.Placed) != int(o.Tasks) {
		return nil
	}
	var attempt protocol.Attempt
	for _, t := range o.Placed {
		if t.Stopping {
			return nil
		}
		attempt = t.Number
	}
	if pl.withinLimit(o, usage, n) {
		if out := pl.placeTogether(o, attempt, o.ZoneCounts(), "", cl); out != nil {
			o.LacksSince = 0
			pl.jobs.AddUse(o, usage, n)
			return out
		}
	}
	if o.LacksSince == 0 {
		o.LacksSince = pl.Now
	}
	if pl.Since(o.LacksSince) < refillWithin {
		return nil
	}
	o.LacksSince = 0
	for _, t := range ordered.Tasks(o.Placed) {
		pl.jobs.SendStop(t, true, clusterstate.GraceS(&o.Job))
	}
	return nil
}

// gangZones lists the zones to try for a gang: any, unless its tasks have to
// be in the same one. Then those that can hold it come in the order of what
// they have room for now.
func (pl *Placer) gangZones(o *jobs.Job, cl *Claims) []protocol.Zone {
	if !o.OneZone || !o.IsGang() {
		return []protocol.Zone{""}
	}
	n := int(o.Tasks)
	var zones []protocol.Zone
	now, firm := pl.zoneRoom(o, cl, pl.workload.AvoidsSpot(&o.Job))
	for range 2 {
		for z := range ordered.Of(firm) {
			if firm[z] >= n {
				zones = append(zones, z)
			}
		}
		if len(zones) > 0 || !pl.workload.AvoidsSpot(&o.Job) {
			break
		}
		now, firm = pl.zoneRoom(o, cl, false) // rather on spot machines than not at all
	}
	slices.SortStableFunc(zones, func(a, b protocol.Zone) int { return min(now[b], n) - min(now[a], n) })
	return zones
}

// zoneRoom is how many of a gang's tasks have room by zone: now, and once what
// is less urgent is stopped. Spot machines may be left out.
func (pl *Placer) zoneRoom(o *jobs.Job, cl *Claims, shun bool) (now, firm map[protocol.Zone]int) {
	now, firm = map[protocol.Zone]int{}, map[protocol.Zone]int{}
	size, none := resource.Need(&o.Job), map[protocol.Zone]int{}
	pl.Examined += len(pl.table.InOrder())
	mayTake := pl.Feasible(o, none)
	for _, m := range pl.table.InOrder() {
		if mayTake(m) && !cl.Blocks(o, m) && !(shun && m.Record.Spot) {
			free, most := m.Free(), m.NonPreemptibleFree(o.Level)
			if pl.reservations.HeldFor(&o.Job, m) {
				free = m.Idle() // it does not wait behind the rest
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
func (pl *Placer) claim(o *jobs.Job, cl *Claims) {
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
	pl.Examined += len(pl.table.InOrder())
	mayTake := pl.Feasible(o, none)
	for _, m := range pl.table.InOrder() {
		if left <= 0 {
			return
		}
		if best != "" && m.Record.Zone != best || cl.Blocks(o, m) || !mayTake(m) {
			continue
		}
		if n := m.NonPreemptibleFree(o.Level).CountFitting(size); n > 0 {
			cl.Gangs[m] = o.Level
			o.ClaimedMachines = append(o.ClaimedMachines, m)
			left -= n
		}
	}
}

// claimAgain claims what a gang claimed when it was last tried, until it is
// tried again.
func (pl *Placer) claimAgain(o *jobs.Job, cl *Claims) {
	for _, m := range o.ClaimedMachines {
		if pl.table.Machines[m.ID] == m && !cl.Blocks(o, m) {
			cl.Gangs[m] = o.Level
		}
	}
}

// claimFor bounds how long a gang claims machines: what has not come in the
// time that several boots take may never come.
func (pl *Placer) claimFor(o *jobs.Job) time.Duration {
	boot := 0.0
	for _, t := range pl.Types {
		if o.AllowsKind(t, o.Zone, false) {
			boot = math.Max(boot, t.BootS)
		}
	}
	return time.Duration(4 * boot * float64(time.Second))
}
