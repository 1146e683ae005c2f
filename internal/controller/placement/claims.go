package placement

import (
	"slices"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
)

// Claims is the room that is not free for everybody, though nothing is on it.
// They hold for one step and are made anew in the next, so no claim outlives
// what it is for, or its owner.
type Claims struct {
	// Classes are claims on so much room, wherever it is.
	Classes []ClassReserve
	// Gangs are the machines that gangs which could not be placed yet wait for,
	// with their levels: a gang placed later in the same step that could not be
	// stopped for it goes elsewhere. Without that, a large gang would be starved
	// by steady small ones.
	Gangs map[*waittable.Machine]resource.Level
	// headroom is how many processors jobs may take that have only what others
	// leave: see Core.headroom.
	leftOver float64
}

// Blocks reports whether a gang has to leave a machine to another.
func (cl *Claims) Blocks(o *jobs.Job, m *waittable.Machine) bool {
	claimed, ok := cl.Gangs[m]
	return ok && o.Level >= claimed
}

// LeavesClaimed reports whether a machine's room may be used for a task without
// touching what is reserved for other classes.
func (cl *Claims) LeavesClaimed(o *jobs.Job, m *waittable.Machine, n resource.Amount) bool {
	for i := range cl.Classes {
		k := &cl.Classes[i]
		if !k.applies(o) || !k.fits(m) {
			continue
		}
		if cost := k.reduces(m, n); cost > 0 && k.Spare < cost {
			return false
		}
	}
	return true
}

// IsClaimed reports whether a class that room is kept for could use the machine.
func (cl *Claims) IsClaimed(o *jobs.Job, m *waittable.Machine) bool {
	for i := range cl.Classes {
		if k := &cl.Classes[i]; k.applies(o) && k.fits(m) {
			return true
		}
	}
	return false
}

// spend takes the room that a task is about to use out of what can be spared.
func (cl *Claims) spend(m *waittable.Machine, n resource.Amount) {
	for i := range cl.Classes {
		if k := &cl.Classes[i]; k.fits(m) {
			k.Spare -= k.reduces(m, n)
		}
	}
}

// give takes a whole machine out of it, if that can be spared.
func (cl *Claims) Release(m *waittable.Machine) bool {
	all := resource.Capacity(m.Info)
	for i := range cl.Classes {
		if k := &cl.Classes[i]; k.fits(m) && k.Spare < k.reduces(m, all) {
			return false
		}
	}
	cl.spend(m, all)
	return true
}

// tried notes what can be spared now, and returns how to go back to it when a
// gang could not be placed whole.
func (cl *Claims) tentative() (undo func()) {
	before := slices.Clone(cl.Classes)
	return func() { copy(cl.Classes, before) }
}

// ClassReserve is room reserved for one class, wherever it is.
type ClassReserve struct {
	Job   *clusterstate.LiveJob
	risky bool // spot machines are no room for it
	Need  resource.Amount
	Spare int // how many more tasks fit than are reserved
}

// Claims reckons what is claimed when a step begins: what is reserved for
// classes, and how much more there is. Gangs add theirs as they are tried.
func (pl *Placer) NewClaims() *Claims {
	cl := &Claims{Gangs: map[*waittable.Machine]resource.Level{}}
	for _, k := range ordered.Of(pl.workload.Classes) {
		r := pl.workload.Reserve(k)
		if r == 0 {
			continue
		}
		l := &clusterstate.LiveJob{Job: k.Job}
		kp := ClassReserve{Job: l, risky: pl.workload.AvoidsSpot(&l.Job), Need: resource.Need(&l.Job), Spare: -r}
		for _, m := range pl.table.Machines {
			if pl.table.Usable(m) && kp.fits(m) {
				kp.Spare += m.Unreserved().CountFitting(kp.Need)
			}
		}
		cl.Classes = append(cl.Classes, kp)
	}
	return cl
}

// reduces is how many tasks of a reserved class would have no room any more if
// a machine took a task of a size.
func (k *ClassReserve) reduces(m *waittable.Machine, n resource.Amount) int {
	free := m.Unreserved()
	return free.CountFitting(k.Need) - free.Minus(n).CountFitting(k.Need)
}

// fits reports whether a machine could ever take a task of the class.
func (k *ClassReserve) fits(m *waittable.Machine) bool {
	return !(k.risky && m.Record.Spot) && k.Job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot)
}

// applies reports whether room kept for the class is kept from a job.
func (k *ClassReserve) applies(o *jobs.Job) bool {
	return k.Job.Class != o.Class && k.Job.Priority.Rank() >= o.Priority.Rank()
}
