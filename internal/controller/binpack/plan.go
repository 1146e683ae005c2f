package binpack

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MaxPerRequest is the maximum number of machines of a kind in requests without an answer,
// those of the plan included.
const MaxPerRequest = 50

// Kind is a kind of machine that the cloud offers: a type in a zone, spot or on-demand.
type Kind struct {
	Type protocol.MachineType
	Zone protocol.Zone
	Spot bool
}

// MachineProfile is what the machines of a slot have in common.
type MachineProfile struct {
	Kind
	Free           resource.Amount // free resources of each, now or once it is ready
	Used           resource.Uses   // used on each by running and queued attempts, by level
	ReadyInSeconds float64         // time until they are ready; 0 if they are
}

// Slot is a group of running, booting or requested machines that are interchangeable for a
// plan. A cluster has far fewer slots than machines, since the machines of a kind run the
// same classes of tasks.
type Slot struct {
	MachineProfile
	Info     protocol.TypeInfo
	Machines int // number of machines
}

// NewSlot returns a slot of empty machines that are ready after the type's boot time, as if
// they had just been requested.
func NewSlot(info protocol.TypeInfo, k Kind, count int) Slot {
	return Slot{MachineProfile: MachineProfile{Kind: k, Free: resource.Capacity(info), ReadyInSeconds: info.BootS}, Info: info, Machines: count}
}

// withTasks returns a slot of the given number of the slot's machines, each with the given
// number of additional tasks.
func (s Slot) withTasks(w *Work, tasks, machines int) Slot {
	for range tasks {
		s.Free = s.Free.Minus(w.Need)
		s.Used.Add(w.Level, w.Need)
	}
	s.Machines = machines
	return s
}

// SlotGroups groups machines into slots: machines with equal profiles share a slot.
type SlotGroups struct {
	List  []Slot
	index map[MachineProfile]int // index in List
}

// Add adds a machine to the slot of its profile.
func (s *SlotGroups) Add(profile MachineProfile, info protocol.TypeInfo) {
	if s.index == nil {
		s.index = map[MachineProfile]int{}
	}
	i, ok := s.index[profile]
	if !ok {
		i = len(s.List)
		s.index[profile] = i
		s.List = append(s.List, Slot{MachineProfile: profile, Info: info})
	}
	s.List[i].Machines++
}

// Work describes tasks of one size that need resources.
type Work struct {
	Need    resource.Amount // of one task
	Level   resource.Level  // rank by guarantee and priority
	OneZone bool            // all tasks have to run in the same zone, which may be any
	// AvoidsSpot says that the tasks are not placed on existing spot machines.
	AvoidsSpot bool
	// EstimateSeconds is the estimated run time of a task. FetchSeconds returns how long a
	// machine of a type takes to fetch the task's image, in seconds.
	EstimateSeconds float64
	FetchSeconds    func(protocol.TypeInfo) float64
	// Allows reports whether the tasks may run on machines of a type in a zone, spot or
	// on-demand. Offers lists the kinds that may be provisioned for the tasks, the cheapest
	// per task first.
	Allows func(protocol.TypeInfo, protocol.Zone, bool) bool
	Offers []Kind
}

// canUse reports whether the tasks may run on the machines of a slot, whether or not these
// have free resources.
func (w *Work) canUse(s *Slot) bool {
	return (!w.AvoidsSpot || !s.Spot) && w.Allows(s.Info, s.Zone, s.Spot)
}

// inZone returns the work restricted to a zone.
func (w Work) inZone(zone protocol.Zone) Work {
	allows := w.Allows
	w.Allows = func(t protocol.TypeInfo, z protocol.Zone, spot bool) bool { return z == zone && allows(t, z, spot) }
	w.Offers = slices.DeleteFunc(slices.Clone(w.Offers), func(k Kind) bool { return k.Zone != zone })
	return w
}

// Order describes machines of one kind to be requested from the cloud.
type Order struct {
	Kind
	Count   int
	Purpose string // what the machines are dedicated to, empty if they may be used by all work
}

// Plan is the state of one round of planning: the machines that work is packed into, and the
// machines to be requested.
type Plan struct {
	types            map[protocol.MachineType]protocol.TypeInfo
	slots            []Slot
	pools            map[Kind]*pool
	requested        map[Kind]int // number of machines that the plan requests for all work
	alreadyRequested map[Kind]int // number of machines in requests sent before without an answer, and in dedicated
	dedicated        []Order      // orders for one purpose each
}

// New returns a plan that starts with the machines in slots: running, booting and requested
// ones. The requested ones are counted by kind in alreadyRequested, too, and their number is
// changed there by ProvisionDedicated.
func New(types map[protocol.MachineType]protocol.TypeInfo, slots []Slot, alreadyRequested map[Kind]int) *Plan {
	return &Plan{types: types, slots: slots, pools: map[Kind]*pool{}, requested: map[Kind]int{}, alreadyRequested: alreadyRequested}
}

// Fill packs tasks into the plan's machines without requesting any, and returns the number of
// tasks that do not fit. Work for one zone is packed into the zone that fits the most tasks.
func (p *Plan) Fill(w Work, tasks int) (unplaced int) {
	if tasks > 0 && w.OneZone {
		w = w.inZone(p.bestZone(&w, tasks))
	}
	return p.fill(&w, tasks)
}

