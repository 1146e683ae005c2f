package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

type kind = autoscaler.Kind

// slots lists all room that is there or coming.
func (c *Core) slots() []autoscaler.Slot {
	f := &c.autoscaler
	var up autoscaler.Slots
	for _, m := range c.machinesInOrder() {
		if !c.usable(m) || len(c.reservations.Windows) > 0 && c.InWindow(m.ID, m.Record.Type, m.Record.Zone, c.WallTime(), c.WallTime()) {
			continue
		}
		a := autoscaler.Alike{Kind: m.kind(), Free: m.unreserved(), Held: m.announcedUses}
		for r := range a.Held {
			a.Held[r] = a.Held[r].Plus(m.pendingUses[r])
		}
		up.Add(a, m.Info)
	}
	slots := up.List
	for id, m := range ordered.Of(f.bootingMachines) {
		if b := f.bootHistory[m.kind]; b != nil && b.trial {
			continue // not counted on
		}
		s := autoscaler.Fresh(c.Types[m.Type], m.kind, 1)
		s.InS = math.Max(s.Info.BootS-c.Since(m.at).Seconds(), 1)
		s.Free = s.Free.Minus(clusterstate.ReservedBy(c.reservations.Holds[id], c.WallTime()))
		slots = append(slots, s)
	}
	for _, r := range ordered.Of(f.provisionCalls) {
		slots = append(slots, autoscaler.Fresh(c.Types[r.req.Type], r.kind(), r.req.Count))
	}
	return slots
}

// work is tasks of a job as a plan reckons with them.
func (c *Core) work(j *clusterstate.LiveJob, l resource.Level, estimateS float64) autoscaler.Work {
	return autoscaler.Work{
		Need: resource.Need(&j.Job), Level: l, OneZone: j.OneZone && j.Zone == "", Shun: c.risky(&j.Job),
		EstimateS: estimateS, FetchS: func(t protocol.TypeInfo) float64 { return clusterstate.FetchS(t, &j.Job) },
		Allows: j.AllowsKind, Offers: c.offers(j),
	}
}

// planScaleOut rents what the unstarted work needs beyond what is there or coming.
func (c *Core) planScaleOut() {
	underWay := map[kind]int{}
	for _, r := range c.autoscaler.provisionCalls {
		underWay[r.kind()] += r.req.Count
	}
	p := autoscaler.New(c.openTypes(), c.slots(), underWay)
	defer c.provisionPlanned(p)
	var demand, rest []message.Demand
	for _, p := range c.peers {
		demand = append(demand, p.demand...)
	}
	slices.SortFunc(demand, func(a, b message.Demand) int {
		return cmp.Or(cmp.Compare(b.OldestS, a.OldestS), cmp.Compare(a.Job, b.Job))
	})
	// Classes with room kept for them come first, then the room itself: the
	// rest must not count on it.
	for _, d := range demand {
		switch j := c.demandedJob(d); {
		case j == nil:
		case c.HasStartObjective(&j.Job):
			p.Reserve(c.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted)
		default:
			rest = append(rest, d)
		}
	}
	for _, k := range ordered.Of(c.classes) {
		j := &clusterstate.LiveJob{Job: k.job}
		j.OneZone = false // it is kept for several jobs
		if n := c.reserve(k); n > 0 {
			p.Reserve(c.work(j, resource.LevelOf(j.Priority, false), 0), n)
		}
	}
	// What is left works off the rest, the most pressing first. Each job finds
	// what those before it leave of the time until it has to be done.
	slices.SortStableFunc(rest, func(a, b message.Demand) int {
		ja, jb := c.Live[a.Job], c.Live[b.Job]
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(c.timeLeft(ja, a), c.timeLeft(jb, b)))
	})
	top, runS, weight := 0, 0.0, 0.0
	for _, d := range rest {
		top = max(top, c.Live[d.Job].Priority.Rank())
		runS += d.EstimateS * float64(d.Unstarted)
		weight += float64(d.Unstarted)
	}
	c.provisionReserved(p)
	p.Gather(top, runS/math.Max(weight, 1))
	for _, d := range rest {
		j := c.demandedJob(d)
		p.WorkOff(c.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted, c.timeLeft(j, d))
	}
	// What is likely to come until another machine is up has to be begun by
	// then: else each burst would wait for the boots that the last one needed.
	for _, k := range ordered.Of(c.classes) {
		if work := c.comingWork(k); work > 0 {
			estimateS := c.Estimate(&k.job)
			n := int(work / (estimateS * math.Max(k.job.CPUs, resource.Slack)))
			p.WorkOff(c.work(&clusterstate.LiveJob{Job: k.job}, 0, estimateS), n, c.upS(&k.job))
		}
	}
}

// demandedJob is the job of a demand, with the zone that is left to it.
func (c *Core) demandedJob(d message.Demand) *clusterstate.LiveJob {
	j := c.Live[d.Job]
	if j == nil || d.Zone == "" {
		return j
	}
	in := *j
	in.Zone = d.Zone
	return &in
}

// provisionPlanned sends the plan's requests, as many at a time as the cloud answers
// in a second; the next plan asks for the rest.
func (c *Core) provisionPlanned(p *autoscaler.Plan) {
	for _, o := range p.Orders() {
		if float64(len(c.autoscaler.provisionCalls)) >= math.Max(1, c.Settings.Site.Cloud.RPS) {
			return
		}
		if trial, _ := c.autoscaler.canary(o.Kind); trial {
			o.Count = 1
		}
		c.autoscaler.requests++
		req := protocol.ProvisionRequest{
			Name: fmt.Sprintf("%s-%d-%d-%d", c.Self, c.Session, c.View.Term, c.autoscaler.requests),
			Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.Count,
		}
		r := &provisionCall{req: req, reservation: reservation.Name(o.For)}
		c.autoscaler.provisionCalls[req.Name] = r
		c.provision(r)
	}
}

// price of a kind, for a processor and an hour.
func (c *Core) price(k kind) float64 { return autoscaler.Price(c.Types[k.Type], k.Spot) }

// timeLeft is how long a job's tasks may still wait, in seconds, and be done
// when it is due. Owners' estimates are often wrong by half. What nobody sets
// a time for waits no longer than a machine takes to come.
func (c *Core) timeLeft(j *clusterstate.LiveJob, d message.Demand) float64 {
	if len(c.ObjectiveTimes(&j.Job)) == 0 {
		return 0
	}
	return math.Max(0, time.Duration(j.Deadline-c.Now).Seconds()-1.5*d.EstimateS)
}

// offers lists what may be rented for a job, the cheapest per task first.
func (c *Core) offers(j *clusterstate.LiveJob) []kind {
	type offer struct {
		kind
		price float64
	}
	var offers []offer
	stretch, shun := c.spotStretch(&j.Job)*float64(j.Tasks), c.risky(&j.Job)
	for _, t := range c.Types {
		per := resource.Capacity(t).CountFitting(resource.Need(&j.Job))
		if per == 0 {
			continue
		}
		for _, z := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				k := kind{Type: t.Name, Zone: z, Spot: spot}
				if !j.AllowsKind(t, z, spot) || spot && shun || c.autoscaler.refusals[k].until > c.Now {
					continue
				}
				if _, tried := c.autoscaler.canary(k); tried {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * (1 + stretch)
				}
				offers = append(offers, offer{k, price / float64(per)})
			}
		}
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
	kinds := make([]kind, len(offers))
	for i, o := range offers {
		kinds[i] = o.kind
	}
	return kinds
}
