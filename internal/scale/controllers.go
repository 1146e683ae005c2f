package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// controller is one real controller of a run, in its present process or between two.
type controller struct {
	name         protocol.NodeName
	zone, region int
	serve, peer  string // its own addresses
	settings     string // file
	cmd          *exec.Cmd
}

// controllers starts and ends the real controllers.
type controllers struct {
	site    *Site
	dir     string
	program []string // the program with its arguments, but for the settings file
	extra   []string // further arguments
	keys    string   // file of operators' keys; empty: none
	sampler *sampler

	mu     sync.Mutex
	all    []*controller
	ended  int // processes that ended by themselves
	closed bool
}

// newControllers gives each controller its addresses.
func newControllers(site *Site, dir string, sampler *sampler) (*controllers, error) {
	c := &controllers{site: site, dir: dir, sampler: sampler}
	for i := range site.Controllers {
		zone := site.ZoneOfController(i)
		one := &controller{name: controllerName(i), zone: zone, region: site.RegionOfZone(zone)}
		var err error
		if one.serve, err = freeAddress(); err != nil {
			return nil, err
		}
		if one.peer, err = freeAddress(); err != nil {
			return nil, err
		}
		c.all = append(c.all, one)
	}
	return c, nil
}

// write writes the settings file of each controller. Link gives the address by
// which something is reached from a region.
func (c *controllers) write(link func(region int, target string) string) error {
	operator := filepath.Join(c.dir, "operator.xml")
	text := fmt.Sprintf("<idleReturn>%v</idleReturn>", seconds(c.site.IdleReturnS))
	if c.keys != "" {
		text += "<operatorKeys>" + c.keys + "</operatorKeys>"
	}
	text = "<damsonkeel>" + text + "</damsonkeel>\n"
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		return err
	}
	c.extra = []string{"--operator", operator}
	for _, one := range c.all {
		b, err := toml.Marshal(c.settings(one, link))
		if err != nil {
			return err
		}
		one.settings = filepath.Join(c.dir, string(one.name)+".toml")
		if err := os.WriteFile(one.settings, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// settings are those that the platform would hand to a controller.
func (c *controllers) settings(one *controller, link func(region int, target string) string) *config.Settings {
	s := &config.Settings{Name: one.name, Zone: c.site.ZoneName(one.zone), Listen: one.serve, PeerBind: one.peer}
	for _, other := range c.all {
		if other != one {
			s.Members = append(s.Members, config.Member{Name: other.name, Zone: c.site.ZoneName(other.zone), Peer: link(one.region, peerTarget(other.name))})
		}
	}
	s.Services = config.Services{State: link(one.region, stateTarget), Cloud: link(one.region, cloudTarget)}
	s.Site = siteSettings(c.site)
	return s
}

// siteSettings are the settings that all controllers share.
func siteSettings(site *Site) config.Site {
	const clockErrorMS = 50
	out := config.Site{Count: site.Controllers, ClockErrorMS: clockErrorMS}
	for z := range site.Zones {
		out.Zones = append(out.Zones, site.ZoneName(z))
	}
	names := site.TeamNames()
	for _, t := range site.Teams {
		for range t.Count {
			out.Teams = append(out.Teams, config.Team{Name: names[len(out.Teams)], CPUs: t.CPUs, MaxCPUs: t.MaxCPUs})
		}
	}
	for _, o := range site.Objectives {
		out.Objectives = append(out.Objectives, config.Objective{Kind: o.Kind, Class: o.Class, WithinS: o.WithinS, Share: o.Share})
	}
	out.Workers = config.Workers(site.Timings)
	out.State = config.State{RPS: site.State.RequestsPerS, WriteRPS: site.State.ChangesPerS, ValueKB: site.State.ValueKB, TxnOps: site.State.TxnOps}
	out.Cloud = config.Cloud{RPS: site.Cloud.RequestsPerS, ListLagS: site.Cloud.ListLagS}
	out.Limits = config.Limits{CPU: site.Limits.CPU, MemoryMB: site.Limits.MemoryMB, MaxConns: site.Limits.MaxConns}
	return out
}

// start starts a controller's process.
func (c *controllers) start(one *controller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || one.cmd != nil {
		return nil
	}
	args := append(append([]string{}, c.program[1:]...), one.settings)
	cmd := exec.Command(c.program[0], append(args, c.extra...)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", one.name, err)
	}
	one.cmd = cmd
	c.sampler.add(string(one.name), cmd.Process.Pid)
	go c.watch(one, cmd)
	return nil
}

// watch starts a controller again that ends by itself.
func (c *controllers) watch(one *controller, cmd *exec.Cmd) {
	_ = cmd.Wait() // however it ended
	c.mu.Lock()
	byItself := one.cmd == cmd && !c.closed
	if byItself {
		one.cmd = nil
		c.ended++
	}
	c.mu.Unlock()
	if byItself {
		c.startAgain(one)
	}
}

// startAgain starts a controller after the time that this takes.
func (c *controllers) startAgain(one *controller) {
	time.AfterFunc(seconds(c.site.RestartS), func() {
		if err := c.start(one); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
}

// kill kills a controller's process, and has it started again later.
func (c *controllers) kill(one *controller) {
	c.mu.Lock()
	cmd := one.cmd
	one.cmd = nil
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	c.sampler.remove(cmd.Process.Pid)
	_ = cmd.Process.Kill() // it may have ended
	c.startAgain(one)
}

// killAll kills one controller after the other.
func (c *controllers) killAll(ctx context.Context, every time.Duration) {
	for _, one := range c.all {
		c.kill(one)
		sleep(ctx, every)
	}
}

// stop has a controller stand still for a while.
func (c *controllers) stop(one *controller, during time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one.cmd == nil {
		return
	}
	process := one.cmd.Process
	_ = process.Signal(syscall.SIGSTOP)                                    // it may have ended
	time.AfterFunc(during, func() { _ = process.Signal(syscall.SIGCONT) }) // as well
}

// close ends all controllers.
func (c *controllers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, one := range c.all {
		if one.cmd != nil {
			_ = one.cmd.Process.Kill() // it may have ended
		}
	}
}

// endedByThemselves counts the processes that nobody killed.
func (c *controllers) endedByThemselves() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
