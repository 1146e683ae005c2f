package users

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// healthThreshold is the number of consecutive failed probes after which a controller is
	// unhealthy, and of consecutive successful probes after which it is healthy again.
	healthThreshold = 2
	// failoverWindow is the time within which a request must fail for the balancer to send it
	// to another controller.
	failoverWindow = 500 * time.Millisecond
	// maxAttempts is the largest number of controllers to which a request is sent.
	maxAttempts = 3
)

// errNoHealthyController reports that the balancer considers no controller healthy.
var errNoHealthyController = errors.New("no healthy controller")

// balancer is a load balancer that sends requests of users to healthy controllers.
type balancer struct {
	clients map[protocol.NodeName]*transport.Client

	mu     sync.Mutex
	health map[protocol.NodeName]*health
	rng    *rand.Rand
}

// health is the state of a controller according to its probes.
type health struct {
	healthy             bool
	failures, successes int // consecutive, of the last probes
}

// newBalancer returns a balancer that probes the controllers at the given addresses until the
// context ends.
func newBalancer(ctx context.Context, controllers map[protocol.NodeName]string, rng *rand.Rand) *balancer {
	b := &balancer{clients: map[protocol.NodeName]*transport.Client{}, health: map[protocol.NodeName]*health{}, rng: rng}
	for name, addr := range controllers {
		b.clients[name] = transport.NewClient(addr)
		b.health[name] = &health{successes: healthThreshold - 1} // one success makes it healthy initially
	}
	for name := range controllers {
		go b.probe(ctx, name)
	}
	return b
}

// probe probes a controller every probeInterval until the context ends.
func (b *balancer) probe(ctx context.Context, name protocol.NodeName) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := b.clients[name].Do(probeCtx, http.MethodGet, "/up", nil)
		cancel()
		b.recordProbe(name, err == nil && reply.Status == http.StatusOK)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordProbe updates the health of a controller after a probe: healthThreshold consecutive probes
// with the opposite outcome change it. At the start, one successful probe suffices.
func (b *balancer) recordProbe(name protocol.NodeName, success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[name]
	if !success {
		h.successes = 0
		h.failures++
		h.healthy = h.healthy && h.failures < healthThreshold
		return
	}
	h.failures = 0
	h.successes++
	h.healthy = h.healthy || h.successes >= healthThreshold
}

// shuffledHealthy returns the names of the healthy controllers in random order.
func (b *balancer) shuffledHealthy() []protocol.NodeName {
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

// send sends a request to a random healthy controller. If the request fails within
// failoverWindow, send tries further controllers, up to maxAttempts in all. A response with any
// status is returned without an error.
func (b *balancer) send(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	names := b.shuffledHealthy()
	if len(names) == 0 {
		return nil, errNoHealthyController
	}
	var err error
	for _, name := range names[:min(len(names), maxAttempts)] {
		begin := time.Now()
		var reply *transport.Message
		if reply, err = b.clients[name].Do(ctx, method, target, body); err == nil {
			return reply, nil
		}
		err = fmt.Errorf("%s %s at %s: %w", method, target, name, err)
		if time.Since(begin) > failoverWindow || ctx.Err() != nil {
			return nil, err // the request may have been executed
		}
	}
	return nil, err
}
