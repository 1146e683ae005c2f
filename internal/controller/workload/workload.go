package workload

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/waittable"
)

// Workload holds this controller's observations of the arriving jobs, by class, for classes
// with an objective, and of how often spot machines are preempted.
type Workload struct {
	clusterstate.Module
	table *waittable.Table
	// Classes holds the classes with an objective of which jobs have arrived, by name.
	Classes map[string]*Class
	// SpotPreemptions estimates the rate at which spot machines are preempted. It is kept when
	// a new session begins.
	SpotPreemptions forecast.SpotPreemptions
}

// New returns a Workload without observations. Reset must be called before use.
func New(module clusterstate.Module, table *waittable.Table) *Workload {
	return &Workload{Module: module, table: table}
}

// Reset drops the classes of the last session.
func (w *Workload) Reset() { w.Classes = map[string]*Class{} }
