// Package workload learns which jobs arrive and derives what has to be kept ready for
// them.
//
// It owns the classes of jobs that an objective of the settings is about, each with its
// recent arrivals, and the rate at which spot machines are preempted. Both are estimates
// of this controller alone: they are neither stored nor replicated. A new session forgets
// the classes; the rate of spot losses is learned over the life of the process.
//
// The package reads the cluster state and the wait table. It must not change them, nor
// request machines: package autoscaler and package placement act on its estimates.
package workload
