package siteconfig

import (
	"fmt"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
)

// MaxScaleFactor is the largest factor by which a site may be scaled.
const MaxScaleFactor = 4

// Scaled returns a copy of the site in which the workers, the processors of teams, the arrival
// rates and the faults of machines and workers are multiplied by a factor. Counts are rounded to at
// least 1, and workers to at least one per zone. Controllers, zones and the limits of the
// services stay the same.
func (s *Site) Scaled(factor float64) *Site {
	scaleCount := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	out := *s
	out.Workers = max(s.Zones, scaleCount(s.Workers))
	out.SpareWorkers = scaleCount(s.SpareWorkers)
	out.Teams = slices.Clone(s.Teams)
	for i := range out.Teams {
		out.Teams[i].CPUs *= factor
		out.Teams[i].MaxCPUs *= factor
	}
	out.Load = slices.Clone(s.Load)
	for i := range out.Load {
		out.Load[i].JobsPerS *= factor
	}
	out.Faults = slices.Clone(s.Faults)
	for i, fault := range out.Faults {
		switch fault.Kind {
		case FaultKillMachines:
			out.Faults[i].Count = scaleCount(fault.Count)
		case FaultRestartWorkers:
			out.Faults[i].EveryS /= factor
		}
	}
	return &out
}

// RegionOfZone returns the region of a zone, both counted from 0. Zones are assigned to regions
// round-robin.
func (s *Site) RegionOfZone(zone int) int { return zone % s.Regions }

// ZoneName returns the name of a zone, which consists of its region and its number within the
// region, both counted from 1.
func (s *Site) ZoneName(zone int) protocol.Zone {
	return protocol.Zone(fmt.Sprintf("r%dz%d", s.RegionOfZone(zone)+1, zone/s.Regions+1))
}

// ZoneOfController returns the zone of a controller, both counted from 0. Consecutive
// controllers are in different regions if there are several.
func (s *Site) ZoneOfController(controller int) int { return controller % s.Zones }

// TeamNames returns the names of all teams, in the order of the site: the prefix with a number of
// at least two digits, counted from 0.
func (s *Site) TeamNames() []protocol.Team {
	var names []protocol.Team
	for _, t := range s.Teams {
		for i := range t.Count {
			names = append(names, protocol.Team(fmt.Sprintf("%s%02d", t.Prefix, i)))
		}
	}
	return names
}
