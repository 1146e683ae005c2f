package fake

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// Settings returns the settings of a small deployment for tests: three controllers, two
// zones, one team without a limit and one with a limit.
func Settings() *config.Settings {
	s := &config.Settings{}
	s.Site.Count, s.Site.Zones = 3, []protocol.Zone{"a", "b"}
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", CPUs: 8, MaxCPUs: 12}}
	s.Site.Objectives = []config.Objective{{Kind: "wait", Class: "gang", WithinS: 10, Share: 0.8}}
	s.Site.Workers = config.Workers{ReportS: 3, LeaseS: 15, GangWaitS: 20, GangPeerS: 5, CancelS: 35}
	s.Site.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12}
	return s
}
