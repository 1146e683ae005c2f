package placement

import (
	"slices"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
)

// Claims is the unused capacity that is not available to every job: the reserves of classes,
// the machines claimed by gangs, and the headroom that is left. Claims are valid for one step
// and are recomputed in the next, so that no claim remains after its purpose or its owner is
// gone.
type Claims struct {
	// Classes are the capacity reserves of classes; they are not bound to certain machines.
	Classes []ClassReserve
	// Gangs are the machines that are claimed by gangs which could not be placed yet, with
	// the levels of these gangs. A gang that is placed later in the same step, and that the
	// claiming gang could not preempt, must use other machines: otherwise a steady stream
	// of small gangs would starve a large one.
	Gangs map[*waittable.Machine]resource.Level
	// headroomCPUs is how many processors jobs confined to the headroom may still use in
	// this step. See Placer.headroom.
	headroomCPUs float64
}

// Blocks reports whether a machine is claimed by a gang that could not preempt a job: a gang of
// the job's level or a lower one.
func (c *Claims) Blocks(job *jobs.Job, m *waittable.Machine) bool {
	claimed, ok := c.Gangs[m]
	return ok && job.Level >= claimed
}

// LeavesClassReserves reports whether a task of a job can use a machine's resources and leave
// enough free for the reserves of all classes that restrict the job (see
// ClassReserve.restricts).
func (c *Claims) LeavesClassReserves(job *jobs.Job, m *waittable.Machine, need resource.Amount) bool {
	for i := range c.Classes {
		reserve := &c.Classes[i]
		if !reserve.restricts(job) || !reserve.canUse(m) {
			continue
		}
		if cost := reserve.lostTaskSlots(m, need); cost > 0 && reserve.SpareTasks < cost {
			return false
		}
	}
	return true
}

// IsUsableByClassReserve reports whether a class whose reserve the job may not use could use the
// machine.
func (c *Claims) IsUsableByClassReserve(job *jobs.Job, m *waittable.Machine) bool {
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.restricts(job) && reserve.canUse(m) {
			return true
		}
	}
	return false
}

// deduct deducts the resources of a task that is about to be placed on a machine from the spare
// tasks of each class reserve that can use the machine.
func (c *Claims) deduct(m *waittable.Machine, need resource.Amount) {
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.canUse(m) {
			reserve.SpareTasks -= reserve.lostTaskSlots(m, need)
		}
	}
}

// DeductMachine deducts a whole machine from the spare tasks of the class reserves and reports
// whether none of them would have fewer than 0 spare tasks. Otherwise it deducts nothing.
func (c *Claims) DeductMachine(m *waittable.Machine) bool {
	capacity := resource.Capacity(m.Info)
	for i := range c.Classes {
		if reserve := &c.Classes[i]; reserve.canUse(m) && reserve.SpareTasks < reserve.lostTaskSlots(m, capacity) {
			return false
		}
	}
	c.deduct(m, capacity)
	return true
}

// savepoint records the present spare capacity of the class reserves. The returned function
// restores it, for a gang whose tasks could not all be placed.
func (c *Claims) savepoint() (undo func()) {
	before := slices.Clone(c.Classes)
	return func() { copy(c.Classes, before) }
}

// ClassReserve is capacity that is reserved for the tasks of one class. It is not bound to
// certain machines.
type ClassReserve struct {
	Job        *clusterstate.LiveJob // a job of the class
	avoidsSpot bool                  // spot machines do not count as capacity for the class
	Need       resource.Amount       // resources that one task needs
	SpareTasks int                   // tasks that fit beyond the reserved number; negative if too few fit
}

// NewClaims returns the claims at the beginning of a step: the reserves of the classes and how
// many more of their tasks fit into the free resources of the machines. Claims of gangs are
// added while the gangs are tried. The headroom is 0.
func (p *Placer) NewClaims() *Claims {
	claims := &Claims{Gangs: map[*waittable.Machine]resource.Level{}}
	for _, class := range ordered.ByKey(p.workload.Classes) {
		tasks := p.workload.TasksToReserve(class)
		if tasks == 0 {
			continue
		}
		job := &clusterstate.LiveJob{Job: class.Job}
		reserve := ClassReserve{Job: job, avoidsSpot: p.workload.AvoidsSpot(&job.Job), Need: resource.Need(&job.Job), SpareTasks: -tasks}
		for _, m := range p.table.Machines {
			if p.table.Usable(m) && reserve.canUse(m) {
				reserve.SpareTasks += m.Unreserved().CountFitting(reserve.Need)
			}
		}
		claims.Classes = append(claims.Classes, reserve)
	}
	return claims
}

// lostTaskSlots returns how many tasks of the class would no longer fit on a machine if a
// task with the given need were placed on it.
func (r *ClassReserve) lostTaskSlots(m *waittable.Machine, need resource.Amount) int {
	free := m.Unreserved()
	return free.CountFitting(r.Need) - free.Minus(need).CountFitting(r.Need)
}

// canUse reports whether a task of the class could run on a machine if the machine were empty:
// the job's requirements of type, zone, purchase option and size allow it, and it is not a spot
// machine that the class avoids.
func (r *ClassReserve) canUse(m *waittable.Machine) bool {
	if r.avoidsSpot && m.Record.Spot {
		return false
	}
	return r.Job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot)
}

// restricts reports whether a job may not use the reserve: this holds for a job of another
// class whose priority is not higher.
func (r *ClassReserve) restricts(job *jobs.Job) bool {
	return r.Job.Class != job.Class && r.Job.Priority.Rank() >= job.Priority.Rank()
}
