package simulator

import (
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

// scenario describes a generated run: its size, load and faults.
type scenario struct {
	machines       int
	job            func(*world) protocol.Job
	duration       time.Duration
	startEmpty     bool // no machine is running at the start
	teams          []config.Team
	fault          func(*world)  // injected in addition to the faults that every scenario has
	faultEveryStep bool          // fault is called at each step
	reservations   bool          // reservations and windows are added and cancelled
	settleTime     time.Duration // for the last faults to end
}

// run runs the scenario with a seed: it submits and cancels random jobs, moves shards and
// injects faults at random for the scenario's duration. Then all faults end, and every job
// must reach a final state.
func (d scenario) run(t *testing.T, seed int) *world {
	t.Helper()
	settings, initialMachines := fake.Settings(), d.machines
	if d.teams != nil {
		settings.Site.Teams = d.teams
	}
	if d.startEmpty {
		initialMachines = 0
	}
	w := newWorld(t.Fatalf, uint64(seed), settings, d.machines, initialMachines)
	for _, n := range w.nodes { // some run an earlier version until they are restarted
		n.layout = record.Layout(1 + seed%3)
	}
	w.run(3 * time.Second)
	for w.now < d.duration {
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
		if d.reservations && w.rng.IntN(4) == 0 {
			w.changeCalendarRandomly()
		}
		if d.faultEveryStep {
			d.fault(w)
		}
		switch w.rng.IntN(20) {
		case 0:
			w.preemptSpotMachines()
		case 1:
			w.rollingRestart()
		case 2, 3:
			if d.fault != nil {
				d.fault(w)
			}
		default:
			if w.rng.IntN(2) == 0 {
				w.injectRandomFault()
			}
		}
		w.run(w.now + time.Duration(1+w.rng.IntN(6))*time.Second)
	}
	w.run(w.now + d.settleTime)
	w.outageUntil, w.stateLatency, w.lateWriteFraction, w.duplicateHeartbeatFraction, w.slowMessageFraction = 0, 0, 0, 0, 0
	clear(w.partitions) // delayed messages still arrive
	w.run(w.now + 40*time.Second)
	for _, id := range w.jobOrder {
		if (w.jobs[id].Kind == protocol.KindService || w.faultyJobs[id]) && w.finalState[id] == "" {
			w.cancel(id)
		}
	}
	// A team may have so many queued tasks that running them within its limit takes minutes.
	for end := w.now + 300*time.Second; w.unfinished() > 0 && w.now < end; {
		w.run(w.now + 5*time.Second)
	}
	w.run(w.now + 5*time.Second)
	for _, id := range w.jobOrder {
		if w.finalState[id] == "" {
			t.Errorf("job %s did not reach a final state: %+v\n%s", id, w.jobs[id], w.describeJob(id))
		}
	}
	if w.starts == 0 {
		t.Error("no task was started")
	}
	t.Logf("%d machines at the start, %d jobs, %d starts, at most %d tasks on machines, %d block writes, %d calendar changes", initialMachines, len(w.jobOrder), w.starts, w.peakRunning, w.blockWrites, w.reservationChanges)
	return w
}

// runSeeds runs the scenario with consecutive seeds, starting at firstSeed, each as a parallel
// subtest. See seedCount for their number.
func (d scenario) runSeeds(t *testing.T, defaultCount, firstSeed int) {
	t.Helper()
	for seed := range seedCount(defaultCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d.run(t, firstSeed+seed)
		})
	}
}

// seedCount returns how many seeds a scenario is run with: the value of the environment
// variable WORLD_SEEDS if it is a number, otherwise defaultCount.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

// requestedMachines returns the size of a fleet in machines: the value of the environment
// variable WORLD_MACHINES if it is a number, otherwise defaultCount.
func requestedMachines(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_MACHINES")); err == nil {
		return n
	}
	return defaultCount
}

