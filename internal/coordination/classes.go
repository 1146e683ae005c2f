package coordination

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// arrivalsKept bounds how many arrivals of a class are remembered.
const arrivalsKept = 512

// class is what has been seen of a class of jobs that an objective of the
// settings is about.
type class struct {
	job      protocol.Job // the last one seen
	share    float64      // of its jobs that should keep the objective
	awaited  bool         // they should start within a time
	arrivals []arrival
}

// arrival is a job that came.
type arrival struct {
	at    Time
	tasks float64
	work  float64 // of all its tasks, in processor seconds
}

// together is how soon after another a job has to come to count as one arrival
// with it: no room kept meets what comes at once.
const together = 250 * time.Millisecond

// noteArrival learns what jobs of a class look like and how often they come.
func (c *Core) noteArrival(j *protocol.Job) {
	share, awaited := 0.0, false
	for _, o := range c.settings.Site.Objectives {
		switch {
		case o.Class != j.Class:
		case o.Kind == "wait" || o.Kind == "deadline" || o.Kind == "finished":
			share = math.Max(share, o.Share)
			awaited = awaited || o.Kind == "wait"
		}
	}
	if share == 0 {
		return
	}
	k := c.classes[j.Class]
	if k == nil {
		k = &class{}
		c.classes[j.Class] = k
	}
	k.job, k.share, k.awaited = *j, share, awaited
	if n := len(k.arrivals); n > 0 && c.since(k.arrivals[n-1].at) < together {
		return
	}
	k.arrivals = append(k.arrivals, arrival{c.now, float64(j.Tasks), float64(j.Tasks) * j.CPUs * c.estimate(j)})
	if len(k.arrivals) > arrivalsKept {
		k.arrivals = k.arrivals[1:]
	}
}

// upS is how long the soonest machine that a job may use takes to be ready
// for it, its image included, in seconds; infinite if there is none.
func (c *Core) upS(j *protocol.Job) float64 {
	up := math.Inf(1)
	for _, t := range c.types {
		l := liveJob{Job: *j}
		l.Zone = ""
		if l.allowsKind(t, "", false) {
			up = math.Min(up, t.BootS+fetchS(t, j))
		}
	}
	return up
}

// unlikelySilence is how many mean gaps between arrivals are a silence that
// chance brings about once in twenty times.
const unlikelySilence = 3

// arriving is how often jobs of a class come, and how large they are.
type arriving struct {
	rate    float64 // a second
	mean    float64 // size
	square  float64 // mean of squared sizes
	share   float64 // of all that come, that is to be met
	largest float64 // size that so many do not exceed
}

// arrivingOf tells from what was seen how jobs of a class come.
func (c *Core) arrivingOf(k *class, size func(arrival) float64) arriving {
	boot := c.upS(&k.job)
	if math.IsInf(boot, 1) {
		return arriving{}
	}
	// A rate can't be told from a time much shorter than several boots, and
	// what came long ago says little.
	window := 8 * boot
	var sizes []float64
	sum, squares, first := 0.0, 0.0, c.now
	for _, a := range k.arrivals {
		if c.since(a.at).Seconds() <= window {
			first = min(first, a.at)
			sizes = append(sizes, size(a))
			sum += size(a)
			squares += size(a) * size(a)
		}
	}
	n := float64(len(sizes))
	if n == 0 {
		return arriving{} // they have stopped coming
	}
	if k.arrivals[0].at < first {
		first = c.now - Time(window*float64(time.Second))
	}
	span := math.Min(window, math.Max(c.since(first).Seconds(), knownBoots*boot))
	rate := n / span
	// A silence that this rate makes unlikely tells more than the rate: jobs
	// come less often now, or have stopped coming.
	if silent := c.since(k.arrivals[len(k.arrivals)-1].at).Seconds(); rate*silent > unlikelySilence {
		rate *= math.Exp(unlikelySilence - rate*silent)
	}
	// Room for half as many misses as the objective allows.
	share := (1 + k.share) / 2
	slices.Sort(sizes)
	return arriving{rate, sum / n, squares / n, share, sizes[min(len(sizes)-1, int(share*n))]}
}

