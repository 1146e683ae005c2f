package workload

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/waittable"
)

// Workload is what this controller has observed of the arriving work: the classes of jobs
// with an objective, and how often spot machines are preempted.
type Workload struct {
	clusterstate.Module
	table *waittable.Table
	// Classes are the classes with an objective of which jobs have arrived, by name.
	Classes map[string]*Class
	// Spots is the rate of losses of spot machines. It outlives sessions.
	Spots forecast.Spot
}

// New returns a workload without observations. Reset has to be called on it before use.
func New(module clusterstate.Module, table *waittable.Table) *Workload {
	return &Workload{Module: module, table: table}
}

// Reset drops the classes of the last session.
func (w *Workload) Reset() { w.Classes = map[string]*Class{} }
