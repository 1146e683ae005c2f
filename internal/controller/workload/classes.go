package workload

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Class holds this controller's observations of a job class with an objective.
type Class struct {
	Job               protocol.Job // the last job of the class that arrived
	ObjectiveShare    float64      // the largest share of the class's jobs that should meet an objective
	HasStartObjective bool         // an objective limits the time until a task starts
	Arrivals          forecast.Arrivals
}

// RecordArrival adds a job to the arrivals of its class and makes it the class's last job, if
// the class has an objective; otherwise it does nothing.
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

// BootSeconds returns the time in seconds that the fastest machine type that a job may use in
// any zone takes to boot and to fetch the job's image. It is infinite if there is no such type.
func (w *Workload) BootSeconds(j *protocol.Job) float64 {
	fastest := math.Inf(1)
	for _, machineType := range w.Types {
		live := clusterstate.LiveJob{Job: *j}
		live.Zone = ""
		if live.AllowsKind(machineType, "", false) {
			fastest = math.Min(fastest, machineType.BootS+clusterstate.FetchS(machineType, j))
		}
	}
	return fastest
}

// arrivalWork and arrivalTasks are the two measures of the size of an arrival in a forecast:
// its work in processor seconds, and its number of tasks.
func arrivalWork(a forecast.Arrival) float64  { return a.Work }
func arrivalTasks(a forecast.Arrival) float64 { return a.Tasks }

// forecastArrivals forecasts the arrivals of a class, measured by size, from the observed
// arrivals. Resources planned by the forecast should suffice for the share of jobs that the
// class's objective covers.
func (w *Workload) forecastArrivals(class *Class, size func(forecast.Arrival) float64) forecast.ArrivalForecast {
	return class.Arrivals.Forecast(w.Now, w.BootSeconds(&class.Job), class.ObjectiveShare, size)
}

// ExpectedWork returns the work in processor seconds that the jobs of a class that arrive while
// a machine boots are likely not to exceed. It is 0 for a class with a start objective, for
// which TasksToReserve is used.
func (w *Workload) ExpectedWork(class *Class) float64 {
	if class.HasStartObjective {
		return 0
	}
	return w.forecastArrivals(class, arrivalWork).SizeWithin(w.BootSeconds(&class.Job))
}

// TasksToReserve returns the number of tasks of a class with a start objective for which free
// resources are reserved: the tasks that are likely to arrive while a machine boots, less those
// that fit into the resources that become free in that time, rounded up. It is 0 for a class
// without a start objective.
func (w *Workload) TasksToReserve(class *Class) int {
	if !class.HasStartObjective {
		return 0
	}
	tasks := w.forecastArrivals(class, arrivalTasks).ExcessWithin(w.BootSeconds(&class.Job), w.freedTasksPerSecond(&class.Job))
	return int(math.Ceil(tasks))
}

// freedTasksPerSecond returns the number of a job's tasks for which resources become free each
// second as other tasks end on the machines that accept placements and that the job may use. It
// is 0 for a service, and for a gang, which can't use these resources: there are never enough
// of them at the same time.
func (w *Workload) freedTasksPerSecond(j *protocol.Job) float64 {
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
