package controller

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// maxPerStep bounds the placements of one step, so that a huge job does not
// hold up everything else; the rest follows at the next one.
const maxPerStep = 2000

// placer chooses the machines of owned jobs' tasks.
type placer struct {
	clusterstate.Module
	table        *waitTable
	workload     *workload
	reservations *reservationHolds
	jobs         *ownedJobs
	rng          *rand.Rand

	pricePremiums  map[binpack.Kind]float64 // by the prices last read: see computePricePremiums
	failedSearches []failedSearch
	nextPlaced     Time // not placed again before
	// rebalancedUpTo is the machine at which the last rebalance left the rest to the
	// next tick; empty: nothing is left.
	rebalancedUpTo     protocol.MachineID
	candidatesExamined int // machines looked at for placements, ever
}

// reset forgets everything a session knew.
func (pl *placer) reset() {
	pl.forgetSearches()
	pl.nextPlaced = 0
}

// forgetSearches forgets the searches that found no place.
func (pl *placer) forgetSearches() { pl.failedSearches = nil }

// placeIfDue places what became pending, at most once in placeEvery. It reports whether
// it did.
func (pl *placer) placeIfDue() bool {
	if !pl.table.placementDue || !pl.HoldsLease() || pl.Now < pl.nextPlaced {
		return false
	}
	pl.nextPlaced = pl.After(placeEvery)
	pl.schedule()
	return true
}

// placingRound is one pass over the jobs that wait to be placed.
type placingRound struct {
	usage   map[protocol.Team]resource.Amount
	claims  *claims
	batches map[protocol.NodeName][]message.Placement // by keeper
	waits   map[protocol.MachineID]*ownWaits
	left    int // placements that the step may still make
	stuck   int // gangs that found no place when they were last tried
}

// schedule places what is pending: each task once, on the machine with the
// smallest expected wait per processor among those that can run it.
func (pl *placer) schedule() {
	pl.table.placementDue = false
	if len(pl.Types) == 0 {
		return
	}
	r := &placingRound{
		usage: pl.jobs.teamUsage(), claims: pl.claims(), batches: map[protocol.NodeName][]message.Placement{},
		waits: map[protocol.MachineID]*ownWaits{}, left: maxPerStep,
	}
	r.claims.leftOver = pl.headroom() // nothing but placing asks for it
	pl.setLevels()
	pl.forgetFailedSearches()
	for _, o := range pl.jobs.jobsInOrder() {
		if o.searchFailed && !o.pending.None() {
			r.stuck++
		}
	}
	for _, o := range pl.jobs.jobsInOrder() {
		if !o.loaded || o.finishDue || o.notBefore > pl.Now || o.pending.None() {
			continue
		}
		pl.recordPlacements(r, pl.placeJob(o, r))
		if r.left <= 0 {
			pl.table.placementDue = true
			break
		}
	}
	pl.sendPlacements(r.batches)
	pl.table.sendWaits(r.waits)
}

// placeJob places what is pending of one job.
func (pl *placer) placeJob(o *ownedJob, r *placingRound) []message.Placement {
	o.usesHeadroom = !math.IsInf(r.claims.leftOver, 1) && pl.workload.withoutObjective(&o.Job) && !pl.reservations.isReserved(&o.Job)
	most := r.left
	if o.usesHeadroom && pl.overdueToBegin(o) {
		o.usesHeadroom, most = false, min(r.left, 1)
	}
	if o.searchFailed && pl.Since(o.searchedAt) < pl.retryEvery(r.stuck) {
		pl.claimAgain(o, r.claims)
		return nil
	}
	if o.Kind != protocol.KindGang && pl.wouldFindNone(o) {
		return nil
	}
	var chosen []message.Placement
	looked := pl.candidatesExamined
	o.claimedMachines = nil
	if o.Kind == protocol.KindGang {
		chosen = pl.placeGang(o, r.usage, r.claims)
	} else {
		chosen = pl.placeArray(o, r.usage, most, r.claims)
	}
	o.searchFailed, o.searchedAt = o.Kind == protocol.KindGang && len(chosen) == 0 && pl.candidatesExamined > looked, pl.Now
	return chosen
}

