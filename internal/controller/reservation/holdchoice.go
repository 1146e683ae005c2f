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
	// tasksPerHeadroomEarly is the number of remaining tasks per extra task for which
	// resources are held before ClearBy, as some of the work on the machines will not have
	// ended by then.
	tasksPerHeadroomEarly = 4
	// tasksPerHeadroom is the same number from ClearBy on, when the extra resources make up
	// for lost machines.
	tasksPerHeadroom = 8
	// maxDelay is how long after the start of an occurrence resources may become free and
	// still count as in time.
	maxDelay = 30 * time.Second
)

// Plan is the result of ChooseHolds: the holds, and the numbers of tasks without resources by
// reservation.
type Plan struct {
	Holds []Hold
	// Short is the number of tasks without resources that can be relied on: machines have
	// to be provisioned for them. Missing is the number of those that are unlikely to
	// have resources when their occurrence starts.
	Short, Missing map[Name]int
	Zones          map[Name]protocol.Zone // zone of each reservation that is held in a single zone
}

// holdChooser is the state of one call of ChooseHolds.
type holdChooser struct {
	plan     Plan
	machines []*machineCapacity
	previous map[Name]map[protocol.MachineID]int // number of tasks in the previous holds
	usable   func(*Machine, *Demand) bool
	now      Moment
}

// ChooseHolds chooses the machines on which resources are held for occurrences. Demands are
// served in the order of their starts, and those with the same start in the order in which
// they were accepted.
// Previous holds, given as before, are kept as far as their machines still have the resources.
// The function usable reports whether a machine may be held for a demand: not if it is being
// released, or in a window at that time.
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
		c.chooseHolds(&demands[i])
	}
	return c.plan
}

// tasksByMachine returns the number of held tasks by reservation and machine.
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

// chooseHolds chooses the holds of one occurrence: first resources that can be relied on, and
// for the remaining tasks those that become free the earliest.
func (c *holdChooser) chooseHolds(d *Demand) {
	machines := c.candidateMachines(d)
	if short := c.holdReliableCapacity(d, machines); short > 0 {
		c.plan.Short[d.Spec.Name] = short
		c.holdEarliestCapacity(d, machines, short)
	}
}

// candidateMachines returns the machines that may be held for an occurrence: its reservation
// allows their kind, and they are usable for it. If the reservation names a zone or needs all
// resources in one zone, they are all in that zone, which is recorded in the plan.
func (c *holdChooser) candidateMachines(d *Demand) []*machineCapacity {
	var machines []*machineCapacity
	for _, m := range c.machines {
		if AllowsMachineKind(&d.Spec, m.Info, m.Zone, m.Spot) && c.usable(m.Machine, d) {
			machines = append(machines, m)
		}
	}
	zone := d.Spec.Zone
	if d.Spec.OneZone && zone == "" {
		zone = c.chooseZone(d, machines)
	}
	if zone != "" {
		c.plan.Zones[d.Spec.Name] = zone
		machines = slices.DeleteFunc(machines, func(m *machineCapacity) bool { return m.Zone != zone })
	}
	return machines
}

