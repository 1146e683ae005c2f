package workload

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Class is what has been seen of a class of jobs that an objective of the
// settings is about.
type Class struct {
	Job               protocol.Job // the last one seen
	Share             float64      // of its jobs that should keep the objective
	HasStartObjective bool         // they should start within a time
	Arrivals          forecast.Arrivals
}

// RecordArrival learns what jobs of a class look like and how often they come.
func (wl *Workload) RecordArrival(j *protocol.Job) {
	share, awaited := wl.objectiveShare(j.Class)
	if share == 0 {
		return
	}
	k := wl.Classes[j.Class]
	if k == nil {
		k = &Class{}
		wl.Classes[j.Class] = k
	}
	k.Job, k.Share, k.HasStartObjective = *j, share, awaited
	work := float64(j.Tasks) * j.CPUs * wl.Estimate(j)
	k.Arrivals.Note(forecast.Arrival{At: wl.Now, Tasks: float64(j.Tasks), Work: work})
}

// BootSeconds is how long the soonest machine that a job may use takes to be ready
// for it, its image included, in seconds; infinite if there is none.
func (wl *Workload) BootSeconds(j *protocol.Job) float64 {
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
func (wl *Workload) coming(k *Class, size func(forecast.Arrival) float64) forecast.Arriving {
	return k.Arrivals.Coming(wl.Now, wl.BootSeconds(&k.Job), k.Share, size)
}

// ComingWork is the work, in processor seconds, of a class that need not start
// at once, as far as it is likely to come while a machine boots.
func (wl *Workload) ComingWork(k *Class) float64 {
	if k.HasStartObjective {
		return 0
	}
	return wl.coming(k, func(a forecast.Arrival) float64 { return a.Work }).Within(wl.BootSeconds(&k.Job))
}

// Reserve is how much room is kept for a class whose tasks should start in
// time: as many of them as are likely to come while a machine boots, beyond
// those that find a place on what ends meanwhile.
func (wl *Workload) Reserve(k *Class) int {
	if !k.HasStartObjective {
		return 0
	}
	return int(math.Ceil(wl.coming(k, func(a forecast.Arrival) float64 { return a.Tasks }).Beyond(wl.BootSeconds(&k.Job), wl.turnover(&k.Job))))
}

// turnover is how many places for a job's tasks come free each second where
// tasks end by themselves. Tasks that need many at the same time, or most of a
// machine, can't count on it: there is never enough at once.
func (wl *Workload) turnover(j *protocol.Job) float64 {
	if j.Kind != protocol.KindJobArray {
		return 0
	}
	l, sum := clusterstate.LiveJob{Job: *j}, 0.0
	for _, m := range wl.table.InOrder() {
		if wl.table.Usable(m) && l.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) {
			sum += resource.Amount{CPUs: m.Reported.Ending.CPUs, GPUs: m.Reported.Ending.GPUs, GB: m.Reported.Ending.GB}.Places(resource.Need(j))
		}
	}
	return sum
}
