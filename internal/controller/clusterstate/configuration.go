package clusterstate

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// MayHaveLimit reports whether a team may have a limit on the resources that its jobs use at a
// time, now or after a change of the configuration. All its jobs then have the same owner,
// which counts the resources that they use.
func (s *State) MayHaveLimit(name protocol.Team) bool { return s.mayHaveLimitIn(s.View, name) }

// mayHaveLimitIn reports the same as MayHaveLimit, for the layout of a given view.
func (s *State) mayHaveLimitIn(view record.View, name protocol.Team) bool {
	return dynamicconfig.HasSingleOwner(&s.Settings.Site, view.Layout, name)
}

// Team returns the settings of a team that are in force; ok is false if there is no such team.
func (s *State) Team(name protocol.Team) (dynamicconfig.Team, bool) {
	return s.Configuration.Effective().Team(name)
}

// Objectives returns the service-level objectives in force.
func (s *State) Objectives() []config.Objective { return s.Configuration.Effective().Objectives }

// PlaceCordoned reports whether a machine type or zone is cordoned, so that its machines
// accept no new tasks.
func (s *State) PlaceCordoned(machineType protocol.MachineType, zone protocol.Zone) bool {
	return s.Configuration.Effective().PlaceCordoned(machineType, zone)
}

// LimitLowered returns the last revision of the configuration that lowered a team's limit, or 0
// if there is none. Tasks that were placed under an earlier revision are not started any more.
func (s *State) LimitLowered(name protocol.Team) dynamicconfig.Revision {
	return s.Configuration.Effective().LimitLowered(name)
}

// HasGuarantee reports whether a team is guaranteed any processors or accelerators.
func (s *State) HasGuarantee(name protocol.Team) bool {
	team, ok := s.Team(name)
	return ok && (team.CPUs > 0 || team.GPUs > 0)
}
