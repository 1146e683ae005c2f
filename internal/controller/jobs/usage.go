package jobs

import (
	"math"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TeamUsage sums what limited teams' attempts may take that are not proven
// gone. Of a team just taken over, attempts that are not listed, of jobs that
// are over too, can be only on machines that were not heard since: they take no
// more than all there is of these.
func (oj *Owned) TeamUsage() map[protocol.Team]resource.Amount {
	usage := map[protocol.Team]resource.Amount{}
	for _, o := range oj.ByID {
		if oj.Limited(o.Team) {
			oj.AddUse(o, usage, len(o.Placed))
		}
	}
	for _, t := range oj.EndedAttempts {
		usage[t.team] = usage[t.team].Plus(t.need)
	}
	if len(oj.UnverifiedTeams) > 0 {
		var unheard resource.Amount
		for id := range oj.AwaitedInventories {
			if m := oj.table.Machines[id]; m != nil {
				unheard = unheard.Plus(mostOn(m))
			}
		}
		for team := range oj.UnverifiedTeams {
			usage[team] = usage[team].Plus(unheard)
		}
	}
	return usage
}

// mostOn is the most that attempts on a machine may take.
func mostOn(m *waittable.Machine) resource.Amount {
	if m.Info.Name == "" {
		return resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)} // of a type that the cloud does not list
	}
	return resource.Capacity(m.Info)
}

func (oj *Owned) AddUse(o *Job, usage map[protocol.Team]resource.Amount, n int) {
	u := usage[o.Team]
	u.CPUs += o.CPUs * float64(n)
	u.GPUs += o.GPUs * float64(n)
	usage[o.Team] = u
}
