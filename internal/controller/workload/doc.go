// Package workload observes which jobs arrive and estimates the resources that have to be
// reserved for them.
//
// It owns the job classes that have an objective in the settings, each with its recent
// arrivals, and the rate at which spot machines are preempted. Both are estimates of this
// controller alone: they are neither stored nor replicated. A new session drops the classes;
// the preemption rate is estimated over the lifetime of the process.
//
// The package reads the cluster state and the wait table. It must not change them and must
// not request machines: package autoscaler and package placement act on its estimates.
package workload
