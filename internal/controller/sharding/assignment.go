package sharding

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Member is a member of the view, which may hold shards.
type Member struct {
	Name    protocol.NodeName
	Session protocol.LeaseID
	Zone    protocol.Zone
	Weight  float64 // capacity relative to the other members'; 0 if it should hold no shards
}

// Move is a planned change of the holder of a shard.
type Move struct {
	Shard ID
	To    protocol.LeaseID // session of the new holder
	Cause string           // reason, for operators and logs; the Balancer fills it in
}

// OrphanMoves lists the moves of shards whose holder is not one of the members or has the
// weight 0, each to a member whose weight is not 0. All other shards keep their holders. load
// is the load of each shard. There are no moves if all members have the weight 0.
func OrphanMoves(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	return a.changes()
}

// RebalancingMoves lists the moves that distribute the load over the members by their weights,
// in the order in which they should be made: those of OrphanMoves, then those that bring the
// members near their targets, then those that bring shards to members of their zones. If only
// the first few of them are made, the next call still returns the rest.
func RebalancingMoves(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	a.balanceLoad()
	a.localize()
	return a.changes()
}

// toleranceFraction is the fraction of its target load by which a member's load may differ
// from the target before a shard moves. Without it, each machine that is added or removed
// would move some shards.
const toleranceFraction = 0.15

// noMember and noShard mean that there is no such member or shard; they are used in place
// of an index.
const (
	noMember = -1
	noShard  = -1
)

// assignment is a working copy of the holders of the shards, on which moves are planned.
// Shards and members are identified by their indices in the table and in members.
type assignment struct {
	*record.ShardTable
	load        []float64 // load of each shard
	largestLoad float64   // the largest load of a shard
	members     []Member  // in order of their names
	targetLoad  []float64 // load that each member should hold; 0 for the weight 0
	heldLoad    []float64 // load that each member holds
	holder      []int     // index of each shard's holder in members, or noMember
	moveOrder   []ID      // shards that were assigned here, in the order in which they should move
}

