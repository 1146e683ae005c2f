// Package metrics holds the histograms of a run's processes, the quantiles that results
// give of them, and a meter of how late the timers of a process fire.
//
// A histogram belongs to the caller, who serializes access to it; only LatenessMeter has a
// lock of its own. The package knows nothing of sites, processes or events.
package metrics
