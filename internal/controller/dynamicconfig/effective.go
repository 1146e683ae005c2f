package dynamicconfig

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Revision counts the changes of the configuration.
type Revision = record.ConfigurationRevision

// Team is a team's guarantee and limit in force.
type Team struct {
	config.Team
	Closed bool // to new jobs
	// Lowered is the last revision that lowered the limit.
	Lowered Revision
}

// Effective is the configuration of one revision. It is immutable.
type Effective struct {
	Revision Revision
	// Version is that of the revision's record; 0 if there is none.
	Version    protocol.Version
	Objectives []config.Objective
	Operator   config.Operator

	teams       map[protocol.Team]Team
	teamsEver   map[protocol.Team]bool
	closedZones map[protocol.Zone]bool
	closedTypes map[protocol.MachineType]bool
}

// Base is the configuration of the platform's file, without changes.
func Base(site *config.Site, operator config.Operator) *Effective {
	return build(site, operator, nil, record.Configuration{}, 0)
}

// Team returns a team, if it exists.
func (e *Effective) Team(name protocol.Team) (Team, bool) {
	t, ok := e.teams[name]
	return t, ok
}

// Teams returns the names of all teams, in order.
func (e *Effective) Teams() []protocol.Team { return slices.Sorted(maps.Keys(e.teams)) }

// TeamsEver returns the names of all teams, in order, with those that were removed: their
// tasks may still be on machines.
func (e *Effective) TeamsEver() []protocol.Team { return slices.Sorted(maps.Keys(e.teamsEver)) }

// PlaceCordoned reports whether a zone or a machine type is cordoned.
func (e *Effective) PlaceCordoned(machineType protocol.MachineType, zone protocol.Zone) bool {
	return e.AnyPlaceCordoned() && (e.closedZones[zone] || e.closedTypes[machineType])
}

// AnyPlaceCordoned reports whether any zone or machine type is cordoned.
func (e *Effective) AnyPlaceCordoned() bool { return len(e.closedZones)+len(e.closedTypes) > 0 }

// LimitLowered returns the last revision that lowered a team's limit.
func (e *Effective) LimitLowered(name protocol.Team) Revision { return e.teams[name].Lowered }

// build lays entries over the platform's file.
func build(site *config.Site, operator config.Operator, entries map[record.EntryID]record.ConfigurationEntry, head record.Configuration, version protocol.Version) *Effective {
	e := &Effective{
		Revision:    head.Revision,
		Version:     version,
		Operator:    operator,
		teams:       map[protocol.Team]Team{},
		teamsEver:   map[protocol.Team]bool{},
		closedZones: map[protocol.Zone]bool{},
		closedTypes: map[protocol.MachineType]bool{},
	}
	for _, t := range site.Teams {
		e.teams[t.Name] = Team{Team: t}
		e.teamsEver[t.Name] = true
	}
	replaced := map[string]bool{} // classes with their own objectives
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[id]
		e.overlay(id, entry)
		if kind, name := id.Split(); kind == record.EntryClass && !entry.Reset && entry.Class != nil {
			replaced[name] = true
		}
	}
	for _, o := range site.Objectives {
		if !replaced[o.Class] {
			e.Objectives = append(e.Objectives, o)
		}
	}
	return e
}

// overlay lays one entry over what is in force.
func (e *Effective) overlay(id record.EntryID, entry record.ConfigurationEntry) {
	kind, name := id.Split()
	if kind == record.EntryTeam {
		e.teamsEver[protocol.Team(name)] = true
		e.setLowered(protocol.Team(name), entry.Lowered)
	}
	if entry.Reset {
		return
	}
	closed := entry.Place != nil && entry.Place.Closed
	switch {
	case kind == record.EntryTeam && entry.Team != nil:
		e.setTeam(protocol.Team(name), entry.Team)
	case kind == record.EntryClass && entry.Class != nil:
		e.addObjectives(name, entry.Class)
	case kind == record.EntryZone && closed:
		e.closedZones[protocol.Zone(name)] = true
	case kind == record.EntryType && closed:
		e.closedTypes[protocol.MachineType(name)] = true
	case kind == record.EntrySetting && entry.Value != nil:
		// Values were checked when they were set. One that only another version accepts
		// leaves the setting as it is in the operators' file.
		_ = setSetting(&e.Operator, name, *entry.Value)
	}
}

// setTeam replaces or removes a team.
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

// setLowered sets the revision that last lowered the limit of a team that was reset.
func (e *Effective) setLowered(name protocol.Team, revision Revision) {
	if t, known := e.teams[name]; known && revision > 0 {
		t.Lowered = revision
		e.teams[name] = t
	}
}

// addObjectives adds the objectives of a class.
func (e *Effective) addObjectives(class string, c *record.ClassEntry) {
	for _, o := range c.Objectives {
		objective := config.Objective{Kind: o.Kind, Class: class, WithinS: o.WithinS, Share: o.Share, Times: o.Times}
		e.Objectives = append(e.Objectives, objective)
	}
}
