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

// controller is a real controller of a run. Its process may be killed and restarted.
type controller struct {
	name                protocol.NodeName
	zone, region        int
	serveAddr, peerAddr string    // listen addresses for workers and users, and for peers
	settingsPath        string    // path of the file
	cmd                 *exec.Cmd // nil if it is not running
}

// controllers starts, kills and restarts the real controllers.
type controllers struct {
	site             *siteconfig.Site
	dir              string
	program          []string // with its arguments, except the settings file
	extraArgs        []string
	operatorKeysPath string // path of the file; empty if the run has no operator
	sampler          *sampler.Sampler

	mu              sync.Mutex
	all             []*controller
	unexpectedExits int  // number of processes that ended without being killed
	closed          bool // no process is started any more
}

// newControllers returns the controllers of a site with free addresses assigned to them.
func newControllers(site *siteconfig.Site, dir string, sampler *sampler.Sampler) (*controllers, error) {
	c := &controllers{site: site, dir: dir, sampler: sampler}
	for i := range site.Controllers {
		zone := site.ZoneOfController(i)
		assigned := &controller{name: process.ControllerName(i), zone: zone, region: site.RegionOfZone(zone)}
		var err error
		if assigned.serveAddr, err = freeAddress(); err != nil {
			return nil, err
		}
		if assigned.peerAddr, err = freeAddress(); err != nil {
			return nil, err
		}
		c.all = append(c.all, assigned)
	}
	return c, nil
}

// start starts the process of a controller, unless it is running or the run has ended.
func (c *controllers) start(target *controller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || target.cmd != nil {
		return nil
	}
	args := append(append([]string{}, c.program[1:]...), target.settingsPath)
	cmd := exec.Command(c.program[0], append(args, c.extraArgs...)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", target.name, err)
	}
	target.cmd = cmd
	c.sampler.Add(string(target.name), cmd.Process.Pid)
	go c.restartOnExit(target, cmd)
	return nil
}

// restartOnExit waits until the process of a controller ends, and restarts the controller if the
// process was not killed by kill or close.
func (c *controllers) restartOnExit(target *controller, cmd *exec.Cmd) {
	_ = cmd.Wait() // an unexpected exit is counted, whatever its status
	c.mu.Lock()
	unexpected := target.cmd == cmd && !c.closed
	if unexpected {
		target.cmd = nil
		c.unexpectedExits++
	}
	c.mu.Unlock()
	if unexpected {
		c.restartLater(target)
	}
}

// restartLater starts a controller after the restart delay of the site.
func (c *controllers) restartLater(target *controller) {
	time.AfterFunc(clock.Seconds(c.site.RestartS), func() {
		if err := c.start(target); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	})
}

// kill kills the process of a controller and restarts the controller after the restart delay of the
// site. It does nothing if the controller is not running.
func (c *controllers) kill(target *controller) {
	c.mu.Lock()
	cmd := target.cmd
	target.cmd = nil
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	c.sampler.Remove(cmd.Process.Pid)
	_ = cmd.Process.Kill() // fails if the process has ended
	c.restartLater(target)
}

// killAll kills the controllers one after the other, with a pause in between, which ends early if the
// context ends.
func (c *controllers) killAll(ctx context.Context, every time.Duration) {
	for _, target := range c.all {
		c.kill(target)
		clock.Sleep(ctx, every)
	}
}

// pause pauses the process of a controller for a duration, by signals. It does nothing if the
// controller is not running.
func (c *controllers) pause(target *controller, during time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target.cmd == nil {
		return
	}
	paused := target.cmd.Process
	_ = paused.Signal(syscall.SIGSTOP) // fails if the process has ended
	time.AfterFunc(during, func() { _ = paused.Signal(syscall.SIGCONT) })
}

// close kills all controllers and prevents restarts.
func (c *controllers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, target := range c.all {
		if target.cmd != nil {
			_ = target.cmd.Process.Kill() // fails if the process has ended
		}
	}
}

// unexpectedExitCount returns the number of processes that ended without being killed.
func (c *controllers) unexpectedExitCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unexpectedExits
}
