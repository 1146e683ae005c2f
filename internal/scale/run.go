package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/capacity"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/forwarder"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/operator"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/results"
	"damsonkeel/internal/scale/sampler"
	"damsonkeel/internal/scale/siteconfig"
)

// progressInterval is the time between two progress lines.
const progressInterval = 10 * time.Second

// Options are the options of a run.
type Options struct {
	// Root is the root of the repository, whose deploy file contains the build command of the
	// service.
	Root string
	// Program is the command line that runs a role: this program with its role command.
	Program []string
	Seed    uint64
	Factor  float64 // by which the site was scaled, for the result
	// Progress is the destination of progress lines; nil for none.
	Progress io.Writer
}

// run is the state of a run of a site.
type run struct {
	site    *siteconfig.Site
	options Options
	rng     *rand.Rand
	sampler *sampler.Sampler
	meter   *metrics.LatenessMeter

	services         *process.Child
	users            *process.Child
	workers          []*process.Child
	forwarders       []*process.Child
	linkAddresses    map[string]string // by linkName
	serviceAddresses map[string]string // by target
	controllers      *controllers
	operator         *operator.Operator // nil if the site has no configuration changes
	begin            time.Duration      // monotonic time at which the users started

	mu          sync.Mutex
	partitioned []int // the partitioned regions
}

// Run builds the service, runs a site and returns the result. It kills all processes of the run before
// it returns. It fails before it starts any process if the run needs more processes, memory or open
// files than it may use of the machine, and returns the error of the context if that ends early.
func Run(ctx context.Context, site *siteconfig.Site, options Options) (*results.Result, error) {
	machine, err := capacity.ThisMachine(runtime.NumCPU())
	if err != nil {
		return nil, fmt.Errorf("read machine: %w", err)
	}
	need := capacity.Estimate(site)
	if err := need.Check(machine); err != nil {
		return nil, fmt.Errorf("site %s: %w", site.Name, err)
	}
	program, err := buildService(options.Root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "damsonkeel-scale-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // remaining files in the temporary directory do no harm
	r := &run{site: site, options: options, rng: rand.New(rand.NewPCG(options.Seed, siteconfig.StreamRun)), linkAddresses: map[string]string{}}
	meterCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.meter = metrics.NewLatenessMeter(meterCtx)
	if r.sampler, err = sampler.Start(); err != nil {
		return nil, fmt.Errorf("start sampler: %w", err)
	}
	defer r.sampler.Close()
	defer r.killAll()
	if err := r.startAll(dir, program); err != nil {
		return nil, err
	}
	if err := r.runSite(ctx); err != nil {
		return nil, err
	}
	return r.collectResult(machine, need)
}

// runSite starts the users and the operator and injects the faults of the site at their times. It
// returns at the end of the site's duration, or with the error of the context if that ends first.
func (r *run) runSite(ctx context.Context) error {
	if err := r.startUsers(ctx); err != nil {
		return err
	}
	faults := slices.Clone(r.site.Faults)
	slices.SortStableFunc(faults, func(a, b siteconfig.Fault) int { return int(1000 * (a.AtS - b.AtS)) })
	end, lastProgress := r.begin+clock.Seconds(r.site.DurationS), r.begin
	for now := clock.Now(); now < end; now = clock.Now() {
		next := min(end, lastProgress+progressInterval)
		if len(faults) > 0 {
			next = min(next, r.begin+clock.Seconds(faults[0].AtS))
		}
		if clock.Sleep(ctx, next-now); ctx.Err() != nil {
			return ctx.Err() //nolint:wrapcheck // the run was interrupted, nothing failed
		}
		if len(faults) > 0 && clock.Now() >= r.begin+clock.Seconds(faults[0].AtS) {
			if err := r.injectFault(ctx, faults[0]); err != nil {
				return err
			}
			faults = faults[1:]
		}
		if clock.Now() >= lastProgress+progressInterval {
			lastProgress = clock.Now()
			r.printProgress("%s: %.0f of %.0f s", r.site.Name, (lastProgress - r.begin).Seconds(), r.site.DurationS)
		}
	}
	return nil
}

// startUsers starts the users and the operator. The times of the site are relative to this start.
func (r *run) startUsers(ctx context.Context) error {
	addresses := map[protocol.NodeName]string{}
	for _, c := range r.controllers.all {
		addresses[c.name] = r.linkAddress(forwarder.NoRegion, serveTarget(c.name))
	}
	r.begin = clock.Now()
	if _, err := r.startRole(&r.users, process.RoleUsers, process.RoleUsers, process.Config{Controllers: addresses, Begin: r.begin}); err != nil {
		return err
	}
	if r.operator != nil {
		r.operator.Start(ctx, r.begin, addresses)
	}
	return nil
}

// printProgress writes a progress line, if the options have a destination for it.
func (r *run) printProgress(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

// collectResult requests the reports of all processes and composes the result from them. The
// services report last, as the other processes send their last events to the monitor when they
// report.
func (r *run) collectResult(machine capacity.Machine, need capacity.Need) (*results.Result, error) {
	builder := results.NewBuilder(r.site, results.Options{
		Factor: r.options.Factor, Seed: r.options.Seed, Commit: describeCommit(r.options.Root), Machine: machine, Need: need,
	})
	if r.operator != nil {
		if err := r.addOperatorMetrics(builder); err != nil {
			return nil, err
		}
	}
	reporting := append([]*process.Child{r.users}, r.workers...)
	reporting = append(append(reporting, r.forwarders...), r.services)
	for _, c := range reporting {
		report, err := c.Finish()
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names the process
		}
		builder.AddReport(c, report)
	}
	return builder.Finish(r.measurements()), nil
}

// addOperatorMetrics adds the operator's metrics and violations to the result, and sends the
// operator's changes of limits to the monitor.
func (r *run) addOperatorMetrics(builder *results.Builder) error {
	if err := r.services.Send(process.Command{LimitChanges: r.operator.LimitChanges()}); err != nil {
		return fmt.Errorf("send limit changes: %w", err)
	}
	config, err := r.operator.Metrics()
	if err != nil {
		return err //nolint:wrapcheck // the error names what is missing
	}
	builder.AddConfig(config, r.operator.Violations())
	return nil
}

// measurements returns the measurements of this process: its own lateness and the resource usage of
// the others.
func (r *run) measurements() results.Measurements {
	m := results.Measurements{Lateness: r.meter.Lateness(), ControllersDied: r.controllers.unexpectedExitCount()}
	for _, c := range r.controllers.all {
		m.Controllers = append(m.Controllers, c.name)
	}
	m.Usage, m.BusyFractions = r.sampler.Usage()
	m.Elapsed = clock.Now() - r.begin
	return m
}

// killAll kills all processes of the run that were started.
func (r *run) killAll() {
	if r.controllers != nil {
		r.controllers.close()
	}
	children := append([]*process.Child{r.users, r.services}, r.workers...)
	for _, c := range append(children, r.forwarders...) {
		if c != nil {
			c.Kill()
		}
	}
}
