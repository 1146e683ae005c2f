package coordination

import (
	"math"
	"time"

	"damsonkeel/internal/protocol"
)

// arrivalsKept is how many arrivals of a class its rate is reckoned from.
const arrivalsKept = 32

// class is what has been seen of a class of jobs whose start is expected
// within a time (an objective of the settings).
type class struct {
	job      protocol.Job // the last one seen
	share    float64      // of its tasks that should start in time
	arrivals []Time
}

// noteArrival learns what jobs of a class look like and how often they come.
func (c *Core) noteArrival(j *protocol.Job) {
	share := 0.0
	for _, o := range c.settings.Site.Objectives {
		if o.Kind == "wait" && o.Class == j.Class {
			share = math.Max(share, o.Share)
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
	k.job, k.share = *j, share
	if n := len(k.arrivals); n > 0 && c.since(k.arrivals[n-1]) < time.Second {
		return // jobs that come together are one arrival: no room kept meets such a burst
	}
	k.arrivals = append(k.arrivals, c.now)
	if len(k.arrivals) > arrivalsKept {
		k.arrivals = k.arrivals[1:]
	}
}

// reserve is how much room is kept for a class: as many tasks as are likely,
// by its objective's share, to come while a machine boots.
func (c *Core) reserve(k *class) int {
	boot := math.Inf(1)
	for _, t := range c.types {
		l := liveJob{Job: k.job}
		l.Zone = ""
		if l.allowsKind(t, "", false) {
			fetch := 0.0
			if t.FetchGBPS > 0 {
				fetch = k.job.ImageGB / t.FetchGBPS
			}
			boot = math.Min(boot, t.BootS+fetch)
		}
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	// A rate can't be told from a time much shorter than several boots, and
	// what came long ago says little.
	window := 8 * boot
	n := 0
	for _, at := range k.arrivals {
		if c.since(at).Seconds() <= window {
			n++
		}
	}
	if n == 0 {
		return 0 // they have stopped coming
	}
	span := math.Min(window, math.Max(c.since(k.arrivals[0]).Seconds(), 5*boot))
	mean := float64(n) / span * boot
	return quantile(mean, (1+k.share)/2) * int(min(k.job.Tasks, 16))
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
	need  resources
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
		kp := kept{job: l, need: need(&l.Job), spare: -r}
		for _, m := range c.machines {
			if c.usable(m) && l.allowsKind(m.info, m.rec.Zone, m.rec.Spot) {
				kp.spare += fit(m.room(), kp.need)
			}
		}
		ks = append(ks, kp)
	}
	return ks
}

// costs is how many tasks of a reserved class would have no room any more if
// a machine took a task of a size.
func (k *kept) costs(m *machineEntry, n resources) int {
	room := m.room()
	return fit(room, k.need) - fit(room.minus(n), k.need)
}

// suits reports whether a machine could ever take a task of the class.
func (k *kept) suits(m *machineEntry) bool { return k.job.allowsKind(m.info, m.rec.Zone, m.rec.Spot) }

// applies reports whether room kept for the class is kept from a job.
func (k *kept) applies(o *ownedJob) bool {
	return k.job.Class != o.Class && k.job.Priority.Rank() >= o.Priority.Rank()
}
