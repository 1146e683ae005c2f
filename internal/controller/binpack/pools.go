package binpack

import (
	"math"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// negligibleTasks is so little work that no machine is requested for it.
const negligibleTasks = 0.5

// pool is the machines of one kind, as far as they work off what need not
// start at once.
type pool struct {
	info           protocol.TypeInfo
	capacity       resource.Amount // of all machines together
	backlogSeconds float64         // processor seconds that they have to work off before
}

// PoolCapacity pools what the slots have left for work of a rank or below that runs
// for so long, and what of it runs already: half of its time, on average, is
// still to come.
func (p *Plan) PoolCapacity(rank int, runS float64) {
	for _, s := range p.slots {
		pooled := p.pool(s.Kind)
		left, machines := resource.Capacity(s.Info).Minus(s.Held.AboveRank(rank)), float64(s.Machines)
		if left.CPUs <= resource.Tolerance || s.Machines == 0 {
			continue
		}
		pooled.capacity = pooled.capacity.Plus(left.Times(machines))
		pooled.backlogSeconds += machines * left.CPUs * s.ReadyInSeconds
		if s.ReadyInSeconds == 0 {
			busy := math.Max(0, left.CPUs-math.Max(0, s.Free.CPUs))
			pooled.backlogSeconds += machines * busy * runS / 2
		}
	}
}

// ReserveBefore has the pools begin tasks in the time that is left, in seconds, and
// requests machines for those that they can't.
func (p *Plan) ReserveBefore(w Work, tasks int, leftS float64) {
	remaining := float64(tasks)
	if len(w.Offers) > 0 {
		// A machine requested now brings nothing for what begins before it is up.
		leftS = math.Max(leftS, p.readySeconds(w.Offers[0], &w))
	}
	for _, k := range inPriceOrder(p, p.pools) {
		pooled := p.pools[k]
		if !w.Allows(pooled.info, k.Zone, k.Spot) {
			continue
		}
		remaining -= pooled.take(remaining, w.Need, w.EstimateSeconds, leftS)
	}
	for _, k := range w.Offers {
		if remaining < negligibleTasks {
			return
		}
		readySeconds := p.readySeconds(k, &w)
		rounds := math.Max(0, leftS-readySeconds)/w.EstimateSeconds + 1
		perMachine := float64(p.tasksPerMachine(k, &w)) * rounds
		count := p.request(k, int(math.Ceil(remaining/perMachine)))
		pooled := p.pool(k)
		pooled.addMachines(count, readySeconds)
		remaining -= pooled.take(remaining, w.Need, w.EstimateSeconds, leftS)
	}
}

// readySeconds is how long a machine requested now takes until it runs a task.
func (p *Plan) readySeconds(k Kind, w *Work) float64 {
	info := p.types[k.Type]
	return info.BootS + w.FetchSeconds(info)
}

// pool is that of a kind; it is made if there is none.
func (p *Plan) pool(k Kind) *pool {
	pooled := p.pools[k]
	if pooled == nil {
		pooled = &pool{info: p.types[k.Type]}
		p.pools[k] = pooled
	}
	return pooled
}

// addMachines adds machines that run tasks after so many seconds.
func (l *pool) addMachines(count int, readySeconds float64) {
	for range count {
		l.capacity = l.capacity.Plus(resource.Capacity(l.info))
	}
	l.backlogSeconds += float64(count) * l.info.CPUs * readySeconds
}

// take has a pool do as many of some tasks as it can begin in the time that is left, and
// returns that number.
func (l *pool) take(tasks float64, size resource.Amount, estimateS, leftS float64) float64 {
	places := l.capacity.FractionalFit(size)
	if places < 1 {
		return 0
	}
	backlog := l.backlogSeconds / math.Max(l.capacity.CPUs, resource.Tolerance)
	possible := math.Max(0, leftS+estimateS-backlog) / estimateS * places
	taken := math.Min(tasks, possible)
	// A task without processors takes its part of the machines, too.
	l.backlogSeconds += taken * estimateS * l.capacity.CPUs / places
	return taken
}
