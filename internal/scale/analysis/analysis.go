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

// Run holds the events that were observed during a run, with the site, jobs and faults of the
// run.
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
	Starts      int                          // number of task starts
	StartsPeakS int                          // highest number of task starts within one second
	RunningPeak int                          // highest number of tasks on machines at the same time
	Classes     map[string]metrics.Quantiles // waits of tasks from submission to start by class, see AllClasses
	UrgentJobs  metrics.Quantiles            // waits of urgent jobs until all of their tasks run
	// Calm summarizes the urgent jobs that were submitted outside the effect of all faults
	// while their team was below its limit, and CalmAtLimit those whose team was at its limit.
	Calm, CalmAtLimit UrgentSummary
	Urgent            UrgentStages
	Timeline          []TimelinePoint
	State             StateMetrics
	Faults            []FaultMetrics
}

// StateMetrics describes the records that the state service stores and the load that it served.
type StateMetrics struct {
	Records int               `json:"records"`
	Bytes   int               `json:"bytes"`
	PeakS   map[string]uint64 `json:"peak_s"` // requests in the busiest second, by kind of request
}

// Analyze computes the metrics of a run. It does not set the metrics of the state service,
// which are not among the observed events: the caller adds them.
func (r *Run) Analyze() *Metrics {
	starts := startTimes(r.Machines)
	classes, urgent := r.measureWaits()
	out := &Metrics{
		Rules:  rules.Check(r.requirements(), r.Machines, r.Users),
		Starts: len(starts), StartsPeakS: peakPerSecond(starts), RunningPeak: runningPeak(r.Machines),
		Classes: classes, UrgentJobs: urgentJobWaits(urgent),
		Calm:        summarizeUrgent(urgent, func(w urgentWait) bool { return r.isOutsideFaults(w) && !w.atLimit }),
		CalmAtLimit: summarizeUrgent(urgent, func(w urgentWait) bool { return r.isOutsideFaults(w) && w.atLimit }),
		Urgent:      r.measureUrgentStages(),
		Timeline:    r.timeline(),
	}
	for _, fault := range r.Faults {
		m := fault.Metrics
		m.Urgent = summarizeUrgent(urgent, func(w urgentWait) bool { return fault.affects(w) && !w.atLimit })
		m.StartsRecoveredS = recoveryTimeOfStarts(starts, fault.Start, fault.End)
		out.Faults = append(out.Faults, m)
	}
	return out
}

// requirements returns the parameters with which the rules are checked for this run.
func (r *Run) requirements() rules.Requirements {
	out := rules.Requirements{CancelGraceS: r.Site.Timings.CancelS, LimitChanges: r.LimitChanges, LimitGraceS: config.ConfigPropagationLimit.Seconds()}
	for _, team := range siteconfig.ControllerSettings(r.Site).Teams {
		out.Teams = append(out.Teams, rules.Team{Name: team.Name, MaxCPUs: team.MaxCPUs})
	}
	return out
}

// isOutsideFaults reports whether a job was submitted outside the effect of all faults, which lasts
// from the start of a fault until faultEffectTail after its end.
func (r *Run) isOutsideFaults(w urgentWait) bool {
	return !slices.ContainsFunc(r.Faults, func(fault Fault) bool { return fault.affects(w) })
}

// startTimes returns the times of all task starts, in order.
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
