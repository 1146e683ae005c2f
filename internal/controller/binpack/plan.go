// Package binpack plans which machines to rent: all work that waits is reckoned
// IsGang against what is up, coming or asked for, and what is missing is
// asked for from the cheapest kinds that will do.
package binpack

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Kind is what the cloud has or has not.
type Kind struct {
	Type protocol.MachineType
	Zone protocol.Zone
	Spot bool
}

// Slot is machines that are up, or coming, and alike in what a plan asks of
// them. A fleet has far fewer slots than machines: those of a kind run the same
// classes of tasks.
type Slot struct {
	Alike
	Info protocol.TypeInfo
	N    int // machines
}

// Alike is what machines of a slot have in common.
type Alike struct {
	Kind
	Free resource.Amount // now, or when they are up
	Held resource.Uses   // ReportedBy attempts on each or in its queue
	InS  float64         // when they are up, in seconds
}

// Work is tasks of one size that need room.
type Work struct {
	Need    resource.Amount
	Level   resource.Level
	OneZone bool // all of them in the same one, whichever
	// Shun: spot machines are no room for them.
	Shun bool
	// EstimateS is how long one runs, FetchS how long its image takes on a
	// machine of a type, in seconds.
	EstimateS float64
	FetchS    func(protocol.TypeInfo) float64
	// Allows reports whether they may run on machines of a kind, Offers lists
	// what may be rented for them, the cheapest per task first.
	Allows func(protocol.TypeInfo, protocol.Zone, bool) bool
	Offers []Kind
}

// Plan is the state of one plan.
type Plan struct {
	types    map[protocol.MachineType]protocol.TypeInfo
	slots    []Slot
	pools    map[Kind]*pool
	wanted   map[Kind]int // machines to be asked for
	underWay map[Kind]int // machines asked for already
	bought   []Order      // for one thing alone
}

// New begins a plan with the room that there is. Machines under way are asked
// for already; their room is among the slots.
func New(types map[protocol.MachineType]protocol.TypeInfo, slots []Slot, underWay map[Kind]int) *Plan {
	return &Plan{types: types, slots: slots, pools: map[Kind]*pool{}, wanted: map[Kind]int{}, underWay: underWay}
}

// Slots gathers machines that are alike.
type Slots struct {
	List []Slot
	at   map[Alike]int
}

// Add counts a machine.
func (s *Slots) Add(a Alike, info protocol.TypeInfo) {
	if s.at == nil {
		s.at = map[Alike]int{}
	}
	i, there := s.at[a]
	if !there {
		i = len(s.List)
		s.at[a] = i
		s.List = append(s.List, Slot{Alike: a, Info: info})
	}
	s.List[i].N++
}

// Fresh is the room of machines just asked for.
func Fresh(info protocol.TypeInfo, k Kind, count int) Slot {
	return Slot{Alike: Alike{Kind: k, Free: resource.Capacity(info), InS: info.BootS}, Info: info, N: count}
}

// fill takes room for n tasks out of the slots, as far as there is, and returns
// how many are left without.
func (p *Plan) fill(w *Work, n int) int {
	for i := 0; i < len(p.slots) && n > 0; i++ {
		s := &p.slots[i]
		if s.N == 0 || w.Shun && s.Spot || !w.Allows(s.Info, s.Zone, s.Spot) {
			continue
		}
		per := s.Free.CountFitting(w.Need)
		if per == 0 {
			continue
		}
		// Whole machines first, then what is left on one more.
		full := min(s.N, n/per)
		part := 0
		if full < s.N {
			part = min(n-full*per, per)
		}
		was := *s
		if s.N = was.N - full; part > 0 {
			s.N--
		}
		if full > 0 {
			p.slots = append(p.slots, was.after(w, per, full))
		}
		if part > 0 {
			p.slots = append(p.slots, was.after(w, part, 1))
		}
		n -= full*per + part
	}
	return n
}

// Fill takes room for n tasks out of what is there, asking for nothing, and
// returns how many are left without.
func (p *Plan) Fill(w Work, n int) int {
	if n > 0 && w.OneZone {
		w = w.in(p.zoneFor(&w, n))
	}
	return p.fill(&w, n)
}

// after is so many of a slot's machines once each has taken some tasks.
func (s Slot) after(w *Work, tasks, machines int) Slot {
	for range tasks {
		s.Free = s.Free.Minus(w.Need)
		s.Held.Add(w.Level, w.Need)
	}
	s.N = machines
	return s
}

