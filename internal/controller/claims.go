package controller

import (
	"slices"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
)

// claims is the room that is not free for everybody, though nothing is on it.
// They hold for one step and are made anew in the next, so no claim outlives
// what it is for, or its owner.
type claims struct {
	// classes are claims on so much room, wherever it is.
	classes []classReserve
	// gangs are the machines that gangs which could not be placed yet wait for,
	// with their levels: a gang placed later in the same step that could not be
	// stopped for it goes elsewhere. Without that, a large gang would be starved
	// by steady small ones.
	gangs map[*machineEntry]resource.Level
	// headroom is how many processors jobs may take that have only what others
	// leave: see Core.headroom.
	leftOver float64
}

// blocks reports whether a gang has to leave a machine to another.
func (cl *claims) blocks(o *ownedJob, m *machineEntry) bool {
	claimed, ok := cl.gangs[m]
	return ok && o.level >= claimed
}

// leavesClaimed reports whether a machine's room may be used for a task without
// touching what is reserved for other classes.
func (cl *claims) leavesClaimed(o *ownedJob, m *machineEntry, n resource.Amount) bool {
	for i := range cl.classes {
		k := &cl.classes[i]
		if !k.applies(o) || !k.fits(m) {
			continue
		}
		if cost := k.reduces(m, n); cost > 0 && k.spare < cost {
			return false
		}
	}
	return true
}

// isClaimed reports whether a class that room is kept for could use the machine.
func (cl *claims) isClaimed(o *ownedJob, m *machineEntry) bool {
	for i := range cl.classes {
		if k := &cl.classes[i]; k.applies(o) && k.fits(m) {
			return true
		}
	}
	return false
}

// spend takes the room that a task is about to use out of what can be spared.
func (cl *claims) spend(m *machineEntry, n resource.Amount) {
	for i := range cl.classes {
		if k := &cl.classes[i]; k.fits(m) {
			k.spare -= k.reduces(m, n)
		}
	}
}

// give takes a whole machine out of it, if that can be spared.
func (cl *claims) release(m *machineEntry) bool {
	all := resource.Capacity(m.Info)
	for i := range cl.classes {
		if k := &cl.classes[i]; k.fits(m) && k.spare < k.reduces(m, all) {
			return false
		}
	}
	cl.spend(m, all)
	return true
}

// tried notes what can be spared now, and returns how to go back to it when a
// gang could not be placed whole.
func (cl *claims) tentative() (undo func()) {
	before := slices.Clone(cl.classes)
	return func() { copy(cl.classes, before) }
}

// classReserve is room reserved for one class, wherever it is.
type classReserve struct {
	job   *clusterstate.LiveJob
	risky bool // spot machines are no room for it
	need  resource.Amount
	spare int // how many more tasks fit than are reserved
}

// claims reckons what is claimed when a step begins: what is reserved for
// classes, and how much more there is. Gangs add theirs as they are tried.
func (pl *placer) claims() *claims {
	cl := &claims{gangs: map[*machineEntry]resource.Level{}}
	for _, k := range ordered.Of(pl.workload.classes) {
		r := pl.workload.reserve(k)
		if r == 0 {
			continue
		}
		l := &clusterstate.LiveJob{Job: k.job}
		kp := classReserve{job: l, risky: pl.workload.risky(&l.Job), need: resource.Need(&l.Job), spare: -r}
		for _, m := range pl.table.machines {
			if pl.table.usable(m) && kp.fits(m) {
				kp.spare += m.unreserved().CountFitting(kp.need)
			}
		}
		cl.classes = append(cl.classes, kp)
	}
	return cl
}

// reduces is how many tasks of a reserved class would have no room any more if
// a machine took a task of a size.
func (k *classReserve) reduces(m *machineEntry, n resource.Amount) int {
	free := m.unreserved()
	return free.CountFitting(k.need) - free.Minus(n).CountFitting(k.need)
}

// fits reports whether a machine could ever take a task of the class.
func (k *classReserve) fits(m *machineEntry) bool {
	return !(k.risky && m.Record.Spot) && k.job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot)
}

// applies reports whether room kept for the class is kept from a job.
func (k *classReserve) applies(o *ownedJob) bool {
	return k.job.Class != o.Class && k.job.Priority.Rank() >= o.Priority.Rank()
}
