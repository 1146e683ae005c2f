package results

import (
	"slices"

	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/capacity"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/operator"
)

// Result is the result of a run of a site.
type Result struct {
	Schema  int              `json:"schema"`
	Site    string           `json:"site"`
	Factor  float64          `json:"scale"` // by which the site was scaled
	Seed    uint64           `json:"seed"`
	Commit  string           `json:"commit"`
	Machine capacity.Machine `json:"machine"`
	Need    capacity.Need    `json:"need"`

	Rules []string `json:"rules"` // rule violations
	// CommandCopies is the number of copies of direct commands that reached a worker.
	CommandCopies int `json:"command_copies,omitempty"`

	Saturated bool             `json:"saturated"`
	Lateness  metrics.Lateness `json:"lateness"`  // worst values of all processes that were not paused
	Busy      float64          `json:"busy"`      // mean busy fraction of all processors
	BusyPeak  float64          `json:"busy_peak"` // busy fraction of all processors in the busiest second

	DurationS       float64                      `json:"duration_s"`
	Workers         int                          `json:"workers"`
	Controllers     int                          `json:"controllers"`
	ControllersDied int                          `json:"controllers_died"` // controller processes that ended without being killed
	Starts          int                          `json:"starts"`
	StartsPeakS     int                          `json:"starts_peak_s"`
	RunningPeak     int                          `json:"running_peak"`
	Urgent          UrgentMetrics                `json:"urgent"`
	Waits           map[string]metrics.Quantiles `json:"waits"`
	Users           metrics.UserMetrics          `json:"users"`
	Worker          WorkerMetrics                `json:"worker"`
	Roles           []RoleMetrics                `json:"roles"`
	State           analysis.StateMetrics        `json:"state"`
	Faults          []analysis.FaultMetrics      `json:"troubles"`
	Config          *operator.Metrics            `json:"config,omitempty"`
	Timeline        []analysis.TimelinePoint     `json:"timeline"`
}

// UrgentMetrics describes how long urgent jobs waited until all of their tasks ran.
type UrgentMetrics struct {
	Jobs   int64   `json:"jobs"`
	P50S   float64 `json:"start_p50_s"`
	P99S   float64 `json:"start_p99_s"`
	WorstS float64 `json:"start_worst_s"`
	// Calm summarizes the jobs that were submitted outside the effect of all faults while
	// their team was below its limit, and CalmAtLimit those whose team was at its limit.
	Calm        analysis.UrgentSummary `json:"calm"`
	CalmAtLimit analysis.UrgentSummary `json:"calm_at_limit"`
	// Stages splits the waits of tasks of urgent jobs into stages.
	Stages analysis.UrgentStages `json:"stages"`
}

// WorkerMetrics holds the highest usage of the workers that run in a process of their own.
type WorkerMetrics struct {
	CPUShare float64 `json:"cpu_share"` // fraction of a core
	MemoryMB float64 `json:"memory_mb"`
	BytesS   float64 `json:"bytes_s"` // in both directions
}

// RoleMetrics holds the resource usage of the processes of a role. Memory, files, threads and
// goroutines are the highest values of a single process.
type RoleMetrics struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"`
	CPU       float64 `json:"cpu"`      // mean cores of a process
	CPUMost   float64 `json:"cpu_most"` // cores of the process that used most
	CPUPeak   float64 `json:"cpu_peak"` // cores of a process in its busiest second
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // including sockets
	Threads   int     `json:"threads"`
	// Goroutines is 0 if the processes of the role do not report it.
	Goroutines int                    `json:"goroutines"`
	Traffic    map[string]TrafficRate `json:"traffic"` // by kind, sum of all processes of the role
}

// TrafficRate holds messages and bytes per second.
type TrafficRate struct {
	MessagesS float64 `json:"messages_s"`
	BytesInS  float64 `json:"bytes_in_s"`
	BytesOutS float64 `json:"bytes_out_s"`
}

// Role returns the metrics of a role, which are empty if the result has none.
func (r *Result) Role(role string) RoleMetrics {
	i := slices.IndexFunc(r.Roles, func(m RoleMetrics) bool { return m.Role == role })
	if i < 0 {
		return RoleMetrics{}
	}
	return r.Roles[i]
}
