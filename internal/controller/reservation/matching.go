package reservation

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxEarly is how long before the time a job of a reservation's class counts as
// the one it is for.
const maxEarly = 30 * time.Minute

// Matches reports whether a job is one that a reservation's present occurrence
// is for. One of its class may come a little earlier.
func Matches(r *record.Reservation, j *protocol.Job) bool {
	if r.Spec.Team != "" && r.Spec.Team != j.Team {
		return false
	}
	if r.Spec.Job != "" {
		return r.Spec.Job == j.ID
	}
	submitted := Moment(j.SubmittedMS)
	return r.Spec.Class == j.Class && submitted >= After(r.StartMS, -maxEarly) && submitted < afterSeconds(r.StartMS, r.Spec.HoldS)
}

// Size is what each task of a reservation takes.
func Size(s *record.ReservationSpec) resource.Amount {
	return resource.Amount{CPUs: s.CPUs, GPUs: s.GPUs, GB: s.MemoryGB}
}

// Fits reports whether a task of a reservation fits an ordinary machine of a type
// in a zone that it allows.
func Fits(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone) bool {
	return Allows(s, t, z, false) && resource.Capacity(t).Covers(Size(s))
}

// Allows reports whether a reservation may hold resources on a kind of machine.
func Allows(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && (s.Zone == "" || s.Zone == z) && (s.Spot || !spot)
}

// Covers reports whether a window covers a machine.
func Covers(s *record.WindowSpec, id protocol.MachineID, t protocol.MachineType, z protocol.Zone) bool {
	if len(s.Machines) > 0 {
		return slices.Contains(s.Machines, id)
	}
	return (s.Type == "" || s.Type == t) && (s.Zone == "" || s.Zone == z)
}
