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
	classes []kept
	// gangs are the machines that gangs which could not be placed yet wait for,
	// with their levels: a gang placed later in the same step that could not be
	// stopped for it goes elsewhere. Without that, a large gang would be starved
	// by steady small ones.
	gangs map[*machineEntry]resource.Level
	// leftOver is how many processors jobs may take that have only what others
	// leave: see Core.leftOver.
	leftOver float64
}

// against reports whether a gang has to leave a machine to another.
func (cl *claims) against(o *ownedJob, m *machineEntry) bool {
	claimed, ok := cl.gangs[m]
	return ok && o.level >= claimed
}

// spared reports whether a machine's room may be used for a task without
// touching what is reserved for other classes.
func (cl *claims) spared(o *ownedJob, m *machineEntry, n resource.Amount) bool {
	for i := range cl.classes {
		k := &cl.classes[i]
		if !k.applies(o) || !k.suits(m) {
			continue
		}
		if cost := k.costs(m, n); cost > 0 && k.spare < cost {
			return false
		}
	}
	return true
}

// wanted reports whether a class that room is kept for could use the machine.
func (cl *claims) wanted(o *ownedJob, m *machineEntry) bool {
	for i := range cl.classes {
		if k := &cl.classes[i]; k.applies(o) && k.suits(m) {
			return true
		}
	}
	return false
}

// spend takes the room that a task is about to use out of what can be spared.
func (cl *claims) spend(m *machineEntry, n resource.Amount) {
	for i := range cl.classes {
		if k := &cl.classes[i]; k.suits(m) {
			k.spare -= k.costs(m, n)
		}
	}
}

// give takes a whole machine out of it, if that can be spared.
func (cl *claims) give(m *machineEntry) bool {
	all := resource.Capacity(m.Info)
	for i := range cl.classes {
		if k := &cl.classes[i]; k.suits(m) && k.spare < k.costs(m, all) {
			return false
		}
	}
	cl.spend(m, all)
	return true
}

// tried notes what can be spared now, and returns how to go back to it when a
// gang could not be placed whole.
func (cl *claims) tried() (undo func()) {
	before := slices.Clone(cl.classes)
	return func() { copy(cl.classes, before) }
}

// kept is room reserved for one class, wherever it is.
type kept struct {
	job   *clusterstate.LiveJob
	risky bool // spot machines are no room for it
	need  resource.Amount
	spare int // how many more tasks fit than are reserved
}

// claims reckons what is claimed when a step begins: what is reserved for
// classes, and how much more there is. Gangs add theirs as they are tried.
func (c *Core) claims() *claims {
	cl := &claims{gangs: map[*machineEntry]resource.Level{}}
	for _, k := range ordered.Of(c.classes) {
		r := c.reserve(k)
		if r == 0 {
			continue
		}
		l := &clusterstate.LiveJob{Job: k.job}
		kp := kept{job: l, risky: c.risky(&l.Job), need: resource.Need(&l.Job), spare: -r}
		for _, m := range c.machines {
			if c.usable(m) && kp.suits(m) {
				kp.spare += m.unreserved().Fit(kp.need)
			}
		}
		cl.classes = append(cl.classes, kp)
	}
	return cl
}

// costs is how many tasks of a reserved class would have no room any more if
// a machine took a task of a size.
func (k *kept) costs(m *machineEntry, n resource.Amount) int {
	free := m.unreserved()
	return free.Fit(k.need) - free.Minus(n).Fit(k.need)
}

// suits reports whether a machine could ever take a task of the class.
func (k *kept) suits(m *machineEntry) bool {
	return !(k.risky && m.Record.Spot) && k.job.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot)
}

// applies reports whether room kept for the class is kept from a job.
func (k *kept) applies(o *ownedJob) bool {
	return k.job.Class != o.Class && k.job.Priority.Rank() >= o.Priority.Rank()
}