// Reserve packs tasks that have to start at once into the free resources of the plan's
// machines, and requests machines for the tasks that do not fit, of the cheapest offered kind
// first and of the next one if MaxPerRequest is reached. Tasks that then don't fit are left out.
func (p *Plan) Reserve(w Work, tasks int) {
	if tasks > 0 && w.OneZone {
		w = w.inZone(p.bestZone(&w, tasks)) // as if the user had specified the zone
	}
	unplaced := p.fill(&w, tasks)
	if unplaced <= 0 {
		return
	}
	for _, k := range w.Offers {
		count := p.addRequest(k, machinesNeeded(unplaced, p.tasksPerMachine(k, &w)))
		if count > 0 {
			p.slots = append(p.slots, NewSlot(p.types[k.Type], k, count))
			unplaced = p.fill(&w, unplaced)
		}
		if unplaced <= 0 {
			return
		}
	}
}

// ProvisionDedicated requests machines for tasks from the cheapest offered kinds, whether or
// not the tasks fit on existing machines. The requested machines are dedicated to the purpose.
// Of each kind no more than MaxPerRequest machines are in unanswered requests at a time: the
// answer shows whether the cloud has more.
func (p *Plan) ProvisionDedicated(w Work, tasks int, purpose string) {
	for _, k := range w.Offers {
		perMachine := p.tasksPerMachine(k, &w)
		if tasks <= 0 || perMachine == 0 {
			return
		}
		count := min(MaxPerRequest-p.alreadyRequested[k], machinesNeeded(tasks, perMachine))
		if count <= 0 {
			continue
		}
		p.alreadyRequested[k] += count
		p.dedicated = append(p.dedicated, Order{k, count, purpose})
		tasks -= count * perMachine
	}
}

// Orders lists the machines that the plan requests: first those for all work, the cheapest
// first, then those dedicated to one purpose.
func (p *Plan) Orders() []Order {
	var orders []Order
	for _, k := range inPriceOrder(p, p.requested) {
		orders = append(orders, Order{Kind: k, Count: p.requested[k]})
	}
	return append(orders, p.dedicated...)
}

// fill packs tasks into the slots and returns the number of tasks that do not fit.
func (p *Plan) fill(w *Work, tasks int) (unplaced int) {
	for i := 0; i < len(p.slots) && tasks > 0; i++ {
		tasks -= p.fillSlot(i, w, tasks)
	}
	return tasks
}

// fillSlot packs up to the given number of tasks into slot i and returns the number that it
// has packed. It fills whole machines first, and then one more in part. The full machines
// and the partially filled one become separate slots.
func (p *Plan) fillSlot(i int, w *Work, tasks int) (placed int) {
	s := &p.slots[i]
	if s.Machines == 0 || !w.canUse(s) {
		return 0
	}
	perMachine := s.Free.CountFitting(w.Need)
	if perMachine == 0 {
		return 0
	}
	full := min(s.Machines, tasks/perMachine)
	partial := 0
	if full < s.Machines {
		partial = min(tasks-full*perMachine, perMachine)
	}
	before := *s
	s.Machines -= full
	if partial > 0 {
		s.Machines--
	}
	if full > 0 {
		p.slots = append(p.slots, before.withTasks(w, perMachine, full))
	}
	if partial > 0 {
		p.slots = append(p.slots, before.withTasks(w, partial, 1))
	}
	return full*perMachine + partial
}

// bestZone returns the zone whose slots fit the most of the given number of tasks. A zone
// whose slots do not fit all of them qualifies only if machines are offered there. Of equal
// zones the first by name is returned, and an empty name if no zone qualifies.
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

// addRequest adds up to count machines to the plan's requests and returns the number added,
// on which the plan may count. Of each kind no more than MaxPerRequest machines are in unanswered
// requests at a time: the answer shows whether the cloud has more.
func (p *Plan) addRequest(k Kind, count int) int {
	count = max(0, min(count, MaxPerRequest-p.requested[k]-p.alreadyRequested[k]))
	if count > 0 {
		p.requested[k] += count
	}
	return count
}

// tasksPerMachine returns how many of the tasks fit on an empty machine of a kind.
func (p *Plan) tasksPerMachine(k Kind, w *Work) int {
	return resource.Capacity(p.types[k.Type]).CountFitting(w.Need)
}

// machinesNeeded returns the number of machines that the tasks need if perMachine of them fit
// on each.
func machinesNeeded(tasks, perMachine int) int { return (tasks + perMachine - 1) / perMachine }

// inPriceOrder lists kinds by price per processor, then by type and zone.
func inPriceOrder[V any](p *Plan, kinds map[Kind]V) []Kind {
	return slices.SortedFunc(maps.Keys(kinds), func(a, b Kind) int {
		return cmp.Or(
			cmp.Compare(PricePerCPU(p.types[a.Type], a.Spot), PricePerCPU(p.types[b.Type], b.Spot)),
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone))
	})
}

// PricePerCPU returns the price of a machine of a type per processor and hour.
func PricePerCPU(t protocol.TypeInfo, spot bool) float64 {
	if spot {
		return t.SpotPrice / math.Max(t.CPUs, 1)
	}
	return t.Price / math.Max(t.CPUs, 1)
}
