package reservation

import (
	"maps"
	"slices"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// unlimitedMachines stands for an unbounded number of machines: more than any request needs.
const unlimitedMachines = 1 << 20

// checkCapacity decides whether a reservation fits in addition to the entries that are
// active at the same time: within the limit of its team, and on the machines of the site that
// are in no active window. Reservations that were accepted earlier are packed first. A refusal
// names the active windows and the reservations that could use the same machines.
func (c *Calendar) checkCapacity(s *record.ReservationSpec, active []Occurrence, f *SiteFacts) Answer {
	windows, others := c.splitActive(active)
	if a := checkTeamLimit(s, others, f); !a.OK {
		return a
	}
	plan := binpack.New(f.Types, availableSlots(windows, f), nil)
	for _, e := range others {
		plan.Fill(binpackWork(&e.Reservation.Spec), e.Reservation.Spec.Tasks)
	}
	unplaced := plan.Fill(binpackWork(s), s.Tasks)
	if unplaced == 0 {
		return Answer{OK: true}
	}
	var conflicts []Name
	for _, e := range windows {
		conflicts = append(conflicts, e.Window.Spec.Name)
	}
	for _, e := range others {
		if mayShareMachines(s, &e.Reservation.Spec) {
			conflicts = append(conflicts, e.Reservation.Spec.Name)
		}
	}
	return refused(conflicts, "no room for %d of its %d tasks", unplaced, s.Tasks)
}

// mayShareMachines reports whether two reservations could be held on the same machines: they
// have an allowed type in common, and neither the zone of one nor of the other rules it out.
func mayShareMachines(a, b *record.ReservationSpec) bool {
	if a.Zone != "" && b.Zone != "" && a.Zone != b.Zone {
		return false
	}
	return len(a.Types) == 0 || len(b.Types) == 0 ||
		slices.ContainsFunc(a.Types, func(t protocol.MachineType) bool { return slices.Contains(b.Types, t) })
}

// checkTeamLimit checks that the processors and GPUs reserved for a team at the same time,
// including those of a new reservation, stay within the team's limits. Others are the
// reservations that are active at that time; a refusal names those of the team.
func checkTeamLimit(s *record.ReservationSpec, others []*Entry, f *SiteFacts) Answer {
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

// displacedReservations returns the names of the reservations that would lack resources for
// more of their tasks with a window than without it.
func (c *Calendar) displacedReservations(window *Entry, active []Occurrence, f *SiteFacts) (names []Name) {
	windows, others := c.splitActive(active)
	windows = slices.DeleteFunc(windows, func(e *Entry) bool { return e.Name() == window.Name() })
	planWithout := binpack.New(f.Types, availableSlots(windows, f), nil)
	planWith := binpack.New(f.Types, availableSlots(append(windows, window), f), nil)
	for _, e := range others {
		s := &e.Reservation.Spec
		if planWithout.Fill(binpackWork(s), s.Tasks) < planWith.Fill(binpackWork(s), s.Tasks) {
			names = append(names, s.Name)
		}
	}
	return names
}

// availableSlots returns the machines of the site that can be in use while windows are open,
// as empty slots by type and zone: the maximum number, less the machines that windows name.
// Types and zones that a window covers as a whole are left out.
func availableSlots(windows []*Entry, f *SiteFacts) []binpack.Slot {
	var slots []binpack.Slot
	for _, name := range slices.Sorted(maps.Keys(f.Types)) {
		t := f.Types[name]
		for i, z := range t.AllowZones {
			if slices.ContainsFunc(windows, func(e *Entry) bool { return WindowCovers(&e.Window.Spec, "", name, z) }) {
				continue
			}
			count := f.maxMachines(name, i, len(t.AllowZones)) - f.machinesInWindows(windows, name, z)
			slots = append(slots, binpack.NewSlot(t, binpack.Kind{Type: name, Zone: z}, max(0, count)))
		}
	}
	return slots
}

// maxMachines returns how many machines of a type there can be in one of its zones, given the
// index of the zone and the number of zones. If the total is known, it is split evenly among
// the zones, as it is not known in which of them the cloud has the machines; otherwise the
// result is unlimitedMachines.
func (f *SiteFacts) maxMachines(t protocol.MachineType, zone, zones int) int {
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

// machinesInWindows returns how many registered machines of a type in a zone are named by
// windows.
func (f *SiteFacts) machinesInWindows(windows []*Entry, t protocol.MachineType, z protocol.Zone) int {
	count := 0
	for _, e := range windows {
		for _, id := range e.Window.Spec.Machines {
			if machineType, machineZone, up := f.Machine(id); up && machineType == t && machineZone == z {
				count++
			}
		}
	}
	return count
}

// binpackWork returns the tasks of a reservation in the form in which the autoscaler packs
// them.
func binpackWork(s *record.ReservationSpec) binpack.Work {
	return binpack.Work{
		Need: TaskSize(s), Level: resource.LevelOf(s.Priority, false), OneZone: s.OneZone && s.Zone == "",
		Allows: func(t protocol.TypeInfo, z protocol.Zone, spot bool) bool { return AllowsMachineKind(s, t, z, spot) },
	}
}
