package operator

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
)

// Metrics describes how long changes of the configuration took to come into force.
type Metrics struct {
	Changes int `json:"changes"` // carried out
	Failed  int `json:"failed"`  // rejected, or not carried out in time
	// AnsweredP99S is the time until a change was durable and the operator got the response.
	AnsweredP99S float64 `json:"answered_p99_s"`
	// InForceP99S and InForceWorstS are the times from the response until the change was in
	// force. A change is in force once each controller has reported that it applies the
	// change, or that it holds no lease. A controller that does not answer cannot apply an
	// earlier revision after its lease has expired, which bounds the time for it. ByBound
	// counts the changes for which that bound was used for at least one controller.
	InForceP99S   float64 `json:"in_force_p99_s"`
	InForceWorstS float64 `json:"in_force_worst_s"`
	ByBound       int     `json:"by_bound"`
	// AnsweringP99S and AnsweringWorstS are the same times for only those controllers that
	// answered in time.
	AnsweringP99S   float64 `json:"heard_p99_s"`
	AnsweringWorstS float64 `json:"heard_worst_s"`
	// OldestS is the longest time after a change at which a controller still applied an
	// earlier revision.
	OldestS float64 `json:"oldest_s"`
}

// errNoChanges reports that no change of the configuration succeeded during the run.
var errNoChanges = errors.New("no change of the configuration was carried out")

// Metrics computes how long the changes took to come into force. It returns an error if no change was
// carried out.
func (o *Operator) Metrics() (*Metrics, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.changes) == 0 {
		return nil, errNoChanges
	}
	m := &Metrics{Changes: len(o.changes), Failed: o.failedChanges, AnsweredP99S: metrics.QuantilesOf(o.answerTimes).P99S, OldestS: max(0, o.longestStale.Seconds())}
	inForce, answering := metrics.NewHistogram(), metrics.NewHistogram()
	bound := config.MaxWatchStaleness(o.nodeLease())
	for _, change := range o.changes {
		delays := o.changeDelays(change, bound)
		metrics.Observe(inForce, delays.all)
		metrics.Observe(answering, delays.answering)
		if delays.byBound {
			m.ByBound++
		}
	}
	inForceQuantiles, answeringQuantiles := metrics.QuantilesOf(inForce), metrics.QuantilesOf(answering)
	m.InForceP99S, m.InForceWorstS = inForceQuantiles.P99S, inForceQuantiles.WorstS
	m.AnsweringP99S, m.AnsweringWorstS = answeringQuantiles.P99S, answeringQuantiles.WorstS
	return m, nil
}

// inForceDelays holds the longest times from the response to a change until it was in force.
type inForceDelays struct {
	all       time.Duration // over all controllers
	answering time.Duration // over the controllers that answered in time
	byBound   bool          // the bound was used for at least one controller
}

// changeDelays returns how long a change took to come into force. The delay of a controller that
// has not reported it within the bound is the bound.
func (o *Operator) changeDelays(change *configChange, bound time.Duration) inForceDelays {
	var delays inForceDelays
	for name := range o.addresses {
		at, applied := change.appliedAt[name]
		delay := at - change.answeredAt
		if !applied || delay > bound {
			delay, delays.byBound = bound, true
		} else {
			delays.answering = max(delays.answering, delay)
		}
		delays.all = max(delays.all, delay)
	}
	return delays
}

// nodeLease returns the length of the controllers' node lease at this site, or
// config.ConfigPropagationLimit if no lease fits the settings of the site.
func (o *Operator) nodeLease() time.Duration {
	operatorSettings, err := config.DefaultOperator().Fit(o.settings)
	if err != nil {
		return config.ConfigPropagationLimit
	}
	return operatorSettings.NodeLease
}

// sortedByRevision returns changes in order of their revisions.
func sortedByRevision(changes []*configChange) []*configChange {
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b *configChange) int { return cmp.Compare(a.revision, b.revision) })
	return sorted
}

// Violations returns the cases in which a controller still applied an earlier revision longer
// after a change than config.ConfigPropagationLimit.
func (o *Operator) Violations() []rules.Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

// LimitChanges returns the changes of teams' limits, in order of their revisions.
func (o *Operator) LimitChanges() []rules.LimitChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var changes []rules.LimitChange
	for _, change := range sortedByRevision(o.changes) {
		if change.limit != nil {
			limitChange := *change.limit
			limitChange.RequestedAt, limitChange.AnsweredAt = change.requestedAt, change.answeredAt
			changes = append(changes, limitChange)
		}
	}
	return changes
}
