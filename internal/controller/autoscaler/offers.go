package autoscaler

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// provisionableTypes returns the machine types, each with only those of its zones in which
// neither the zone nor the type is cordoned by the configuration.
func (a *Autoscaler) provisionableTypes() map[protocol.MachineType]protocol.TypeInfo {
	if !a.Configuration.Effective().AnyPlaceCordoned() {
		return a.Types
	}
	provisionable := map[protocol.MachineType]protocol.TypeInfo{}
	for name, info := range a.Types {
		zones := info.AllowZones
		info.AllowZones = nil
		for _, zone := range zones {
			if !a.PlaceCordoned(name, zone) {
				info.AllowZones = append(info.AllowZones, zone)
			}
		}
		provisionable[name] = info
	}
	return provisionable
}

// pricePerCPU returns the price of a machine of a kind per processor and hour.
func (a *Autoscaler) pricePerCPU(kind binpack.Kind) float64 {
	return binpack.PricePerCPU(a.Types[kind.Type], kind.Spot)
}

// offer is a kind of machine that may be provisioned for a job, with its price per hour
// divided by the number of the job's tasks that fit on it. The price of a spot machine is
// raised by the expected slowdown of the job.
type offer struct {
	binpack.Kind
	pricePerTask float64
}

// offers lists the kinds of machines that may be provisioned for a job now, the cheapest per
// task first: the job allows the kind and fits on it, spot machines would not slow the job
// down too much, and the kind is available.
func (a *Autoscaler) offers(j *clusterstate.LiveJob) []binpack.Kind {
	var offers []offer
	spotSlowdown, avoidsSpot := a.workload.SpotSlowdown(&j.Job)*float64(j.Tasks), a.workload.AvoidsSpot(&j.Job)
	for _, t := range a.Types {
		tasksPerMachine := resource.Capacity(t).CountFitting(resource.Need(&j.Job))
		if tasksPerMachine == 0 {
			continue
		}
		for _, zone := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				kind := binpack.Kind{Type: t.Name, Zone: zone, Spot: spot}
				if !j.AllowsKind(t, zone, spot) || spot && avoidsSpot || !a.available(kind) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * (1 + spotSlowdown)
				}
				offers = append(offers, offer{kind, price / float64(tasksPerMachine)})
			}
		}
	}
	slices.SortFunc(offers, func(x, y offer) int {
		return cmp.Or(cmp.Compare(x.pricePerTask, y.pricePerTask), cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone))
	})
	kinds := make([]binpack.Kind, len(offers))
	for i, o := range offers {
		kinds[i] = o.Kind
	}
	return kinds
}

// available reports whether machines of a kind may be requested now: the kind is not in
// backoff after a refusal by the cloud, and no canary of it is booting or requested.
func (a *Autoscaler) available(kind binpack.Kind) bool {
	return a.refusals[kind].until <= a.Now && !a.canaryInProgress(kind)
}
