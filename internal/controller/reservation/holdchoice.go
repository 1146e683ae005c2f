package reservation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// tasksPerHeadroomEarly is for how many tasks resources for one more are held until
	// all of them have to be clear, as some of what runs there is not over by then.
	tasksPerHeadroomEarly = 4
	// tasksPerHeadroom is the same from then on, for machines that are lost.
	tasksPerHeadroom = 8
	// maxDelay is how late resources may come free after their time and still be in time.
	maxDelay = 30 * time.Second
)

// Plan is what is held, and what is missing.
type Plan struct {
	Holds []Hold
	// Short is how many tasks have no resources that can be relied on: for those
	// machines are to be provisioned. Missing is how many of them are unlikely to have
	// any at their time.
	Short, Missing map[Name]int
	Zones          map[Name]protocol.Zone // of those that are held in one zone
}

// holdChooser is the state of one call of ChooseHolds.
type holdChooser struct {
	plan     Plan
	machines []*machineCapacity
	previous map[Name]map[protocol.MachineID]int // tasks held before
	usable   func(*Machine, *Demand) bool
	now      Moment
}

// ChooseHolds chooses on which machines resources are held for what is due. What was
// held before stays where it is as long as that will do; what comes sooner goes first,
// then what was accepted earlier. Usable tells whether a machine may be held for a
// time: not one that is leaving, or in a window then.
func ChooseHolds(demands []Demand, machines []Machine, before []Hold, usable func(*Machine, *Demand) bool, now Moment) Plan {
	c := &holdChooser{
		plan:     Plan{Short: map[Name]int{}, Missing: map[Name]int{}, Zones: map[Name]protocol.Zone{}},
		machines: make([]*machineCapacity, len(machines)),
		previous: tasksByMachine(before),
		usable:   usable,
		now:      now,
	}
	for i := range machines {
		c.machines[i] = &machineCapacity{Machine: &machines[i]}
	}
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.StartMS, b.StartMS), cmp.Compare(a.Order, b.Order))
	})
	for i := range demands {
		c.choose(&demands[i])
	}
	return c.plan
}

// tasksByMachine is how many tasks are held for each reservation on each machine.
func tasksByMachine(holds []Hold) map[Name]map[protocol.MachineID]int {
	tasks := map[Name]map[protocol.MachineID]int{}
	for _, h := range holds {
		if tasks[h.For] == nil {
			tasks[h.For] = map[protocol.MachineID]int{}
		}
		tasks[h.For][h.Machine] = h.Tasks
	}
	return tasks
}

// choose chooses the holds of one occurrence.
func (c *holdChooser) choose(d *Demand) {
	machines := c.candidates(d)
	if short := c.holdReliable(d, machines); short > 0 {
		c.plan.Short[d.Spec.Name] = short
		c.holdSoonest(d, machines, short)
	}
}

// candidates lists the machines that may be held for an occurrence.
func (c *holdChooser) candidates(d *Demand) []*machineCapacity {
	var machines []*machineCapacity
	for _, m := range c.machines {
		if Allows(&d.Spec, m.Info, m.Zone, m.Spot) && c.usable(m.Machine, d) {
			machines = append(machines, m)
		}
	}
	zone := d.Spec.Zone
	if d.Spec.OneZone && zone == "" {
		zone = c.bestZone(d, machines)
	}
	if zone != "" {
		c.plan.Zones[d.Spec.Name] = zone
		machines = slices.DeleteFunc(machines, func(m *machineCapacity) bool { return m.Zone != zone })
	}
	return machines
}

// holdReliable holds resources that can be relied on, with some headroom, and returns
// for how many tasks there are none.
//
// What was held is taken first, and only then more of it elsewhere: the dispatchers
// learn of a change a moment later, and meanwhile others start both in what was given up
// and in what is not held yet.
func (c *holdChooser) holdReliable(d *Demand, machines []*machineCapacity) (short int) {
	short = d.Remaining
	headroom := 1 + d.Remaining/tasksPerHeadroom
	if c.now < d.ClearBy {
		headroom = 1 + d.Remaining/tasksPerHeadroomEarly
	}
	previous := c.previous[d.Spec.Name]
	ranked := c.rank(d, machines)
	tasks := make([]int, len(ranked))
	for _, limit := range []func(rankedMachine) int{
		func(m rankedMachine) int { return previous[m.ID] },
		func(rankedMachine) int { return math.MaxInt },
	} {
		for i, m := range ranked {
			more := min(short+headroom, limit(m)-tasks[i], m.tasksPreempting-tasks[i])
			if more > 0 {
				tasks[i] += more
				short -= more
			}
		}
	}
	for i, m := range ranked {
		c.hold(d, m.machineCapacity, tasks[i])
	}
	return short
}

