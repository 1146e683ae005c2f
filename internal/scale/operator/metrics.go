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

// Metrics describe how changes of the configuration came into force.
type Metrics struct {
	Changes int `json:"changes"` // made
	Failed  int `json:"failed"`  // rejected, or not made in time
	// AnsweredP99S is how long operators waited until a change was durable.
	AnsweredP99S float64 `json:"answered_p99_s"`
	// A change is in force once each controller has reported that it applies it, or that
	// it holds no lease. A controller that does not answer can't apply an earlier revision
	// once its lease has expired. ByBound counts the changes for which that bound was used
	// for a controller.
	InForceP99S   float64 `json:"in_force_p99_s"`
	InForceWorstS float64 `json:"in_force_worst_s"`
	ByBound       int     `json:"by_bound"`
	// AnsweringP99S and AnsweringWorstS are the same over the controllers that answered in time.
	AnsweringP99S   float64 `json:"heard_p99_s"`
	AnsweringWorstS float64 `json:"heard_worst_s"`
	// OldestS is the longest time after a change for which a controller was seen to apply
	// an earlier revision.
	OldestS float64 `json:"oldest_s"`
}

// errNoChanges says that no change was made.
var errNoChanges = errors.New("no change of the configuration was carried out")

// Metrics computes how changes came into force.
func (o *Operator) Metrics() (*Metrics, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.changes) == 0 {
		return nil, errNoChanges
	}
	m := &Metrics{Changes: len(o.changes), Failed: o.failed, AnsweredP99S: metrics.QuantilesOf(o.answerTimes).P99S, OldestS: max(0, o.longestStale.Seconds())}
	inForce, answering := metrics.NewHistogram(), metrics.NewHistogram()
	bound := config.MaxWatchStaleness(o.nodeLease())
	for _, made := range o.changes {
		d := o.delays(made, bound)
		metrics.Observe(inForce, d.all)
		metrics.Observe(answering, d.answering)
		if d.byBound {
			m.ByBound++
		}
	}
	all, answered := metrics.QuantilesOf(inForce), metrics.QuantilesOf(answering)
	m.InForceP99S, m.InForceWorstS = all.P99S, all.WorstS
	m.AnsweringP99S, m.AnsweringWorstS = answered.P99S, answered.WorstS
	return m, nil
}

// changeDelays are the longest times until a change was in force.
type changeDelays struct {
	all       time.Duration // at all controllers
	answering time.Duration // at those that answered in time
	byBound   bool          // the bound was used for a controller
}

// delays returns how long a change took until it was in force, at most a bound.
func (o *Operator) delays(made *change, bound time.Duration) changeDelays {
	var d changeDelays
	for name := range o.addresses {
		at, applied := made.appliedAt[name]
		delay := at - made.answeredAt
		if !applied || delay > bound {
			delay, d.byBound = bound, true
		} else {
			d.answering = max(d.answering, delay)
		}
		d.all = max(d.all, delay)
	}
	return d
}

// nodeLease returns the length of a controller's lease at this site.
func (o *Operator) nodeLease() time.Duration {
	operatorSettings, err := config.DefaultOperator().Fit(o.settings)
	if err != nil {
		return config.ConfigPropagationLimit
	}
	return operatorSettings.NodeLease
}

// sortedByRevision returns changes in order of their revisions.
func sortedByRevision(changes []*change) []*change {
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b *change) int { return cmp.Compare(a.revision, b.revision) })
	return sorted
}

// Violations returns the cases in which a controller applied an old revision for too long.
func (o *Operator) Violations() []rules.Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

// LimitChanges returns the changes of limits that were made, in order of their revisions.
func (o *Operator) LimitChanges() []rules.LimitChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var changes []rules.LimitChange
	for _, made := range sortedByRevision(o.changes) {
		if made.limit != nil {
			limitChange := *made.limit
			limitChange.RequestedAt, limitChange.AnsweredAt = made.requestedAt, made.answeredAt
			changes = append(changes, limitChange)
		}
	}
	return changes
}
