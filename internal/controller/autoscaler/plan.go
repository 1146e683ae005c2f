package autoscaler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// slots lists all room that is there or coming.
func (as *Autoscaler) slots() []binpack.Slot {
	f := as
	var up binpack.Slots
	for _, m := range as.table.InOrder() {
		if !as.table.Usable(m) || len(as.reservations.Windows) > 0 && as.InWindow(m.ID, m.Record.Type, m.Record.Zone, as.WallTime(), as.WallTime()) {
			continue
		}
		a := binpack.Alike{Kind: m.Kind(), Free: m.Unreserved(), Held: m.AnnouncedUses}
		for r := range a.Held {
			a.Held[r] = a.Held[r].Plus(m.PendingUses[r])
		}
		up.Add(a, m.Info)
	}
	slots := up.List
	for id, m := range ordered.Of(f.bootingMachines) {
		if b := f.bootHistory[m.Kind]; b != nil && b.trial {
			continue // not counted on
		}
		s := binpack.Fresh(as.Types[m.Type], m.Kind, 1)
		s.InS = math.Max(s.Info.BootS-as.Since(m.at).Seconds(), 1)
		s.Free = s.Free.Minus(clusterstate.ReservedBy(as.reservations.Holds[id], as.WallTime()))
		slots = append(slots, s)
	}
	for _, r := range ordered.Of(f.ProvisionCalls) {
		slots = append(slots, binpack.Fresh(as.Types[r.Request.Type], r.kind(), r.Request.Count))
	}
	return slots
}

// work is tasks of a job as a plan reckons with them.
func (as *Autoscaler) work(j *clusterstate.LiveJob, l resource.Level, estimateS float64) binpack.Work {
	return binpack.Work{
		Need: resource.Need(&j.Job), Level: l, OneZone: j.OneZone && j.Zone == "", Shun: as.workload.AvoidsSpot(&j.Job),
		EstimateS: estimateS, FetchS: func(t protocol.TypeInfo) float64 { return clusterstate.FetchS(t, &j.Job) },
		Allows: j.AllowsKind, Offers: as.offers(j),
	}
}

// PlanScaleOut rents what the unstarted work needs beyond what is there or coming.
func (as *Autoscaler) PlanScaleOut() {
	underWay := map[binpack.Kind]int{}
	for _, r := range as.ProvisionCalls {
		underWay[r.kind()] += r.Request.Count
	}
	p := binpack.New(as.openTypes(), as.slots(), underWay)
	defer as.provisionPlanned(p)
	var demand, rest []message.Demand
	for _, p := range as.table.Peers {
		demand = append(demand, p.Demand...)
	}
	slices.SortFunc(demand, func(a, b message.Demand) int {
		return cmp.Or(cmp.Compare(b.OldestS, a.OldestS), cmp.Compare(a.Job, b.Job))
	})
	// Classes with room kept for them come first, then the room itself: the
	// rest must not count on it.
	for _, d := range demand {
		switch j := as.demandedJob(d); {
		case j == nil:
		case as.HasStartObjective(&j.Job):
			p.Reserve(as.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted)
		default:
			rest = append(rest, d)
		}
	}
	for _, k := range ordered.Of(as.workload.Classes) {
		j := &clusterstate.LiveJob{Job: k.Job}
		j.OneZone = false // it is kept for several jobs
		if n := as.workload.Reserve(k); n > 0 {
			p.Reserve(as.work(j, resource.LevelOf(j.Priority, false), 0), n)
		}
	}
	// What is left works off the rest, the most pressing first. Each job finds
	// what those before it leave of the time until it has to be done.
	slices.SortStableFunc(rest, func(a, b message.Demand) int {
		ja, jb := as.Live[a.Job], as.Live[b.Job]
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(as.timeLeft(ja, a), as.timeLeft(jb, b)))
	})
	top, runS, weight := 0, 0.0, 0.0
	for _, d := range rest {
		top = max(top, as.Live[d.Job].Priority.Rank())
		runS += d.EstimateS * float64(d.Unstarted)
		weight += float64(d.Unstarted)
	}
	as.planner.provisionReserved(p)
	p.Gather(top, runS/math.Max(weight, 1))
	for _, d := range rest {
		j := as.demandedJob(d)
		p.WorkOff(as.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted, as.timeLeft(j, d))
	}
	// What is likely to come until another machine is up has to be begun by
	// then: else each burst would wait for the boots that the last one needed.
	for _, k := range ordered.Of(as.workload.Classes) {
		if work := as.workload.ComingWork(k); work > 0 {
			estimateS := as.Estimate(&k.Job)
			n := int(work / (estimateS * math.Max(k.Job.CPUs, resource.Slack)))
			p.WorkOff(as.work(&clusterstate.LiveJob{Job: k.Job}, 0, estimateS), n, as.workload.BootSeconds(&k.Job))
		}
	}
}

// demandedJob is the job of a demand, with the zone that is left to it.
func (as *Autoscaler) demandedJob(d message.Demand) *clusterstate.LiveJob {
	j := as.Live[d.Job]
	if j == nil || d.Zone == "" {
		return j
	}
	in := *j
	in.Zone = d.Zone
	return &in
}

// provisionPlanned sends the plan's requests, as many at a time as the cloud answers
// in a second; the next plan asks for the rest.
func (as *Autoscaler) provisionPlanned(p *binpack.Plan) {
	for _, o := range p.Orders() {
		if float64(len(as.ProvisionCalls)) >= math.Max(1, as.Settings.Site.Cloud.RPS) {
			return
		}
		if trial, _ := as.canary(o.Kind); trial {
			o.Count = 1
		}
		as.requests++
		req := protocol.ProvisionRequest{
			Name: fmt.Sprintf("%s-%d-%d-%d", as.Self, as.Session, as.View.Term, as.requests),
			Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.Count,
		}
		r := &provisionCall{Request: req, reservation: reservation.Name(o.For)}
		as.ProvisionCalls[req.Name] = r
		as.provision(r)
	}
}

// price of a kind, for a processor and an hour.
func (as *Autoscaler) price(k binpack.Kind) float64 {
	return binpack.Price(as.Types[k.Type], k.Spot)
}

// timeLeft is how long a job's tasks may still wait, in seconds, and be done
// when it is due. Owners' estimates are often wrong by half. What nobody sets
// a time for waits no longer than a machine takes to come.
func (as *Autoscaler) timeLeft(j *clusterstate.LiveJob, d message.Demand) float64 {
	if len(as.ObjectiveTimes(&j.Job)) == 0 {
		return 0
	}
	return math.Max(0, time.Duration(j.Deadline-as.Now).Seconds()-1.5*d.EstimateS)
}

// offers lists what may be rented for a job, the cheapest per task first.
func (as *Autoscaler) offers(j *clusterstate.LiveJob) []binpack.Kind {
	type offer struct {
		binpack.Kind
		price float64
	}
	var offers []offer
	stretch, shun := as.workload.SpotStretch(&j.Job)*float64(j.Tasks), as.workload.AvoidsSpot(&j.Job)
	for _, t := range as.Types {
		per := resource.Capacity(t).CountFitting(resource.Need(&j.Job))
		if per == 0 {
			continue
		}
		for _, z := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				k := binpack.Kind{Type: t.Name, Zone: z, Spot: spot}
				if !j.AllowsKind(t, z, spot) || spot && shun || as.Refusals[k].Until > as.Now {
					continue
				}
				if _, tried := as.canary(k); tried {
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
	kinds := make([]binpack.Kind, len(offers))
	for i, o := range offers {
		kinds[i] = o.Kind
	}
	return kinds
}