func newAssignment(table *record.ShardTable, load []float64, members []Member) *assignment {
	a := &assignment{
		ShardTable: table,
		load:       load,
		members:    slices.Clone(members),
		targetLoad: make([]float64, len(members)),
		heldLoad:   make([]float64, len(members)),
		holder:     make([]int, len(table.List)),
	}
	slices.SortFunc(a.members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	a.setTargets()
	for id, shard := range table.List {
		a.holder[id] = slices.IndexFunc(a.members, func(m Member) bool {
			return m.Session == shard.Holder && shard.Holder != 0
		})
		if i := a.holder[id]; i != noMember {
			a.heldLoad[i] += load[id]
		}
	}
	return a
}

// setTargets divides the load of all shards among the members by their weights.
func (a *assignment) setTargets() {
	total, weights := 0.0, 0.0
	for _, load := range a.load {
		total += load
		a.largestLoad = max(a.largestLoad, load)
	}
	for _, m := range a.members {
		weights += m.Weight
	}
	if weights <= 0 {
		return
	}
	for i, m := range a.members {
		a.targetLoad[i] = total * m.Weight / weights
	}
}

// changes lists the moves of the shards whose holder here differs from the holder in the table,
// in the order in which they were first assigned.
func (a *assignment) changes() (moves []Move) {
	for _, id := range a.moveOrder {
		to := a.members[a.holder[id]].Session
		if to != a.List[id].Holder {
			moves = append(moves, Move{Shard: id, To: to})
		}
	}
	return moves
}

// assign makes a member the holder of a shard in the working copy.
func (a *assignment) assign(id, to int) {
	if from := a.holder[id]; from != noMember {
		a.heldLoad[from] -= a.load[id]
	}
	a.holder[id] = to
	a.heldLoad[to] += a.load[id]
	if !slices.Contains(a.moveOrder, ID(id)) {
		a.moveOrder = append(a.moveOrder, ID(id))
	}
}

// utilization returns the load of a member plus some more, divided by the member's target: 1
// means at the target. It is infinite for a member whose target is 0.
func (a *assignment) utilization(i int, more float64) float64 {
	if a.targetLoad[i] == 0 {
		return math.Inf(1)
	}
	return (a.heldLoad[i] + more) / a.targetLoad[i]
}

// tolerance returns by how much the load of a member may differ from its target before shards
// move: toleranceFraction of the target, but at least the largest load of a shard.
func (a *assignment) tolerance(i int) float64 {
	return max(toleranceFraction*a.targetLoad[i], a.largestLoad)
}

// limit returns the load above which shards of a member move to others.
func (a *assignment) limit(i int) float64 { return a.targetLoad[i] + a.tolerance(i) }

// isLocal reports whether a member is in a shard's zone. A shard that is held in its own
// zone is still served while that zone is cut off from the others, and is not affected
// while another zone is cut off.
func (a *assignment) isLocal(id, i int) bool {
	return a.members[i].Zone != "" && a.members[i].Zone == ZoneOf(a.ShardTable, ID(id))
}

// fitsLocally reports whether a member is in a shard's zone and stays within its limit if the
// shard is added.
func (a *assignment) fitsLocally(id, i int) bool {
	return a.isLocal(id, i) && a.heldLoad[i]+a.load[id] <= a.limit(i)
}

// firstLocal returns the first member in a shard's zone, by name, whose target is not 0, or
// noMember.
func (a *assignment) firstLocal(id int) int {
	for i := range a.members {
		if a.targetLoad[i] > 0 && a.isLocal(id, i) {
			return i
		}
	}
	return noMember
}

// assignOrphans assigns the shards without a holder, or whose holder has the weight 0, to
// other members: to one in the shard's zone that stays within its limit, else to any. Of
// several such members it takes the one whose utilization with the shard is the lowest.
func (a *assignment) assignOrphans() {
	for id, holder := range a.holder {
		if holder != noMember && a.members[holder].Weight > 0 {
			continue
		}
		if best := a.bestHolder(id); best != noMember {
			a.assign(id, best)
		}
	}
}

// bestHolder returns the member that an orphaned shard should be assigned to by the rule of
// assignOrphans, or noMember if all members have the weight 0.
func (a *assignment) bestHolder(id int) int {
	best := noMember
	for i, m := range a.members {
		if m.Weight > 0 && (best == noMember || a.isBetterHolder(id, i, best)) {
			best = i
		}
	}
	return best
}

// isBetterHolder reports whether member i is a better holder of a shard than another
// member: only i fits locally, or both or neither do and i has the lower utilization with the
// shard.
func (a *assignment) isBetterHolder(id, i, other int) bool {
	fits, otherFits := a.fitsLocally(id, i), a.fitsLocally(id, other)
	if fits != otherFits {
		return fits
	}
	return a.utilization(i, a.load[id]) < a.utilization(other, a.load[id])
}

// balanceLoad moves shards from members above their limit to the one with the lowest
// utilization, and to members further below their target than their tolerance. It ends when
// there is no such member or no shard that should move, at the latest after as many moves as
// there are shards.
func (a *assignment) balanceLoad() {
	for range a.holder {
		from, to := a.nextSourceAndTarget()
		if from == noMember || to == noMember || from == to {
			return
		}
		id := a.bestShard(from, to)
		if id == noShard {
			return
		}
		a.assign(id, to)
	}
}

// nextSourceAndTarget returns the members between which a shard should move next: from is the
// member with the highest utilization of those above their limits, to the one with the lowest
// utilization. If none is above its limit, but to is further below its target than its
// tolerance, from is the member with the highest utilization. Either may be noMember.
func (a *assignment) nextSourceAndTarget() (from, to int) {
	to = a.leastUtilized()
	from = a.mostUtilized(func(i int) bool { return a.heldLoad[i] > a.limit(i) })
	// A member that has just joined should receive shards although no other member is
	// above its limit.
	if from == noMember && to != noMember && a.heldLoad[to] < a.targetLoad[to]-a.tolerance(to) {
		from = a.mostUtilized(func(i int) bool { return i != to })
	}
	return from, to
}

// mostUtilized returns the member with the highest utilization of those that match a
// condition, or noMember if none does.
func (a *assignment) mostUtilized(match func(i int) bool) int {
	most := noMember
	for i := range a.members {
		if match(i) && (most == noMember || a.utilization(i, 0) > a.utilization(most, 0)) {
			most = i
		}
	}
	return most
}

// leastUtilized returns the member with the lowest utilization of those whose target is not 0,
// or noMember if there is none.
func (a *assignment) leastUtilized() int {
	least := noMember
	for i := range a.members {
		if a.targetLoad[i] > 0 && (least == noMember || a.utilization(i, 0) < a.utilization(least, 0)) {
			least = i
		}
	}
	return least
}

// bestShard returns the shard that should move from one member to another: preferably one
// that is local to the target, else one that at least is not local to the source, else
// any. After the move, the utilization of the target must not be higher than that of the
// source is now. It returns noShard if there is no such shard.
func (a *assignment) bestShard(from, to int) int {
	best, bestScore := noShard, 0
	for id, holder := range a.holder {
		if holder != from || a.utilization(to, a.load[id]) > a.utilization(from, 0) {
			continue
		}
		if score := a.moveScore(id, from, to); score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// moveScore ranks a move by its effect on the locality of the shard, from 1 to 4: higher if the
// shard is local to the target, and if it is not local to the source. The former counts more.
func (a *assignment) moveScore(id, from, to int) int {
	score := 1
	if a.isLocal(id, to) {
		score += 2
	}
	if !a.isLocal(id, from) {
		score++
	}
	return score
}

// localize moves shards whose holder is not in their zone to the first member of their zone: if
// canMove allows it the shard alone, else in exchange for another one (see exchange). A shard
// stays if neither is possible.
func (a *assignment) localize() {
	for id, holder := range a.holder {
		if holder == noMember || a.isLocal(id, holder) {
			continue
		}
		local := a.firstLocal(id)
		if local == noMember {
			continue
		}
		if a.canMove(id, holder, local) {
			a.assign(id, local)
			continue
		}
		a.exchange(id, holder, local)
	}
}

// canMove reports whether both members stay near their target loads when a shard moves: the
// receiver at most the largest load of a shard above its target, and the giver within its
// tolerance below its target.
func (a *assignment) canMove(id, from, to int) bool {
	return a.heldLoad[to]+a.load[id] <= a.targetLoad[to]+a.largestLoad &&
		a.heldLoad[from]-a.load[id] >= a.targetLoad[from]-a.tolerance(from)
}

// exchange moves a shard to a member of its zone. In return it moves the first shard of
// that member that is local to the former holder, or that no member is local to. Nothing
// moves if there is no such shard.
func (a *assignment) exchange(id, holder, local int) {
	for other, otherHolder := range a.holder {
		if otherHolder != local || a.isLocal(other, local) {
			continue
		}
		if a.isLocal(other, holder) || a.firstLocal(other) == noMember {
			a.assign(id, local)
			a.assign(other, holder)
			return
		}
	}
}
