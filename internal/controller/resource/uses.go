package resource

import "damsonkeel/internal/protocol"

// Level is the order in which machines serve tasks: what is within its team's
// guarantee first, then by priority. What is of a lower level may be stopped.
type Level int

// Ranks is how many priorities there are, and Levels how many levels.
const (
	Ranks  = 4
	Levels = 2 * Ranks
)

// LevelOf is the level of a priority, within its team's guarantee or not.
func LevelOf(p protocol.Priority, guaranteed bool) Level {
	if guaranteed {
		return Level(p.Rank() + Ranks)
	}
	return Level(p.Rank())
}

// Guaranteed reports whether a level is within its team's guarantee.
func (l Level) Guaranteed() bool { return l >= Ranks }

// Rank is the rank of the level's priority.
func (l Level) Rank() int { return int(l) % Ranks }

// Uses is what attempts take of a machine, by level.
type Uses [Levels]Amount

// NonPreemptible is what attempts of a level or above take: none of that level can have
// them stopped.
func (u *Uses) NonPreemptible(l Level) Amount {
	var sum Amount
	for _, r := range u[min(max(l, 0), Levels):] {
		sum = sum.Plus(r)
	}
	return sum
}

// Above is what attempts of a priority above a rank take, within a guarantee or
// not.
func (u *Uses) Above(rank int) Amount {
	var sum Amount
	for l, r := range u {
		if Level(l).Rank() > rank {
			sum = sum.Plus(r)
		}
	}
	return sum
}

// Add counts an attempt of a level; levels out of bounds count as the nearest.
func (u *Uses) Add(l Level, n Amount) {
	l = min(max(l, 0), Levels-1)
	u[l] = u[l].Plus(n)
}
