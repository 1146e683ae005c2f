package placement

import (
	"math"

	"damsonkeel/internal/controller/binpack"
)

// RefreshPrices recomputes the price premiums from the machine types last read from the cloud.
func (p *Placer) RefreshPrices() { p.pricePremiums = p.computePricePremiums() }

// computePricePremiums returns, for each kind of machine (type, zone and purchase option), the
// fraction of its price per processor that the cheapest kind would save: 0 for the cheapest,
// and at most 1. It is added to the expected wait, in seconds, on machines with free resources.
// Among machines with free resources the premium has the same weight as the free fraction of a
// machine: cheap and nearly full machines are filled first, so that expensive ones become idle
// and can be terminated.
func (p *Placer) computePricePremiums() map[binpack.Kind]float64 {
	premiums := map[binpack.Kind]float64{}
	lowest := math.Inf(1)
	for _, machineType := range p.Types {
		for _, zone := range machineType.AllowZones {
			for _, spot := range []bool{true, false} {
				kind := binpack.Kind{Type: machineType.Name, Zone: zone, Spot: spot}
				premiums[kind] = binpack.PricePerCPU(p.Types[kind.Type], kind.Spot)
				lowest = math.Min(lowest, premiums[kind])
			}
		}
	}
	for kind, price := range premiums {
		premiums[kind] = 0
		if price > 0 {
			premiums[kind] = 1 - lowest/price
		}
	}
	return premiums
}