// randomJob returns a random job that the world's machines can run: a job array of up to
// twelve tasks, a gang of up to three or a service of two, some of them limited to zone b, to
// any single zone or to a machine type, or spread over zones.
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
		j.Kind, j.Tasks, j.CheckpointS, j.CheckpointDurationS = protocol.KindService, 2, 0, 0
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
		j.CheckpointS, j.CheckpointDurationS = 2, 2
	}
	return j
}

// largeJob returns a generator of random jobs with gangs of 2 to maxGangTasks+1 tasks and
// arrays that are arrayFactor times as large as those of randomJob.
func largeJob(maxGangTasks int, arrayFactor uint32) func(*world) protocol.Job {
	return func(w *world) protocol.Job {
		j := w.randomJob()
		switch {
		case j.Team == "bound": // its limit only admits small jobs
		case j.Kind == protocol.KindGang:
			j.Tasks = uint32(2 + w.rng.IntN(maxGangTasks))
		case j.Kind == protocol.KindJobArray:
			j.Tasks *= arrayFactor
		}
		return j
	}
}

// injectRandomFault injects a random fault: a crash of one or all controllers, a partition or
// an outage of 2 to 26 s, the loss of a machine at once or 8 s after a preemption notice, or a
// machine on which all tasks fail for that time. Without machines, it crashes a controller.
func (w *world) injectRandomFault() {
	n := w.nodes[w.rng.IntN(3)]
	d := time.Duration(2+w.rng.IntN(25)) * time.Second
	delayed := w.rng.IntN(2) == 0
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
		w.partition(string(n.name), "state", d, delayed)
	case 5:
		w.outageUntil = w.now + d
	case 6, 7:
		w.partition(string(n.name), "workers", d, delayed)
	case 8:
		w.partition(string(n.name), fmt.Sprint("node-", w.rng.IntN(3)), d, delayed)
	case 9:
		w.killMachine(machine)
	case 10:
		notice := 8.0
		m := w.workers[machine]
		m.Notice = &notice
		w.after(8*time.Second, func() { w.killMachine(machine) })
	case 11:
		m := w.workers[machine]
		m.Faulty = true
		w.after(d, func() { m.Faulty = false })
	}
}

// preemptSpotMachines preempts about a third of the spot machines: half of these at once, and
// the others 6 s after a notice.
func (w *world) preemptSpotMachines() {
	for _, id := range w.machineOrder {
		m := w.workers[id]
		if !m.Spot || m.Dead || w.rng.IntN(3) > 0 {
			continue
		}
		if w.rng.IntN(2) == 0 {
			w.killMachine(id)
			continue
		}
		notice := 6.0
		m.Notice = &notice
		w.after(6*time.Second, func() { w.killMachine(id) })
	}
}

// rollingRestart crashes all controllers, one every 9 s; each restarts after restartDelay.
func (w *world) rollingRestart() {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*9*time.Second, func() { n.crash() })
	}
}

// changeCalendarRandomly adds, replaces or cancels, as an operator, a random reservation or
// maintenance window that starts within a minute. It does nothing if the random controller
// that it chooses is down or cannot reach the key-value store.
func (w *world) changeCalendarRandomly() {
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
	if reply, txn := n.core.DecideOperatorRequest("ops", &r); txn != nil && reply.Code == operatorapi.Done && w.state.Execute(*txn) {
		w.reservationChanges++
	}
}

// unfinished returns how many jobs are not in a final state.
func (w *world) unfinished() int {
	n := 0
	for _, id := range w.jobOrder {
		if w.finalState[id] == "" {
			n++
		}
	}
	return n
}

// describeJob returns what all running controllers report about a job, for failure messages.
func (w *world) describeJob(id protocol.JobID) string {
	var b strings.Builder
	for _, n := range w.nodes {
		if n.core != nil {
			b.WriteString(n.core.DescribeJob(id))
		}
	}
	return b.String()
}
