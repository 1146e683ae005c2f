package reservation

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxEarly is how long before the start of an occurrence a job of the reservation's class
// may be submitted to match it.
const maxEarly = 30 * time.Minute

// MatchesJob reports whether the current occurrence of a reservation is for a job: the job is
// of the reservation's team, if it names one, and is either the job that it names or a job of
// its class. A job of its class has to be submitted from maxEarly before the start until HoldS
// after it.
func MatchesJob(r *record.Reservation, j *protocol.Job) bool {
	if r.Spec.Team != "" && r.Spec.Team != j.Team {
		return false
	}
	if r.Spec.Job != "" {
		return r.Spec.Job == j.ID
	}
	submitted := Moment(j.SubmittedMS)
	return r.Spec.Class == j.Class && submitted >= After(r.StartMS, -maxEarly) && submitted < afterSeconds(r.StartMS, r.Spec.HoldS)
}

// TaskSize returns the resources that each task of a reservation needs.
func TaskSize(s *record.ReservationSpec) resource.Amount {
	return resource.Amount{CPUs: s.CPUs, GPUs: s.GPUs, GB: s.MemoryGB}
}

// FitsMachineType reports whether a reservation allows ordinary machines of a type in a zone,
// and one of its tasks fits on such a machine.
func FitsMachineType(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone) bool {
	return AllowsMachineKind(s, t, z, false) && resource.Capacity(t).Covers(TaskSize(s))
}

// AllowsMachineKind reports whether a reservation may hold resources on machines of a type in a
// zone, ordinary or spot, regardless of their size.
func AllowsMachineKind(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && (s.Zone == "" || s.Zone == z) && (s.Spot || !spot)
}

// WindowCovers reports whether a window covers a machine: it names the machine, or, if it
// names no machines, the machine's type and zone are those that it names, if any.
func WindowCovers(s *record.WindowSpec, id protocol.MachineID, t protocol.MachineType, z protocol.Zone) bool {
	if len(s.Machines) > 0 {
		return slices.Contains(s.Machines, id)
	}
	return (s.Type == "" || s.Type == t) && (s.Zone == "" || s.Zone == z)
}
