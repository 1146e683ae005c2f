package jobs

import (
	"math"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// TeamUsage sums what the attempts of limited teams may use that are not proven to
// have ended. Of a team just taken over, unlisted attempts, of jobs that are over too, can only
// be on machines whose inventory has not been received: they use no more than the capacity
// of these.
func (o *Owned) TeamUsage() map[protocol.Team]resource.Amount {
	usage := map[protocol.Team]resource.Amount{}
	for _, job := range o.ByID {
		if o.Limited(job.Team) {
			o.AddUsage(job, usage, len(job.Placed))
		}
	}
	for _, ended := range o.EndedAttempts {
		usage[ended.team] = usage[ended.team].Plus(ended.need)
	}
	if len(o.UnverifiedTeams) > 0 {
		var unverified resource.Amount
		for id := range o.AwaitedInventories {
			if m := o.table.Machines[id]; m != nil {
				unverified = unverified.Plus(maxUseOn(m))
			}
		}
		for team := range o.UnverifiedTeams {
			usage[team] = usage[team].Plus(unverified)
		}
	}
	return usage
}

// maxUseOn returns the most that attempts on a machine may use.
func maxUseOn(m *waittable.Machine) resource.Amount {
	if m.Info.Name == "" { // of a type that the cloud does not list
		return resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)}
	}
	return resource.Capacity(m.Info)
}

// AddUsage adds what n tasks of a job use to its team's usage.
func (o *Owned) AddUsage(job *Job, usage map[protocol.Team]resource.Amount, n int) {
	used := usage[job.Team]
	used.CPUs += job.CPUs * float64(n)
	used.GPUs += job.GPUs * float64(n)
	usage[job.Team] = used
}
