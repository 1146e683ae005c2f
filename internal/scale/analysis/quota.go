package analysis

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// submittedAtLimit returns the jobs that were submitted while their team's running tasks
// left too little of the team's limit for all of theirs. The scheduler can only start
// these early by preempting other work of the team.
func (r *Run) submittedAtLimit() map[protocol.JobID]bool {
	limits := map[protocol.Team]float64{}
	for _, team := range siteconfig.ControllerSettings(r.Site).Teams {
		limits[team.Name] = team.MaxCPUs
	}
	jobs := r.descriptions()
	used, found, next := map[protocol.Team]float64{}, map[protocol.JobID]bool{}, 0
	tasks := newTracker()
	tasks.onChange = func(task protocol.TaskID, by float64) {
		job := r.Jobs[task.Job]
		used[job.Team] += by * job.CPUs
	}
	checkSubmitted := func(until time.Duration) {
		for ; next < len(jobs) && jobs[next].RequestedAt <= until; next++ {
			job := jobs[next].Description
			if limit := limits[job.Team]; limit > 0 {
				found[job.ID] = used[job.Team]+job.CPUs*float64(job.Tasks) > limit
			}
		}
	}
	for _, e := range sortedByTime(r.Machines) {
		checkSubmitted(e.At)
		tasks.apply(e)
	}
	return found
}

// descriptions returns the events that describe jobs, in order of time.
func (r *Run) descriptions() []rules.UserEvent {
	found := slices.DeleteFunc(slices.Clone(r.Users), func(e rules.UserEvent) bool { return e.Kind != rules.UserDescribes })
	slices.SortStableFunc(found, func(a, b rules.UserEvent) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	return found
}
