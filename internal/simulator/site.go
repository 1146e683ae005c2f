package simulator

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Site describes a run: the cluster, its load and the faults to inject. Amounts have the
// units of the protocol; durations are in seconds.
type Site struct {
	// Start is the date and time at which the measured part of the run begins.
	Start time.Time `toml:"start"`
	// Machines is how many machines the cloud has, spread evenly over the zones.
	Machines int    `toml:"machines"`
	Types    []Type `toml:"types"`
	Teams    []Team `toml:"teams"`
	// ReportS is the interval of workers' heartbeats, and LeaseS the length of their leases, in
	// seconds.
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`

	Load         []Load        `toml:"load"`
	Reservations []Reservation `toml:"reservations"`
	Windows      []Window      `toml:"windows"`
	Faults       FaultRates    `toml:"troubles"`
	// CommandCopies is the fraction of the direct commands of which a copy reaches the worker
	// once more, up to minutes after they were executed and answered.
	CommandCopies float64 `toml:"command_copies"`
	StepMS        int     `toml:"step_ms"` // milliseconds between the ticks of controllers and watches
}

// Type is a machine type: its size, the rate at which it fetches container images (FetchGBPS,
// in GB per second), its prices per hour, its boot time in seconds, and the zones that have
// it.
type Type struct {
	Name      protocol.MachineType `toml:"name"`
	CPUs      float64              `toml:"cpus"`
	GPUs      float64              `toml:"gpus"`
	MemoryGB  float64              `toml:"memory_gb"`
	FetchGBPS float64              `toml:"fetch_gb_per_s"`
	Price     float64              `toml:"price"`
	SpotPrice float64              `toml:"spot_price"`
	BootS     float64              `toml:"boot_s"`
	Zones     []protocol.Zone      `toml:"zones"`
}

// Team is a team with the number of processors it is guaranteed (CPUs) and the most that it
// may use (MaxCPUs; 0 means no limit).
type Team struct {
	Name    protocol.Team `toml:"name"`
	CPUs    float64       `toml:"cpus"`
	MaxCPUs float64       `toml:"cpus_max"`
}

// Load describes the jobs of a class, which arrive at random. CPUs is per task; EstimateS is
// the estimated run time of a task in seconds.
type Load struct {
	Class               string            `toml:"class"`
	Team                protocol.Team     `toml:"team"`
	Priority            protocol.Priority `toml:"priority"`
	EveryS              float64           `toml:"every_s"` // mean time between arrivals
	Tasks               int               `toml:"tasks"`   // mean tasks per job
	CPUs                float64           `toml:"cpus"`
	EstimateS           float64           `toml:"estimate_s"`
	RunTimeFactor       float64           `toml:"factor"` // actual run time divided by the estimate
	CheckpointS         float64           `toml:"checkpoint_s"`
	CheckpointDurationS float64           `toml:"save_s"`
	Spot                bool              `toml:"spot"`
	// CancelledFraction is the fraction of the jobs that are cancelled, within maxCancelDelay
	// after they were accepted.
	CancelledFraction float64 `toml:"cancelled"`
}

// Reservation is a reservation with the jobs that are submitted for it. HoldS is how long
// resources are held for a job to be submitted, and LengthS the expected run time of the job.
type Reservation struct {
	Name     record.EntryName  `toml:"name"`
	Class    string            `toml:"class"`
	Team     protocol.Team     `toml:"team"`
	Priority protocol.Priority `toml:"priority"`
	When     string            `toml:"when"`
	HoldS    float64           `toml:"hold_s"`
	LengthS  float64           `toml:"length_s"`
	Tasks    int               `toml:"tasks"`
	CPUs     float64           `toml:"cpus"`
	MemoryGB float64           `toml:"memory_gb"`
	Zone     protocol.Zone     `toml:"zone"`
	OneZone  bool              `toml:"one_zone"`
	Gang     bool              `toml:"gang"`
	// SubmitAfterS is how long after the start of an occurrence its job is submitted; it is
	// negative if the job is submitted before the start.
	SubmitAfterS float64 `toml:"comes_s"`
	// NeverSubmitted is set if no job is submitted for the reservation.
	NeverSubmitted bool `toml:"never"`
	// ExtraTasks is how many tasks the job has in addition to the reserved ones.
	ExtraTasks int `toml:"more"`
}

// Window is a maintenance window: its schedule (When, as package reservation parses it), its
// length in seconds, and the machine type and zone that it covers; an empty one means all.
type Window struct {
	Name    record.EntryName     `toml:"name"`
	When    string               `toml:"when"`
	LengthS float64              `toml:"length_s"`
	Type    protocol.MachineType `toml:"type"`
	Zone    protocol.Zone        `toml:"zone"`
}

// FaultRates is how often each fault is injected per day, at times drawn from the seed. Half
// of the faults, at random, are injected in the ten minutes before an occurrence of a
// reservation starts.
type FaultRates struct {
	Crash           float64 `toml:"crash"`        // a controller crashes
	CrashAll        float64 `toml:"all_crash"`    // all controllers crash
	StatePartition  float64 `toml:"cut"`          // a controller is partitioned from the key-value store
	StateOutage     float64 `toml:"state_outage"` // the key-value store is unavailable for up to 20 s
	CloudSilent     float64 `toml:"cloud_silent"` // the cloud does not answer for ten minutes
	SpotPreemption  float64 `toml:"spot_wave"`    // a third of the spot machines are preempted
	MachineLost     float64 `toml:"lost"`         // a machine is lost
	Slowdown        float64 `toml:"slow"`         // a controller is five times slower for two minutes
	Pause           float64 `toml:"frozen"`       // a controller is paused for 40 s while its clocks run on
	WorkerPartition float64 `toml:"deaf"`         // a controller is partitioned from the workers for a minute
	Shutdown        float64 `toml:"leave"`        // a controller is shut down by a signal
	RollingShutdown float64 `toml:"roll"`         // all controllers are shut down, one after the other
	MoveShards      float64 `toml:"move"`         // up to 16 shards are moved to another controller
	// StateRefusal: the key-value store refuses one controller for 8 to 40 s, and then answers
	// its watch, which was opened before, late.
	StateRefusal float64 `toml:"refused"`
}
