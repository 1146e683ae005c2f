package reservation

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const noon = Moment(1_770_000_000_000)

// spec returns a reservation for the jobs of a class of the same name.
func spec(name string, when string, tasks int) *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: Name(name), Class: name, When: when, HoldS: 600, LengthS: 1200, Tasks: tasks, CPUs: 4, MemoryGB: 1, Priority: "standard",
	}
}

// facts returns a site with one machine type in two zones. With 0 machines their number has
// no bound.
func facts(machines int) *SiteFacts {
	f := &SiteFacts{
		Types: map[protocol.MachineType]protocol.TypeInfo{"m8": {Name: "m8", CPUs: 8, MemoryGB: 32, BootS: 40, AllowZones: []protocol.Zone{"a", "b"}}},
		Team: func(t protocol.Team) (config.Team, bool) {
			return config.Team{Name: "small", MaxCPUs: 20}, t == "small"
		},
		Machine: func(protocol.MachineID) (protocol.MachineType, protocol.Zone, bool) { return "m8", "a", true },
	}
	if machines > 0 {
		f.MaxMachines = map[protocol.MachineType]int{"m8": machines}
	}
	return f
}

// accept decides on a reservation and adds it to the calendar if it is accepted.
func accept(c *Calendar, s *record.ReservationSpec, f *SiteFacts, order uint64) Answer {
	a := c.DecideReservation(s, f, noon)
	if a.OK {
		_ = c.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, StartMS: a.FirstTimes[0], Order: order}, 1, noon)
	}
	return a
}
