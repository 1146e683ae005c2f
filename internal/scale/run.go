package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// Targets of links, beside the controllers.
const (
	stateTarget = "state"
	cloudTarget = "cloud"
)

func peerTarget(name protocol.NodeName) string  { return "peer/" + string(name) }
func serveTarget(name protocol.NodeName) string { return "serve/" + string(name) }

// Options say how a site is played.
type Options struct {
	// Root is the repository, whose deploy file says how the service is built.
	Root string
	// Program is what plays the roles: this program, with its command for that.
	Program []string
	Seed    uint64
	Factor  float64 // of the site that was scaled, for the result
	// Progress gets a line now and then.
	Progress io.Writer
}

// run is a site being played.
type run struct {
	site    *Site
	options Options
	rng     *rand.Rand
	sampler *sampler
	meter   *latenessMeter

	services    *child
	users       *child
	workers     []*child
	forwarders  []*child
	links       map[string]string // addresses by linkName
	addresses   map[string]string // of the services
	controllers *controllers
	operator    *operator // nil: nobody changes the configuration
	begin       time.Duration

	mu    sync.Mutex
	apart []int // regions that are cut off
}

// deployFile is how the service is built and started.
type deployFile struct {
	Build string `toml:"build"`
	Run   string `toml:"run"`
}

// buildService builds the service as its deploy file says, and returns the program
// with its arguments.
func buildService(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	var deploy deployFile
	if err := toml.Unmarshal(b, &deploy); err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	cmd := exec.Command("sh", "-c", deploy.Build)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w\n%s", err, out)
	}
	program := strings.Fields(deploy.Run)
	if len(program) == 0 {
		return nil, errors.New("deploy file: run is empty")
	}
	program[0] = filepath.Join(root, program[0])
	return program, nil
}

// Play plays a site and returns what became of it.
func Play(ctx context.Context, site *Site, options Options) (*Result, error) {
	machine, err := thisMachine(runtime.NumCPU())
	if err != nil {
		return nil, err
	}
	need := site.Need()
	if err := need.Fits(machine); err != nil {
		return nil, fmt.Errorf("site %s: %w", site.Name, err)
	}
	program, err := buildService(options.Root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "damsonkeel-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{site: site, options: options, rng: rand.New(rand.NewPCG(options.Seed, runStream)), links: map[string]string{}}
	meterCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.meter = newLatenessMeter(meterCtx)
	if r.sampler, err = newSampler(); err != nil {
		return nil, err
	}
	defer r.sampler.close()
	defer r.killAll()
	if err := r.startAll(dir, program); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	result, err := r.finish()
	if err != nil {
		return nil, err
	}
	result.Machine, result.Need = machine, need
	return result, nil
}

// startAll starts every process but the users'.
func (r *run) startAll(dir string, program []string) error {
	ready, err := r.startRole(&r.services, RoleServices, RoleServices, RoleConfig{})
	if err != nil {
		return err
	}
	r.addresses = ready.Addresses
	if r.controllers, err = newControllers(r.site, dir, r.sampler); err != nil {
		return err
	}
	r.controllers.program = program
	if r.site.Configuration.Changes > 0 {
		if r.operator, r.controllers.keys, err = newOperator(r.site, dir, r.options.Seed); err != nil {
			return err
		}
	}
	if err := r.startForwarders(); err != nil {
		return err
	}
	if err := r.controllers.write(r.link); err != nil {
		return err
	}
	for _, one := range r.controllers.all {
		if err := r.controllers.start(one); err != nil {
			return err
		}
	}
	return r.startWorkers()
}

// startRole starts a process of a role and waits until it is ready.
func (r *run) startRole(into **child, role, name string, cfg RoleConfig) (RoleReady, error) {
	c, err := startChild(name, role, r.options.Program[0], r.options.Program[1:]...)
	if err != nil {
		return RoleReady{}, err
	}
	*into = c
	r.sampler.add(name, c.pid())
	cfg.Role, cfg.Name, cfg.Site, cfg.Seed, cfg.Hub = role, name, *r.site, r.options.Seed, r.addresses["hub"]
	return c.begin(cfg)
}

// startForwarders starts one forwarder for what begins in each region, and one for
// users.
func (r *run) startForwarders() error {
	for region := nowhere; region < r.site.Regions; region++ {
		name := fmt.Sprintf("%s-%d", RoleForwarder, region+1)
		r.forwarders = append(r.forwarders, nil)
		ready, err := r.startRole(&r.forwarders[len(r.forwarders)-1], RoleForwarder, name, RoleConfig{Links: r.linksFrom(region)})
		if err != nil {
			return err
		}
		for link, addr := range ready.Addresses {
			r.links[link] = addr
		}
	}
	return nil
}

// linksFrom lists the links that begin in a region.
func (r *run) linksFrom(region int) []Link {
	var links []Link
	add := func(kind, target, addr string, to int) {
		links = append(links, Link{Name: linkName(region, target), Kind: kind, Target: addr, From: region, To: to, Delay: r.delay(region, to)})
	}
	for _, c := range r.controllers.all {
		kind := "workers"
		if region == nowhere {
			kind = "users"
		}
		add(kind, serveTarget(c.name), c.serve, c.region)
		if region != nowhere {
			add("peers", peerTarget(c.name), c.peer, c.region)
		}
	}
	if region != nowhere {
		add("state", stateTarget, r.addresses["state"], nowhere)
		add("cloud", cloudTarget, r.addresses["cloud"], nowhere)
	}
	return links
}

// delay is how long a message takes from one region to another, one way.
func (r *run) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case from == nowhere || to == nowhere:
		return milliseconds(r.site.ToServicesMS)
	}
	return milliseconds(r.site.BetweenRegionsMS)
}

