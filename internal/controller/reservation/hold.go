package reservation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Run is work that a machine does, or has in its queue.
type Run struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Ends    Moment // when it is likely to be over, by its estimate and how far such are off
	Need    resource.Amount
	Level   resource.Level
	For     Name // the reservation it is of, if any
	Sure    bool // its machine's keeper has seen it start
}

// Machine is a machine as far as room is held on it.
type Machine struct {
	ID   protocol.MachineID
	Info protocol.TypeInfo
	Zone protocol.Zone
	Spot bool
	// Up is when it is up; 0: it is.
	Up   Moment
	Runs []Run
}

// Demand is an occurrence of a reservation that room is held for.
type Demand struct {
	*record.Reservation
	Left int // reservation its tasks, not started yet
	// Clear is from when on the room has to be free of what can't be stopped for
	// it: as long before its time as another machine takes to come.
	Clear Moment
}

// level is that of the reserved work: no more than its priority gives it.
func (d *Demand) level() resource.Level { return resource.LevelOf(d.Spec.Priority, false) }

func (d *Demand) size() resource.Amount { return Size(&d.Spec) }

// until is when its job should be over at the latest.
func (d *Demand) until() Moment { return afterS(d.StartMS, d.Spec.HoldS+d.Spec.LengthS) }

// Hold is room on one machine that is held for a reservation. What is not of it
// may use the room until Clear, and what may be stopped for it until From.
type Hold struct {
	For     Name               `cbor:"for"`
	Machine protocol.MachineID `cbor:"machine"`
	Tasks   int                `cbor:"tasks"`
	Need    resource.Amount    `cbor:"need"` // reservation all of them
	Level   resource.Level     `cbor:"level"`
	Clear   Moment             `cbor:"clear"`
	From    Moment             `cbor:"from"`
	Until   Moment             `cbor:"until"`
	// Ends is when the last of what can't be stopped for it is likely to be over.
	Ends Moment `cbor:"ends"`
}

// Plan is what is held, and what is missing.
type Plan struct {
	Holds []Hold
	// Short is how many tasks have no room that is sure: that is to be rented.
	// Missing is how many of them are unlikely to have any at their time.
	Short, Missing map[Name]int
	Zones          map[Name]protocol.Zone // reservation those that are held in one zone
}

// machineCapacity is a machine while holds are chosen.
type machineCapacity struct {
	*Machine
	taken []Hold
}

// free is what a machine has left for an occurrence that can be relied on: what
// is there is likely to be over when it has to be clear, and from then on is
// over. Firm counts what could be stopped as gone, too.
func (m *machineCapacity) free(d *Demand, now Moment, firm bool) resource.Amount {
	by := Moment(0)
	if now <= d.Clear {
		by = After(d.Clear, reportedLate)
	}
	return m.freeBy(d, by, firm)
}

// reportedLate is by how much later than it was let start work may be reckoned
// to end: it begins when its image is there and its start was reported.
const reportedLate = 15 * time.Second

// freeBy is what is left if everything is over that is likely to be by a moment.
func (m *machineCapacity) freeBy(d *Demand, by Moment, firm bool) resource.Amount {
	free := resource.Capacity(m.Info)
	for _, r := range m.Runs {
		switch {
		case r.For == d.Spec.Name:
			free = free.Minus(r.Need) // started already: its room is used
		case r.Ends <= by:
		case firm && r.Level < d.level():
		default:
			free = free.Minus(r.Need)
		}
	}
	for _, h := range m.taken {
		if h.For != d.Spec.Name && h.From < d.until() && d.StartMS < h.Until {
			free = free.Minus(h.Need)
		}
	}
	return free
}