// Reserve takes room for n tasks, to be there at once, and asks for what is
// missing.
func (p *Plan) Reserve(w Work, n int) {
	if n > 0 && w.OneZone {
		w = w.in(p.zoneFor(&w, n)) // as if its user had named the zone
	}
	if n = p.fill(&w, n); n <= 0 {
		return
	}
	for _, k := range w.Offers {
		per := resource.Capacity(p.types[k.Type]).CountFitting(w.Need)
		if count := p.ask(k, (n+per-1)/per); count > 0 {
			p.slots = append(p.slots, Fresh(p.types[k.Type], k, count))
			n = p.fill(&w, n)
		}
		if n <= 0 {
			return
		}
	}
}

// in is the work bound to a zone.
func (w Work) in(z protocol.Zone) Work {
	allows := w.Allows
	w.Allows = func(t protocol.TypeInfo, at protocol.Zone, spot bool) bool { return at == z && allows(t, at, spot) }
	w.Offers = slices.DeleteFunc(slices.Clone(w.Offers), func(k Kind) bool { return k.Zone != z })
	return w
}

// zoneFor is the zone that lacks least to hold n tasks, of those that lack
// nothing or still have machines to rent.
func (p *Plan) zoneFor(w *Work, n int) protocol.Zone {
	has, offered := map[protocol.Zone]int{}, map[protocol.Zone]bool{}
	for i := range p.slots {
		if s := &p.slots[i]; !(w.Shun && s.Spot) && w.Allows(s.Info, s.Zone, s.Spot) {
			has[s.Zone] += s.N * s.Free.CountFitting(w.Need)
		}
	}
	for _, k := range w.Offers {
		offered[k.Zone] = true
		has[k.Zone] += 0
	}
	var best protocol.Zone
	for _, z := range slices.Sorted(maps.Keys(has)) {
		if has[z] < n && !offered[z] {
			continue
		}
		if best == "" || min(has[z], n) > min(has[best], n) {
			best = z
		}
	}
	return best
}

// AskAtMost is how many machines are asked for in one request.
const AskAtMost = 50

// ask takes note of machines to be rented, and returns how many of them the
// PlanScaleOut may count on: no more of a kind at a time than one request, whose answer
// tells whether there are more.
func (p *Plan) ask(k Kind, count int) int {
	count = max(0, min(count, AskAtMost-p.wanted[k]-p.underWay[k]))
	if count > 0 {
		p.wanted[k] += count
	}
	return count
}

// Order is machines of one kind to be asked for.
type Order struct {
	Kind
	Count int
	For   string // what they are for, if for one thing alone
}

// Provision asks for machines for n tasks, whatever is there, from the cheapest kind
// offered: they are for nothing else. One request of each kind is under way at a
// time, so its answer tells whether there are more.
func (p *Plan) Provision(w Work, n int, what string) {
	for _, k := range w.Offers {
		per := resource.Capacity(p.types[k.Type]).CountFitting(w.Need)
		if n <= 0 || per == 0 {
			return
		}
		count := min(AskAtMost-p.underWay[k], (n+per-1)/per)
		if count <= 0 {
			continue
		}
		p.underWay[k] += count
		p.bought = append(p.bought, Order{k, count, what})
		n -= count * per
	}
}

// Orders lists what the plan asks for, the cheapest first, then what is bought for
// one thing alone.
func (p *Plan) Orders() []Order {
	var os []Order
	for _, k := range inPriceOrder(p, p.wanted) {
		os = append(os, Order{Kind: k, Count: p.wanted[k]})
	}
	return append(os, p.bought...)
}

// inPriceOrder lists kinds in one order, the cheapest first.
func inPriceOrder[V any](p *Plan, kinds map[Kind]V) []Kind {
	return slices.SortedFunc(maps.Keys(kinds), func(a, b Kind) int {
		return cmp.Or(cmp.Compare(Price(p.types[a.Type], a.Spot), Price(p.types[b.Type], b.Spot)), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
}

// Price of a machine of a type, for a processor and an hour.
func Price(t protocol.TypeInfo, spot bool) float64 {
	if spot {
		return t.SpotPrice / math.Max(t.CPUs, 1)
	}
	return t.Price / math.Max(t.CPUs, 1)
}
