package siteconfig

import "damsonkeel/internal/config"

// clockErrorMS is the clock error in milliseconds that controllers are configured to tolerate.
const clockErrorMS = 50

// ControllerSettings returns the part of the settings that is the same for all controllers of a
// site: zones, teams, objectives, timings of workers, and the limits of the services and of a
// controller's resources.
func ControllerSettings(site *Site) config.Site {
	out := config.Site{Count: site.Controllers, ClockErrorMS: clockErrorMS}
	for z := range site.Zones {
		out.Zones = append(out.Zones, site.ZoneName(z))
	}
	names := site.TeamNames()
	for _, t := range site.Teams {
		for range t.Count {
			out.Teams = append(out.Teams, config.Team{Name: names[len(out.Teams)], CPUs: t.CPUs, MaxCPUs: t.MaxCPUs})
		}
	}
	for _, o := range site.Objectives {
		out.Objectives = append(out.Objectives, config.Objective{Kind: o.Kind, Class: o.Class, WithinS: o.WithinS, Share: o.Fraction})
	}
	out.Workers = config.Workers(site.Timings)
	out.State = config.State{RPS: site.State.RequestsPerS, WriteRPS: site.State.ChangesPerS, ValueKB: site.State.ValueKB, TxnOps: site.State.TxnOps}
	out.Cloud = config.Cloud{RPS: site.Cloud.RequestsPerS, ListLagS: site.Cloud.ListLagS}
	out.Limits = config.Limits{CPU: site.Limits.CPU, MemoryMB: site.Limits.MemoryMB, MaxConns: site.Limits.MaxConns}
	return out
}