// recordPlacements adds the placements of a job to a round.
func (pl *placer) recordPlacements(r *placingRound, chosen []message.Placement) {
	r.left -= len(chosen)
	for _, p := range chosen {
		keeper := pl.DispatcherOf(p.Machine)
		r.batches[keeper] = append(r.batches[keeper], p)
		w := r.waits[p.Machine]
		if w == nil {
			w = &ownWaits{}
			r.waits[p.Machine] = w
		}
		w.add += p.EstimateS * p.CPUs
		w.taken.Add(resource.Level(p.Level), p.Need())
	}
}

// sendPlacements hands placements to the machines' keepers.
func (pl *placer) sendPlacements(batches map[protocol.NodeName][]message.Placement) {
	revision := pl.Configuration.Effective().Revision
	for keeper, tasks := range ordered.Of(batches) {
		p := pl.table.peers[keeper]
		if p == nil {
			continue
		}
		p.placed++
		for _, t := range tasks {
			if o := pl.jobs.byID[t.Task.Job]; o != nil && o.placed[t.Task] != nil {
				o.placed[t.Task].placeNumber = p.placed
			}
		}
		pl.Send(keeper, message.PeerMessage{Place: &message.Place{Number: p.placed, Term: pl.View.Term, Configuration: revision, Tasks: tasks}})
	}
}

// maxExaminedPerStep is how many machines may be looked at, a step, for gangs that found
// no place when they were last tried. See failedSearch for arrays.
const maxExaminedPerStep = 30_000

// retryEvery is how often such gangs are tried again, of so many: at each step
// where that is cheap, less often where many wait on a large fleet.
func (pl *placer) retryEvery(stuck int) time.Duration {
	return placeEvery * time.Duration(stuck*len(pl.table.sortedMachines)/maxExaminedPerStep)
}

// placeArray places pending tasks one by one.
func (pl *placer) placeArray(o *ownedJob, usage map[protocol.Team]resource.Amount, left int, cl *claims) []message.Placement {
	var out []message.Placement
	zones := o.zones()
	var from *candidates
	var waits *ownedJob // see queuesWithinLimit
	left = o.mayTry(left)
	for i, ok := o.pending.NextSet(0); ok && len(out) < left; i, ok = o.pending.NextSet(i + 1) {
		if o.placed[protocol.TaskID{Job: o.ID, Index: uint32(i)}] != nil {
			continue // its last attempt is not gone
		}
		if !pl.withinLimit(o, usage, 1) {
			break
		}
		if !cl.takeHeadroom(o, 1) {
			break
		}
		if from == nil {
			from, waits = pl.candidatesFor(o, zones, cl), pl.longestWaiting(o)
		}
		m := from.smallest(zones)
		if m == nil {
			pl.noteFailedSearch(o)
			break
		}
		if from.heap[0].rank == rankQueue && !pl.queuesWithinLimit(o, waits, usage) {
			break
		}
		out = append(out, pl.placeFrom(from, uint32(i), m, pl.jobs.nextAttempt(), zones))
		pl.jobs.addUse(o, usage, 1)
	}
	return out
}

func (oj *ownedJobs) nextAttempt() protocol.Attempt {
	oj.attemptCounter++
	return protocol.Attempt(uint64(oj.View.Term)<<32 | oj.attemptCounter)
}

// placeFrom places one task on the smallest of its job's candidates, and reckons
// with that for the next.
func (pl *placer) placeFrom(from *candidates, i uint32, m *machineEntry, a protocol.Attempt, zones map[protocol.Zone]int) message.Placement {
	if from.heap[0].rank != rankQueue {
		from.claims.spend(m, from.need)
	}
	p := pl.placeAttempt(from.job, i, m, a)
	pl.noteExamined(from)
	zones[m.Record.Zone]++
	return p
}

