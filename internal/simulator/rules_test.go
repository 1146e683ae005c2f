package simulator

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// randomJob makes a job that the world's machines can run.
func (w *world) randomJob() protocol.Job {
	j := protocol.Job{
		Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(1 + w.rng.IntN(12)),
		CPUs: float64(1 + w.rng.IntN(2)), EstimateS: 5, Spot: w.rng.IntN(2) == 0,
	}
	switch w.rng.IntN(8) {
	case 0:
		j.Class, j.Kind, j.Tasks, j.CPUs, j.Priority = "gang", protocol.KindGang, uint32(1+w.rng.IntN(3)), 4, "high"
		j.OneZone = w.rng.IntN(2) == 0
	case 1:
		j.Kind, j.Tasks, j.CheckpointS, j.SaveS = protocol.KindService, 2, 0, 0
	case 2:
		j.Zone = "b"
	case 3:
		j.OneZone = true
	case 4:
		j.Spread = true
	case 5:
		j.Types = []protocol.MachineType{"large"}
	}
	if w.rng.IntN(3) == 0 {
		j.Team = "bound"
	}
	if w.rng.IntN(3) == 0 && j.Kind == protocol.KindJobArray {
		j.CheckpointS, j.SaveS = 2, 2
	}
	return j
}

// trouble makes one random thing fail.
func (w *world) trouble() {
	n := w.nodes[w.rng.IntN(3)]
	d := time.Duration(2+w.rng.IntN(25)) * time.Second
	hold := w.rng.IntN(2) == 0
	if len(w.machineOrder) == 0 {
		n.crash()
		return
	}
	machine := w.machineOrder[w.rng.IntN(len(w.machineOrder))]
	switch w.rng.IntN(12) {
	case 0, 1:
		n.crash()
	case 2:
		for _, n := range w.nodes {
			n.crash()
		}
	case 3, 4:
		w.partition(string(n.name), "state", d, hold)
	case 5:
		w.outageUntil = w.now + d
	case 6, 7:
		w.partition(string(n.name), "workers", d, hold)
	case 8:
		w.partition(string(n.name), fmt.Sprint("node-", w.rng.IntN(3)), d, hold)
	case 9:
		w.killMachine(machine)
	case 10:
		notice := 8.0
		sw := w.workers[machine]
		sw.Notice = &notice
		w.after(8*time.Second, func() { w.killMachine(machine) })
	case 11:
		sw := w.workers[machine]
		sw.Faulty = true
		w.after(d, func() { sw.Faulty = false })
	}
}

// wave takes a share of the spot machines at once, some with a notice.
func (w *world) wave() {
	for _, id := range w.machineOrder {
		sw := w.workers[id]
		if !sw.Spot || sw.Dead || w.rng.IntN(3) > 0 {
			continue
		}
		if w.rng.IntN(2) == 0 {
			w.killMachine(id)
			continue
		}
		notice := 6.0
		sw.Notice = &notice
		w.after(6*time.Second, func() { w.killMachine(id) })
	}
}

// roll restarts all controllers, one after the other.
func (w *world) roll() {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*9*time.Second, func() { n.crash() })
	}
}

// promise has an operator reserve something, declare a window or take one back.
func (w *world) promise() {
	n := w.nodes[w.rng.IntN(3)]
	if n.core == nil || !n.stateReachable() {
		return
	}
	name := record.EntryName(fmt.Sprint("p", w.rng.IntN(4)))
	when := time.UnixMilli(w.wallMS()).Add(time.Duration(w.rng.IntN(60)) * time.Second).UTC().Format("2006-01-02 at 15:04:05")
	r := operatorapi.Request{Op: operatorapi.OpAdd, ID: fmt.Sprint(w.now), Replace: true}
	switch w.rng.IntN(4) {
	case 0:
		r = operatorapi.Request{Op: operatorapi.OpCancel, Name: name, Window: w.rng.IntN(2) == 0}
	case 1:
		r.Window = true
		r.Spec = &record.WindowSpec{Name: name, When: when, LengthS: float64(5 + w.rng.IntN(20)), Zone: []protocol.Zone{"a", "b", ""}[w.rng.IntN(3)]}
	default:
		r.Reservation = &record.ReservationSpec{
			Name: name, Class: []string{"array", "gang"}[w.rng.IntN(2)], When: when, HoldS: 60, LengthS: 10, Tasks: 1 + w.rng.IntN(3),
			CPUs: 2, MemoryGB: 1, Priority: []protocol.Priority{"standard", "high"}[w.rng.IntN(2)], OneZone: w.rng.IntN(2) == 0,
		}
	}
	if reply, txn := n.core.Decide("ops", &r); txn != nil && reply.Code == operatorapi.Done && w.state.Txn(*txn) {
		w.reservationChanges++
	}
}

