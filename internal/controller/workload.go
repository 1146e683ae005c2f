package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
)

// workload is what has been seen of the work that comes: classes of jobs with an
// objective, and how often spot machines are taken.
type workload struct {
	clusterstate.Module
	table   *waitTable
	classes map[string]*class
	spots   forecast.Spot // outlives sessions
}

// reset forgets the classes of jobs seen.
func (wl *workload) reset() { wl.classes = map[string]*class{} }
