package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/sampler"
	"damsonkeel/internal/scale/siteconfig"
)

// controller is a real controller of a run. Its process may be restarted.
type controller struct {
	name         protocol.NodeName
	zone, region int
	serve, peer  string    // addresses it listens at
	settings     string    // path of the file
	cmd          *exec.Cmd // nil: it is not running
}

// controllers starts, kills and restarts the real controllers.
type controllers struct {
	site         *siteconfig.Site
	dir          string
	program      []string // with its arguments, but for the settings file
	extraArgs    []string
	operatorKeys string // path of the file; empty: there is none
	sampler      *sampler.Sampler

	mu     sync.Mutex
	all    []*controller
	died   int // processes that ended without being killed
	closed bool
}

// newControllers assigns addresses to the controllers of a site.
func newControllers(site *siteconfig.Site, dir string, sampler *sampler.Sampler) (*controllers, error) {
	c := &controllers{site: site, dir: dir, sampler: sampler}
	for i := range site.Controllers {
		zone := site.ZoneOfController(i)
		assigned := &controller{name: process.ControllerName(i), zone: zone, region: site.RegionOfZone(zone)}
		var err error
		if assigned.serve, err = freeAddress(); err != nil {
			return nil, err
		}
		if assigned.peer, err = freeAddress(); err != nil {
			return nil, err
		}
		c.all = append(c.all, assigned)
	}
	return c, nil
}

// start starts a controller's process unless it runs or the run is over.
func (c *controllers) start(target *controller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || target.cmd != nil {
		return nil
	}
	args := append(append([]string{}, c.program[1:]...), target.settings)
	cmd := exec.Command(c.program[0], append(args, c.extraArgs...)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", target.name, err)
	}
	target.cmd = cmd
	c.sampler.Add(string(target.name), cmd.Process.Pid)
	go c.watch(target, cmd)
	return nil
}

// watch restarts a controller whose process ends without being killed.
func (c *controllers) watch(target *controller, cmd *exec.Cmd) {
	_ = cmd.Wait() // however it ended
	c.mu.Lock()
	died := target.cmd == cmd && !c.closed
	if died {
		target.cmd = nil
		c.died++
	}
	c.mu.Unlock()
	if died {
		c.restart(target)
	}
}

// restart starts a controller after the time that a restart takes.
func (c *controllers) restart(target *controller) {
	time.AfterFunc(clock.Seconds(c.site.RestartS), func() {
		if err := c.start(target); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	})
}

// kill kills a controller's process and restarts it later.
func (c *controllers) kill(target *controller) {
	c.mu.Lock()
	cmd := target.cmd
	target.cmd = nil
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	c.sampler.Remove(cmd.Process.Pid)
	_ = cmd.Process.Kill() // it may have ended
	c.restart(target)
}

// killAll kills one controller after the other.
func (c *controllers) killAll(ctx context.Context, every time.Duration) {
	for _, target := range c.all {
		c.kill(target)
		clock.Sleep(ctx, every)
	}
}

// pause pauses a controller for a while.
func (c *controllers) pause(target *controller, during time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target.cmd == nil {
		return
	}
	paused := target.cmd.Process
	_ = paused.Signal(syscall.SIGSTOP) // it may have ended
	time.AfterFunc(during, func() { _ = paused.Signal(syscall.SIGCONT) })
}

// close kills all controllers and prevents restarts.
func (c *controllers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, target := range c.all {
		if target.cmd != nil {
			_ = target.cmd.Process.Kill() // it may have ended
		}
	}
}

// diedCount returns how many processes ended without being killed.
func (c *controllers) diedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.died
}