// holdSoonest holds for tasks that are short resources that are likely to come free: at
// once, or others would take them.
func (c *holdChooser) holdSoonest(d *Demand, machines []*machineCapacity, short int) {
	name := d.Spec.Name
	inTime := After(max(d.StartMS, c.now), maxDelay)
	for _, m := range soonest(d, machines, c.now) {
		if short <= 0 {
			return
		}
		if m.by > inTime && c.plan.Missing[name] == 0 {
			c.plan.Missing[name] = short
		}
		short -= c.hold(d, m.machineCapacity, min(short, m.tasks))
	}
	if short > 0 {
		c.plan.Missing[name] = max(short, c.plan.Missing[name])
	}
}

// hold holds resources for so many tasks on a machine, and returns that number.
func (c *holdChooser) hold(d *Demand, m *machineCapacity, tasks int) int {
	if tasks <= 0 {
		return 0
	}
	h := Hold{
		For: d.Spec.Name, Machine: m.ID, Tasks: tasks, Need: d.size().Times(float64(tasks)), Level: d.level(),
		Clear: d.ClearBy, From: d.StartMS, Until: d.until(),
	}
	for _, r := range m.Runs {
		if r.For != d.Spec.Name && r.Level >= h.Level {
			h.Ends = max(h.Ends, r.Ends)
		}
	}
	m.holds = append(m.holds, h)
	c.plan.Holds = append(c.plan.Holds, h)
	return tasks
}

// bestZone is where a reservation that needs all its resources in one zone is held:
// where it was, as long as that can hold it or no other can, else where the most
// of it fits.
func (c *holdChooser) bestZone(d *Demand, machines []*machineCapacity) protocol.Zone {
	fits, best := map[protocol.Zone]int{}, protocol.Zone("")
	for _, m := range machines {
		fits[m.Zone] += m.free(d, c.now, true).CountFitting(d.size())
		if best == "" && (c.previous[d.Spec.Name][m.ID] > 0 || m.runs(d.Spec.Name)) {
			best = m.Zone
		}
	}
	for _, z := range slices.Sorted(maps.Keys(fits)) {
		if best == "" || min(fits[z], d.Remaining) > min(fits[best], d.Remaining) {
			best = z
		}
	}
	return best
}

// rankedMachine is a machine and how many tasks of an occurrence fit on it, without
// anything being stopped and with that.
type rankedMachine struct {
	*machineCapacity
	tasks, tasksPreempting int
}

// rank lists machines in the order in which they are taken: first where nothing has to
// be stopped, of these those held already, ordinary machines before spot
// machines, those that are up before those that come, those where the most tasks
// fit, and the cheapest.
func (c *holdChooser) rank(d *Demand, machines []*machineCapacity) []rankedMachine {
	ranked := make([]rankedMachine, len(machines))
	for i, m := range machines {
		ranked[i] = rankedMachine{
			machineCapacity: m,
			tasks:           m.free(d, c.now, false).CountFitting(d.size()),
			tasksPreempting: m.free(d, c.now, true).CountFitting(d.size()),
		}
	}
	previous := c.previous[d.Spec.Name]
	slices.SortFunc(ranked, func(a, b rankedMachine) int {
		return cmp.Or(
			falseFirst(a.tasks == 0, b.tasks == 0),
			falseFirst(previous[a.ID] <= 0, previous[b.ID] <= 0),
			falseFirst(a.Spot, b.Spot),
			cmp.Compare(a.UpAt, b.UpAt),
			cmp.Compare(b.tasks, a.tasks),
			cmp.Compare(a.Info.Price, b.Info.Price),
			cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// falseFirst compares so that false comes before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// laterMachine is a machine that is likely to have resources for so many tasks, and by
// when.
type laterMachine struct {
	*machineCapacity
	by    Moment
	tasks int
}

// soonest lists machines that have no resources to rely on yet by when they are
// likely to have some.
func soonest(d *Demand, machines []*machineCapacity, now Moment) []laterMachine {
	var later []laterMachine
	for _, m := range machines {
		if m.holdsFor(d.Spec.Name) {
			continue
		}
		if by, tasks := m.earliestCapacity(d, now); tasks > 0 {
			later = append(later, laterMachine{m, by, tasks})
		}
	}
	slices.SortFunc(later, func(a, b laterMachine) int {
		return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.ID, b.ID))
	})
	return later
}
