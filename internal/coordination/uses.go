package coordination

import "damsonkeel/internal/protocol"

// level is the order in which machines serve tasks: what is within its team's
// guarantee first, then by priority. What is of a lower level may be stopped.
type level int

const (
	ranks  = 4 // of priorities
	levels = 2 * ranks
)

func levelOf(p protocol.Priority, guaranteed bool) level {
	if guaranteed {
		return level(p.Rank() + ranks)
	}
	return level(p.Rank())
}

// uses is what attempts take of a machine, by level.
type uses [levels]resources

// firm is what attempts of a level or above take: none of that level can have
// them stopped.
func (u *uses) firm(l level) resources {
	var sum resources
	for _, r := range u[min(max(l, 0), levels):] {
		sum = sum.plus(r)
	}
	return sum
}

// above is what attempts of a priority above a rank take, within a guarantee or
// not.
func (u *uses) above(rank int) resources {
	var sum resources
	for l, r := range u {
		if l%ranks > rank {
			sum = sum.plus(r)
		}
	}
	return sum
}

func (u *uses) add(l level, n resources) {
	l = min(max(l, 0), levels-1)
	u[l] = u[l].plus(n)
}

func (u *uses) addAll(us []Use) {
	for _, n := range us {
		u.add(level(n.Level), resources{n.CPUs, n.GPUs, n.GB})
	}
}

// list is the form in which uses are sent.
func (u *uses) list() []Use {
	var us []Use
	for l, r := range u {
		if r != (resources{}) {
			us = append(us, Use{l, r.cpus, r.gpus, r.gb})
		}
	}
	return us
}