// holdReliableCapacity holds resources that are free by ClearBy, or free now after ClearBy,
// where work of lower levels counts as free. It holds them for the remaining tasks and for one
// extra task plus one per tasksPerHeadroom (before ClearBy tasksPerHeadroomEarly) of them. It
// returns the number of tasks for which there are no such resources; it is 0 or less if there
// are enough.
//
// It keeps previous holds first and only then holds further resources. Dispatchers receive
// a change of the holds with a delay, and until then other tasks start both in the resources
// that were released and in those that are not held yet.
func (c *holdChooser) holdReliableCapacity(d *Demand, machines []*machineCapacity) (short int) {
	short = d.Remaining
	headroom := 1 + d.Remaining/tasksPerHeadroom
	if c.now < d.ClearBy {
		headroom = 1 + d.Remaining/tasksPerHeadroomEarly
	}
	previous := c.previous[d.Spec.Name]
	ranked := c.rankMachines(d, machines)
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

// holdEarliestCapacity holds resources that are likely to become free, the earliest first, for
// the given number of tasks without resources that can be relied on. It holds them at once, as
// other tasks would use them otherwise. Tasks whose resources become free later than maxDelay
// after the start, or not at all, are counted as missing in the plan.
func (c *holdChooser) holdEarliestCapacity(d *Demand, machines []*machineCapacity, short int) {
	name := d.Spec.Name
	latest := After(max(d.StartMS, c.now), maxDelay)
	for _, m := range machinesByEarliestCapacity(d, machines, c.now) {
		if short <= 0 {
			return
		}
		if m.availableAt > latest && c.plan.Missing[name] == 0 {
			c.plan.Missing[name] = short
		}
		short -= c.hold(d, m.machineCapacity, min(short, m.tasks))
	}
	if short > 0 {
		c.plan.Missing[name] = max(short, c.plan.Missing[name])
	}
}

// hold adds a hold for a number of tasks on a machine, and returns that number. It adds none if
// the number is 0 or less, and then returns 0.
func (c *holdChooser) hold(d *Demand, m *machineCapacity, tasks int) int {
	if tasks <= 0 {
		return 0
	}
	h := Hold{
		For: d.Spec.Name, Machine: m.ID, Tasks: tasks, Need: d.size().Times(float64(tasks)), Level: d.level(),
		Clear: d.ClearBy, From: d.StartMS, Until: d.holdEnd(),
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

// chooseZone returns the zone for a reservation that needs all its resources in one zone:
// the zone of its previous holds or of its running tasks, unless more of its remaining tasks
// fit in another zone.
func (c *holdChooser) chooseZone(d *Demand, machines []*machineCapacity) protocol.Zone {
	capacity, best := map[protocol.Zone]int{}, protocol.Zone("")
	for _, m := range machines {
		capacity[m.Zone] += m.freeAtClear(d, c.now, true).CountFitting(d.size())
		if best == "" && (c.previous[d.Spec.Name][m.ID] > 0 || m.runsWorkOf(d.Spec.Name)) {
			best = m.Zone
		}
	}
	for _, z := range slices.Sorted(maps.Keys(capacity)) {
		if best == "" || min(capacity[z], d.Remaining) > min(capacity[best], d.Remaining) {
			best = z
		}
	}
	return best
}

// rankedMachine is a machine with the number of tasks of an occurrence that fit on it
// without and with preempting other tasks.
type rankedMachine struct {
	*machineCapacity
	tasks, tasksPreempting int
}

// rankMachines sorts machines by preference. Machines where nothing has to be preempted come
// first, then machines with a previous hold, ordinary before spot machines, those that are
// up before those that are being provisioned, those where the most tasks fit, and the
// cheapest.
func (c *holdChooser) rankMachines(d *Demand, machines []*machineCapacity) []rankedMachine {
	ranked := make([]rankedMachine, len(machines))
	for i, m := range machines {
		ranked[i] = rankedMachine{
			machineCapacity: m,
			tasks:           m.freeAtClear(d, c.now, false).CountFitting(d.size()),
			tasksPreempting: m.freeAtClear(d, c.now, true).CountFitting(d.size()),
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

// pendingMachine is a machine that is likely to have resources for a number of tasks from a
// later moment on.
type pendingMachine struct {
	*machineCapacity
	availableAt Moment
	tasks       int
}

// machinesByEarliestCapacity returns the machines without a hold for an occurrence that are
// likely to have resources for it later, the earliest first.
func machinesByEarliestCapacity(d *Demand, machines []*machineCapacity, now Moment) []pendingMachine {
	var pending []pendingMachine
	for _, m := range machines {
		if m.hasHoldFor(d.Spec.Name) {
			continue
		}
		if at, tasks := m.earliestCapacity(d, now); tasks > 0 {
			pending = append(pending, pendingMachine{m, at, tasks})
		}
	}
	slices.SortFunc(pending, func(a, b pendingMachine) int {
		return cmp.Or(cmp.Compare(a.availableAt, b.availableAt), cmp.Compare(a.ID, b.ID))
	})
	return pending
}
