// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (XML).
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the file that the platform hands over. Unknown fields are ignored.
type Settings struct {
	Name     protocol.NodeName `toml:"host_name"`
	Zone     protocol.Zone     `toml:"domain"`
	Listen   string            `toml:"serve_on"`
	PeerBind string            `toml:"peer_bind"`
	Members  []Member          `toml:"members"`
	Services Services          `toml:"services"`
	Site     Site              `toml:"settings"`
}

// Member is another controller.
type Member struct {
	Name protocol.NodeName `toml:"host_name"`
	Zone protocol.Zone     `toml:"domain"`
	Peer string            `toml:"peer_addr"`
}

// Services are the addresses of the platform's services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Site describes the deployment.
type Site struct {
	Count        int             `toml:"count"`
	Zones        []protocol.Zone `toml:"zones"`
	ClockErrorMS float64         `toml:"clock_error_ms"`
	Teams        []Team          `toml:"teams"`
	Objectives   []Objective     `toml:"objectives"`
	Workers      Workers         `toml:"workers"`
	State        State           `toml:"state"`
	Cloud        Cloud           `toml:"cloud"`
	Limits       Limits          `toml:"limits"`
}

// Team is a team with what it is guaranteed and what it may use at most; 0: none.
type Team struct {
	Name    protocol.Team `toml:"name"`
	CPUs    float64       `toml:"cpus"`
	MaxCPUs float64       `toml:"cpus_max"`
	GPUs    float64       `toml:"gpus"`
	MaxGPUs float64       `toml:"gpus_max"`
}

// Limited reports whether anything bounds the team's use.
func (t Team) Limited() bool { return t.MaxCPUs > 0 || t.MaxGPUs > 0 }

// Objective is what is expected of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the workers' timings.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds what the controller may use of its machine.
type Limits struct {
	CPU      float64 `toml:"cpu"`
	MemoryMB float64 `toml:"ram_mb"`
	MaxConns int     `toml:"max_connections"`
}

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings; its errors name the field.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Name == "" {
		return errors.New("host_name: missing")
	}
	addrs := []struct{ field, addr string }{
		{"serve_on", s.Listen}, {"peer_bind", s.PeerBind},
		{"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State},
	}
	seen := map[protocol.NodeName]bool{s.Name: true}
	for _, m := range s.Members {
		if m.Name == "" || seen[m.Name] {
			return fmt.Errorf("members.host_name: %q is missing or there twice", m.Name)
		}
		seen[m.Name] = true
		addrs = append(addrs, struct{ field, addr string }{"members.peer_addr", m.Peer})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is no address with a port", a.field, a.addr)
		}
	}
	st := &s.Site
	amounts := []struct {
		field string
		v     float64
	}{
		{"settings.workers.report_s", st.Workers.ReportS}, {"settings.workers.lease_s", st.Workers.LeaseS},
		{"settings.workers.gang_wait_s", st.Workers.GangWaitS}, {"settings.workers.gang_peer_s", st.Workers.GangPeerS},
		{"settings.workers.cancel_s", st.Workers.CancelS},
		{"settings.state.rps", st.State.RPS}, {"settings.state.write_rps", st.State.WriteRPS},
		{"settings.state.value_kb", st.State.ValueKB}, {"settings.state.txn_ops", float64(st.State.TxnOps)},
		{"settings.cloud.rps", st.Cloud.RPS}, {"settings.limits.ram_mb", st.Limits.MemoryMB},
		{"settings.limits.max_connections", float64(st.Limits.MaxConns)},
	}
	for _, a := range amounts {
		if !(a.v > 0) || a.v > 1e9 {
			return fmt.Errorf("%s: %v is not above 0", a.field, a.v)
		}
	}
	if st.Workers.CancelS <= st.Workers.LeaseS {
		return fmt.Errorf("settings.workers.cancel_s: %v is not above lease_s", st.Workers.CancelS)
	}
	if st.Count == 0 {
		st.Count = len(s.Members) + 1
	}
	if st.Count < 1 {
		return fmt.Errorf("settings.count: %v is not above 0", st.Count)
	}
	teams := map[protocol.Team]bool{}
	for _, t := range st.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("settings.teams.name: %q is missing or there twice", t.Name)
		}
		if !(t.CPUs >= 0) || !(t.MaxCPUs >= 0) || !(t.GPUs >= 0) || !(t.MaxGPUs >= 0) {
			return fmt.Errorf("settings.teams: %q has a negative amount", t.Name)
		}
		teams[t.Name] = true
	}
	return nil
}

// Team finds a team.
func (s *Settings) Team(name protocol.Team) (Team, bool) {
	for _, t := range s.Site.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// ClockError is by how much a controller's time of day may be off.
func (s *Site) ClockError() time.Duration {
	return time.Duration(s.ClockErrorMS * float64(time.Millisecond))
}

// Seconds turns a setting in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
