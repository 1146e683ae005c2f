package controller

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// class is what has been seen of a class of jobs that an objective of the
// settings is about.
type class struct {
	job      protocol.Job // the last one seen
	share    float64      // of its jobs that should keep the objective
	awaited  bool         // they should start within a time
	arrivals forecast.Arrivals
}

// recordArrival learns what jobs of a class look like and how often they come.
func (wl *workload) recordArrival(j *protocol.Job) {
	share, awaited := wl.objectiveShare(j.Class)
	if share == 0 {
		return
	}
	k := wl.classes[j.Class]
	if k == nil {
		k = &class{}
		wl.classes[j.Class] = k
	}
	k.job, k.share, k.awaited = *j, share, awaited
	work := float64(j.Tasks) * j.CPUs * wl.Estimate(j)
	k.arrivals.Note(forecast.Arrival{At: wl.Now, Tasks: float64(j.Tasks), Work: work})
}

// upS is how long the soonest machine that a job may use takes to be ready
// for it, its image included, in seconds; infinite if there is none.
func (wl *workload) upS(j *protocol.Job) float64 {
	up := math.Inf(1)
	for _, t := range wl.Types {
		l := clusterstate.LiveJob{Job: *j}
		l.Zone = ""
		if l.AllowsKind(t, "", false) {
			up = math.Min(up, t.BootS+clusterstate.FetchS(t, j))
		}
	}
	return up
}

// coming tells from what was seen how jobs of a class come.
func (wl *workload) coming(k *class, size func(forecast.Arrival) float64) forecast.Arriving {
	return k.arrivals.Coming(wl.Now, wl.upS(&k.job), k.share, size)
}

// comingWork is the work, in processor seconds, of a class that need not start
// at once, as far as it is likely to come while a machine boots.
func (wl *workload) comingWork(k *class) float64 {
	if k.awaited {
		return 0
	}
	return wl.coming(k, func(a forecast.Arrival) float64 { return a.Work }).Within(wl.upS(&k.job))
}

// reserve is how much room is kept for a class whose tasks should start in
// time: as many of them as are likely to come while a machine boots, beyond
// those that find a place on what ends meanwhile.
func (wl *workload) reserve(k *class) int {
	if !k.awaited {
		return 0
	}
	return int(math.Ceil(wl.coming(k, func(a forecast.Arrival) float64 { return a.Tasks }).Beyond(wl.upS(&k.job), wl.turnover(&k.job))))
}

// turnover is how many places for a job's tasks come free each second where
// tasks end by themselves. Tasks that need many at the same time, or most of a
// machine, can't count on it: there is never enough at once.
func (wl *workload) turnover(j *protocol.Job) float64 {
	if j.Kind != protocol.KindJobArray {
		return 0
	}
	l, sum := clusterstate.LiveJob{Job: *j}, 0.0
	for _, m := range wl.table.machinesInOrder() {
		if wl.table.usable(m) && l.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) {
			sum += resource.Amount{CPUs: m.reported.Ending.CPUs, GPUs: m.reported.Ending.GPUs, GB: m.reported.Ending.GB}.Places(resource.Need(j))
		}
	}
	return sum
}
