package resource

import "damsonkeel/internal/protocol"

// Level is the order in which machines serve tasks, the highest level first: those within their
// team's guarantee before all others, and by priority within each of the two groups. Tasks of
// lower levels may be preempted. It is a number from 0 to Levels-1.
type Level int

const (
	// Ranks is the number of priorities.
	Ranks = 4
	// Levels is the number of levels: one without and one within a guarantee for each
	// priority.
	Levels = 2 * Ranks
)

// LevelOf returns the level of tasks of a priority, either within their team's guarantee or
// not.
func LevelOf(priority protocol.Priority, guaranteed bool) Level {
	if guaranteed {
		return Level(priority.Rank() + Ranks)
	}
	return Level(priority.Rank())
}

// Guaranteed reports whether a level is one of those for tasks within their team's guarantee.
func (l Level) Guaranteed() bool { return l >= Ranks }

// Rank returns the rank of the level's priority, from 0 for the lowest to Ranks-1.
func (l Level) Rank() int { return int(l) % Ranks }

// Uses holds the sum of the resources that the attempts of each level use on a machine.
type Uses [Levels]Amount

// NonPreemptible returns the resources that attempts of a level or above use: a task of that
// level can't preempt these attempts. For a level above all it returns nothing.
func (u *Uses) NonPreemptible(level Level) Amount {
	var sum Amount
	for _, used := range u[min(max(level, 0), Levels):] {
		sum = sum.Plus(used)
	}
	return sum
}

// AboveRank returns the resources that attempts of priorities above a rank use, within a
// guarantee or not.
func (u *Uses) AboveRank(rank int) Amount {
	var sum Amount
	for level, used := range u {
		if Level(level).Rank() > rank {
			sum = sum.Plus(used)
		}
	}
	return sum
}

// Add adds an amount to the resources that attempts of a level use. A level out of range counts
// as the nearest one in range.
func (u *Uses) Add(level Level, amount Amount) {
	level = min(max(level, 0), Levels-1)
	u[level] = u[level].Plus(amount)
}
