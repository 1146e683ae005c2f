package scale

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// atLimit tells which jobs were submitted while their team's tasks left no room for all
// of theirs within the team's limit: how long those wait is not the service's to say,
// unless it stops other work of the team.
func (h *Hub) atLimit() map[protocol.JobID]bool {
	limits := map[protocol.Team]float64{}
	for _, t := range siteSettings(h.site).Teams {
		limits[t.Name] = t.MaxCPUs
	}
	events := slices.Clone(h.events)
	slices.SortStableFunc(events, func(a, b rules.MachineEvent) int { return cmp.Compare(a.At, b.At) })
	uploads := slices.DeleteFunc(slices.Clone(h.users), func(e rules.UserEvent) bool { return e.Kind != rules.UserDescribes })
	slices.SortStableFunc(uploads, func(a, b rules.UserEvent) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	use, found, next := map[protocol.Team]float64{}, map[protocol.JobID]bool{}, 0
	onMachines := newTracker()
	onMachines.changed = func(task protocol.TaskID, by float64) {
		job := h.jobs[task.Job]
		use[job.Team] += by * job.CPUs
	}
	note := func(until time.Duration) {
		for ; next < len(uploads) && uploads[next].RequestedAt <= until; next++ {
			job := uploads[next].Description
			if limit := limits[job.Team]; limit > 0 {
				found[job.ID] = use[job.Team]+job.CPUs*float64(job.Tasks) > limit
			}
		}
	}
	for _, e := range events {
		note(e.At)
		onMachines.take(e)
	}
	return found
}