// within is how much of a class is likely, by its objective's share, to come
// in a time: a quantile of a sum of sizes as seen, that come as often as seen.
func (a arriving) within(seconds float64) float64 {
	if a.rate == 0 {
		return 0
	}
	mean := a.rate * seconds
	if a.square-a.mean*a.mean < room.Slack*a.mean*a.mean {
		return float64(quantile(mean, a.share)) * a.mean
	}
	return mean*a.mean + math.Sqrt2*math.Erfinv(2*a.share-1)*math.Sqrt(mean*a.square)
}

// beyond is how much of a class is likely to have come at any time until
// another machine is up beyond what room came for by itself, at a rate.
func (a arriving) beyond(seconds, rate float64) float64 {
	most := 0.0
	if rate > 0 && a.rate*seconds > 1-a.share {
		most = a.largest // comes at once
	}
	for range 8 {
		most = math.Max(most, a.within(seconds)-rate*seconds)
		seconds /= 2
	}
	return most
}

// comingWork is the work, in processor seconds, of a class that need not start
// at once, as far as it is likely to come while a machine boots.
func (c *Core) comingWork(k *class) float64 {
	if k.awaited {
		return 0
	}
	return c.arrivingOf(k, func(a arrival) float64 { return a.work }).within(c.upS(&k.job))
}

// reserve is how much room is kept for a class whose tasks should start in
// time: as many of them as are likely to come while a machine boots, beyond
// those that find a place on what ends meanwhile.
func (c *Core) reserve(k *class) int {
	if !k.awaited {
		return 0
	}
	return int(math.Ceil(c.arrivingOf(k, func(a arrival) float64 { return a.tasks }).beyond(c.upS(&k.job), c.turnover(&k.job))))
}

// turnover is how many places for a job's tasks come free each second where
// tasks end by themselves. Tasks that need many at the same time, or most of a
// machine, can't count on it: there is never enough at once.
func (c *Core) turnover(j *protocol.Job) float64 {
	if j.Kind != protocol.KindArray {
		return 0
	}
	l, sum := liveJob{Job: *j}, 0.0
	for _, m := range c.machinesInOrder() {
		if c.usable(m) && l.allowsKind(m.info, m.rec.Zone, m.rec.Spot) {
			sum += room.Amount{CPUs: m.told.Ending.CPUs, GPUs: m.told.Ending.GPUs, GB: m.told.Ending.GB}.Places(room.Need(j))
		}
	}
	return sum
}

// quantile is the smallest number that a Poisson variable of a mean stays at
// or below with a probability.
func quantile(mean, probability float64) int {
	p := math.Exp(-mean)
	sum := p
	k := 0
	for sum < probability && k < 100 {
		k++
		p *= mean / float64(k)
		sum += p
	}
	return k
}

// kept is the room reserved for one class while tasks are placed.
type kept struct {
	job   *liveJob
	risky bool // spot machines are no room for it
	need  room.Amount
	spare int // how many more tasks fit than are reserved
}

// keptRoom reckons what is reserved, and how much more there is.
func (c *Core) keptRoom() []kept {
	var ks []kept
	for _, k := range inOrder(c.classes) {
		r := c.reserve(k)
		if r == 0 {
			continue
		}
		l := &liveJob{Job: k.job}
		kp := kept{job: l, risky: c.risky(&l.Job), need: room.Need(&l.Job), spare: -r}
		for _, m := range c.machines {
			if c.usable(m) && kp.suits(m) {
				kp.spare += m.free().Fit(kp.need)
			}
		}
		ks = append(ks, kp)
	}
	return ks
}

// costs is how many tasks of a reserved class would have no room any more if
// a machine took a task of a size.
func (k *kept) costs(m *machineEntry, n room.Amount) int {
	free := m.free()
	return free.Fit(k.need) - free.Minus(n).Fit(k.need)
}

// suits reports whether a machine could ever take a task of the class.
func (k *kept) suits(m *machineEntry) bool {
	return !(k.risky && m.rec.Spot) && k.job.allowsKind(m.info, m.rec.Zone, m.rec.Spot)
}

// applies reports whether room kept for the class is kept from a job.
func (k *kept) applies(o *ownedJob) bool {
	return k.job.Class != o.Class && k.job.Priority.Rank() >= o.Priority.Rank()
}
