package clusterstate

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Limited reports whether a team may have a limit, now or after a change of the
// configuration: its jobs then have one owner, which counts all that they use.
func (s *State) Limited(name protocol.Team) bool { return s.limitedIn(s.View, name) }

// limitedIn is Limited in a view.
func (s *State) limitedIn(view record.View, name protocol.Team) bool {
	return dynamicconfig.HasSingleOwner(&s.Settings.Site, view.Layout, name)
}

// Team returns a team as it is in force.
func (s *State) Team(name protocol.Team) (dynamicconfig.Team, bool) {
	return s.Configuration.Effective().Team(name)
}

// Objectives returns the service-level objectives in force.
func (s *State) Objectives() []config.Objective { return s.Configuration.Effective().Objectives }

// PlaceClosed reports whether a machine's type or zone accepts no new tasks.
func (s *State) PlaceClosed(machineType protocol.MachineType, zone protocol.Zone) bool {
	return s.Configuration.Effective().PlaceCordoned(machineType, zone)
}

// LimitLowered returns the last revision of the configuration that lowered a team's limit:
// what was placed by an earlier one is started no more.
func (s *State) LimitLowered(name protocol.Team) dynamicconfig.Revision {
	return s.Configuration.Effective().LimitLowered(name)
}

// HasGuarantee reports whether a team has any guaranteed resources.
func (s *State) HasGuarantee(name protocol.Team) bool {
	team, ok := s.Team(name)
	return ok && (team.CPUs > 0 || team.GPUs > 0)
}
