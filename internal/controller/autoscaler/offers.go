package autoscaler

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// openTypes returns the machine types, with the zones, in which the configuration allows
// machines to be provisioned.
func (a *Autoscaler) openTypes() map[protocol.MachineType]protocol.TypeInfo {
	if !a.Configuration.Effective().AnyPlaceCordoned() {
		return a.Types
	}
	open := map[protocol.MachineType]protocol.TypeInfo{}
	for name, info := range a.Types {
		zones := info.AllowZones
		info.AllowZones = nil
		for _, zone := range zones {
			if !a.PlaceCordoned(name, zone) {
				info.AllowZones = append(info.AllowZones, zone)
			}
		}
		open[name] = info
	}
	return open
}

// price is the price of a kind, for a processor and an hour.
func (a *Autoscaler) price(kind binpack.Kind) float64 {
	return binpack.Price(a.Types[kind.Type], kind.Spot)
}

// offer is a kind that may be provisioned for a job, with its price for one task.
type offer struct {
	binpack.Kind
	price float64
}

// offers lists the kinds that may be provisioned for a job, the cheapest per task first.
func (a *Autoscaler) offers(j *clusterstate.LiveJob) []binpack.Kind {
	var offers []offer
	stretch, avoidsSpot := a.workload.SpotSlowdown(&j.Job)*float64(j.Tasks), a.workload.AvoidsSpot(&j.Job)
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
					price = t.SpotPrice * (1 + stretch)
				}
				offers = append(offers, offer{kind, price / float64(tasksPerMachine)})
			}
		}
	}
	slices.SortFunc(offers, func(x, y offer) int {
		return cmp.Or(cmp.Compare(x.price, y.price), cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone))
	})
	kinds := make([]binpack.Kind, len(offers))
	for i, o := range offers {
		kinds[i] = o.Kind
	}
	return kinds
}

// available reports whether machines of a kind may be requested now: the cloud has not
// refused it lately, and no canary of the kind is under way.
func (a *Autoscaler) available(kind binpack.Kind) bool {
	return a.refusals[kind].until <= a.Now && !a.canaryUnderWay(kind)
}
