package simulator

import (
	"math/rand/v2"
	"time"

	"damsonkeel/internal/protocol"
)

// Ends of messages, beside the names of nodes.
const (
	stateEnd   = "state"
	workersEnd = "workers"
)

// zoneEnd is the end of messages to and from a zone's workers.
func zoneEnd(zone protocol.Zone) string { return "zone " + string(zone) }

// network carries messages between two ends, with delays and partitions.
type network struct {
	*timeline
	rng        *rand.Rand
	partitions map[string]partition // by the two ends
	// slowMessageFraction is the fraction of commands, heartbeats and their answers that
	// take seconds.
	slowMessageFraction float64
}

// partition is a partition of two ends.
type partition struct {
	until   time.Duration
	delayed bool // messages are delivered once it ends, otherwise lost
}

// partitionKey is the key of a partition, which is that of the first end.
func partitionKey(from, to string) string { return from + ">" + to }

// partition partitions two ends for a while.
func (n *network) partition(a, b string, d time.Duration, delayed bool) {
	n.partitions[partitionKey(a, b)] = partition{n.now + d, delayed}
}

// delay draws the time that a message takes.
func (n *network) delay() time.Duration {
	return time.Duration(1+n.rng.IntN(30)) * time.Millisecond
}

// workerDelay draws the time that a message from or to a worker takes.
func (n *network) workerDelay() time.Duration {
	if n.slowMessageFraction > 0 && n.rng.Float64() < n.slowMessageFraction {
		return time.Duration(100+n.rng.IntN(7000)) * time.Millisecond
	}
	return n.delay()
}

// send carries a message between two ends: it is delivered, delayed or lost.
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

// sendToZone carries a message between a controller and a worker, whose zone may be
// partitioned from the controller.
func (n *node) sendToZone(zone protocol.Zone, deliver func()) {
	w := n.world
	if w.slowMessageFraction > 0 {
		inTime := deliver
		deliver = func() { w.after(w.workerDelay(), inTime) }
	}
	w.send(string(n.name), zoneEnd(zone), func() { w.send(string(n.name), workersEnd, deliver) })
}

// zoneOf returns the zone of a controller.
func (w *world) zoneOf(i int) protocol.Zone {
	zones := w.types[0].AllowZones
	return zones[i%len(zones)]
}

// partitionZone partitions a zone, with its controllers and machines, from the others. One
// that is partitioned from everything does not reach the state service either.
func (w *world) partitionZone(zone protocol.Zone, everything bool, d time.Duration, delayed bool) {
	for i, n := range w.nodes {
		inside := w.zoneOf(i) == zone
		if inside && everything {
			w.partition(string(n.name), stateEnd, d, delayed)
		}
		for _, other := range w.types[0].AllowZones {
			if (other == zone) != inside {
				w.partition(string(n.name), zoneEnd(other), d, delayed)
			}
		}
		for k, peer := range w.nodes {
			if inside && w.zoneOf(k) != zone {
				w.partition(string(n.name), string(peer.name), d, delayed)
			}
		}
	}
}
