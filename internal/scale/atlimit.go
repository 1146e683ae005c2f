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
	uploads := slices.DeleteFunc(slices.Clone(h.users), func(e rules.UserEvent) bool { return e.Kind != rules.UserUploads })
	slices.SortStableFunc(uploads, func(a, b rules.UserEvent) int { return cmp.Compare(a.Asked, b.Asked) })
	use, found, next := newTeamUse(h.jobs), map[protocol.JobID]bool{}, 0
	note := func(until time.Duration) {
		for ; next < len(uploads) && uploads[next].Asked <= until; next++ {
			job := uploads[next].Details
			if limit := limits[job.Team]; limit > 0 {
				found[job.ID] = use.cpus[job.Team]+job.CPUs*float64(job.Tasks) > limit
			}
		}
	}
	for _, e := range events {
		note(e.At)
		use.take(e)
	}
	return found
}

// teamUse sums the processors that teams' tasks take.
type teamUse struct {
	jobs map[protocol.JobID]protocol.Job
	on   map[protocol.TaskID]protocol.MachineID
	cpus map[protocol.Team]float64
}

func newTeamUse(jobs map[protocol.JobID]protocol.Job) *teamUse {
	return &teamUse{jobs, map[protocol.TaskID]protocol.MachineID{}, map[protocol.Team]float64{}}
}

// take takes the next event.
func (u *teamUse) take(e rules.MachineEvent) {
	switch e.Kind {
	case rules.TaskOn:
		if _, there := u.on[e.Task]; !there {
			u.add(e.Task, 1)
		}
		u.on[e.Task] = e.Machine
	case rules.TaskOff:
		u.off(e.Task)
	case rules.MachineGone:
		for task, machine := range u.on {
			if machine == e.Machine {
				u.off(task)
			}
		}
	}
}

func (u *teamUse) off(task protocol.TaskID) {
	if _, there := u.on[task]; there {
		delete(u.on, task)
		u.add(task, -1)
	}
}

func (u *teamUse) add(task protocol.TaskID, times float64) {
	job := u.jobs[task.Job]
	u.cpus[job.Team] += times * job.CPUs
}
