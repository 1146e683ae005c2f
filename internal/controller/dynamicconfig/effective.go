package dynamicconfig

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Revision numbers the accepted changes of the configuration, starting from 1; the
// platform's file alone is revision 0.
type Revision = record.ConfigurationRevision

// Team is a team with the guarantee and the limit that are in force.
type Team struct {
	config.Team
	Closed bool // the team accepts no new jobs
	// Lowered is the last revision that lowered the limit; 0 if none has.
	Lowered Revision
}

// Effective is the configuration in force at one revision: the files, overridden by the
// entries up to that revision. It is immutable.
type Effective struct {
	Revision Revision
	// Version is the version of the revision's record in the key-value store; 0 if there is
	// no record.
	Version    protocol.Version
	Objectives []config.Objective // of all classes
	Operator   config.Operator    // operators' settings, with the changed ones

	teams       map[protocol.Team]Team
	allTeams    map[protocol.Team]bool // including those that were removed
	closedZones map[protocol.Zone]bool
	closedTypes map[protocol.MachineType]bool
}

// Base returns the configuration of the platform's file and of the operators' settings, at
// revision 0, without any changes.
func Base(site *config.Site, operator config.Operator) *Effective {
	return buildEffective(site, operator, nil, record.Configuration{}, 0)
}

// Team returns a team, and whether it exists: it is in the platform's file or was added by a
// change, and was not removed.
func (e *Effective) Team(name protocol.Team) (Team, bool) {
	t, ok := e.teams[name]
	return t, ok
}

// Teams returns the names of all teams that were not removed, in alphabetical order.
func (e *Effective) Teams() []protocol.Team { return slices.Sorted(maps.Keys(e.teams)) }

// TeamsIncludingRemoved returns the names of all teams, in alphabetical order, including
// removed teams: their tasks may still be on machines.
func (e *Effective) TeamsIncludingRemoved() []protocol.Team {
	return slices.Sorted(maps.Keys(e.allTeams))
}

// PlaceCordoned reports whether a zone or a machine type is cordoned, so that its machines
// accept no new tasks. It suffices that one of the two is cordoned.
func (e *Effective) PlaceCordoned(machineType protocol.MachineType, zone protocol.Zone) bool {
	return e.AnyPlaceCordoned() && (e.closedZones[zone] || e.closedTypes[machineType])
}

// AnyPlaceCordoned reports whether any zone or machine type is cordoned.
func (e *Effective) AnyPlaceCordoned() bool { return len(e.closedZones)+len(e.closedTypes) > 0 }

// LimitLowered returns the last revision that lowered a team's limit; 0 if none has.
func (e *Effective) LimitLowered(name protocol.Team) Revision { return e.teams[name].Lowered }

// buildEffective returns the configuration that results from applying entries on top of the
// platform's file and the operators' settings. Its revision is that of the record current,
// which has the given version.
func buildEffective(site *config.Site, operator config.Operator, entries map[record.EntryID]record.ConfigurationEntry, current record.Configuration, version protocol.Version) *Effective {
	e := &Effective{
		Revision:    current.Revision,
		Version:     version,
		Operator:    operator,
		teams:       map[protocol.Team]Team{},
		allTeams:    map[protocol.Team]bool{},
		closedZones: map[protocol.Zone]bool{},
		closedTypes: map[protocol.MachineType]bool{},
	}
	for _, t := range site.Teams {
		e.teams[t.Name] = Team{Team: t}
		e.allTeams[t.Name] = true
	}
	replaced := map[string]bool{} // classes whose objectives an entry replaces
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

// overlay applies one entry on top of e. An entry that was reset changes nothing, except for
// the revision that last lowered a team's limit.
func (e *Effective) overlay(id record.EntryID, entry record.ConfigurationEntry) {
	kind, name := id.Split()
	if kind == record.EntryTeam {
		e.allTeams[protocol.Team(name)] = true
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
		// Values are checked when they are set. A value that only another version of the
		// program accepts is ignored: the setting keeps its value in the operators' file.
		_ = setSetting(&e.Operator, name, *entry.Value)
	}
}

// setTeam replaces a team by that of an entry, or removes it if the entry says so.
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

// setLowered sets the last revision that lowered the limit of a team, which the entry of a
// reset team keeps. It does nothing for a revision of 0 or a team that does not exist.
func (e *Effective) setLowered(name protocol.Team, revision Revision) {
	if t, known := e.teams[name]; known && revision > 0 {
		t.Lowered = revision
		e.teams[name] = t
	}
}

// addObjectives adds the objectives of the entry of a class, which replace those of the
// platform's file.
func (e *Effective) addObjectives(class string, c *record.ClassEntry) {
	for _, o := range c.Objectives {
		objective := config.Objective{Kind: o.Kind, Class: class, WithinS: o.WithinS, Share: o.Share, Times: o.Times}
		e.Objectives = append(e.Objectives, objective)
	}
}
