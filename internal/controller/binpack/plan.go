package binpack

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MaxPerRequest is how many machines are requested at once.
const MaxPerRequest = 50

// Kind is a kind of machine that the cloud offers.
type Kind struct {
	Type protocol.MachineType
	Zone protocol.Zone
	Spot bool
}

// Alike is what machines of a slot have in common.
type Alike struct {
	Kind
	Free           resource.Amount // now, or when they are up
	Held           resource.Uses   // by attempts on each or in its queue
	ReadyInSeconds float64         // when they are up, in seconds
}

// Slot is machines that are up or starting, and alike in all that a plan asks of
// them. A fleet has far fewer slots than machines: those of a kind run the same
// classes of tasks.
type Slot struct {
	Alike
	Info     protocol.TypeInfo
	Machines int // machines
}

// NewSlot is a slot of machines that were just requested.
func NewSlot(info protocol.TypeInfo, k Kind, count int) Slot {
	return Slot{Alike: Alike{Kind: k, Free: resource.Capacity(info), ReadyInSeconds: info.BootS}, Info: info, Machines: count}
}

// withTasks is so many of a slot's machines once each has taken some tasks.
func (s Slot) withTasks(w *Work, tasks, machines int) Slot {
	for range tasks {
		s.Free = s.Free.Minus(w.Need)
		s.Held.Add(w.Level, w.Need)
	}
	s.Machines = machines
	return s
}

// Slots groups machines that are alike.
type Slots struct {
	List  []Slot
	index map[Alike]int // in List
}

// Add counts a machine.
func (s *Slots) Add(a Alike, info protocol.TypeInfo) {
	if s.index == nil {
		s.index = map[Alike]int{}
	}
	i, ok := s.index[a]
	if !ok {
		i = len(s.List)
		s.index[a] = i
		s.List = append(s.List, Slot{Alike: a, Info: info})
	}
	s.List[i].Machines++
}

// Work is tasks of one size that need resources.
type Work struct {
	Need    resource.Amount
	Level   resource.Level
	OneZone bool // all of them in the same one, whichever
	// AvoidsSpot: they are not placed on spot machines that are there.
	AvoidsSpot bool
	// EstimateSeconds is how long one runs, FetchSeconds how long its image takes to fetch on a
	// machine of a type, in seconds.
	EstimateSeconds float64
	FetchSeconds    func(protocol.TypeInfo) float64
	// Allows reports whether they may run on machines of a kind, Offers lists
	// what may be provisioned for them, the cheapest per task first.
	Allows func(protocol.TypeInfo, protocol.Zone, bool) bool
	Offers []Kind
}

// canUse reports whether the work may run on the machines of a slot.
func (w *Work) canUse(s *Slot) bool {
	return (!w.AvoidsSpot || !s.Spot) && w.Allows(s.Info, s.Zone, s.Spot)
}

// inZone is the work bound to a zone.
func (w Work) inZone(zone protocol.Zone) Work {
	allows := w.Allows
	w.Allows = func(t protocol.TypeInfo, z protocol.Zone, spot bool) bool { return z == zone && allows(t, z, spot) }
	w.Offers = slices.DeleteFunc(slices.Clone(w.Offers), func(k Kind) bool { return k.Zone != zone })
	return w
}

// Order is machines of one kind to be requested from the cloud.
type Order struct {
	Kind
	Count   int
	Purpose string // what they are for, if for one purpose alone
}

// Plan is the state of one plan.
type Plan struct {
	types     map[protocol.MachineType]protocol.TypeInfo
	slots     []Slot
	pools     map[Kind]*pool
	requested map[Kind]int // machines that the plan requests
	underWay  map[Kind]int // machines requested already
	dedicated []Order      // for one purpose alone
}

// New begins a plan with the machines that there are. Machines under way are requested
// already; they are among the slots.
func New(types map[protocol.MachineType]protocol.TypeInfo, slots []Slot, underWay map[Kind]int) *Plan {
	return &Plan{types: types, slots: slots, pools: map[Kind]*pool{}, requested: map[Kind]int{}, underWay: underWay}
}

// Fill packs tasks into the machines that are there, requesting nothing, and
// returns how many are left without.
func (p *Plan) Fill(w Work, tasks int) (left int) {
	if tasks > 0 && w.OneZone {
		w = w.inZone(p.bestZone(&w, tasks))
	}
	return p.fill(&w, tasks)
}

// Reserve packs tasks that are to start at once into the machines that are there, and
// requests machines for those that are left without.
func (p *Plan) Reserve(w Work, tasks int) {
	if tasks > 0 && w.OneZone {
		w = w.inZone(p.bestZone(&w, tasks)) // as if its user had named the zone
	}
	left := p.fill(&w, tasks)
	if left <= 0 {
		return
	}
	for _, k := range w.Offers {
		count := p.request(k, machinesFor(left, p.tasksPerMachine(k, &w)))
		if count > 0 {
			p.slots = append(p.slots, NewSlot(p.types[k.Type], k, count))
			left = p.fill(&w, left)
		}
		if left <= 0 {
			return
		}
	}
}

