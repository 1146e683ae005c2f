package reservation

import (
	"maps"
	"slices"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// unlimitedMachines stands for as many machines as anybody may ask for.
const unlimitedMachines = 1 << 20

// checkCapacity decides whether a reservation has resources beside those active at the
// same time. Reservations accepted earlier go first.
func (c *Calendar) checkCapacity(s *record.ReservationSpec, active []Occurrence, f *Facts) Answer {
	windows, others := c.splitActive(active)
	if a := withinTeamLimit(s, others, f); !a.OK {
		return a
	}
	plan := binpack.New(f.Types, availableSlots(windows, f), nil)
	for _, e := range others {
		plan.Fill(workOf(&e.Reservation.Spec), e.Reservation.Spec.Tasks)
	}
	left := plan.Fill(workOf(s), s.Tasks)
	if left == 0 {
		return Answer{OK: true}
	}
	var names []Name
	for _, e := range windows {
		names = append(names, e.Window.Spec.Name)
	}
	for _, e := range others {
		if overlapOnMachines(s, &e.Reservation.Spec) {
			names = append(names, e.Reservation.Spec.Name)
		}
	}
	return refused(names, "no room for %d of its %d tasks", left, s.Tasks)
}

// overlapOnMachines reports whether two reservations could be held on the same machines.
func overlapOnMachines(a, b *record.ReservationSpec) bool {
	if a.Zone != "" && b.Zone != "" && a.Zone != b.Zone {
		return false
	}
	return len(a.Types) == 0 || len(b.Types) == 0 ||
		slices.ContainsFunc(a.Types, func(t protocol.MachineType) bool { return slices.Contains(b.Types, t) })
}

// withinTeamLimit checks the team's limit: what is reserved for a team at the same time
// has to stay within it.
func withinTeamLimit(s *record.ReservationSpec, others []*Entry, f *Facts) Answer {
	team, ok := f.Team(s.Team)
	if !ok || !team.Limited() {
		return Answer{OK: true}
	}
	tasks := float64(s.Tasks)
	cpus, gpus := tasks*s.CPUs, tasks*s.GPUs
	var names []Name
	for _, e := range others {
		if o := &e.Reservation.Spec; o.Team == s.Team {
			cpus, gpus = cpus+float64(o.Tasks)*o.CPUs, gpus+float64(o.Tasks)*o.GPUs
			names = append(names, o.Name)
		}
	}
	if team.MaxCPUs > 0 && cpus > team.MaxCPUs+resource.Tolerance || team.MaxGPUs > 0 && gpus > team.MaxGPUs+resource.Tolerance {
		return refused(names, "more than the limit of team %s, with what is promised to it for the same time", s.Team)
	}
	return Answer{OK: true}
}

// displaced names the reservations that would have no resources beside another window,
// and have some without it.
func (c *Calendar) displaced(window *Entry, active []Occurrence, f *Facts) (names []Name) {
	windows, others := c.splitActive(active)
	windows = slices.DeleteFunc(windows, func(e *Entry) bool { return e.Name() == window.Name() })
	without := binpack.New(f.Types, availableSlots(windows, f), nil)
	with := binpack.New(f.Types, availableSlots(append(windows, window), f), nil)
	for _, e := range others {
		s := &e.Reservation.Spec
		if without.Fill(workOf(s), s.Tasks) < with.Fill(workOf(s), s.Tasks) {
			names = append(names, s.Name)
		}
	}
	return names
}

// availableSlots is the machines there can be while windows are open.
func availableSlots(windows []*Entry, f *Facts) []binpack.Slot {
	var slots []binpack.Slot
	for _, name := range slices.Sorted(maps.Keys(f.Types)) {
		t := f.Types[name]
		for i, z := range t.AllowZones {
			if slices.ContainsFunc(windows, func(e *Entry) bool { return Covers(&e.Window.Spec, "", name, z) }) {
				continue
			}
			count := f.maxMachines(name, i, len(t.AllowZones)) - f.machinesInWindows(windows, name, z)
			slots = append(slots, binpack.NewSlot(t, binpack.Kind{Type: name, Zone: z}, max(0, count)))
		}
	}
	return slots
}

// maxMachines is how many machines of a type there can be in one of its zones: where the
// number of all is known, each zone has its part, as nobody knows in which the cloud has
// them.
func (f *Facts) maxMachines(t protocol.MachineType, zone, zones int) int {
	total, known := f.MaxMachines[t]
	if !known {
		return unlimitedMachines
	}
	count := total / zones
	if zone < total%zones {
		count++
	}
	return count
}

// machinesInWindows is how many machines of a type in a zone are named by windows.
func (f *Facts) machinesInWindows(windows []*Entry, t protocol.MachineType, z protocol.Zone) int {
	count := 0
	for _, e := range windows {
		for _, id := range e.Window.Spec.Machines {
			if ofType, inZone, up := f.Machine(id); up && ofType == t && inZone == z {
				count++
			}
		}
	}
	return count
}

// workOf is a reservation's tasks as the autoscaler packs them.
func workOf(s *record.ReservationSpec) binpack.Work {
	return binpack.Work{
		Need: Size(s), Level: resource.LevelOf(s.Priority, false), OneZone: s.OneZone && s.Zone == "",
		Allows: func(t protocol.TypeInfo, z protocol.Zone, spot bool) bool { return Allows(s, t, z, spot) },
	}
}
