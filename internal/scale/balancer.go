package scale

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	probeEvery   = time.Second
	probeWait    = time.Second
	probeFails   = 2 // in a row make a controller unhealthy, successes healthy again
	balancerTry  = 500 * time.Millisecond
	balancerMost = 3 // controllers tried for a request
)

// errNoHealthy says that no controller is healthy.
var errNoHealthy = errors.New("no healthy controller")

// balancer passes users' requests to healthy controllers.
type balancer struct {
	clients map[protocol.NodeName]*transport.Client

	mu     sync.Mutex
	health map[protocol.NodeName]*health
	rng    *rand.Rand
}

// health is what probes of a controller have shown.
type health struct {
	healthy         bool
	fails, succeeds int // in a row
}

// newBalancer begins to probe controllers.
func newBalancer(ctx context.Context, controllers map[protocol.NodeName]string, rng *rand.Rand) *balancer {
	b := &balancer{clients: map[protocol.NodeName]*transport.Client{}, health: map[protocol.NodeName]*health{}, rng: rng}
	for name, addr := range controllers {
		b.clients[name] = transport.NewClient(addr)
		b.health[name] = &health{succeeds: probeFails - 1} // the first needs one success
	}
	for name := range controllers {
		go b.probe(ctx, name)
	}
	return b
}

func (b *balancer) probe(ctx context.Context, name protocol.NodeName) {
	every := time.NewTicker(probeEvery)
	defer every.Stop()
	for {
		tryCtx, cancel := context.WithTimeout(ctx, probeWait)
		m, err := b.clients[name].Do(tryCtx, "GET", "/up", nil)
		cancel()
		b.probed(name, err == nil && m.Status == 200)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

func (b *balancer) probed(name protocol.NodeName, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[name]
	if !up {
		h.succeeds = 0
		h.fails++
		h.healthy = h.healthy && h.fails < probeFails
		return
	}
	h.fails = 0
	h.succeeds++
	h.healthy = h.healthy || h.succeeds >= probeFails
}

// order is the healthy controllers in a random order.
func (b *balancer) order() []protocol.NodeName {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []protocol.NodeName
	for _, name := range slices.Sorted(maps.Keys(b.health)) {
		if b.health[name].healthy {
			names = append(names, name)
		}
	}
	b.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// do sends a request to a healthy controller, and to others if none listens there.
func (b *balancer) do(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	names := b.order()
	if len(names) == 0 {
		return nil, errNoHealthy
	}
	var err error
	for _, name := range names[:min(len(names), balancerMost)] {
		begun := time.Now()
		var m *transport.Message
		if m, err = b.clients[name].Do(ctx, method, target, body); err == nil {
			return m, nil
		}
		if time.Since(begun) > balancerTry || ctx.Err() != nil {
			return nil, err // it may have been executed
		}
	}
	return nil, err
}