// link is the address by which a target is reached from a region.
func (r *run) link(region int, target string) string { return r.links[linkName(region, target)] }

// startWorkers starts the processes of workers: two for each zone.
func (r *run) startWorkers() error {
	for z := range r.site.Zones {
		zone, region := r.site.ZoneName(z), r.site.RegionOfZone(z)
		reach := map[protocol.NodeName]string{}
		for _, c := range r.controllers.all {
			if reach[c.name] = c.serve; c.region != region {
				reach[c.name] = r.link(region, serveTarget(c.name))
			}
		}
		for _, name := range []string{sharedProcess(zone), singleProcess(zone)} {
			r.workers = append(r.workers, nil)
			if _, err := r.startRole(&r.workers[len(r.workers)-1], RoleWorkers, name, RoleConfig{Controllers: reach}); err != nil {
				return err
			}
		}
	}
	return nil
}

// progressEvery is how often progress is told.
const progressEvery = 10 * time.Second

// play lets the site's time pass.
func (r *run) play(ctx context.Context) error {
	reach := map[protocol.NodeName]string{}
	for _, c := range r.controllers.all {
		reach[c.name] = r.link(nowhere, serveTarget(c.name))
	}
	r.begin = Now()
	if _, err := r.startRole(&r.users, RoleUsers, RoleUsers, RoleConfig{Controllers: reach, Begin: r.begin}); err != nil {
		return err
	}
	if r.operator != nil {
		r.operator.addresses = reach
		go r.operator.run(ctx, r.begin)
	}
	troubles := slices.Clone(r.site.Troubles)
	slices.SortStableFunc(troubles, func(a, b Trouble) int { return int(1000 * (a.AtS - b.AtS)) })
	end, told := r.begin+seconds(r.site.DurationS), r.begin
	for now := Now(); now < end; now = Now() {
		next := min(end, told+progressEvery)
		if len(troubles) > 0 {
			next = min(next, r.begin+seconds(troubles[0].AtS))
		}
		if sleep(ctx, next-now); ctx.Err() != nil {
			return ctx.Err()
		}
		if len(troubles) > 0 && Now() >= r.begin+seconds(troubles[0].AtS) {
			if err := r.trouble(ctx, troubles[0]); err != nil {
				return err
			}
			troubles = troubles[1:]
		}
		if Now() >= told+progressEvery {
			told = Now()
			r.say("%s: %.0f of %.0f s", r.site.Name, (told - r.begin).Seconds(), r.site.DurationS)
		}
	}
	return nil
}

func (r *run) say(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

// trouble has something happen. The hub measures how long it is felt.
func (r *run) trouble(ctx context.Context, t Trouble) error {
	r.say("%s: %.0f s: %s", r.site.Name, t.AtS, t.Kind)
	switch t.Kind {
	case TroubleKillController, TroubleStopController:
		for _, i := range r.rng.Perm(len(r.controllers.all))[:t.Count] {
			if one := r.controllers.all[i]; t.Kind == TroubleKillController {
				r.controllers.kill(one)
			} else {
				r.controllers.stop(one, seconds(t.ForS))
			}
		}
	case TroubleKillAll:
		go r.controllers.killAll(ctx, seconds(t.EveryS))
		t.ForS = t.EveryS * float64(len(r.controllers.all))
	case TroubleStopZone:
		r.stopZone(t)
	case TroubleCutRegion:
		r.cutRegion(t.Region, true)
		time.AfterFunc(seconds(t.ForS), func() { r.cutRegion(t.Region, false) })
	}
	return r.services.tell(RoleCommand{Trouble: &t})
}

// stopZone has the shared process of a zone's workers stand still.
func (r *run) stopZone(t Trouble) {
	name := sharedProcess(r.site.ZoneName(t.Zone))
	for _, c := range r.workers {
		if c.name != name {
			continue
		}
		c.stopped = true
		c.signal(syscall.SIGSTOP)
		time.AfterFunc(seconds(t.ForS), func() { c.signal(syscall.SIGCONT) })
	}
}

// cutRegion cuts a region off, or joins it again, and tells all forwarders.
func (r *run) cutRegion(region int, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apart = slices.DeleteFunc(r.apart, func(other int) bool { return other == region })
	if cut {
		r.apart = append(r.apart, region)
	}
	for _, f := range r.forwarders {
		if err := f.tell(RoleCommand{Apart: r.apart}); err != nil {
			r.say("%v", err)
		}
	}
}

// finish has all processes report.
func (r *run) finish() (*Result, error) {
	result := newResult(r.site, r.options)
	if r.operator != nil {
		if err := r.services.tell(RoleCommand{Limits: r.operator.limits()}); err != nil {
			return nil, err
		}
		var err error
		if result.Config, err = r.operator.figures(); err != nil {
			return nil, err
		}
		for _, v := range r.operator.broken {
			result.Rules = append(result.Rules, violation(v))
		}
	}
	order := append([]*child{r.users}, r.workers...)
	order = append(append(order, r.forwarders...), r.services)
	for _, c := range order {
		report, err := c.finish()
		if err != nil {
			return nil, err
		}
		result.add(c, report)
	}
	result.complete(r)
	return result, nil
}

// killAll ends every process of the run.
func (r *run) killAll() {
	if r.controllers != nil {
		r.controllers.close()
	}
	all := append([]*child{r.users, r.services}, r.workers...)
	for _, c := range append(all, r.forwarders...) {
		if c != nil {
			c.kill()
		}
	}
}
