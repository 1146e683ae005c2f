// Package metrics provides the histograms of a run's processes, the quantiles that results
// contain, and a meter of how late the timers of a process fire.
//
// The caller owns a histogram and serializes access to it; only LatenessMeter has its own
// lock. The package does not depend on sites, processes or events.
package metrics
