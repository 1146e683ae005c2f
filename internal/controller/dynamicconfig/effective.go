// Package dynamicconfig is the configuration in force: the platform's file with what
// operators have changed over it. It takes the followed records, applies each revision
// whole, and decides changes. It is plain state without clocks or messages.
package dynamicconfig

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Revision counts the changes.
type Revision = record.ConfigurationRevision

// Team is a team as it is in force.
type Team struct {
	config.Team
	Closed bool // to new jobs
	// Lowered is the last revision that lowered its limit.
	Lowered Revision
}

// Effective is the configuration of one revision. It does not change.
type Effective struct {
	Revision Revision
	// Version is that of the revision's record; 0: there is none.
	Version    protocol.Version
	Objectives []config.Objective
	Operator   config.Operator

	teams       map[protocol.Team]Team
	teamsEver   map[protocol.Team]bool
	closedZones map[protocol.Zone]bool
	closedTypes map[protocol.MachineType]bool
}

// Base is the platform's file as it stands.
func Base(site *config.Site, operator config.Operator) *Effective {
	return build(site, operator, nil, record.Configuration{}, 0)
}

// Team finds a team.
func (e *Effective) Team(name protocol.Team) (Team, bool) {
	t, ok := e.teams[name]
	return t, ok
}

// Teams lists the names of all teams, in order.
func (e *Effective) Teams() []protocol.Team { return slices.Sorted(maps.Keys(e.teams)) }

// TeamsEver lists the names of all teams, in order, also those that were removed:
// something of theirs may still be on machines.
func (e *Effective) TeamsEver() []protocol.Team { return slices.Sorted(maps.Keys(e.teamsEver)) }

// PlaceClosed reports whether a zone or a machine type takes no new work.
func (e *Effective) PlaceClosed(machineType protocol.MachineType, zone protocol.Zone) bool {
	return e.AnyPlaceClosed() && (e.closedZones[zone] || e.closedTypes[machineType])
}

// AnyPlaceClosed reports whether any zone or type is closed.
func (e *Effective) AnyPlaceClosed() bool { return len(e.closedZones)+len(e.closedTypes) > 0 }

// LimitLowered is the last revision that lowered a team's limit.
func (e *Effective) LimitLowered(name protocol.Team) Revision { return e.teams[name].Lowered }

// build lays entries over the platform's file.
func build(site *config.Site, operator config.Operator, entries map[record.EntryID]record.ConfigurationEntry, head record.Configuration, version protocol.Version) *Effective {
	e := &Effective{
		Revision: head.Revision, Version: version, Operator: operator, teams: map[protocol.Team]Team{}, teamsEver: map[protocol.Team]bool{},
		closedZones: map[protocol.Zone]bool{}, closedTypes: map[protocol.MachineType]bool{},
	}
	for _, t := range site.Teams {
		e.teams[t.Name], e.teamsEver[t.Name] = Team{Team: t}, true
	}
	replaced := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[id]
		if team, ok := record.TeamOf(id); ok {
			e.teamsEver[team] = true
			e.lowered(team, entry.Lowered)
		}
		if entry.Reset {
			continue
		}
		switch kind, name := id.Split(); {
		case kind == record.EntryTeam && entry.Team != nil:
			e.setTeam(protocol.Team(name), entry.Team)
		case kind == record.EntryClass && entry.Class != nil:
			replaced[name] = true
			e.addObjectives(name, entry.Class)
		case kind == record.EntryZone && entry.Place != nil && entry.Place.Closed:
			e.closedZones[protocol.Zone(name)] = true
		case kind == record.EntryType && entry.Place != nil && entry.Place.Closed:
			e.closedTypes[protocol.MachineType(name)] = true
		case kind == record.EntrySetting && entry.Value != nil:
			// A value that can't be read was refused when it was set; by another
			// version's rules it stays as in the operators' file.
			_ = setSetting(&e.Operator, name, *entry.Value)
		}
	}
	for _, o := range site.Objectives {
		if !replaced[o.Class] {
			e.Objectives = append(e.Objectives, o)
		}
	}
	return e
}

func (e *Effective) setTeam(name protocol.Team, t *record.TeamEntry) {
	if t.Removed {
		delete(e.teams, name)
		return
	}
	e.teams[name] = Team{
		Team:   config.Team{Name: name, CPUs: t.CPUs, MaxCPUs: t.MaxCPUs, GPUs: t.GPUs, MaxGPUs: t.MaxGPUs},
		Closed: t.Closed, Lowered: t.Lowered,
	}
}

// lowered notes the revision that last lowered the limit of a team that was reset.
func (e *Effective) lowered(name protocol.Team, revision Revision) {
	if t, known := e.teams[name]; known && revision > 0 {
		t.Lowered = revision
		e.teams[name] = t
	}
}

func (e *Effective) addObjectives(class string, c *record.ClassEntry) {
	for _, o := range c.Objectives {
		e.Objectives = append(e.Objectives, config.Objective{Kind: o.Kind, Class: class, WithinS: o.WithinS, Share: o.Share, Times: o.Times})
	}
}
