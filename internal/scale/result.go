package scale

import (
	"fmt"
	"maps"
	"math"
	"os/exec"
	"slices"
	"strings"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/scale/rules"
)

// resultSchema is the version of the result's form.
const resultSchema = 1

// saturatedMS is how late the timers of a run may be in 99 of 100 cases, in
// milliseconds: beyond that its times are the machine's, not the service's.
const saturatedMS = 50

// Result is what became of a run.
type Result struct {
	Schema  int     `json:"schema"`
	Site    string  `json:"site"`
	Factor  float64 `json:"scale"`
	Seed    uint64  `json:"seed"`
	Commit  string  `json:"commit"`
	Machine Machine `json:"machine"`
	Need    Need    `json:"need"`

	Rules     []string `json:"rules"` // broken ones
	Saturated bool     `json:"saturated"`
	Lateness  Lateness `json:"lateness"` // worst of the processes that nobody stopped
	Busy      float64  `json:"busy"`     // part of all processors, on average
	BusyPeak  float64  `json:"busy_peak"`

	DurationS       float64          `json:"duration_s"`
	Workers         int              `json:"workers"`
	Controllers     int              `json:"controllers"`
	ControllersDied int              `json:"controllers_died"` // by themselves
	Starts          int              `json:"starts"`
	StartsPeakS     int              `json:"starts_peak_s"`
	RunningPeak     int              `json:"running_peak"`
	Urgent          UrgentFigures    `json:"urgent"`
	Waits           map[string]Waits `json:"waits"`
	Users           UserFigures      `json:"users"`
	Worker          WorkerFigures    `json:"worker"`
	Roles           []RoleFigures    `json:"roles"`
	State           StateFigures     `json:"state"`
	Troubles        []TroubleFigures `json:"troubles"`
	Config          *ConfigFigures   `json:"config,omitempty"`
	Timeline        []TimelinePoint  `json:"timeline"`

	reports map[string]RoleReport
	roleOf  map[string]string
}

// UrgentFigures tell how long urgent jobs waited for all of their tasks.
type UrgentFigures struct {
	Jobs   int64   `json:"jobs"`
	P50S   float64 `json:"start_p50_s"`
	P99S   float64 `json:"start_p99_s"`
	WorstS float64 `json:"start_worst_s"`
	// Calm are the jobs that were submitted beside no trouble, within their teams' limits.
	Calm        UrgentSpell `json:"calm"`
	CalmAtLimit UrgentSpell `json:"calm_at_limit"` // of these, whose team's limit left no room
	// Stages are the parts of a task's wait.
	Stages UrgentStages `json:"stages"`
}

// WorkerFigures are the most that a worker in a process of its own has spent.
type WorkerFigures struct {
	CPUShare float64 `json:"cpu_share"` // of a core
	MemoryMB float64 `json:"memory_mb"`
	BytesS   float64 `json:"bytes_s"` // both ways
}

// RoleFigures are what the processes of a role have used.
type RoleFigures struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"`
	CPU       float64 `json:"cpu"`      // cores of a process, on average
	CPUMost   float64 `json:"cpu_most"` // of the process that used most
	CPUPeak   float64 `json:"cpu_peak"` // of a process, in its busiest second
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // sockets among them
	Threads   int     `json:"threads"`
	// Goroutines is 0 where it can't be seen from outside.
	Goroutines int                    `json:"goroutines"`
	Traffic    map[string]TrafficRate `json:"traffic"` // of all processes of the role
}

// TrafficRate is messages and bytes a second.
type TrafficRate struct {
	MessagesS float64 `json:"messages_s"`
	BytesInS  float64 `json:"bytes_in_s"`
	BytesOutS float64 `json:"bytes_out_s"`
}

func newResult(site *Site, options Options) *Result {
	return &Result{
		Schema: resultSchema, Site: site.Name, Factor: options.Factor, Seed: options.Seed, Commit: commit(options.Root),
		Rules: []string{}, DurationS: site.DurationS, Workers: site.Workers, Controllers: site.Controllers,
		reports: map[string]RoleReport{}, roleOf: map[string]string{},
	}
}