// placeAttempt places one task on a machine in the owner's books.
func (pl *placer) placeAttempt(o *ownedJob, i uint32, m *machineEntry, a protocol.Attempt) message.Placement {
	t := &attempt{
		task: protocol.TaskID{Job: o.ID, Index: i}, number: a, machine: m.ID, epoch: m.Epoch,
		zone: m.Record.Zone, estimate: pl.jobs.estimateOf(o), trial: o.failing,
	}
	o.placed[t.task] = t
	o.pending.Clear(uint(i))
	pl.jobs.track(t)
	o.waiting++
	if p := pl.table.peers[pl.DispatcherOf(m.ID)]; p != nil {
		// The Place that carries it is the next to the keeper.
		pl.table.addPendingWait(m, pendingWait{pl.Self, p.placed + 1, t.estimate * o.CPUs, o.level, resource.Need(&o.Job)})
	}
	return message.Placement{Task: t.task, Attempt: a, Machine: m.ID, Epoch: m.Epoch, Tenure: pl.ShardEpoch(m.ID, m.Record.Zone), EstimateS: t.estimate, CPUs: o.CPUs, GPUs: o.GPUs, GB: o.MemoryGB, Level: int(o.level), Together: o.isGang()}
}

// boundZone is the zone that a job's attempts hold it to, if they do.
func (o *ownedJob) boundZone() protocol.Zone {
	if o.OneZone {
		for _, t := range o.placed {
			return t.zone // of all of them
		}
	}
	return ""
}

// planZones counts the attempts of a job that may exist by zone.
func (o *ownedJob) zones() map[protocol.Zone]int {
	z := map[protocol.Zone]int{}
	for _, t := range o.placed {
		z[t.zone]++
	}
	return z
}

// machinesInOrder lists the machines by name.
func (wt *waitTable) machinesInOrder() []*machineEntry { return wt.sortedMachines }

// addMachine puts a machine in its place, instead of another of its name if
// there is one.
func (wt *waitTable) addMachine(m *machineEntry) {
	wt.removeMachine(m.ID)
	wt.machines[m.ID], wt.Records[m.ID] = m, m.Machine
	i, _ := wt.findMachine(m.ID)
	wt.sortedMachines = slices.Insert(wt.sortedMachines, i, m)
	if m.Record.Spot {
		wt.spotsUp++
	}
}

func (wt *waitTable) removeMachine(id protocol.MachineID) {
	m := wt.machines[id]
	if m == nil {
		return
	}
	delete(wt.machines, id)
	delete(wt.Records, id)
	if i, ok := wt.findMachine(id); ok {
		wt.sortedMachines = slices.Delete(wt.sortedMachines, i, i+1)
	}
	if m.Record.Spot {
		wt.spotsUp--
	}
}

func (wt *waitTable) findMachine(id protocol.MachineID) (int, bool) {
	return slices.BinarySearchFunc(wt.sortedMachines, id, func(m *machineEntry, id protocol.MachineID) int { return cmp.Compare(m.ID, id) })
}

// wait is the machine's expected wait, in processor seconds, as far as this
// controller knows.
func (m *machineEntry) wait() float64 { return math.Max(0, m.reported.Wait+m.copiedWait+m.pendingSum) }

// waitBefore is what of the machine's expected wait comes before a task of a
// level: what is queued there at lower levels lets it go first.
func (m *machineEntry) waitBefore(l resource.Level) float64 {
	wait := m.wait()
	for lower, work := range m.reported.Queue {
		if resource.Level(lower) < l {
			wait -= work
		}
	}
	return math.Max(0, wait)
}

// free is what a machine has free now, as far as this controller knows. One
// with a queue has none: what waits there comes first.
func (m *machineEntry) free() resource.Amount {
	if m.reported.Epoch != m.Epoch {
		return resource.Capacity(m.Info).Minus(m.pendingUses.NonPreemptible(0)) // nothing told yet: as it came up
	}
	if m.reported.Queued > 0 {
		return resource.Amount{}
	}
	return m.idle()
}

