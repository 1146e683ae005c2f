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
	// healthThreshold is how many failed probes in a row make a controller unhealthy, and
	// how many successful ones make it healthy again.
	healthThreshold = 2
	// retryWindow is how quickly a request must fail for another controller to be tried.
	retryWindow = 500 * time.Millisecond
	// maxAttempts is how many controllers are tried for a request.
	maxAttempts = 3
)

// errNoHealthyController says that no controller is healthy.
var errNoHealthyController = errors.New("no healthy controller")

// balancer sends users' requests to healthy controllers.
type balancer struct {
	clients map[protocol.NodeName]*transport.Client

	mu     sync.Mutex
	health map[protocol.NodeName]*health
	rng    *rand.Rand
}

// health is the result of the probes of a controller.
type health struct {
	healthy             bool
	failures, successes int // in a row
}

// newBalancer starts to probe controllers until the context ends.
func newBalancer(ctx context.Context, controllers map[protocol.NodeName]string, rng *rand.Rand) *balancer {
	b := &balancer{clients: map[protocol.NodeName]*transport.Client{}, health: map[protocol.NodeName]*health{}, rng: rng}
	for name, addr := range controllers {
		b.clients[name] = transport.NewClient(addr)
		b.health[name] = &health{successes: healthThreshold - 1} // initially one success is enough
	}
	for name := range controllers {
		go b.probe(ctx, name)
	}
	return b
}

// probe probes a controller until the context ends.
func (b *balancer) probe(ctx context.Context, name protocol.NodeName) {
	every := time.NewTicker(probeInterval)
	defer every.Stop()
	for {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := b.clients[name].Do(probeCtx, http.MethodGet, "/up", nil)
		cancel()
		b.recordProbe(name, err == nil && reply.Status == http.StatusOK)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// recordProbe updates the health of a controller.
func (b *balancer) recordProbe(name protocol.NodeName, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[name]
	if !up {
		h.successes = 0
		h.failures++
		h.healthy = h.healthy && h.failures < healthThreshold
		return
	}
	h.failures = 0
	h.successes++
	h.healthy = h.healthy || h.successes >= healthThreshold
}

// order returns the healthy controllers in random order.
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

// do sends a request to a healthy controller, and to another one if it fails at once.
func (b *balancer) do(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	names := b.order()
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
		if time.Since(begin) > retryWindow || ctx.Err() != nil {
			return nil, err // the request may have been executed
		}
	}
	return nil, err
}