// ChooseHolds holds room for what is due. What was held before stays where it is as
// long as that will do; what comes sooner goes first, then what was accepted
// earlier. Usable tells whether a machine may be held for a time: not one that
// is leaving, or in a window then.
func ChooseHolds(dues []Demand, machines []Machine, before []Hold, usable func(*Machine, *Demand) bool, now Moment) Plan {
	p := Plan{Short: map[Name]int{}, Missing: map[Name]int{}, Zones: map[Name]protocol.Zone{}}
	rooms := make([]*machineCapacity, len(machines))
	for i := range machines {
		rooms[i] = &machineCapacity{Machine: &machines[i]}
	}
	held := map[Name]map[protocol.MachineID]int{} // tasks
	for _, h := range before {
		if held[h.For] == nil {
			held[h.For] = map[protocol.MachineID]int{}
		}
		held[h.For][h.Machine] = h.Tasks
	}
	dues = slices.Clone(dues)
	slices.SortFunc(dues, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.StartMS, b.StartMS), cmp.Compare(a.Order, b.Order))
	})
	for i := range dues {
		d := &dues[i]
		was := held[d.Spec.Name]
		var mine []*machineCapacity
		for _, m := range rooms {
			if Allows(&d.Spec, m.Info, m.Zone, m.Spot) && usable(m.Machine, d) {
				mine = append(mine, m)
			}
		}
		zone := d.Spec.Zone
		if d.Spec.OneZone && zone == "" {
			zone = bestZone(d, mine, was, now)
		}
		if zone != "" {
			p.Zones[d.Spec.Name] = zone
			mine = slices.DeleteFunc(mine, func(m *machineCapacity) bool { return m.Zone != zone })
		}
		left, spare := d.Left, 1+d.Left/spareLater
		if now < d.Clear {
			spare = 1 + d.Left/spareShare
		}
		order := preferred(d, mine, was, now)
		// What was held is taken first, and only then more of it elsewhere: the
		// keepers hear of a change a moment later, and others start meanwhile in
		// what was let go and what is not held yet.
		chosen := map[*machineCapacity]int{}
		for _, most := range []func(*machineCapacity) int{
			func(m *machineCapacity) int { return was[m.ID] },
			func(m *machineCapacity) int { return math.MaxInt },
		} {
			for _, m := range order {
				n := min(left+spare, most(m.machineCapacity)-chosen[m.machineCapacity], m.firm-chosen[m.machineCapacity])
				if n > 0 {
					chosen[m.machineCapacity] += n
					left -= n
				}
			}
		}
		for _, m := range order {
			p.hold(d, m.machineCapacity, chosen[m.machineCapacity])
		}
		if left <= 0 {
			continue
		}
		p.Short[d.Spec.Name] = left
		for _, m := range soonest(d, mine, now) {
			if left <= 0 {
				break
			}
			if m.by > After(max(d.StartMS, now), lateBy) && p.Missing[d.Spec.Name] == 0 {
				p.Missing[d.Spec.Name] = left
			}
			left -= p.hold(d, m.machineCapacity, min(left, m.fits))
		}
		if left > 0 {
			p.Missing[d.Spec.Name] = max(left, p.Missing[d.Spec.Name])
		}
	}
	return p
}

const (
	// spareShare: beside each so many tasks room is held for one more until all
	// reservation it has to be clear, as some of what runs there is not over by then.
	spareShare = 4
	// spareLater is the same from then on, for machines that are lost.
	spareLater = 8
	// lateBy is how late room may come after its time and still be in time.
	lateBy = 30 * time.Second
)

// hold holds room for so many tasks on a machine, and returns that number.
func (p *Plan) hold(d *Demand, m *machineCapacity, n int) int {
	if n <= 0 {
		return 0
	}
	h := Hold{
		For: d.Spec.Name, Machine: m.ID, Tasks: n, Need: d.size().Times(float64(n)), Level: d.level(),
		Clear: d.Clear, From: d.StartMS, Until: d.until(),
	}
	for _, r := range m.Runs {
		if r.For != d.Spec.Name && r.Level >= h.Level {
			h.Ends = max(h.Ends, r.Ends)
		}
	}
	m.taken = append(m.taken, h)
	p.Holds = append(p.Holds, h)
	return n
}

// later is a machine that is likely to have room, and by when.
type later struct {
	*machineCapacity
	by   Moment
	fits int
}

// soonest lists machines that have no room to rely on yet by when they are
// likely to have some: it is held before it comes free, or others would take it.
func soonest(d *Demand, machines []*machineCapacity, now Moment) []later {
	var ls []later
	for _, m := range machines {
		if slices.ContainsFunc(m.taken, func(h Hold) bool { return h.For == d.Spec.Name }) {
			continue
		}
		ends := []Moment{max(now, m.Up)}
		for _, r := range m.Runs {
			ends = append(ends, max(r.Ends, now, m.Up))
		}
		slices.Sort(ends)
		for _, by := range ends {
			// What comes free until its time counts, whatever was first.
			if n := m.freeBy(d, max(by, d.StartMS), true).CountFitting(d.size()); n > 0 {
				ls = append(ls, later{m, by, n})
				break
			}
		}
	}
	slices.SortFunc(ls, func(a, b later) int { return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.ID, b.ID)) })
	return ls
}