// commit is the commit of a checkout, marked if files have changed since.
func commit(root string) string {
	out, err := exec.Command("git", "-C", root, "describe", "--always", "--dirty", "--exclude", "*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// add takes a process's report.
func (r *Result) add(c *child, report RoleReport) {
	role := c.role
	if strings.HasPrefix(c.name, singlePrefix) {
		role = roleWorker
	}
	r.reports[c.name], r.roleOf[c.name] = report, role
	if !c.stopped {
		r.late(report.Lateness)
	}
	if report.Users != nil {
		r.Users = *report.Users
	}
	if report.Hub != nil {
		r.takeHub(report.Hub)
	}
}

func (r *Result) late(l Lateness) {
	r.Lateness.P99MS = max(r.Lateness.P99MS, l.P99MS)
	r.Lateness.WorstMS = max(r.Lateness.WorstMS, l.WorstMS)
	r.Saturated = r.Lateness.P99MS > saturatedMS
}

// rulesListed is how many broken rules are listed by name.
const rulesListed = 50

func (r *Result) takeHub(h *HubFigures) {
	for _, v := range h.Rules[:min(len(h.Rules), rulesListed)] {
		r.Rules = append(r.Rules, violation(v))
	}
	r.Starts, r.StartsPeakS, r.RunningPeak = h.Starts, h.StartsPeakS, h.RunningPeak
	r.Waits, r.State, r.Troubles = h.Classes, h.State, h.Troubles
	r.Urgent = UrgentFigures{Jobs: h.UrgentJobs.Count, P50S: h.UrgentJobs.P50S, P99S: h.UrgentJobs.P99S, WorstS: h.UrgentJobs.WorstS, Calm: h.Calm, CalmAtLimit: h.CalmAtLimit, Stages: h.Urgent}
	r.Timeline = h.Timeline
}

func violation(v rules.Violation) string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// complete adds what this process has measured of the others.
func (r *Result) complete(run *run) {
	r.late(run.meter.lateness())
	r.ControllersDied = run.controllers.endedByThemselves()
	for _, c := range run.controllers.all {
		r.roleOf[string(c.name)] = roleController
	}
	s := run.sampler
	s.mu.Lock()
	defer s.mu.Unlock()
	passed := (Now() - run.begin).Seconds()
	for _, role := range []string{roleController, roleWorker, RoleWorkers, RoleServices, RoleUsers, RoleForwarder} {
		r.Roles = append(r.Roles, r.role(role, s.spent, passed))
	}
	for name, spent := range s.spent {
		if r.roleOf[name] != roleWorker {
			continue
		}
		bytes := 0.0
		for _, f := range r.reports[name].Traffic {
			bytes += float64(f.BytesIn + f.BytesOut)
		}
		r.Worker.CPUShare = max(r.Worker.CPUShare, spent.CPUS/passed)
		r.Worker.MemoryMB = max(r.Worker.MemoryMB, spent.MemoryMB)
		r.Worker.BytesS = max(r.Worker.BytesS, bytes/passed)
	}
	for _, busy := range s.busy {
		r.Busy += busy / float64(len(s.busy))
		r.BusyPeak = max(r.BusyPeak, busy)
	}
}

// role adds up the processes of a role.
func (r *Result) role(role string, spent map[string]*Spent, passed float64) RoleFigures {
	f := RoleFigures{Role: role, Traffic: map[string]TrafficRate{}}
	traffic := map[string]server.Flow{}
	for _, name := range slices.Sorted(maps.Keys(spent)) {
		if r.roleOf[name] != role {
			continue
		}
		one, report := spent[name], r.reports[name]
		f.Processes++
		f.CPU += one.CPUS / passed
		f.CPUMost = max(f.CPUMost, one.CPUS/passed)
		f.CPUPeak = max(f.CPUPeak, one.CPUPeak)
		f.MemoryMB = max(f.MemoryMB, one.MemoryMB)
		f.Files = max(f.Files, one.Files)
		f.Threads = max(f.Threads, one.Threads)
		f.Goroutines = max(f.Goroutines, report.Goroutines)
		for kind, flow := range report.Traffic {
			sum := traffic[kind]
			sum.Messages += flow.Messages
			sum.BytesIn += flow.BytesIn
			sum.BytesOut += flow.BytesOut
			traffic[kind] = sum
		}
	}
	f.CPU /= float64(max(1, f.Processes))
	for kind, flow := range traffic {
		f.Traffic[kind] = TrafficRate{perSecond(flow.Messages, passed), perSecond(flow.BytesIn, passed), perSecond(flow.BytesOut, passed)}
	}
	return f
}

func perSecond(n uint64, passed float64) float64 { return math.Round(10*float64(n)/passed) / 10 }
