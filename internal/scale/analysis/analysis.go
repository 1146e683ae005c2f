package analysis

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// Run holds what was observed during a run.
type Run struct {
	Site     *siteconfig.Site
	Jobs     map[protocol.JobID]protocol.Job
	Machines []rules.MachineEvent
	Users    []rules.UserEvent
	// LimitChanges are the changes of teams' limits that operators made.
	LimitChanges []rules.LimitChange
	Faults       []Fault
}

// Metrics are the results of a run's analysis.
type Metrics struct {
	Rules       []rules.Violation
	Starts      int
	StartsPeakS int
	RunningPeak int
	Classes     map[string]metrics.Waits // tasks' waits from submission to start; "all": of all
	UrgentJobs  metrics.Waits            // until all tasks of a job run
	// Calm are urgent jobs outside the effect of all faults whose team was below its
	// limit, and CalmAtLimit those whose team was at its limit.
	Calm, CalmAtLimit UrgentSummary
	Urgent            UrgentStages
	Timeline          []TimelinePoint
	State             StateMetrics
	Faults            []FaultMetrics
}

// StateMetrics describe what the state service stored and served.
type StateMetrics struct {
	Records int               `json:"records"`
	Bytes   int               `json:"bytes"`
	PeakS   map[string]uint64 `json:"peak_s"` // requests in the busiest second of each kind
}

// Analyze computes the metrics of a run. It leaves the metrics of the state service to
// the caller.
func (r *Run) Analyze() *Metrics {
	starts := startTimes(r.Machines)
	classes, urgent := r.waits()
	out := &Metrics{
		Rules:  rules.Check(r.requirements(), r.Machines, r.Users),
		Starts: len(starts), StartsPeakS: peakPerSecond(starts), RunningPeak: runningPeak(r.Machines),
		Classes: classes, UrgentJobs: urgentJobWaits(urgent),
		Calm:        summarize(urgent, func(w urgentWait) bool { return r.isCalm(w) && !w.atLimit }),
		CalmAtLimit: summarize(urgent, func(w urgentWait) bool { return r.isCalm(w) && w.atLimit }),
		Urgent:      r.urgentStages(),
		Timeline:    r.timeline(),
	}
	for _, fault := range r.Faults {
		m := fault.Metrics
		m.Urgent = summarize(urgent, func(w urgentWait) bool { return fault.affects(w) && !w.atLimit })
		m.StartsRecoveredS = startsRecoveredAfter(starts, fault.Start, fault.End)
		out.Faults = append(out.Faults, m)
	}
	return out
}

// requirements returns the parameters of the rules for the run.
func (r *Run) requirements() rules.Requirements {
	out := rules.Requirements{CancelGraceS: r.Site.Timings.CancelS, LimitChanges: r.LimitChanges, LimitGraceS: config.ConfigPropagationLimit.Seconds()}
	for _, team := range siteconfig.ControllerSettings(r.Site).Teams {
		out.Teams = append(out.Teams, rules.Team{Name: team.Name, MaxCPUs: team.MaxCPUs})
	}
	return out
}

// isCalm reports whether a job was submitted outside the effect of all faults.
func (r *Run) isCalm(w urgentWait) bool {
	return !slices.ContainsFunc(r.Faults, func(fault Fault) bool { return fault.affects(w) })
}

// startTimes lists when tasks started, in order.
func startTimes(events []rules.MachineEvent) []time.Duration {
	var at []time.Duration
	for _, e := range events {
		if e.Kind == rules.TaskStarted {
			at = append(at, e.At)
		}
	}
	slices.Sort(at)
	return at
}
