package workload

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/waittable"
)

// Workload is what has been seen of the work that comes: classes of jobs with an
// objective, and how often spot machines are taken.
type Workload struct {
	clusterstate.Module
	table   *waittable.Table
	Classes map[string]*Class
	Spots   forecast.Spot // outlives sessions
}

// New has seen nothing yet.
func New(p clusterstate.Module, table *waittable.Table) *Workload {
	return &Workload{Module: p, table: table}
}

// Reset forgets the classes of jobs seen.
func (wl *Workload) Reset() { wl.Classes = map[string]*Class{} }
