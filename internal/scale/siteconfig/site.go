package siteconfig

import (
	"damsonkeel/internal/protocol"
)

// Site describes a run: the cluster, its load and the faults injected into it. Durations
// are in seconds unless a name says otherwise.
type Site struct {
	Name        string  `toml:"name"`
	DurationS   float64 `toml:"duration_s"`
	Controllers int     `toml:"controllers"`
	Regions     int     `toml:"regions"`
	Zones       int     `toml:"zones"`
	// Workers is how many machines are up at the start, and SpareWorkers how many more the
	// cloud can provision.
	Workers      int `toml:"workers"`
	SpareWorkers int `toml:"spare_workers"`
	// BetweenRegionsMS is how long a message takes from one region to another, and
	// ToServicesMS how long to the state service and the cloud, one way.
	BetweenRegionsMS float64 `toml:"between_regions_ms"`
	ToServicesMS     float64 `toml:"to_services_ms"`
	// RestartS is the delay before a killed controller is restarted.
	RestartS float64 `toml:"restart_s"`
	// IdleReturnS is how long the scheduler keeps idle machines.
	IdleReturnS float64 `toml:"idle_return_s"`

	Timings    Timings     `toml:"timings"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
	Types      []Type      `toml:"types"`
	Teams      []Teams     `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Load       []Load      `toml:"load"`
	Faults     []Fault     `toml:"troubles"`
	// Configuration describes what operators change during the run; no changes: nothing.
	Configuration Configuration `toml:"configuration"`
}

// Configuration describes the changes that operators make to the configuration: their
// number, spread evenly over a period.
type Configuration struct {
	Changes int     `toml:"changes"`
	FromS   float64 `toml:"from_s"`
	ForS    float64 `toml:"for_s"`
}

// Timings are the workers' protocol timings.
type Timings struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits and the latency of the state service.
type State struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ChangesPerS  float64 `toml:"changes_per_s"`
	ValueKB      float64 `toml:"value_kb"`
	TxnOps       int     `toml:"txn_ops"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Cloud holds the limits and the latency of the cloud.
type Cloud struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ListLagS     float64 `toml:"list_lag_s"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Limits are the resources that a controller is configured to use.
type Limits struct {
	CPU      float64 `toml:"cpu"`
	MemoryMB float64 `toml:"memory_mb"`
	MaxConns int     `toml:"max_connections"`
}

// Type is a machine type; Fraction is the fraction of the machines that are of it.
type Type struct {
	Name      protocol.MachineType `toml:"name"`
	Fraction  float64              `toml:"part"`
	CPUs      float64              `toml:"cpus"`
	MemoryGB  float64              `toml:"memory_gb"`
	CacheGB   float64              `toml:"cache_gb"`
	FetchGBPS float64              `toml:"fetch_gb_per_s"`
	Price     float64              `toml:"price"`
	SpotPrice float64              `toml:"spot_price"`
	BootS     float64              `toml:"boot_s"`
}

// Teams are several teams with the same settings.
type Teams struct {
	Prefix  string  `toml:"prefix"`
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
}

// Objective is the service-level objective of a class.
type Objective struct {
	Kind     string  `toml:"kind"`
	Class    string  `toml:"class"`
	WithinS  float64 `toml:"within_s"`
	Fraction float64 `toml:"share"`
}

// Load describes the jobs of a class, which arrive at random during a period.
type Load struct {
	Class             string            `toml:"class"`
	Kind              protocol.Kind     `toml:"kind"`
	Priority          protocol.Priority `toml:"priority"`
	FromS             float64           `toml:"from_s"`
	UntilS            float64           `toml:"until_s"`
	JobsPerS          float64           `toml:"jobs_per_s"`
	Tasks             []int             `toml:"tasks"` // sizes of jobs, each equally likely
	CPUs              float64           `toml:"cpus"`
	MemoryGB          float64           `toml:"memory_gb"`
	ImageGB           float64           `toml:"image_gb"`
	Images            int               `toml:"images"`
	RunS              float64           `toml:"run_s"`
	CancelledFraction float64           `toml:"cancelled"` // fraction of the jobs that are cancelled
	OneZone           bool              `toml:"one_zone"`
}
