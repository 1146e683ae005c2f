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
	// Workers is the number of machines that are up at the start, and SpareWorkers the number
	// of further machines that the cloud can provision.
	Workers      int `toml:"workers"`
	SpareWorkers int `toml:"spare_workers"`
	// BetweenRegionsMS is the one-way latency between two regions, and ToServicesMS the one-way
	// latency between a region and the state service, the cloud or the users.
	BetweenRegionsMS float64 `toml:"between_regions_ms"`
	ToServicesMS     float64 `toml:"to_services_ms"`
	// RestartS is the delay before a controller whose process ended is restarted.
	RestartS float64 `toml:"restart_s"`
	// CommandCopies is the fraction of the direct commands of which a copy reaches the worker
	// once more after they were executed and answered.
	CommandCopies float64 `toml:"command_copies"`
	// IdleReturnS is how long the scheduler keeps an idle machine before it returns the machine
	// to the cloud.
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
	// Configuration describes the configuration changes by operators during the run. With 0
	// changes, the run has no operator.
	Configuration Configuration `toml:"configuration"`
}

// Configuration describes the configuration changes by operators: Changes is their number, and
// they are spread evenly over the ForS seconds that begin FromS seconds after the start.
type Configuration struct {
	Changes int     `toml:"changes"`
	FromS   float64 `toml:"from_s"`
	ForS    float64 `toml:"for_s"`
}

// Timings holds the timings of the worker protocol in seconds.
type Timings struct {
	ReportS   float64 `toml:"report_s"`    // interval of a worker's heartbeats
	LeaseS    float64 `toml:"lease_s"`     // length of a worker's lease: how long its tasks may run without an answered heartbeat
	GangWaitS float64 `toml:"gang_wait_s"` // how long a started task waits for the rest of its gang
	GangPeerS float64 `toml:"gang_peer_s"` // how long the other tasks of a gang keep running after one was stopped
	CancelS   float64 `toml:"cancel_s"`    // how long tasks may run after their cancellation was confirmed
}

// State holds the limits of the state service (requests and changes per second, the size of a value in
// units of 1024 bytes, changes per transaction) and its response latency in milliseconds. The
// simulated service applies the rates and the latency; the other limits only reach the
// controllers' settings.
type State struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ChangesPerS  float64 `toml:"changes_per_s"`
	ValueKB      float64 `toml:"value_kb"`
	TxnOps       int     `toml:"txn_ops"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Cloud holds the limit of the cloud in requests per second, the lag of its list of machines in seconds
// and its response latency in milliseconds. The lag only reaches the controllers' settings.
type Cloud struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ListLagS     float64 `toml:"list_lag_s"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Limits holds the resources that a controller is configured to use at most: cores, memory in MB and
// connections.
type Limits struct {
	CPU      float64 `toml:"cpu"`
	MemoryMB float64 `toml:"memory_mb"`
	MaxConns int     `toml:"max_connections"`
}

// Type is a machine type. Fraction is the fraction of the initial machines that have this type,
// CacheGB the size of the image cache, FetchGBPS the rate at which images are fetched, Price and
// SpotPrice the prices of an on-demand and a spot machine per hour, and BootS the usual boot time.
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

// Teams describes Count teams with the same settings: CPUs is the guarantee and MaxCPUs the
// limit of each, in processors; a limit of 0 is none. Their names are the prefix with a number.
type Teams struct {
	Prefix  string  `toml:"prefix"`
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
}

// Objective is a service-level objective for the jobs of a class: Fraction of them must meet the
// time WithinS, in seconds. Kind names the time that is measured, as in the controllers' settings.
type Objective struct {
	Kind     string  `toml:"kind"`
	Class    string  `toml:"class"`
	WithinS  float64 `toml:"within_s"`
	Fraction float64 `toml:"share"`
}

// Load describes the jobs of a class, which arrive at random from FromS until UntilS with an
// average rate of JobsPerS. CPUs and MemoryGB are the needs of each task, RunS is the mean estimate
// of its run time, and each job uses one of Images different images of ImageGB.
type Load struct {
	Class             string            `toml:"class"`
	Kind              protocol.Kind     `toml:"kind"`
	Priority          protocol.Priority `toml:"priority"`
	FromS             float64           `toml:"from_s"`
	UntilS            float64           `toml:"until_s"`
	JobsPerS          float64           `toml:"jobs_per_s"`
	Tasks             []int             `toml:"tasks"` // numbers of tasks of a job, each equally likely
	CPUs              float64           `toml:"cpus"`
	MemoryGB          float64           `toml:"memory_gb"`
	ImageGB           float64           `toml:"image_gb"`
	Images            int               `toml:"images"`
	RunS              float64           `toml:"run_s"`
	CancelledFraction float64           `toml:"cancelled"` // fraction of the jobs that are cancelled
	OneZone           bool              `toml:"one_zone"`
}
