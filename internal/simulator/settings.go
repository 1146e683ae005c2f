package simulator

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// settings returns the controllers' settings for the site: three controllers, the site's
// teams, zones and lease times, and fixed limits of the key-value store and the cloud.
func (s *Site) settings() *config.Settings {
	c := &config.Settings{}
	c.Site.Count = 3
	for _, t := range s.Teams {
		c.Site.Teams = append(c.Site.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, MaxCPUs: t.MaxCPUs})
	}
	c.Site.Zones = slices.Sorted(maps.Keys(s.zones()))
	c.Site.ClockErrorMS = 100
	c.Site.Workers = config.Workers{ReportS: s.ReportS, LeaseS: s.LeaseS, GangWaitS: 60, GangPeerS: 10, CancelS: 2 * s.LeaseS}
	c.Site.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12}
	c.Site.Cloud = config.Cloud{RPS: 5, ListLagS: 2}
	return c
}

// zones returns the set of the zones of all machine types.
func (s *Site) zones() map[protocol.Zone]bool {
	zones := map[protocol.Zone]bool{}
	for _, t := range s.Types {
		for _, z := range t.Zones {
			zones[z] = true
		}
	}
	return zones
}

// machineTypes returns the site's machine types as the catalogue of the cloud describes them.
// The rate of fetching images is at least 0.1 GB per second.
func (s *Site) machineTypes() []protocol.TypeInfo {
	var ts []protocol.TypeInfo
	for _, t := range s.Types {
		ts = append(ts, protocol.TypeInfo{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, FetchGBPS: max(t.FetchGBPS, 0.1),
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, AllowZones: t.Zones,
		})
	}
	return ts
}

// spec returns the operator's request for the reservation.
func (r *Reservation) spec() *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: r.Name, Class: r.Class, Team: r.Team, When: r.When, HoldS: r.HoldS, LengthS: r.LengthS,
		Tasks: r.Tasks, CPUs: r.CPUs, MemoryGB: r.MemoryGB, Zone: r.Zone, OneZone: r.OneZone, Priority: r.Priority,
	}
}

// spec returns the operator's request for the window.
func (w *Window) spec() *record.WindowSpec {
	return &record.WindowSpec{Name: w.Name, When: w.When, LengthS: w.LengthS, Type: w.Type, Zone: w.Zone}
}