// idle is what nothing runs in on a machine, whatever waits there: what room is
// held for does not wait behind the rest.
func (m *machineEntry) idle() resource.Amount {
	if m.reported.Epoch != m.Epoch {
		return m.free()
	}
	return resource.Amount{CPUs: m.reported.FreeCPUs, GPUs: m.reported.FreeGPUs, GB: m.reported.FreeGB}.Minus(m.pendingUses.NonPreemptible(0))
}

// unreserved is what a machine has free now beside what is held for reservations.
func (m *machineEntry) unreserved() resource.Amount { return m.free().Minus(m.reserved) }

// nonPreemptibleFree is what a machine has for a task of a level once everything that may
// be stopped for it is gone.
func (m *machineEntry) nonPreemptibleFree(l resource.Level) resource.Amount {
	room := resource.Capacity(m.Info).Minus(m.pendingUses.NonPreemptible(l))
	if m.reported.Epoch == m.Epoch {
		room = room.Minus(m.announcedUses.NonPreemptible(l))
	}
	return room
}

// freeBelow is what a machine has for work of a rank or below, beside what is
// more urgent.
func (m *machineEntry) freeBelow(rank int) resource.Amount {
	return resource.Capacity(m.Info).Minus(m.announcedUses.Above(rank)).Minus(m.pendingUses.Above(rank))
}

// waitFor is the wait per processor that a task has to expect before it runs,
// in seconds, its image's fetch included, and whether the machine has room for
// it now. With room, the fuller machine counts a little less, so that small
// tasks leave whole machines to large ones.
func (m *machineEntry) waitFor(j *protocol.Job, l resource.Level) (wait float64, now bool) {
	n := resource.Need(j)
	fetch := m.fetch(j)
	if free := m.free(); free.Covers(n) {
		return fetch + (free.CPUs-n.CPUs)/math.Max(m.Info.CPUs, 1), true
	}
	return m.waitBefore(l)/math.Max(m.Info.CPUs, 1) + fetch, false
}

// fetch is how long the machine takes to get a job's image, in seconds.
func (m *machineEntry) fetch(j *protocol.Job) float64 {
	if slices.Contains(m.reported.Images, j.Image) {
		return 0
	}
	return clusterstate.FetchS(m.Info, j)
}

// usable reports whether tasks may be placed on a machine at all.
func (wt *waitTable) usable(m *machineEntry) bool {
	return m.open() && !m.refused && !wt.PlaceClosed(m.Record.Type, m.Record.Zone)
}

// open reports whether its keeper lets tasks be placed on a machine.
func (m *machineEntry) open() bool {
	return m.Info.Name != "" && !m.reported.Closed && !m.reported.Draining && !m.reported.Suspect
}

// allows reports whether a job may have a task on a machine: type, zone, kind
// and size, and the zones of its other tasks that are not proven gone.
func (o *ownedJob) allows(m *machineEntry, zones map[protocol.Zone]int) bool {
	return o.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) && o.allowsZone(m, zones)
}

// allowsZone is the part that depends on where its other tasks are.
func (o *ownedJob) allowsZone(m *machineEntry, zones map[protocol.Zone]int) bool {
	if o.OneZone {
		for z, n := range zones {
			if n > 0 && z != m.Record.Zone {
				return false
			}
		}
	}
	return !o.Spread || zones[m.Record.Zone] < int(o.Tasks+1)/2
}

// teamUsage sums what limited teams' attempts may take that are not proven
// gone. Of a team just taken over, attempts that are not listed, of jobs that
// are over too, can be only on machines that were not heard since: they take no
// more than all there is of these.
func (oj *ownedJobs) teamUsage() map[protocol.Team]resource.Amount {
	usage := map[protocol.Team]resource.Amount{}
	for _, o := range oj.byID {
		if oj.Limited(o.Team) {
			oj.addUse(o, usage, len(o.placed))
		}
	}
	for _, t := range oj.endedAttempts {
		usage[t.team] = usage[t.team].Plus(t.need)
	}
	if len(oj.unverifiedTeams) > 0 {
		var unheard resource.Amount
		for id := range oj.awaitedInventories {
			if m := oj.table.machines[id]; m != nil {
				unheard = unheard.Plus(mostOn(m))
			}
		}
		for team := range oj.unverifiedTeams {
			usage[team] = usage[team].Plus(unheard)
		}
	}
	return usage
}

