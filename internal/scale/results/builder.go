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
	// schemaVersion is the version of the JSON format of results.
	schemaVersion = 1
	// saturationLatenessMS is the 99th percentile of the timers' lateness, in milliseconds,
	// above which a run counts as saturated: the times that it measured then depend on the
	// overloaded machine and not on the scheduler.
	saturationLatenessMS = 50
	// maxListedViolations is the number of analyzed violations that a result lists at most.
	maxListedViolations = 50
)

// Builder composes the result of a run from the reports of its processes, which are added one by
// one, and the measurements of the coordinating process.
type Builder struct {
	result  *Result
	reports map[string]process.Report // by process name
	roleOf  map[string]string         // by process name
}

// Options are the properties of a run that its result contains.
type Options struct {
	Factor  float64 // by which the site was scaled
	Seed    uint64
	Commit  string
	Machine capacity.Machine
	Need    capacity.Need
}

// NewBuilder returns a builder for the result of a run of a site.
func NewBuilder(site *siteconfig.Site, options Options) *Builder {
	return &Builder{
		result: &Result{
			Schema: schemaVersion, Site: site.Name, Factor: options.Factor, Seed: options.Seed, Commit: options.Commit,
			Machine: options.Machine, Need: options.Need,
			Rules: []string{}, DurationS: site.DurationS, Workers: site.Workers, Controllers: site.Controllers,
		},
		reports: map[string]process.Report{}, roleOf: map[string]string{},
	}
}

// AddConfig adds the metrics of the configuration changes and the violations that an operator
// has observed.
func (b *Builder) AddConfig(config *operator.Metrics, violations []rules.Violation) {
	b.result.Config = config
	b.addViolations(violations)
}

// AddReport adds the report of a process. It ignores the timers' lateness of processes that were
// paused during the run.
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
	b.addCopies(child.Name, report.Copies)
}

// addCopies adds the copies of direct commands that reached the workers of a process, and a
// violation if any of them started an attempt again.
func (b *Builder) addCopies(process string, copies server.CopyCounts) {
	b.result.CommandCopies += copies.Delivered
	if copies.RepeatedStarts > 0 {
		b.addViolations([]rules.Violation{{
			Rule:   rules.RuleStartedAgain,
			Detail: fmt.Sprintf("copies of commands started %d attempts again on the workers of %s", copies.RepeatedStarts, process),
		}})
	}
}

// addLateness updates the worst lateness of all processes and whether the run counts as saturated.
func (b *Builder) addLateness(l metrics.Lateness) {
	r := b.result
	r.Lateness.P99MS = max(r.Lateness.P99MS, l.P99MS)
	r.Lateness.WorstMS = max(r.Lateness.WorstMS, l.WorstMS)
	r.Saturated = r.Lateness.P99MS > saturationLatenessMS
}

// addAnalysis adds the metrics and violations from the analysis of the run.
func (b *Builder) addAnalysis(m *analysis.Metrics) {
	b.addViolations(m.Rules[:min(len(m.Rules), maxListedViolations)])
	r := b.result
	r.Starts, r.StartsPeakS, r.RunningPeak = m.Starts, m.StartsPeakS, m.RunningPeak
	r.Waits, r.State, r.Faults = m.Classes, m.State, m.Faults
	r.Urgent = UrgentMetrics{
		Jobs: m.UrgentJobs.Count, P50S: m.UrgentJobs.P50S, P99S: m.UrgentJobs.P99S, WorstS: m.UrgentJobs.WorstS,
		Calm: m.Calm, CalmAtLimit: m.CalmAtLimit, Stages: m.Urgent,
	}
	r.Timeline = m.Timeline
}

// addViolations adds violations, as texts of rule and detail, to the list of the result.
func (b *Builder) addViolations(violations []rules.Violation) {
	for _, v := range violations {
		b.result.Rules = append(b.result.Rules, fmt.Sprintf("%s: %s", v.Rule, v.Detail))
	}
}

// Measurements holds the measurements of a run by the coordinating process.
type Measurements struct {
	Lateness        metrics.Lateness // of the timers of the coordinating process
	Elapsed         time.Duration
	Controllers     []protocol.NodeName
	ControllersDied int
	Usage           map[string]sampler.Usage // by process name
	BusyFractions   []float64                // busy fraction of all processors in each second
}

// Finish adds the measurements of the coordinating process, the usage of each role and the highest
// usage of a single worker, and returns the result. It is called after all reports were added.
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
			b.addSingleWorker(usage, b.reports[name].Traffic, elapsed)
		}
	}
	for _, busy := range m.BusyFractions {
		r.Busy += busy / float64(len(m.BusyFractions))
		r.BusyPeak = max(r.BusyPeak, busy)
	}
	return r
}

// addSingleWorker updates the highest usage of the workers that run in a process of their own.
func (b *Builder) addSingleWorker(usage sampler.Usage, traffic map[string]server.Flow, elapsed float64) {
	var bytes uint64
	for _, flow := range traffic {
		bytes += flow.BytesIn + flow.BytesOut
	}
	worker := &b.result.Worker
	worker.CPUShare = max(worker.CPUShare, usage.CPUSeconds/elapsed)
	worker.MemoryMB = max(worker.MemoryMB, usage.MemoryMB)
	worker.BytesS = max(worker.BytesS, float64(bytes)/elapsed)
}

// roleMetrics summarizes the usage and the traffic of the processes of a role over a run of the
// given number of seconds.
func (b *Builder) roleMetrics(role string, usages map[string]sampler.Usage, elapsed float64) RoleMetrics {
	out := RoleMetrics{Role: role, Traffic: map[string]TrafficRate{}}
	traffic := map[string]server.Flow{}
	for _, name := range slices.Sorted(maps.Keys(usages)) {
		if b.roleOf[name] != role {
			continue
		}
		usage, report := usages[name], b.reports[name]
		out.Processes++
		out.CPU += usage.CPUSeconds / elapsed
		out.CPUMost = max(out.CPUMost, usage.CPUSeconds/elapsed)
		out.CPUPeak = max(out.CPUPeak, usage.CPUPeak)
		out.MemoryMB = max(out.MemoryMB, usage.MemoryMB)
		out.Files = max(out.Files, usage.Files)
		out.Threads = max(out.Threads, usage.Threads)
		out.Goroutines = max(out.Goroutines, report.Goroutines)
		for kind, flow := range report.Traffic {
			total := traffic[kind]
			total.Messages += flow.Messages
			total.BytesIn += flow.BytesIn
			total.BytesOut += flow.BytesOut
			traffic[kind] = total
		}
	}
	out.CPU /= float64(max(1, out.Processes))
	for kind, flow := range traffic {
		out.Traffic[kind] = TrafficRate{perSecond(flow.Messages, elapsed), perSecond(flow.BytesIn, elapsed), perSecond(flow.BytesOut, elapsed)}
	}
	return out
}

// perSecond returns the rate per second of a count over a number of seconds, rounded to one
// decimal.
func perSecond(count uint64, elapsed float64) float64 {
	return math.Round(10*float64(count)/elapsed) / 10
}
