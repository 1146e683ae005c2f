package rules

import (
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// cpuTolerance is the rounding error allowed in sums of processor counts.
const cpuTolerance = 1e-6

// checkPlacement checks the machine on which a task starts against the constraints of the
// task's job: spot machines, zone, machine types, and the one-zone and spread constraints.
func (c *checker) checkPlacement(e MachineEvent, job protocol.Job) {
	machine := c.machines[e.Machine]
	switch {
	case machine.Spot && !job.Spot:
		c.addViolation(RuleWrongPlace, e.At, "%v starts on the spot machine %s", e.Task, e.Machine)
	case job.Zone != "" && machine.Zone != job.Zone:
		c.addViolation(RuleWrongPlace, e.At, "%v starts in zone %s", e.Task, machine.Zone)
	case len(job.Types) > 0 && !slices.Contains(job.Types, machine.Type):
		c.addViolation(RuleWrongPlace, e.At, "%v starts on a %s", e.Task, machine.Type)
	}
	if job.OneZone || job.Spread {
		c.checkZones(e, job, machine.Zone)
	}
}

// checkZones checks the one-zone and spread constraints of a job when one of its tasks
// starts in a zone. With the one-zone constraint, all tasks that are on machines must be in the
// same zone. With the spread constraint, at most half of the tasks, rounded up, may
// run in one zone.
func (c *checker) checkZones(e MachineEvent, job protocol.Job, zone protocol.Zone) {
	zones := map[protocol.Zone]int{zone: 1}
	for i := range job.Tasks {
		task := protocol.TaskID{Job: job.ID, Index: i}
		if machine, placed := c.machineOf[task]; placed && task != e.Task {
			zones[c.machines[machine].Zone]++
		}
	}
	if job.OneZone && len(zones) > 1 {
		c.addViolation(RuleWrongPlace, e.At, "%v starts in zone %s while other tasks of its job run in other zones", e.Task, zone)
	}
	if job.Spread && zones[zone] > int(job.Tasks+1)/2 {
		c.addViolation(RuleWrongPlace, e.At, "%v: %d of %d tasks in zone %s", e.Task, zones[zone], job.Tasks, zone)
	}
}

// effectiveLimit returns the highest limit of a team that may have been in force when the
// controller ordered the start of a task; 0 means no limit. The order is dated by the
// worker's acceptance, or by the start itself if no acceptance was recorded.
func (c *checker) effectiveLimit(e MachineEvent, team protocol.Team) float64 {
	accepted, known := c.startAccepted[e.Task]
	if !known {
		accepted = e.At
	}
	since := accepted - time.Duration(c.requirements.LimitGraceS*float64(time.Second))
	limit := c.limits[team]
	for _, change := range c.limitChanges[team] {
		switch {
		case change.RequestedAt > e.At: // requested after the start
		case change.AnsweredAt < since:
			limit = change.MaxCPUs // the previous limit was no longer in force
		case change.MaxCPUs == 0 || limit == 0:
			limit = 0
		default:
			limit = max(limit, change.MaxCPUs)
		}
	}
	return limit
}