// mostOn is the most that attempts on a machine may take.
func mostOn(m *machineEntry) resource.Amount {
	if m.Info.Name == "" {
		return resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)} // of a type that the cloud does not list
	}
	return resource.Capacity(m.Info)
}

func (oj *ownedJobs) addUse(o *ownedJob, usage map[protocol.Team]resource.Amount, n int) {
	u := usage[o.Team]
	u.CPUs += o.CPUs * float64(n)
	u.GPUs += o.GPUs * float64(n)
	usage[o.Team] = u
}

// withinLimit reports whether n more tasks keep the team within its limit.
func (pl *placer) withinLimit(o *ownedJob, usage map[protocol.Team]resource.Amount, n int) bool {
	t, ok := pl.Team(o.Team)
	if !ok {
		return false
	}
	u := usage[o.Team].Plus(pl.limitClaimed(o))
	return (t.MaxCPUs == 0 || u.CPUs+o.CPUs*float64(n) <= t.MaxCPUs+resource.Slack) &&
		(t.MaxGPUs == 0 || u.GPUs+o.GPUs*float64(n) <= t.MaxGPUs+resource.Slack)
}

// limitClaimed is what of a team's limit is promised to other jobs by the time that a
// task of this one is likely to be over.
func (pl *placer) limitClaimed(o *ownedJob) resource.Amount {
	if !pl.reservations.claimsLimitOf(o.Team) {
		return resource.Amount{}
	}
	return pl.reservations.limitClaimed(&o.Job, pl.jobs.estimateOf(o))
}

// excludedByHolds tells on which machines a job's tasks may not be placed for what is
// promised there; nil: nothing is.
func (pl *placer) excludedByHolds(o *ownedJob) func(m *machineEntry) bool {
	if !pl.reservations.any() {
		return nil
	}
	return pl.reservations.excludedByHolds(&o.Job, o.level, pl.jobs.estimateOf(o))
}

// keptWaiting is how long a job waits before others of its team leave it a part of the
// team's limit.
const keptWaiting = 30 * time.Second

// queuesWithinLimit reports whether one more task may wait in a machine's queue within
// its team's limit: what waits there counts, and one task is left of the limit to that
// job of the team of which nothing has begun for longest, and for a while: to other,
// unless the job itself has waited longer. Else it would
// wait beside machines with room, for a limit that is used up by what does not run. Left
// to all such jobs, nothing would be queued where many wait, and whatever is large would
// take what comes free.
func (pl *placer) queuesWithinLimit(o, other *ownedJob, usage map[protocol.Team]resource.Amount) bool {
	left := map[protocol.Team]resource.Amount{o.Team: usage[o.Team]}
	if other != nil && !(pl.waitsForLimit(o) && bySince(o, other) < 0) {
		pl.jobs.addUse(other, left, 1)
	}
	return pl.withinLimit(o, left, 1)
}

// longestWaiting is that other job of a job's team, if the team has a limit, of which
// nothing has begun for longest, and for a while.
func (pl *placer) longestWaiting(o *ownedJob) (first *ownedJob) {
	if !pl.Limited(o.Team) {
		return nil
	}
	for _, other := range pl.jobs.byID {
		if other != o && other.Team == o.Team && pl.waitsForLimit(other) && (first == nil || bySince(other, first) < 0) {
			first = other
		}
	}
	return first
}

func (pl *placer) waitsForLimit(o *ownedJob) bool {
	return o.Kind != protocol.KindGang && pl.notBegunFor(o, keptWaiting)
}

func bySince(a, b *ownedJob) int {
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.ID, b.ID))
}

// mayStart is how many of n more tasks keep the team within its limit.
func (pl *placer) mayStart(o *ownedJob, usage map[protocol.Team]resource.Amount, n int) int {
	return sort.Search(n, func(k int) bool { return !pl.withinLimit(o, usage, k+1) })
}
