package operator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// changeTimeout is how long a change is retried until it counts as failed.
	changeTimeout = 40 * time.Second
	// statusTimeout bounds a request for the revision in force at a controller, and
	// statusInterval is the pause between two such requests.
	statusTimeout  = time.Second
	statusInterval = 300 * time.Millisecond
	// statusGrace is how long controllers are still queried after the period of changes.
	statusGrace = 30 * time.Second
)

// Operator changes the configuration and polls each controller for the revision in force there.
type Operator struct {
	site      *siteconfig.Site
	settings  *config.Settings // of the controllers
	key       operatorapi.Key
	addresses map[protocol.NodeName]string // of the controllers, set by Start
	rng       *rand.Rand

	mu            sync.Mutex
	changes       []*configChange
	failedChanges int
	answerTimes   *hdrhistogram.Histogram
	longestStale  time.Duration // see Metrics.OldestS
	violations    []rules.Violation
	requests      sync.WaitGroup
}

// New returns an operator with a new key. It writes the key to a file in a directory, from which
// the controllers read it, and returns the path of that file.
func New(site *siteconfig.Site, dir string, seed uint64) (o *Operator, keys string, err error) {
	key, err := operatorapi.NewKey("scale")
	if err != nil {
		return nil, "", fmt.Errorf("create operator key: %w", err)
	}
	path := filepath.Join(dir, "operators.keys")
	if err := os.WriteFile(path, []byte(key.String()+"\n"), 0o600); err != nil {
		return nil, "", fmt.Errorf("write operator key: %w", err)
	}
	return &Operator{
		site: site, settings: &config.Settings{Site: siteconfig.ControllerSettings(site)}, key: key,
		rng: rand.New(rand.NewPCG(seed, siteconfig.StreamOperator)), answerTimes: metrics.NewHistogram(),
	}, path, nil
}

// Start starts to make the changes of the site and to poll the controllers at the given addresses
// for the revision in force, until the context ends. The times of the site are relative to
// begin.
func (o *Operator) Start(ctx context.Context, begin time.Duration, controllers map[protocol.NodeName]string) {
	o.addresses = controllers
	go o.run(ctx, begin)
}

// run makes the changes at even intervals and waits until all requests and polls have ended.
func (o *Operator) run(ctx context.Context, begin time.Duration) {
	c := o.site.Configuration
	clock.Sleep(ctx, begin+clock.Seconds(c.FromS)-clock.Now())
	ctx, cancel := context.WithTimeout(ctx, clock.Seconds(c.ForS)+statusGrace)
	defer cancel()
	for name, addr := range o.addresses {
		o.requests.Go(func() { o.pollRevision(ctx, name, addr) })
	}
	interval := clock.Seconds(c.ForS / float64(max(1, c.Changes)))
	for i := range c.Changes {
		clock.Sleep(ctx, begin+clock.Seconds(c.FromS)+time.Duration(i)*interval-clock.Now())
		request, limit := o.randomChange(i)
		o.requests.Go(func() { o.sendChange(ctx, fmt.Sprintf("change-%d", i), request, limit) })
	}
	o.requests.Wait()
}
