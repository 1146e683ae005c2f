package workload

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Class is what this controller has observed of a class of jobs with an objective.
type Class struct {
	Job               protocol.Job // the last job of the class
	ObjectiveShare    float64      // the share of its jobs that should meet the objective
	HasStartObjective bool         // its jobs should start within a time
	Arrivals          forecast.Arrivals
}

// RecordArrival records a job that has arrived, if its class has an objective.
func (w *Workload) RecordArrival(j *protocol.Job) {
	share, hasStart := w.objectiveShare(j.Class)
	if share == 0 {
		return
	}
	class := w.Classes[j.Class]
	if class == nil {
		class = &Class{}
		w.Classes[j.Class] = class
	}
	class.Job, class.ObjectiveShare, class.HasStartObjective = *j, share, hasStart
	work := float64(j.Tasks) * j.CPUs * w.Estimate(j)
	class.Arrivals.Note(forecast.Arrival{At: w.Now, Tasks: float64(j.Tasks), Work: work})
}

// BootSeconds is how long the fastest machine type that a job may use takes to boot and to
// fetch the job's image, in seconds; infinite if there is no such type.
func (w *Workload) BootSeconds(j *protocol.Job) float64 {
	fastest := math.Inf(1)
	for _, t := range w.Types {
		l := clusterstate.LiveJob{Job: *j}
		l.Zone = ""
		if l.AllowsKind(t, "", false) {
			fastest = math.Min(fastest, t.BootS+clusterstate.FetchS(t, j))
		}
	}
	return fastest
}

// workOf and tasksOf are the sizes by which arrivals are forecast.
func workOf(a forecast.Arrival) float64  { return a.Work }
func tasksOf(a forecast.Arrival) float64 { return a.Tasks }

// forecastOf forecasts the arrivals of a class from those observed.
func (w *Workload) forecastOf(class *Class, size func(forecast.Arrival) float64) forecast.Arriving {
	return class.Arrivals.Coming(w.Now, w.BootSeconds(&class.Job), class.ObjectiveShare, size)
}

// ExpectedWork is the work, in processor seconds, that a class without a start objective is
// likely to bring while a machine boots; 0 for a class with one.
func (w *Workload) ExpectedWork(class *Class) float64 {
	if class.HasStartObjective {
		return 0
	}
	return w.forecastOf(class, workOf).Within(w.BootSeconds(&class.Job))
}

// Reserve is the number of tasks of a class with a start objective for which resources are
// reserved: as many as are likely to arrive while a machine boots, beyond those that fit
// the resources which become free meanwhile. It is 0 for a class without one.
func (w *Workload) Reserve(class *Class) int {
	if !class.HasStartObjective {
		return 0
	}
	tasks := w.forecastOf(class, tasksOf).Beyond(w.BootSeconds(&class.Job), w.turnover(&class.Job))
	return int(math.Ceil(tasks))
}

// turnover is the number of a job's tasks for which resources become free each second as
// other tasks end. A gang can't use them: there are never enough at the same time.
func (w *Workload) turnover(j *protocol.Job) float64 {
	if j.Kind != protocol.KindJobArray {
		return 0
	}
	live, sum := clusterstate.LiveJob{Job: *j}, 0.0
	for _, m := range w.table.InOrder() {
		if w.table.Usable(m) && live.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) {
			ending := resource.Amount{CPUs: m.State.Ending.CPUs, GPUs: m.State.Ending.GPUs, GB: m.State.Ending.GB}
			sum += ending.FractionalFit(resource.Need(j))
		}
	}
	return sum
}
