package binpack

import (
	"math"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// negligibleTasks is the number of tasks below which no machine is requested for them.
const negligibleTasks = 0.5

// pool combines the capacity of the machines of one kind for tasks that need not start at
// once: they are served one after another, as if all machines were a single large one.
type pool struct {
	info              protocol.TypeInfo
	capacity          resource.Amount // of all machines together
	backlogCPUSeconds float64         // processor seconds of preceding work and of waiting for machines to be ready
}

// BuildPools adds to the pools the capacity that the slots have for work of a priority
// rank or below, and the processor seconds until machines are ready and until such work that
// is running has ended. A running task has, on average, half of taskRunS, a run time in
// seconds, still to run.
func (p *Plan) BuildPools(rank int, taskRunS float64) {
	for _, s := range p.slots {
		pooled := p.pool(s.Kind)
		available, machines := resource.Capacity(s.Info).Minus(s.Used.AboveRank(rank)), float64(s.Machines)
		if available.CPUs <= resource.Tolerance || s.Machines == 0 {
			continue
		}
		pooled.capacity = pooled.capacity.Plus(available.Times(machines))
		pooled.backlogCPUSeconds += machines * available.CPUs * s.ReadyInSeconds
		if s.ReadyInSeconds == 0 {
			busy := math.Max(0, available.CPUs-math.Max(0, s.Free.CPUs))
			pooled.backlogCPUSeconds += machines * busy * taskRunS / 2
		}
	}
}

// ReserveWithin assigns tasks that have to start within a time, in seconds, to the pools, the
// cheapest kind first, and requests machines of the offered kinds for the tasks that the pools
// can't start in time.
func (p *Plan) ReserveWithin(w Work, tasks int, startWithinS float64) {
	remaining := float64(tasks)
	if len(w.Offers) > 0 {
		// A machine requested now can't start any task before it is ready, so the plan
		// doesn't aim for an earlier start.
		startWithinS = math.Max(startWithinS, p.readySeconds(w.Offers[0], &w))
	}
	for _, k := range inPriceOrder(p, p.pools) {
		pooled := p.pools[k]
		if !w.Allows(pooled.info, k.Zone, k.Spot) {
			continue
		}
		remaining -= pooled.assign(remaining, w.Need, w.EstimateSeconds, startWithinS)
	}
	for _, k := range w.Offers {
		if remaining < negligibleTasks {
			return
		}
		readySeconds := p.readySeconds(k, &w)
		rounds := math.Max(0, startWithinS-readySeconds)/w.EstimateSeconds + 1
		perMachine := float64(p.tasksPerMachine(k, &w)) * rounds
		count := p.addRequest(k, int(math.Ceil(remaining/perMachine)))
		pooled := p.pool(k)
		pooled.addMachines(count, readySeconds)
		remaining -= pooled.assign(remaining, w.Need, w.EstimateSeconds, startWithinS)
	}
}

// readySeconds returns how long a machine of a kind that is requested now takes to boot and
// to fetch the image of the tasks, in seconds.
func (p *Plan) readySeconds(k Kind, w *Work) float64 {
	info := p.types[k.Type]
	return info.BootS + w.FetchSeconds(info)
}

// pool returns the pool of a kind. It creates the pool if there is none.
func (p *Plan) pool(k Kind) *pool {
	pooled := p.pools[k]
	if pooled == nil {
		pooled = &pool{info: p.types[k.Type]}
		p.pools[k] = pooled
	}
	return pooled
}

// addMachines adds the capacity of machines that are ready to run tasks after readySeconds.
func (pl *pool) addMachines(count int, readySeconds float64) {
	for range count {
		pl.capacity = pl.capacity.Plus(resource.Capacity(pl.info))
	}
	pl.backlogCPUSeconds += float64(count) * pl.info.CPUs * readySeconds
}

// assign assigns to the pool as many of the tasks as it can start within a time, in seconds
// and after its earlier work, and returns their number, which may be a fraction. It returns 0
// if the pool is too small for one task.
func (pl *pool) assign(tasks float64, need resource.Amount, estimateS, startWithinS float64) float64 {
	parallelTasks := pl.capacity.FractionalFit(need)
	if parallelTasks < 1 {
		return 0
	}
	delayS := pl.backlogCPUSeconds / math.Max(pl.capacity.CPUs, resource.Tolerance)
	startable := math.Max(0, startWithinS+estimateS-delayS) / estimateS * parallelTasks
	assigned := math.Min(tasks, startable)
	// A task without processors also uses a share of the machines.
	pl.backlogCPUSeconds += assigned * estimateS * pl.capacity.CPUs / parallelTasks
	return assigned
}