// day is a generated day: how large it is, and what it plays.
type day struct {
	machines int
	job      func(*world) protocol.Job
	lasts    time.Duration
	empty    bool // no machine is up at the start
	teams    []config.Team
	trouble  func(*world)  // beside those that every day has
	often    bool          // these come at each step
	promises bool          // reservations and windows come and go
	after    time.Duration // that troubles which have begun take to come about
}

// play plays a day of troubles; when all is well again, every job must come to
// its end.
func (d day) play(t *testing.T, seed int) *world {
	settings, up := fake.Settings(), d.machines
	if d.teams != nil {
		settings.Site.Teams = d.teams
	}
	if d.empty {
		up = 0
	}
	w := newWorld(t.Fatalf, uint64(seed), settings, d.machines, up)
	for _, n := range w.nodes { // of an earlier version until they are restarted
		n.layout = record.Layout(1 + seed%3)
	}
	w.run(3 * time.Second)
	for w.now < d.lasts {
		if w.rng.IntN(3) > 0 {
			before := len(w.jobOrder)
			w.submit(d.job(w))
			if len(w.jobOrder) > before && w.rng.IntN(15) == 0 {
				w.faultyJobs[w.jobOrder[before]] = true
			}
		}
		if len(w.jobOrder) > 0 && w.rng.IntN(6) == 0 {
			if id := w.jobOrder[w.rng.IntN(len(w.jobOrder))]; w.finalState[id] == "" {
				w.cancel(id)
			}
		}
		if w.rng.IntN(3) == 0 {
			w.moveRandomShards(8)
		}
		if w.rng.IntN(40) == 0 {
			w.nodes[w.rng.IntN(3)].shutDown()
		}
		if d.promises && w.rng.IntN(4) == 0 {
			w.promise()
		}
		if d.often {
			d.trouble(w)
		}
		switch w.rng.IntN(20) {
		case 0:
			w.wave()
		case 1:
			w.roll()
		case 2, 3:
			if d.trouble != nil {
				d.trouble(w)
			}
		default:
			if w.rng.IntN(2) == 0 {
				w.trouble()
			}
		}
		w.run(w.now + time.Duration(1+w.rng.IntN(6))*time.Second)
	}
	w.run(w.now + d.after)
	w.outageUntil, w.stateLatency, w.lateWriteFraction, w.duplicateHeartbeatFraction, w.slowMessageFraction = 0, 0, 0, 0, 0
	clear(w.partitions) // what was held back still comes
	w.run(w.now + 40*time.Second)
	for _, id := range w.jobOrder {
		if (w.jobs[id].Kind == protocol.KindService || w.faultyJobs[id]) && w.finalState[id] == "" {
			w.cancel(id)
		}
	}
	// A team may have so much waiting that its limit takes minutes for it.
	for end := w.now + 300*time.Second; w.unended() > 0 && w.now < end; {
		w.run(w.now + 5*time.Second)
	}
	w.run(w.now + 5*time.Second)
	for _, id := range w.jobOrder {
		if w.finalState[id] == "" {
			t.Errorf("job %s never came to its end: %+v\n%s", id, w.jobs[id], w.whereabouts(id))
		}
	}
	if w.starts == 0 {
		t.Error("nothing ran")
	}
	t.Logf("%d machines at first, %d jobs, %d starts, at most %d tasks on machines, %d writes of blocks, %d changes of the calendar", up, len(w.jobOrder), w.starts, w.peakRunning, w.blockWrites, w.reservationChanges)
	return w
}

// unended is how many jobs have not come to their end.
func (w *world) unended() int {
	n := 0
	for _, id := range w.jobOrder {
		if w.finalState[id] == "" {
			n++
		}
	}
	return n
}

// whereabouts tells what the controllers know of a job that does not end.
func (w *world) whereabouts(id protocol.JobID) string {
	var b strings.Builder
	for _, n := range w.nodes {
		if n.core != nil {
			b.WriteString(n.core.DescribeJob(id))
		}
	}
	return b.String()
}

// seeds is how many days are played; WORLD_SEEDS asks for a longer search.
func seeds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_SEEDS")); err == nil {
		return n
	}
	return usual
}

