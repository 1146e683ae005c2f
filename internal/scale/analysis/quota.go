package analysis

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// submittedAtLimit returns true for each job that was submitted while the running tasks of its
// team left too little of the team's limit for all tasks of the job. The scheduler can only
// start such a job early by preempting other work of the team.
func (r *Run) submittedAtLimit() map[protocol.JobID]bool {
	limits := map[protocol.Team]float64{}
	for _, team := range siteconfig.ControllerSettings(r.Site).Teams {
		limits[team.Name] = team.MaxCPUs
	}
	jobs := r.descriptionEvents()
	used, atLimit, nextJob := map[protocol.Team]float64{}, map[protocol.JobID]bool{}, 0
	tasks := newTaskTracker()
	tasks.onChange = func(task protocol.TaskID, delta float64) {
		job := r.Jobs[task.Job]
		used[job.Team] += delta * job.CPUs
	}
	checkSubmittedUntil := func(until time.Duration) {
		for ; nextJob < len(jobs) && jobs[nextJob].RequestedAt <= until; nextJob++ {
			job := jobs[nextJob].Description
			if limit := limits[job.Team]; limit > 0 {
				atLimit[job.ID] = used[job.Team]+job.CPUs*float64(job.Tasks) > limit
			}
		}
	}
	for _, e := range sortedByTime(r.Machines) {
		checkSubmittedUntil(e.At)
		tasks.apply(e)
	}
	return atLimit
}

// descriptionEvents returns the events that record descriptions of jobs, in order of time.
func (r *Run) descriptionEvents() []rules.UserEvent {
	found := slices.DeleteFunc(slices.Clone(r.Users), func(e rules.UserEvent) bool { return e.Kind != rules.UserDescribes })
	slices.SortStableFunc(found, func(a, b rules.UserEvent) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	return found
}
