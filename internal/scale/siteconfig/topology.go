package siteconfig

import (
	"fmt"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
)

// MaxFactor is the largest factor by which a site may be scaled.
const MaxFactor = 4

// Scaled returns the site with its workers, teams' processors and arrivals multiplied by a
// factor. Controllers, zones and the services' limits stay the same.
func (s *Site) Scaled(factor float64) *Site {
	count := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	out := *s
	out.Workers = max(s.Zones, count(s.Workers))
	out.SpareWorkers = count(s.SpareWorkers)
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
			out.Faults[i].Count = count(fault.Count)
		case FaultRestartWorkers:
			out.Faults[i].EveryS /= factor
		}
	}
	return &out
}

// RegionOfZone returns the region of a zone; zones are assigned to regions in turn.
func (s *Site) RegionOfZone(zone int) int { return zone % s.Regions }

// ZoneName returns the name of a zone, which holds its region and its number there.
func (s *Site) ZoneName(zone int) protocol.Zone {
	return protocol.Zone(fmt.Sprintf("r%dz%d", s.RegionOfZone(zone)+1, zone/s.Regions+1))
}

// ZoneOfController returns the zone of a controller; consecutive controllers are in
// different regions.
func (s *Site) ZoneOfController(controller int) int { return controller % s.Zones }

// TeamNames returns the names of all teams.
func (s *Site) TeamNames() []protocol.Team {
	var names []protocol.Team
	for _, t := range s.Teams {
		for i := range t.Count {
			names = append(names, protocol.Team(fmt.Sprintf("%s%02d", t.Prefix, i)))
		}
	}
	return names
}
