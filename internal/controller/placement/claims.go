package placement

import (
	"slices"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
)

// Claims is the unused capacity that is not free for every job. Claims are valid for one
// step and computed anew in the next, so that none outlives its purpose or its owner.
type Claims struct {
	// Classes are the capacity reserves of classes, on whichever machines.
	Classes []ClassReserve
	// Gangs are the machines for which gangs wait that could not be placed yet, with the
	// levels of these gangs. A gang that is placed later in the same step and could not
	// be preempted for the waiting one must go elsewhere: otherwise a steady stream of
	// small gangs would starve a large one.
	Gangs map[*waittable.Machine]resource.Level
	// headroomCPUs is how many processors jobs confined to the headroom may still take:
	// see Placer.headroom.
	headroomCPUs float64
}

// Blocks reports whether a machine is claimed by a gang that a job may not overtake.
func (c *Claims) Blocks(job *jobs.Job, m *waittable.Machine) bool {
	claimed, ok := c.Gangs[m]
	return ok && job.Level >= claimed
}

// LeavesClaimed reports whether a job's task may use a machine's resources without
// touching the reserves of other classes.
func (c *Claims) LeavesClaimed(job *jobs.Job, m *waittable.Machine, need resource.Amount) bool {
	for i := range c.Classes {
		reserve := &c.Classes[i]
		if !reserve.appliesTo(job) || !reserve.canUse(m) {
			continue
		}
		if cost := reserve.placesLost(m, need); cost > 0 && reserve.Spare < cost {
			return false
		}
	}
	return true
}

// IsClaimed reports whether a class whose reserve is kept from the job could use the
// machine.
func (c *Claims) IsClaimed(job *jobs.Job, m *waittable.Machine) bool {
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.appliesTo(job) && reserve.canUse(m) {
			return true
		}
	}
	return false
}

// spend deducts the resources that a task is about to use from what can be spared.
func (c *Claims) spend(m *waittable.Machine, need resource.Amount) {
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.canUse(m) {
			reserve.Spare -= reserve.placesLost(m, need)
		}
	}
}

// ReleaseMachine deducts a whole machine from what can be spared, and reports whether it can be.
// If not, nothing is deducted.
func (c *Claims) ReleaseMachine(m *waittable.Machine) bool {
	capacity := resource.Capacity(m.Info)
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.canUse(m) && reserve.Spare < reserve.placesLost(m, capacity) {
			return false
		}
	}
	c.spend(m, capacity)
	return true
}

// savepoint records what can be spared now. The returned function restores it, for a gang
// of which not all tasks could be placed.
func (c *Claims) savepoint() (undo func()) {
	before := slices.Clone(c.Classes)
	return func() { copy(c.Classes, before) }
}

// ClassReserve is capacity that is reserved for the tasks of one class, on whichever
// machines.
type ClassReserve struct {
	Job        *clusterstate.LiveJob // a job of the class
	avoidsSpot bool                  // spot machines do not count as capacity for it
	Need       resource.Amount       // of one task
	Spare      int                   // how many more tasks fit than are reserved
}

// NewClaims returns the claims at the beginning of a step: the reserves of classes, and
// how much more capacity there is. Gangs add theirs as they are tried.
func (p *Placer) NewClaims() *Claims {
	claims := &Claims{Gangs: map[*waittable.Machine]resource.Level{}}
	for _, class := range ordered.Of(p.workload.Classes) {
		tasks := p.workload.TasksToReserve(class)
		if tasks == 0 {
			continue
		}
		job := &clusterstate.LiveJob{Job: class.Job}
		reserve := ClassReserve{Job: job, avoidsSpot: p.workload.AvoidsSpot(&job.Job), Need: resource.Need(&job.Job), Spare: -tasks}
		for _, m := range p.table.Machines {
			if p.table.Usable(m) && reserve.canUse(m) {
				reserve.Spare += m.Unreserved().CountFitting(reserve.Need)
			}
		}
		claims.Classes = append(claims.Classes, reserve)
	}
	return claims
}

// placesLost returns how many tasks of the class would no longer fit on a machine if it
// took a task of the given size.
func (r *ClassReserve) placesLost(m *waittable.Machine, need resource.Amount) int {
	free := m.Unreserved()
	return free.CountFitting(r.Need) - free.Minus(need).CountFitting(r.Need)
}

// canUse reports whether a machine could ever take a task of the class.
func (r *ClassReserve) canUse(m *waittable.Machine) bool {
	if r.avoidsSpot && m.Record.Spot {
		return false
	}
	return r.Job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot)
}

// appliesTo reports whether the reserve is kept from a job: one of another class that is
// not more urgent.
func (r *ClassReserve) appliesTo(job *jobs.Job) bool {
	return r.Job.Class != job.Class && r.Job.Priority.Rank() >= job.Priority.Rank()
}