// playSeeds plays a day with so many seeds, from the first on.
func (d day) playSeeds(t *testing.T, usual, first int) {
	for seed := range seeds(usual) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d.play(t, first+seed)
		})
	}
}

// TestRulesHold plays generated days of crashes, cuts, held messages, late
// transactions, outages, lost machines and restarts in turn. Every rule is
// checked at every step.
func TestRulesHold(t *testing.T) {
	day{machines: 9, job: (*world).randomJob, lasts: 150 * time.Second}.playSeeds(t, 60, 0)
}

// TestRulesHoldWithPromises plays the same with reservations and windows that
// come, change and go at any moment, due within a minute.
func TestRulesHoldWithPromises(t *testing.T) {
	day{machines: 9, job: (*world).randomJob, lasts: 150 * time.Second, promises: true}.playSeeds(t, 25, 400_000)
}

// largeJob is a random job with gangs of up to so many tasks more than two, and
// arrays so many times as large.
func largeJob(gang int, array uint32) func(*world) protocol.Job {
	return func(w *world) protocol.Job {
		j := w.randomJob()
		switch {
		case j.Team == "bound": // its limit is for the few
		case j.Kind == protocol.KindGang:
			j.Tasks = uint32(2 + w.rng.IntN(gang))
		case j.Kind == protocol.KindJobArray:
			j.Tasks *= array
		}
		return j
	}
}

// TestRulesHoldAtSize plays days of many machines that all register at once,
// gangs of up to ten tasks, often in one zone, and arrays of hundreds.
func TestRulesHoldAtSize(t *testing.T) {
	day{machines: 150, job: largeJob(9, 20), lasts: 80 * time.Second}.playSeeds(t, 4, 100_000)
}

// machinesAsked is how large a fleet is played; WORLD_MACHINES asks for another
// than usual.
func machinesAsked(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_MACHINES")); err == nil {
		return n
	}
	return usual
}

// TestDaysRepeat: a day comes out the same each time it is played with its seed, to
// the last change of the state service: else what a search finds can't be traced.
func TestDaysRepeat(t *testing.T) {
	for seed := range seeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var first []protocol.Event
			for try := range 2 {
				d := day{machines: 150, job: largeJob(9, 20), lasts: 50 * time.Second}
				log := d.play(t, 100_000+seed).state.Log
				if try == 0 {
					first = log
					continue
				}
				for i := range first {
					if i >= len(log) || first[i].Put != log[i].Put || first[i].Delete != log[i].Delete || !bytes.Equal(first[i].Value, log[i].Value) {
						t.Fatalf("change %d of %d and %d differs: %s%s and %s%s", i, len(first), len(log), first[i].Put, first[i].Delete, log[min(i, len(log)-1)].Put, log[min(i, len(log)-1)].Delete)
					}
				}
			}
		})
	}
}

// TestRulesHoldForAFleet plays days of thousands of machines, that all register
// at once, with arrays of thousands of tasks, zones cut off, and all controllers
// gone for longer than the workers' leases.
func TestRulesHoldForAFleet(t *testing.T) {
	trouble := func(w *world) {
		d := time.Duration(10+w.rng.IntN(30)) * time.Second
		if w.rng.IntN(3) > 0 {
			w.partitionZone(w.zoneOf(w.rng.IntN(2)), w.rng.IntN(2) == 0, d, w.rng.IntN(2) == 0)
			return
		}
		for _, n := range w.nodes { // longer than the leases, which last 15 s
			n.crashFor(20 * time.Second)
		}
	}
	day{machines: machinesAsked(3000), job: largeJob(23, 500), lasts: 50 * time.Second, trouble: trouble}.playSeeds(t, 1, 300_000)
}

// TestRulesHoldForPlants plays days that begin without a machine, with teams
// that all have limits, zones cut off from everything or from one another for
// longer than leases and cancellations last, and a cloud that has fewer machines
// for a while.
func TestRulesHoldForPlants(t *testing.T) {
	const machines = 9
	teams := []config.Team{{Name: "cold", CPUs: 8, MaxCPUs: 24}, {Name: "desk", CPUs: 6, MaxCPUs: 12}, {Name: "yield", MaxCPUs: 8}}
	job := func(w *world) protocol.Job {
		j := w.randomJob()
		j.Team = teams[w.rng.IntN(len(teams))].Name
		j.Priority = []protocol.Priority{"high", "standard", "best_effort"}[w.rng.IntN(3)]
		if n := uint32(teams[2].MaxCPUs / j.CPUs); j.Kind != protocol.KindJobArray {
			j.Tasks = min(j.Tasks, n)
		}
		return j
	}
	trouble := func(w *world) {
		d := time.Duration(5+w.rng.IntN(50)) * time.Second // leases last 15 s, cancellations 35 s
		switch w.rng.IntN(4) {
		case 0:
			w.partitionZone(w.zoneOf(w.rng.IntN(2)), true, d, w.rng.IntN(2) == 0)
		case 1:
			w.partitionZone(w.zoneOf(w.rng.IntN(2)), false, d, w.rng.IntN(2) == 0)
		case 2:
			w.partition(string(w.nodes[w.rng.IntN(3)].name), "state", d, false)
		case 3:
			w.cloud.Capacity = len(w.cloud.Machines) / 2
			w.after(d, func() { w.cloud.Capacity = machines + 6 })
		}
	}
	day{machines: machines, job: job, lasts: 150 * time.Second, empty: true, teams: teams, trouble: trouble}.playSeeds(t, 40, 200_000)
}

