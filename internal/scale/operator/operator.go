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
	// changeTimeout is how long a change is retried.
	changeTimeout = 40 * time.Second
	// statusTimeout bounds a request for the revision in force at a controller.
	statusTimeout  = time.Second
	statusInterval = 300 * time.Millisecond
	// statusGrace is how long controllers are queried after the period of changes.
	statusGrace = 30 * time.Second
)

// Operator changes the configuration and queries which revision is in force at each
// controller.
type Operator struct {
	site      *siteconfig.Site
	settings  *config.Settings // of the controllers
	key       operatorapi.Key
	addresses map[protocol.NodeName]string // of the controllers, set by Start
	rng       *rand.Rand

	mu           sync.Mutex
	changes      []*change
	failed       int
	answerTimes  *hdrhistogram.Histogram
	longestStale time.Duration // see Metrics.OldestS
	violations   []rules.Violation
	running      sync.WaitGroup
}

// New returns an operator with a new key, and the path of a file in a directory that holds
// the key for the controllers.
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

// Start starts to make the changes of the site, whose time began at a moment, and to watch
// which revisions are in force at the controllers, until the context ends.
func (o *Operator) Start(ctx context.Context, begin time.Duration, controllers map[protocol.NodeName]string) {
	o.addresses = controllers
	go o.run(ctx, begin)
}

// run makes the changes and waits until the last is watched.
func (o *Operator) run(ctx context.Context, begin time.Duration) {
	c := o.site.Configuration
	clock.Sleep(ctx, begin+clock.Seconds(c.FromS)-clock.Now())
	ctx, cancel := context.WithTimeout(ctx, clock.Seconds(c.ForS)+statusGrace)
	defer cancel()
	for name, addr := range o.addresses {
		o.running.Go(func() { o.watch(ctx, name, addr) })
	}
	pause := clock.Seconds(c.ForS / float64(max(1, c.Changes)))
	for i := range c.Changes {
		clock.Sleep(ctx, begin+clock.Seconds(c.FromS)+time.Duration(i)*pause-clock.Now())
		request, limit := o.randomChange(i)
		o.running.Go(func() { o.makeChange(ctx, fmt.Sprintf("change-%d", i), request, limit) })
	}
	o.running.Wait()
}
