package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	readyWait  = 30 * time.Second
	finishWait = 60 * time.Second
)

// errSilent says that a process did not answer in time.
var errSilent = errors.New("no answer in time")

// child is a process of a run. It ends with the process that started it.
type child struct {
	name, role string
	cmd        *exec.Cmd
	in         io.WriteCloser
	lines      chan []byte
	stopped    bool // it stood still for a while: its lateness says nothing
}

// startChild starts a process that speaks in lines.
func startChild(name, role, program string, args ...string) (*child, error) {
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	c := &child{name: name, role: role, cmd: cmd, in: in, lines: make(chan []byte, 4)}
	go c.read(out)
	return c, nil
}

func (c *child) read(out io.Reader) {
	defer close(c.lines)
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		c.lines <- line
	}
}

// tell writes a line to the process.
func (c *child) tell(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("tell %s: %w", c.name, err)
	}
	return nil
}

// hear reads a line that the process writes.
func (c *child) hear(v any, wait time.Duration) error {
	select {
	case line, ok := <-c.lines:
		if !ok {
			return fmt.Errorf("%s has ended", c.name)
		}
		return json.Unmarshal(line, v)
	case <-time.After(wait):
		return fmt.Errorf("%s: %w", c.name, errSilent)
	}
}

// begin tells the process what to do and waits until it is ready.
func (c *child) begin(cfg RoleConfig) (RoleReady, error) {
	var ready RoleReady
	if err := c.tell(cfg); err != nil {
		return ready, err
	}
	return ready, c.hear(&ready, readyWait)
}

// finish has the process report and end.
func (c *child) finish() (RoleReport, error) {
	var report RoleReport
	if err := c.tell(RoleCommand{Finish: true}); err != nil {
		return report, err
	}
	return report, c.hear(&report, finishWait)
}

// signal sends the process a signal.
func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) } // it may have ended

// kill ends the process, also one that stands still.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	_ = c.cmd.Wait() // it says that it was killed
}

// pid is the process's id.
func (c *child) pid() int { return c.cmd.Process.Pid }
