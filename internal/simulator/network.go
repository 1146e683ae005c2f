package simulator

import (
	"time"

	"damsonkeel/internal/protocol"
)

type cut struct {
	until time.Duration
	hold  bool // packets are held and delivered later, else lost
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.rng.IntN(30)) * time.Millisecond
}

// workerDelay is how long a message from or to a worker takes.
func (w *world) workerDelay() time.Duration {
	if w.heldUp > 0 && w.rng.Float64() < w.heldUp {
		return time.Duration(100+w.rng.IntN(7000)) * time.Millisecond
	}
	return w.delay()
}

// carry passes a message between two ends: delivered, held back, or lost.
func (w *world) carry(a, b string, deliver func()) (delivered bool) {
	for _, key := range []string{a + ">" + b, b + ">" + a} {
		if c, ok := w.cuts[key]; ok && c.until > w.now {
			if c.hold {
				w.after(c.until-w.now+w.delay(), deliver)
			}
			return false
		}
	}
	w.after(w.delay(), deliver)
	return true
}

// carryToZone is carry between a controller and a machine, whose zone may be
// cut off from it.
func (n *simNode) carryToZone(z protocol.Zone, deliver func()) {
	w := n.world
	if w.heldUp > 0 {
		held := deliver
		deliver = func() { w.after(w.workerDelay(), held) }
	}
	w.carry(string(n.name), "zone "+string(z), func() { w.carry(string(n.name), "workers", deliver) })
}

// zoneOf is the zone of a controller.
func (w *world) zoneOf(i int) protocol.Zone {
	zones := w.types[0].AllowZones
	return zones[i%len(zones)]
}

// part cuts zones off from one another: all their controllers and machines. A
// zone that is cut off from everything does not reach the state service.
func (w *world) part(z protocol.Zone, everything bool, d time.Duration, hold bool) {
	for i, n := range w.nodes {
		inside := w.zoneOf(i) == z
		if inside && everything {
			w.cut(string(n.name), "state", d, hold)
		}
		for _, other := range w.types[0].AllowZones {
			if (other == z) != inside {
				w.cut(string(n.name), "zone "+string(other), d, hold)
			}
		}
		for k, peer := range w.nodes {
			if inside && w.zoneOf(k) != z {
				w.cut(string(n.name), string(peer.name), d, hold)
			}
		}
	}
}

func (w *world) cut(a, b string, d time.Duration, hold bool) {
	w.cuts[a+">"+b] = cut{w.now + d, hold}
}
