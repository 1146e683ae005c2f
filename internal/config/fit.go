package config

import (
	"fmt"
	"time"
)

// ConfigPropagationLimit is the longest time for which a controller may act on the previous
// configuration after a change.
const ConfigPropagationLimit = 11 * time.Second

const (
	// preferredNodeLease is the node lease if the platform's settings allow it: a little
	// longer than a controller takes to restart.
	preferredNodeLease = 8 * time.Second
	// minNodeLease is the shortest node lease that can be renewed reliably.
	minNodeLease = time.Second
	// configuredMargin is the reserve within ConfigPropagationLimit, for clock drift and for a
	// step of the controller that has begun.
	configuredMargin = 500 * time.Millisecond
	// cancelMargin is the reserve within cancel_s.
	cancelMargin = time.Second
	// watchSlack is how much longer than its lease a controller may act after it opened
	// the last watch that was answered: a watch stays open for seconds.
	watchSlack = 2 * time.Second
	// leaseDrift is by how much a worker's lease may be longer on another clock.
	leaseDrift = 0.0005
)

// MaxWatchStaleness is the longest time for which a controller with a node lease responds to
// workers without knowing what has changed in the records.
func MaxWatchStaleness(nodeLease time.Duration) time.Duration { return nodeLease + watchSlack }

// MaxCancellationDelay is the longest time for which tasks of a job may run after its
// cancellation was confirmed, whatever fails: for MaxWatchStaleness a controller may respond
// to their worker without knowing of it, and the last response lets them run for the
// worker's lease, counted from when the heartbeat was sent.
func MaxCancellationDelay(nodeLease time.Duration, w Workers) time.Duration {
	return MaxWatchStaleness(nodeLease) + Seconds(w.LeaseS*(1+leaseDrift))
}

// Fit chooses the node lease if it is not set, and checks that the settings fit those of
// the platform.
func (op Operator) Fit(s *Settings) (Operator, error) {
	workers := s.Site.Workers
	longest := Seconds(workers.CancelS) - cancelMargin - MaxCancellationDelay(0, workers)
	if longest < minNodeLease {
		return op, fmt.Errorf("settings: cancel_s %v %w: with a lease_s of %v and a node lease of %v a cancelled job's tasks may stay for %v, and %v has to be left",
			workers.CancelS, errTooShort, workers.LeaseS, minNodeLease, MaxCancellationDelay(minNodeLease, workers), cancelMargin)
	}
	if op.NodeLease == 0 {
		op.NodeLease = min(preferredNodeLease, longest)
	}
	if op.NodeLease > longest {
		return op, fmt.Errorf("operator settings: <nodeLease>: %v %w: a cancelled job's tasks may stay for %v then, and %v has to be left of cancel_s, %v",
			op.NodeLease, errTooLong, MaxCancellationDelay(op.NodeLease, workers), cancelMargin, Seconds(workers.CancelS))
	}
	return op, op.checkConfigurable()
}

// checkConfigurable checks that a change of the configuration is in force in time.
func (op Operator) checkConfigurable() error {
	longest := ConfigPropagationLimit - configuredMargin - MaxWatchStaleness(0)
	if !op.Configurable() || op.NodeLease <= longest {
		return nil
	}
	return fmt.Errorf("operator settings: <nodeLease>: %v %w: a controller may act for %v without following a change of the configuration then, which has to be in force everywhere within %v; at most %v, or <configuration>off</configuration>",
		op.NodeLease, errTooLong, MaxWatchStaleness(op.NodeLease), ConfigPropagationLimit, longest)
}
