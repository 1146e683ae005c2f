package simulator

import (
	"math/rand/v2"
	"time"

	"damsonkeel/internal/protocol"
)

// maxCopyDelay is the longest time after which a copy of a command arrives.
const maxCopyDelay = 3 * time.Minute

// Endpoints of messages, in addition to the names of nodes.
const (
	stateEndpoint   = "state"
	workersEndpoint = "workers"
)

// zoneEndpoint returns the endpoint of the workers in a zone.
func zoneEndpoint(zone protocol.Zone) string { return "zone " + string(zone) }

// network carries messages between endpoints, with delays and partitions.
type network struct {
	*timeline
	rng        *rand.Rand
	partitions map[string]partition // by partitionKey
	// slowMessageFraction is the fraction of commands, heartbeats and their replies that are
	// delayed by 0.1 to 7.1 seconds.
	slowMessageFraction float64
	// commandWaitFraction is the fraction of the commands that wait for a command slot for up
	// to dispatcher.DirectCommandTimeout before they are sent.
	commandWaitFraction float64
	// commandCopyFraction is the fraction of the executed commands of which a copy arrives
	// once more, up to maxCopyDelay later.
	commandCopyFraction float64
}

// partition is a network partition between two endpoints.
type partition struct {
	until   time.Duration
	delayed bool // messages are delivered when the partition ends, otherwise lost
}

// partitionKey returns the key of the partition that was created with these endpoints in
// this order.
func partitionKey(from, to string) string { return from + ">" + to }

// partition partitions two endpoints from each other for the duration d. Messages between them
// are then delivered at the end if delayed is set, otherwise lost.
func (n *network) partition(a, b string, d time.Duration, delayed bool) {
	n.partitions[partitionKey(a, b)] = partition{n.now + d, delayed}
}

// delay draws the delivery time of a message: 1 to 30 ms.
func (n *network) delay() time.Duration {
	return time.Duration(1+n.rng.IntN(30)) * time.Millisecond
}

// workerDelay draws the delivery time of a message from or to a worker: that of delay, or 0.1
// to 7.1 seconds for the fraction slowMessageFraction of the messages.
func (n *network) workerDelay() time.Duration {
	if n.slowMessageFraction > 0 && n.rng.Float64() < n.slowMessageFraction {
		return time.Duration(100+n.rng.IntN(7000)) * time.Millisecond
	}
	return n.delay()
}

// send calls deliver after a network delay. During a partition between the two endpoints, it
// calls deliver after the end of it if messages are delayed, otherwise never.
func (n *network) send(from, to string, deliver func()) {
	for _, key := range []string{partitionKey(from, to), partitionKey(to, from)} {
		if p, ok := n.partitions[key]; ok && p.until > n.now {
			if p.delayed {
				n.after(p.until-n.now+n.delay(), deliver)
			}
			return
		}
	}
	n.after(n.delay(), deliver)
}

// sendToZone carries a command to a worker in a zone, or a heartbeat from one; replies do not
// use it. The message is lost or delayed if the node is partitioned from that zone or from all
// workers.
func (n *node) sendToZone(zone protocol.Zone, deliver func()) {
	w := n.world
	if w.slowMessageFraction > 0 {
		deliverNow := deliver
		deliver = func() { w.after(w.workerDelay(), deliverNow) }
	}
	w.send(string(n.name), zoneEndpoint(zone), func() { w.send(string(n.name), workersEndpoint, deliver) })
}

// nodeZone returns the zone of the node with index i; nodes are spread over the zones in turn.
func (w *world) nodeZone(i int) protocol.Zone {
	zones := w.types[0].AllowZones
	return zones[i%len(zones)]
}

// partitionZone partitions a zone, with its controllers and machines, from the other zones for
// the duration d; delayed is as for partition. With includeState, the zone's controllers are
// also partitioned from the key-value store.
func (w *world) partitionZone(zone protocol.Zone, includeState bool, d time.Duration, delayed bool) {
	for i, n := range w.nodes {
		inside := w.nodeZone(i) == zone
		if inside && includeState {
			w.partition(string(n.name), stateEndpoint, d, delayed)
		}
		for _, other := range w.types[0].AllowZones {
			if (other == zone) != inside {
				w.partition(string(n.name), zoneEndpoint(other), d, delayed)
			}
		}
		for k, peer := range w.nodes {
			if inside && w.nodeZone(k) != zone {
				w.partition(string(n.name), string(peer.name), d, delayed)
			}
		}
	}
}
