package results

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/capacity"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/operator"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/sampler"
	"damsonkeel/internal/scale/siteconfig"
)

const (
	// schema is the version of the result's JSON format.
	schema = 1
	// saturatedMS is the 99th percentile of the timers' lateness, in milliseconds, above
	// which a run is saturated: its times then are those of the machine, not those of the
	// scheduler.
	saturatedMS = 50
	// maxViolations is how many violations of a run are listed.
	maxViolations = 50
)

// Builder composes a result.
type Builder struct {
	result  *Result
	reports map[string]process.Report // by process name
	roleOf  map[string]string         // by process name
}

// Options identify a run in its result.
type Options struct {
	Factor  float64 // by which the site was scaled
	Seed    uint64
	Commit  string
	Machine capacity.Machine
	Need    capacity.Need
}

// NewBuilder returns the builder of the result of a site's run.
func NewBuilder(site *siteconfig.Site, options Options) *Builder {
	return &Builder{
		result: &Result{
			Schema: schema, Site: site.Name, Factor: options.Factor, Seed: options.Seed, Commit: options.Commit,
			Machine: options.Machine, Need: options.Need,
			Rules: []string{}, DurationS: site.DurationS, Workers: site.Workers, Controllers: site.Controllers,
		},
		reports: map[string]process.Report{}, roleOf: map[string]string{},
	}
}

// AddConfig adds what an operator has measured.
func (b *Builder) AddConfig(config *operator.Metrics, violations []rules.Violation) {
	b.result.Config = config
	b.addViolations(violations)
}

// AddReport adds a process's report.
func (b *Builder) AddReport(child *process.Child, report process.Report) {
	role := child.Role
	if process.IsSingle(child.Name) {
		role = process.RoleWorker
	}
	b.reports[child.Name], b.roleOf[child.Name] = report, role
	if !child.Paused {
		b.addLateness(report.Lateness)
	}
	if report.Users != nil {
		b.result.Users = *report.Users
	}
	if report.Analysis != nil {
		b.addAnalysis(report.Analysis)
	}
}

// addLateness keeps the worst lateness.
func (b *Builder) addLateness(l metrics.Lateness) {
	r := b.result
	r.Lateness.P99MS = max(r.Lateness.P99MS, l.P99MS)
	r.Lateness.WorstMS = max(r.Lateness.WorstMS, l.WorstMS)
	r.Saturated = r.Lateness.P99MS > saturatedMS
}

// addAnalysis adds the metrics of what was observed.
func (b *Builder) addAnalysis(m *analysis.Metrics) {
	b.addViolations(m.Rules[:min(len(m.Rules), maxViolations)])
	r := b.result
	r.Starts, r.StartsPeakS, r.RunningPeak = m.Starts, m.StartsPeakS, m.RunningPeak
	r.Waits, r.State, r.Faults = m.Classes, m.State, m.Faults
	r.Urgent = UrgentMetrics{
		Jobs: m.UrgentJobs.Count, P50S: m.UrgentJobs.P50S, P99S: m.UrgentJobs.P99S, WorstS: m.UrgentJobs.WorstS,
		Calm: m.Calm, CalmAtLimit: m.CalmAtLimit, Stages: m.Urgent,
	}
	r.Timeline = m.Timeline
}

// addViolations lists violations.
func (b *Builder) addViolations(violations []rules.Violation) {
	for _, v := range violations {
		b.result.Rules = append(b.result.Rules, fmt.Sprintf("%s: %s", v.Rule, v.Detail))
	}
}

// Measurements are what the coordinating process has measured of a run.
type Measurements struct {
	Lateness        metrics.Lateness // of its own timers
	Elapsed         time.Duration
	Controllers     []protocol.NodeName
	ControllersDied int
	Usage           map[string]sampler.Usage // by process name
	Busy            []float64                // busy fraction of all processors, each second
}

// Finish adds the measurements and returns the result.
func (b *Builder) Finish(m Measurements) *Result {
	r := b.result
	b.addLateness(m.Lateness)
	r.ControllersDied = m.ControllersDied
	for _, name := range m.Controllers {
		b.roleOf[string(name)] = process.RoleController
	}
	elapsed := m.Elapsed.Seconds()
	for _, role := range []string{process.RoleController, process.RoleWorker, process.RoleWorkers, process.RoleServices, process.RoleUsers, process.RoleForwarder} {
		r.Roles = append(r.Roles, b.roleMetrics(role, m.Usage, elapsed))
	}
	for name, usage := range m.Usage {
		if b.roleOf[name] == process.RoleWorker {
			b.addWorker(usage, b.reports[name].Traffic, elapsed)
		}
	}
	for _, busy := range m.Busy {
		r.Busy += busy / float64(len(m.Busy))
		r.BusyPeak = max(r.BusyPeak, busy)
	}
	return r
}

// addWorker keeps the highest usage of a worker in a process of its own.
func (b *Builder) addWorker(usage sampler.Usage, traffic map[string]server.Flow, elapsed float64) {
	var bytes uint64
	for _, flow := range traffic {
		bytes += flow.BytesIn + flow.BytesOut
	}
	worker := &b.result.Worker
	worker.CPUShare = max(worker.CPUShare, usage.CPUS/elapsed)
	worker.MemoryMB = max(worker.MemoryMB, usage.MemoryMB)
	worker.BytesS = max(worker.BytesS, float64(bytes)/elapsed)
}

// roleMetrics sums up the processes of a role.
func (b *Builder) roleMetrics(role string, usages map[string]sampler.Usage, elapsed float64) RoleMetrics {
	out := RoleMetrics{Role: role, Traffic: map[string]TrafficRate{}}
	traffic := map[string]server.Flow{}
	for _, name := range slices.Sorted(maps.Keys(usages)) {
		if b.roleOf[name] != role {
			continue
		}
		usage, report := usages[name], b.reports[name]
		out.Processes++
		out.CPU += usage.CPUS / elapsed
		out.CPUMost = max(out.CPUMost, usage.CPUS/elapsed)
		out.CPUPeak = max(out.CPUPeak, usage.CPUPeak)
		out.MemoryMB = max(out.MemoryMB, usage.MemoryMB)
		out.Files = max(out.Files, usage.Files)
		out.Threads = max(out.Threads, usage.Threads)
		out.Goroutines = max(out.Goroutines, report.Goroutines)
		for kind, flow := range report.Traffic {
			sum := traffic[kind]
			sum.Messages += flow.Messages
			sum.BytesIn += flow.BytesIn
			sum.BytesOut += flow.BytesOut
			traffic[kind] = sum
		}
	}
	out.CPU /= float64(max(1, out.Processes))
	for kind, flow := range traffic {
		out.Traffic[kind] = TrafficRate{perSecond(flow.Messages, elapsed), perSecond(flow.BytesIn, elapsed), perSecond(flow.BytesOut, elapsed)}
	}
	return out
}

// perSecond returns a rate, rounded to a tenth.
func perSecond(n uint64, elapsed float64) float64 { return math.Round(10*float64(n)/elapsed) / 10 }
