package simulator

import (
	"slices"
	"time"
)

const (
	// maxMovedShards bounds how many shards a fault moves.
	maxMovedShards = 16
	// faultLead bounds how long before a reservation every second fault happens.
	faultLead = 600
)

// faultType is a type of fault that happens at random.
type faultType struct {
	name   string
	perDay float64
	inject func()
}

// faultTypes lists the types of faults with the site's rates. Their order is that of the
// random draws.
func (p *player) faultTypes() []faultType {
	rates := &p.site.Faults
	return []faultType{
		{"controller ends", rates.Crash, func() { p.randomNode().crash() }},
		{"all controllers end", rates.CrashAll, p.crashAll},
		{"controller cut off from the state service", rates.StatePartition, func() { p.partitionRandomNode(stateEnd, 30*time.Second) }},
		{"state service out", rates.StateOutage, func() { p.outageUntil = p.now + time.Duration(5+p.rng.IntN(15))*time.Second }},
		{"cloud silent", rates.CloudSilent, func() { p.cloudSilentUntil = p.now + 10*time.Minute }},
		{"spot machines taken", rates.SpotPreemption, p.preemptSpotMachines},
		{"controller told to end", rates.Shutdown, func() { p.randomNode().shutDown() }},
		{"roll of all controllers by signal", rates.RollingShutdown, p.rollingShutdown},
		{"controller slowed five times", rates.Slowdown, p.slowRandomNode},
		{"controller stands still for 40 s", rates.Pause, func() { p.randomNode().pausedUntil = p.now + 40*time.Second }},
		{"controller cut off from the workers", rates.WorkerPartition, func() { p.partitionRandomNode(workersEnd, time.Minute) }},
		{"shares moved", rates.MoveShards, func() { p.moveRandomShards(maxMovedShards) }},
		{"machine lost", rates.MachineLost, func() { p.killMachine(p.machineOrder[p.rng.IntN(len(p.machineOrder))]) }},
	}
}

// scheduleFaults draws the times of faults; every second one happens in the minutes before
// a reservation's time.
func (p *player) scheduleFaults() {
	for _, fault := range p.faultTypes() {
		for range int(fault.perDay*p.opts.For.Hours()/24 + 0.5) {
			at := warmUpTime + time.Duration(p.rng.Float64()*float64(p.opts.For))
			if len(p.reservationTimes) > 0 && p.rng.IntN(2) == 0 {
				at = p.reservationTimes[p.rng.IntN(len(p.reservationTimes))] - time.Duration(p.rng.IntN(faultLead))*time.Second
			}
			p.result.Faults = append(p.result.Faults, Fault{At: p.site.Start.Add(at - warmUpTime), Description: fault.name})
			p.at(at, fault.inject)
		}
	}
	slices.SortFunc(p.result.Faults, func(a, b Fault) int { return a.At.Compare(b.At) })
}

// randomNode draws a node.
func (p *player) randomNode() *node { return p.nodes[p.rng.IntN(3)] }

// crashAll crashes all nodes.
func (p *player) crashAll() {
	for _, n := range p.nodes {
		n.crash()
	}
}

// partitionRandomNode partitions a random node from another end.
func (p *player) partitionRandomNode(from string, d time.Duration) {
	n := p.randomNode()
	p.partition(string(n.name), from, d, p.rng.IntN(2) == 0)
}

// slowRandomNode makes a random node five times slower for two minutes.
func (p *player) slowRandomNode() {
	n := p.randomNode()
	n.slowdown, n.slowdownUntil = 5, p.now+2*time.Minute
}

// preemptSpotMachines has the cloud take back about a third of the spot machines.
func (p *player) preemptSpotMachines() {
	for _, id := range slices.Clone(p.machineOrder) {
		if m := p.workers[id]; m.Spot && !m.Dead && p.rng.IntN(3) == 0 {
			p.killMachine(id)
		}
	}
}
