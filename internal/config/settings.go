package config

import (
	"fmt"
	"os"
	"time"

	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's settings file of one controller. Unknown fields are ignored.
type Settings struct {
	Name     protocol.NodeName `toml:"host_name"` // of this controller
	Zone     protocol.Zone     `toml:"domain"`    // availability zone of this controller
	Listen   string            `toml:"serve_on"`  // address for workers, users and operators
	PeerBind string            `toml:"peer_bind"` // address for other controllers
	Members  []Member          `toml:"members"`   // the other controllers
	Services Services          `toml:"services"`
	Site     Site              `toml:"settings"`
}

// Member is another controller.
type Member struct {
	Name protocol.NodeName `toml:"host_name"`
	Zone protocol.Zone     `toml:"domain"`
	Peer string            `toml:"peer_addr"` // address for other controllers
}

// Services has the addresses of the platform's services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"` // the key-value store
}

// Site has the settings of the deployment, which are the same for all controllers.
type Site struct {
	Count        int             `toml:"count"` // number of controllers
	Zones        []protocol.Zone `toml:"zones"`
	ClockErrorMS float64         `toml:"clock_error_ms"` // largest error of a controller's clock
	Teams        []Team          `toml:"teams"`
	Objectives   []Objective     `toml:"objectives"`
	Workers      Workers         `toml:"workers"`
	State        State           `toml:"state"`
	Cloud        Cloud           `toml:"cloud"`
	Limits       Limits          `toml:"limits"`
}

// Team is a team with its guaranteed resources (CPUs, GPUs) and its limits (MaxCPUs, MaxGPUs),
// as numbers of processors; a limit of 0 is none.
type Team struct {
	Name    protocol.Team `toml:"name"`
	CPUs    float64       `toml:"cpus"`
	MaxCPUs float64       `toml:"cpus_max"`
	GPUs    float64       `toml:"gpus"`
	MaxGPUs float64       `toml:"gpus_max"`
}

// Limited reports whether the team has a limit of CPUs or of GPUs.
func (t Team) Limited() bool { return t.MaxCPUs > 0 || t.MaxGPUs > 0 }

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // time limit in seconds, of all kinds except deadline
	Share   float64 `toml:"share"`    // fraction that has to meet the objective
	Times   float64 `toml:"times"`    // factor of the kind deadline
}

// Workers has the timing of the workers, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // interval of heartbeats
	LeaseS    float64 `toml:"lease_s"`     // time for which tasks may run without a response to a heartbeat
	GangWaitS float64 `toml:"gang_wait_s"` // time for which a task waits for the other tasks of its gang
	// GangPeerS is the time within which the other tasks of a running gang notice that a task
	// has disappeared or that its machine hangs, and exit. When a gang is stopped in order, it
	// is also how long a task that has saved its checkpoint waits for the others, all of which
	// must get their kill within that time.
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"` // time within which the tasks of a cancelled job have to end
}

// State has the limits of the key-value store.
type State struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // writes per second
	ValueKB  float64 `toml:"value_kb"`  // largest size of a value, in units of 1024 bytes
	TxnOps   int     `toml:"txn_ops"`   // largest number of changes of a transaction
}

// Cloud has the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual lag of the cloud's list of machines, in seconds; sometimes up to twice as long
}

// Limits has the resources that a controller may use.
type Limits struct {
	CPU      float64 `toml:"cpu"` // cores
	MemoryMB float64 `toml:"ram_mb"`
	MaxConns int     `toml:"max_connections"`
}

// Load reads the settings file at path, and parses and checks it as Parse does.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse parses settings in TOML and checks them. It returns an error for text that is not TOML
// of the expected types, and for a field that is missing or invalid, which the error names.
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

// Team returns the team of the given name, and whether it is in the settings.
func (s *Settings) Team(name protocol.Team) (Team, bool) {
	for _, t := range s.Site.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// ClockError returns ClockErrorMS, the largest error of a controller's clock, as a duration.
func (s *Site) ClockError() time.Duration {
	return time.Duration(s.ClockErrorMS * float64(time.Millisecond))
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
