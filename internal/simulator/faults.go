package simulator

import (
	"slices"
	"time"
)

const (
	// maxMovedShards is the largest number of shards that one fault moves.
	maxMovedShards = 16
	// maxFaultLeadSeconds bounds how long before the start of an occurrence of a reservation a
	// fault is injected, for the half of the faults that are injected before one.
	maxFaultLeadSeconds = 600
	// minRefusal and maxRefusal bound how long the key-value store refuses one controller: its
	// lease ends in all or most of that time.
	minRefusal = nodeLeaseDuration
	maxRefusal = 40 * time.Second
)

// faultType is a type of fault: its name in the result, how many of it are injected per day,
// and the function that injects one.
type faultType struct {
	name   string
	perDay float64
	inject func()
}

// faultTypes lists the types of faults with the site's rates. Faults are drawn in this
// order, so reordering the list changes the result of a seed. The names are written to the
// result.
func (d *driver) faultTypes() []faultType {
	rates := &d.site.Faults
	return []faultType{
		{"controller ends", rates.Crash, func() { d.randomNode().crash() }},
		{"all controllers end", rates.CrashAll, d.crashAll},
		{"controller cut off from the state service", rates.StatePartition, func() { d.partitionRandomNode(stateEndpoint, 30*time.Second) }},
		{"state service out", rates.StateOutage, func() { d.outageUntil = d.now + time.Duration(5+d.rng.IntN(15))*time.Second }},
		{"cloud silent", rates.CloudSilent, func() { d.cloudSilentUntil = d.now + 10*time.Minute }},
		{"spot machines taken", rates.SpotPreemption, d.preemptSpotMachines},
		{"controller told to end", rates.Shutdown, func() { d.randomNode().shutDown() }},
		{"roll of all controllers by signal", rates.RollingShutdown, d.rollingShutdown},
		{"controller slowed five times", rates.Slowdown, d.slowRandomNode},
		{"controller stands still for 40 s", rates.Pause, func() { d.randomNode().pausedUntil = d.now + 40*time.Second }},
		{"controller cut off from the workers", rates.WorkerPartition, func() { d.partitionRandomNode(workersEndpoint, time.Minute) }},
		{"shares moved", rates.MoveShards, func() { d.moveRandomShards(maxMovedShards) }},
		{"controller refused by the state service alone", rates.StateRefusal, d.refuseRandomNode},
		{"machine lost", rates.MachineLost, func() { d.killMachine(d.machineOrder[d.rng.IntN(len(d.machineOrder))]) }},
	}
}

// scheduleFaults draws the times of all faults of the run, lists them in the result and
// schedules their injection. Half of the faults, at random, are injected less than
// maxFaultLeadSeconds before the start of an occurrence of a reservation, if there is one; the
// others at any time of the measured part.
func (d *driver) scheduleFaults() {
	for _, fault := range d.faultTypes() {
		for range int(fault.perDay*d.opts.Duration.Hours()/24 + 0.5) {
			at := warmUpTime + time.Duration(d.rng.Float64()*float64(d.opts.Duration))
			if len(d.reservationTimes) > 0 && d.rng.IntN(2) == 0 {
				at = d.reservationTimes[d.rng.IntN(len(d.reservationTimes))] - time.Duration(d.rng.IntN(maxFaultLeadSeconds))*time.Second
			}
			d.result.Faults = append(d.result.Faults, Fault{At: d.site.Start.Add(at - warmUpTime), Description: fault.name})
			d.scheduleAt(at, fault.inject)
		}
	}
	slices.SortFunc(d.result.Faults, func(a, b Fault) int { return a.At.Compare(b.At) })
}

// randomNode draws one of the three nodes of a site.
func (d *driver) randomNode() *node { return d.nodes[d.rng.IntN(3)] }

// crashAll crashes all nodes; each restarts after restartDelay.
func (d *driver) crashAll() {
	for _, n := range d.nodes {
		n.crash()
	}
}

// partitionRandomNode partitions a random node from another endpoint for the given duration.
// At random, either all messages between them are lost or all are delayed until the end.
func (d *driver) partitionRandomNode(endpoint string, duration time.Duration) {
	n := d.randomNode()
	d.partition(string(n.name), endpoint, duration, d.rng.IntN(2) == 0)
}

// refuseRandomNode makes the key-value store refuse a random node for minRefusal to maxRefusal, and
// answer the watch that the node has open then late.
func (d *driver) refuseRandomNode() {
	n := d.randomNode()
	d.partition(string(n.name), stateEndpoint, minRefusal+time.Duration(d.rng.Int64N(int64(maxRefusal-minRefusal))), false)
	n.nextWatchSlow = true
}

// slowRandomNode makes a random node five times slower for two minutes: its core ticks only at
// every fifth step.
func (d *driver) slowRandomNode() {
	n := d.randomNode()
	n.slowdown, n.slowdownUntil = 5, d.now+2*time.Minute
}

// preemptSpotMachines preempts about a third of the spot machines.
func (d *driver) preemptSpotMachines() {
	for _, id := range slices.Clone(d.machineOrder) {
		if m := d.workers[id]; m.Spot && !m.Dead && d.rng.IntN(3) == 0 {
			d.killMachine(id)
		}
	}
}