// TestRulesHoldWhenBackAtOnce plays days on which processes that end are back within
// half a second: one, all, the same one again and again, in the middle of changes of
// the view, moves, takeovers and registrations, while the state service takes long,
// so that what an earlier process asked for is done for the next one to see.
func TestRulesHoldWhenBackAtOnce(t *testing.T) {
	back := func(w *world, n *node) { n.crashFor(time.Duration(100+w.rng.IntN(400)) * time.Millisecond) }
	trouble := func(w *world) {
		n := w.nodes[w.rng.IntN(3)]
		switch w.rng.IntN(8) {
		case 0, 1, 2:
			back(w, n)
		case 3:
			for _, n := range w.nodes {
				back(w, n)
			}
		case 4: // one after the other, the next while the one before takes part again
			for i, n := range w.nodes {
				w.after(time.Duration(i)*700*time.Millisecond, func() { back(w, n) })
			}
		case 5:
			for i := range 1 + w.rng.IntN(30) {
				w.after(time.Duration(i)*time.Second, func() { back(w, n) })
			}
		case 6: // while its shares move
			w.moveRandomShards(16)
			w.after(time.Duration(w.rng.IntN(400))*time.Millisecond, func() { back(w, n) })
		case 7:
			w.stateLatency = time.Duration(w.rng.IntN(3)) * 200 * time.Millisecond
			w.after(5*time.Second, func() { w.stateLatency = 0 })
		}
	}
	day{machines: 9, job: (*world).randomJob, lasts: 120 * time.Second, trouble: trouble, often: true}.playSeeds(t, 40, 500_000)
}

// partitionSilently cuts a controller off from everything, or from one side.
func (n *node) partitionSilently(d time.Duration, hold bool) {
	w := n.world
	sides := []string{"state", "workers"}
	for _, peer := range w.nodes {
		if peer != n {
			sides = append(sides, string(peer.name))
		}
	}
	if one := w.rng.IntN(2 * len(sides)); one < len(sides) {
		sides = sides[one : one+1]
	}
	for _, side := range sides {
		w.partition(string(n.name), side, d, hold)
	}
}

// TestRulesHoldWhenSilent plays days on which controllers are silent for up to two
// minutes and come back with their leases gone, to everybody or to one side, messages
// lost or held back until then, two one after the other, during rolls and while
// shares move; and on which they stand still for 3 to 40 s with their clocks running
// on, at any moment, with all that came meanwhile handled when they go on.
func TestRulesHoldWhenSilent(t *testing.T) {
	trouble := func(w *world) {
		i := w.rng.IntN(3)
		n, next := w.nodes[i], w.nodes[(i+1)%3]
		long := time.Duration(60+w.rng.IntN(60)) * time.Second
		still := time.Duration(3+w.rng.IntN(37)) * time.Second
		hold := w.rng.IntN(2) == 0
		switch w.rng.IntN(5) {
		case 0:
			n.partitionSilently(long, hold)
		case 1:
			n.partitionSilently(long, hold)
			w.after(long/2, func() { next.partitionSilently(long, hold) })
		case 2:
			w.roll()
			n.partitionSilently(long, hold)
		case 3:
			w.moveRandomShards(16)
			w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { n.pausedUntil = max(n.pausedUntil, w.now+still) })
		case 4:
			n.pausedUntil = max(n.pausedUntil, w.now+still)
			w.after(still/2, func() { next.pausedUntil = max(next.pausedUntil, w.now+still) })
		}
	}
	day{machines: 9, job: (*world).randomJob, lasts: 150 * time.Second, trouble: trouble}.playSeeds(t, 40, 600_000)
}
