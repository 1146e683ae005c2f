package config

import (
	"fmt"
	"os"
	"time"

	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's settings file. Unknown fields are ignored.
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

// Services has the addresses of the platform's services.
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

// Team is a team with its guaranteed resources and its limits; a limit of 0 is none.
type Team struct {
	Name    protocol.Team `toml:"name"`
	CPUs    float64       `toml:"cpus"`
	MaxCPUs float64       `toml:"cpus_max"`
	GPUs    float64       `toml:"gpus"`
	MaxGPUs float64       `toml:"gpus_max"`
}

// Limited reports whether the team has a limit.
func (t Team) Limited() bool { return t.MaxCPUs > 0 || t.MaxGPUs > 0 }

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers has the timing of the workers.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State has the limits of the key-value store.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud has the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits has the resources that a controller may use.
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

// Parse parses and checks settings. Its errors name the field.
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

// Team finds a team.
func (s *Settings) Team(name protocol.Team) (Team, bool) {
	for _, t := range s.Site.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// ClockError is the largest error of a controller's clock.
func (s *Site) ClockError() time.Duration {
	return time.Duration(s.ClockErrorMS * float64(time.Millisecond))
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
