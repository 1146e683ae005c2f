package binpack

import (
	"math"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// pool is the machines of one kind, as far as they work off what need not
// start at once.
type pool struct {
	info     protocol.TypeInfo
	capacity resource.Amount // reservation all together
	aheadS   float64         // processor seconds that they have to do before
}

// Gather pools what the slots have left for work of a rank or below that runs
// for so long, and what of it runs already: half of its time, on average, is
// still to come.
func (p *Plan) Gather(rank int, runS float64) {
	for _, s := range p.slots {
		k := p.pool(s.Kind)
		left, n := resource.Capacity(s.Info).Minus(s.Held.Above(rank)), float64(s.N)
		if left.CPUs <= resource.Slack || s.N == 0 {
			continue
		}
		k.capacity = k.capacity.Plus(left.Times(n))
		k.aheadS += n * left.CPUs * s.InS
		if s.InS == 0 {
			k.aheadS += n * math.Max(0, left.CPUs-math.Max(0, s.Free.CPUs)) * runS / 2
		}
	}
}

// WorkOff has the pools begin n tasks in the time that is left, in seconds, and
// asks for machines for those that they can't.
func (p *Plan) WorkOff(w Work, tasks int, leftS float64) {
	n := float64(tasks)
	upS := func(k Kind) float64 { return p.types[k.Type].BootS + w.FetchS(p.types[k.Type]) }
	if len(w.Offers) > 0 {
		// A machine rented now brings nothing for what begins before it is up.
		leftS = math.Max(leftS, upS(w.Offers[0]))
	}
	for _, k := range inPriceOrder(p, p.pools) {
		l := p.pools[k]
		if !w.Allows(l.info, k.Zone, k.Spot) {
			continue
		}
		n -= l.take(n, w.Need, w.EstimateS, leftS)
	}
	for _, k := range w.Offers {
		per := resource.Capacity(p.types[k.Type]).CountFitting(w.Need)
		rounds := math.Max(0, leftS-upS(k))/w.EstimateS + 1
		if n < 0.5 {
			return
		}
		count := p.ask(k, int(math.Ceil(n/(float64(per)*rounds))))
		l := p.pool(k)
		for range count {
			l.capacity = l.capacity.Plus(resource.Capacity(l.info))
		}
		l.aheadS += float64(count) * l.info.CPUs * upS(k)
		n -= l.take(n, w.Need, w.EstimateS, leftS)
	}
}

func (p *Plan) pool(k Kind) *pool {
	l := p.pools[k]
	if l == nil {
		l = &pool{info: p.types[k.Type]}
		p.pools[k] = l
	}
	return l
}

// take has a pool do as many of n tasks as it can begin before they are late.
func (l *pool) take(n float64, size resource.Amount, estimateS, leftS float64) float64 {
	places := l.capacity.Places(size)
	if places < 1 {
		return 0
	}
	can := math.Max(0, leftS+estimateS-l.aheadS/math.Max(l.capacity.CPUs, resource.Slack)) / estimateS * places
	done := math.Min(n, can)
	l.aheadS += done * estimateS * l.capacity.CPUs / places // a task without processors takes its part of the room, too
	return done
}