// place is how many tasks fit on a machine, without anything being stopped and
// with that.
type place struct {
	*machineCapacity
	clear, firm int
}

// preferred is the order in which machines are taken: first where nothing has to
// be stopped, of these those held already, ordinary machines before spot
// machines, those that are up before those that come, those where the most tasks
// fit, and the cheapest.
func preferred(d *Demand, machines []*machineCapacity, was map[protocol.MachineID]int, now Moment) []place {
	ps := make([]place, len(machines))
	for i, m := range machines {
		ps[i] = place{m, m.free(d, now, false).CountFitting(d.size()), m.free(d, now, true).CountFitting(d.size())}
	}
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	slices.SortFunc(ps, func(a, b place) int {
		return cmp.Or(
			bit(a.clear == 0)-bit(b.clear == 0), bit(was[b.ID] > 0)-bit(was[a.ID] > 0), bit(a.Spot)-bit(b.Spot),
			cmp.Compare(a.Up, b.Up), cmp.Compare(b.clear, a.clear), cmp.Compare(a.Info.Price, b.Info.Price), cmp.Compare(a.ID, b.ID))
	})
	return ps
}

// bestZone is where a reservation that needs all its room in one zone is held:
// where it was, as long as that can hold it or no other can, else where the most
// reservation it fits.
func bestZone(d *Demand, machines []*machineCapacity, was map[protocol.MachineID]int, now Moment) protocol.Zone {
	fits, best := map[protocol.Zone]int{}, protocol.Zone("")
	for _, m := range machines {
		fits[m.Zone] += m.free(d, now, true).CountFitting(d.size())
		if best == "" && (was[m.ID] > 0 || slices.ContainsFunc(m.Runs, func(r Run) bool { return r.For == d.Spec.Name })) {
			best = m.Zone
		}
	}
	for _, z := range slices.Sorted(maps.Keys(fits)) {
		if best == "" || min(fits[z], d.Left) > min(fits[best], d.Left) {
			best = z
		}
	}
	return best
}

// Task is work that is to start, as far as holds are concerned.
type Task struct {
	Of    func(Name) bool // whether it is of a reservation
	Need  resource.Amount
	Level resource.Level
	Saves bool   // when it is stopped
	Ends  Moment // when it is likely to be over, if it starts now
}

// LeavesRoom reports whether a machine's held room lets a task start in what is
// free.
func LeavesRoom(holds []Hold, t *Task, free resource.Amount, now Moment) bool {
	until := OwnUntil(holds, t.Of)
	for i := range holds {
		if h := &holds[i]; !h.allows(t, now) && (until == 0 || until > h.From) {
			free = free.Minus(h.Need)
		}
	}
	return free.Covers(t.Need)
}

// OwnUntil is until when room is held for a task, by which reservations it is of;
// 0: none is. So long it was
// promised: what begins later was promised beside that, and is not in its way,
// however long estimates of its kind may be off.
func OwnUntil(holds []Hold, of func(Name) bool) Moment {
	until := Moment(0)
	for i := range holds {
		if h := &holds[i]; of(h.For) {
			until = max(until, h.Until)
		}
	}
	return until
}

// allows reports whether held room may be used by a task: it is held for it, the
// task is likely to end in time, or it can save and may be stopped in time.
func (h *Hold) allows(t *Task, now Moment) bool {
	return t.Of(h.For) || now >= h.Until || t.Ends <= h.Clear && now <= h.Clear ||
		t.Saves && t.Level < h.Level && now < h.stopAt(stopLead)
}

// stopLead is how long before its time a hold's room is cleared of what may be
// stopped for it, beyond the time that takes to save.
const stopLead = 15 * time.Second

func (h *Hold) stopAt(lead time.Duration) Moment { return After(h.From, -lead) }

// Stop reports whether it is time to stop what is in the way of a hold, given how
// long it takes to save.
func (h *Hold) Stop(save time.Duration, now Moment) bool {
	return now >= h.stopAt(stopLead+save) && now < h.Until
}
