package jobs

import (
	"math"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// TeamUsage returns the resources that each limited team may be using: the sum over its
// attempts that are not proven to have ended. A team that was just taken over may also have
// unlisted attempts, including those of ended jobs. These can only be on machines whose
// inventory has not been received, so the capacity of all such machines is added.
func (o *Owned) TeamUsage() map[protocol.Team]resource.Amount {
	usage := map[protocol.Team]resource.Amount{}
	for _, job := range o.ByID {
		if o.MayHaveLimit(job.Team) {
			o.AddUsage(job, usage, len(job.Placed))
		}
	}
	for _, ended := range o.EndedJobAttempts {
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

// maxUseOn returns the most resources that attempts on a machine may use: the capacity of the
// machine, or infinite resources if its type is unknown.
func maxUseOn(m *waittable.Machine) resource.Amount {
	if m.Info.Name == "" { // the cloud does not list the machine's type
		return resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)}
	}
	return resource.Capacity(m.Info)
}

// AddUsage adds the processors and GPUs of n tasks of a job to the usage of its team. Memory is
// not counted.
func (o *Owned) AddUsage(job *Job, usage map[protocol.Team]resource.Amount, n int) {
	used := usage[job.Team]
	used.CPUs += job.CPUs * float64(n)
	used.GPUs += job.GPUs * float64(n)
	usage[job.Team] = used
}
