package config

import (
	"net"

	"damsonkeel/internal/protocol"
)

// maxAmount is the largest allowed value, in the unit of each setting, of the settings that
// have to be positive.
const maxAmount = 1e9

// check returns a FieldError for the first field that is missing or invalid. If the number of
// controllers is 0, it sets it to the number of those listed, this one included.
func (s *Settings) check() error {
	if s.Name == "" {
		return badField("host_name", "missing")
	}
	for _, check := range []func() error{s.checkMembers, s.checkAddresses, s.Site.checkAmounts} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.Site.Count == 0 {
		s.Site.Count = len(s.Members) + 1
	}
	if s.Site.Count < 1 {
		return badField("settings.count", "%v is not above 0", s.Site.Count)
	}
	return s.Site.checkTeams()
}

// checkMembers returns an error unless all other controllers have names that are unique and
// differ from this controller's.
func (s *Settings) checkMembers() error {
	seen := map[protocol.NodeName]bool{s.Name: true}
	for _, member := range s.Members {
		if member.Name == "" || seen[member.Name] {
			return badField("members.host_name", "%q is missing or there twice", member.Name)
		}
		seen[member.Name] = true
	}
	return nil
}

// checkAddresses returns an error unless all addresses have the form "host:port".
func (s *Settings) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"serve_on", s.Listen},
		{"peer_bind", s.PeerBind},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	}
	for _, member := range s.Members {
		addresses = append(addresses, address{"members.peer_addr", member.Peer})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return badField(a.field, "%q is no address with a port", a.value)
		}
	}
	return nil
}

// checkAmounts returns an error unless the numbers listed in it are above 0 and at most
// maxAmount, and cancel_s is above lease_s.
func (s *Site) checkAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"settings.workers.report_s", s.Workers.ReportS},
		{"settings.workers.lease_s", s.Workers.LeaseS},
		{"settings.workers.gang_wait_s", s.Workers.GangWaitS},
		{"settings.workers.gang_peer_s", s.Workers.GangPeerS},
		{"settings.workers.cancel_s", s.Workers.CancelS},
		{"settings.state.rps", s.State.RPS},
		{"settings.state.write_rps", s.State.WriteRPS},
		{"settings.state.value_kb", s.State.ValueKB},
		{"settings.state.txn_ops", float64(s.State.TxnOps)},
		{"settings.cloud.rps", s.Cloud.RPS},
		{"settings.limits.ram_mb", s.Limits.MemoryMB},
		{"settings.limits.max_connections", float64(s.Limits.MaxConns)},
	} {
		valid := amount.value > 0 && amount.value <= maxAmount // false for NaN
		if !valid {
			return badField(amount.field, "%v is not above 0", amount.value)
		}
	}
	if s.Workers.CancelS <= s.Workers.LeaseS {
		return badField("settings.workers.cancel_s", "%v is not above lease_s", s.Workers.CancelS)
	}
	return nil
}

// checkTeams returns an error unless all teams have unique names, and guarantees and limits
// that are not negative.
func (s *Site) checkTeams() error {
	seen := map[protocol.Team]bool{}
	for _, team := range s.Teams {
		if team.Name == "" || seen[team.Name] {
			return badField("settings.teams.name", "%q is missing or there twice", team.Name)
		}
		for _, amount := range []float64{team.CPUs, team.MaxCPUs, team.GPUs, team.MaxGPUs} {
			valid := amount >= 0 // false for NaN
			if !valid {
				return badField("settings.teams", "%q has a negative amount", team.Name)
			}
		}
		seen[team.Name] = true
	}
	return nil
}