// Provision requests machines for tasks, whatever is there, from the cheapest kinds
// offered: they are for no other purpose. One request of each kind is under way at a
// time, so its answer tells whether there are more.
func (p *Plan) Provision(w Work, tasks int, purpose string) {
	for _, k := range w.Offers {
		perMachine := p.tasksPerMachine(k, &w)
		if tasks <= 0 || perMachine == 0 {
			return
		}
		count := min(MaxPerRequest-p.underWay[k], machinesFor(tasks, perMachine))
		if count <= 0 {
			continue
		}
		p.underWay[k] += count
		p.dedicated = append(p.dedicated, Order{k, count, purpose})
		tasks -= count * perMachine
	}
}

// Orders lists what the plan requests, the cheapest first, then what is dedicated to
// one purpose.
func (p *Plan) Orders() []Order {
	var orders []Order
	for _, k := range inPriceOrder(p, p.requested) {
		orders = append(orders, Order{Kind: k, Count: p.requested[k]})
	}
	return append(orders, p.dedicated...)
}

// fill packs tasks into the slots and returns how many are left without.
func (p *Plan) fill(w *Work, tasks int) (left int) {
	for i := 0; i < len(p.slots) && tasks > 0; i++ {
		tasks -= p.fillSlot(i, w, tasks)
	}
	return tasks
}

// fillSlot packs up to so many tasks into a slot and returns how many it took. Whole
// machines are filled first, then part of one more; both become slots of their own.
func (p *Plan) fillSlot(i int, w *Work, tasks int) (taken int) {
	s := &p.slots[i]
	if s.Machines == 0 || !w.canUse(s) {
		return 0
	}
	perMachine := s.Free.CountFitting(w.Need)
	if perMachine == 0 {
		return 0
	}
	full := min(s.Machines, tasks/perMachine)
	part := 0
	if full < s.Machines {
		part = min(tasks-full*perMachine, perMachine)
	}
	before := *s
	s.Machines -= full
	if part > 0 {
		s.Machines--
	}
	if full > 0 {
		p.slots = append(p.slots, before.withTasks(w, perMachine, full))
	}
	if part > 0 {
		p.slots = append(p.slots, before.withTasks(w, part, 1))
	}
	return full*perMachine + part
}

// bestZone is the zone that lacks least to run so many tasks, of those that lack
// nothing or have machines on offer.
func (p *Plan) bestZone(w *Work, tasks int) protocol.Zone {
	fits, offered := map[protocol.Zone]int{}, map[protocol.Zone]bool{}
	for i := range p.slots {
		if s := &p.slots[i]; w.canUse(s) {
			fits[s.Zone] += s.Machines * s.Free.CountFitting(w.Need)
		}
	}
	for _, k := range w.Offers {
		offered[k.Zone] = true
		fits[k.Zone] += 0
	}
	var best protocol.Zone
	for _, z := range slices.Sorted(maps.Keys(fits)) {
		if fits[z] < tasks && !offered[z] {
			continue
		}
		if best == "" || min(fits[z], tasks) > min(fits[best], tasks) {
			best = z
		}
	}
	return best
}

// request notes machines to be requested, and returns how many of them the plan may
// count on: no more of a kind at a time than one request, whose answer tells whether
// there are more.
func (p *Plan) request(k Kind, count int) int {
	count = max(0, min(count, MaxPerRequest-p.requested[k]-p.underWay[k]))
	if count > 0 {
		p.requested[k] += count
	}
	return count
}

// tasksPerMachine is how many tasks fit on an empty machine of a kind.
func (p *Plan) tasksPerMachine(k Kind, w *Work) int {
	return resource.Capacity(p.types[k.Type]).CountFitting(w.Need)
}

// machinesFor is how many machines so many tasks need.
func machinesFor(tasks, perMachine int) int { return (tasks + perMachine - 1) / perMachine }

// inPriceOrder lists kinds in one order, the cheapest first.
func inPriceOrder[V any](p *Plan, kinds map[Kind]V) []Kind {
	return slices.SortedFunc(maps.Keys(kinds), func(a, b Kind) int {
		return cmp.Or(
			cmp.Compare(Price(p.types[a.Type], a.Spot), Price(p.types[b.Type], b.Spot)),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone))
	})
}

// Price is that of a machine of a type, for a processor and an hour.
func Price(t protocol.TypeInfo, spot bool) float64 {
	if spot {
		return t.SpotPrice / math.Max(t.CPUs, 1)
	}
	return t.Price / math.Max(t.CPUs, 1)
}
