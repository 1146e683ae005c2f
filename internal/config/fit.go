package config

import (
	"fmt"
	"time"
)

// ConfigPropagationLimit is the longest time for which a controller may act on the previous
// configuration after a change. Fit rejects a node lease that is too long for it.
const ConfigPropagationLimit = 11 * time.Second

const (
	// preferredNodeLease is the default node lease if the platform's settings allow it. It
	// is a little longer than a controller takes to restart.
	preferredNodeLease = 8 * time.Second
	// minNodeLease is the shortest node lease that can be renewed reliably.
	minNodeLease = time.Second
	// propagationMargin is the reserve within ConfigPropagationLimit, for clock drift and for
	// a step of the controller that is in progress.
	propagationMargin = 500 * time.Millisecond
	// cancelMargin is the least time that MaxCancellationDelay must leave of cancel_s.
	cancelMargin = time.Second
	// watchSlack is the time beyond the length of its lease for which a controller may act
	// after it sent the last watch request that got a response: a watch request stays open
	// for seconds.
	watchSlack = 2 * time.Second
	// leaseDrift is the fraction by which a worker's lease, measured by the worker's clock, may
	// be longer on another clock.
	leaseDrift = 0.0005
)

// MaxWatchStaleness returns the longest time for which a controller with a node lease of
// the given length may respond to workers without having read the latest changes of the
// records.
func MaxWatchStaleness(nodeLease time.Duration) time.Duration { return nodeLease + watchSlack }

// MaxCancellationDelay returns the longest time for which tasks of a job may run after its
// cancellation was confirmed, whatever fails: for MaxWatchStaleness, a controller may
// respond to the tasks' worker without having read the cancellation, and its last response
// lets the tasks run for the length of the worker's lease, counted from the time at which
// the worker sent the heartbeat.
func MaxCancellationDelay(nodeLease time.Duration, w Workers) time.Duration {
	return MaxWatchStaleness(nodeLease) + Seconds(w.LeaseS*(1+leaseDrift))
}

// Fit returns the operators' settings with a node lease: if it is not set, the smaller of
// preferredNodeLease and the longest one that the platform's settings allow. It returns an
// error if MaxCancellationDelay does not leave cancelMargin of cancel_s, or if the
// configuration can change and a change would not be in force on all controllers within
// ConfigPropagationLimit.
func (op Operator) Fit(s *Settings) (Operator, error) {
	workers := s.Site.Workers
	maxLease := Seconds(workers.CancelS) - cancelMargin - MaxCancellationDelay(0, workers)
	if maxLease < minNodeLease {
		return op, fmt.Errorf("settings: cancel_s %v %w: with a lease_s of %v and a node lease of %v a cancelled job's tasks may stay for %v, and %v has to be left",
			workers.CancelS, errTooShort, workers.LeaseS, minNodeLease, MaxCancellationDelay(minNodeLease, workers), cancelMargin)
	}
	if op.NodeLease == 0 {
		op.NodeLease = min(preferredNodeLease, maxLease)
	}
	if op.NodeLease > maxLease {
		return op, fmt.Errorf("operator settings: <nodeLease>: %v %w: a cancelled job's tasks may stay for %v then, and %v has to be left of cancel_s, %v",
			op.NodeLease, errTooLong, MaxCancellationDelay(op.NodeLease, workers), cancelMargin, Seconds(workers.CancelS))
	}
	return op, op.checkPropagation()
}

// checkPropagation returns an error if operators can change the configuration and the node lease
// is too long for a change to be in force on all controllers within ConfigPropagationLimit.
func (op Operator) checkPropagation() error {
	maxLease := ConfigPropagationLimit - propagationMargin - MaxWatchStaleness(0)
	if !op.Configurable() || op.NodeLease <= maxLease {
		return nil
	}
	return fmt.Errorf("operator settings: <nodeLease>: %v %w: a controller may act for %v without following a change of the configuration then, which has to be in force everywhere within %v; at most %v, or <configuration>off</configuration>",
		op.NodeLease, errTooLong, MaxWatchStaleness(op.NodeLease), ConfigPropagationLimit, maxLease)
}
