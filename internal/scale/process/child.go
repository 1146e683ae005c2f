package process

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
	readyTimeout  = 30 * time.Second
	finishTimeout = 60 * time.Second
	// outputBuffer is how many lines of a process are read ahead.
	outputBuffer = 4
)

var (
	// errTimeout says that a process did not answer in time.
	errTimeout = errors.New("no answer in time")
	// errEnded says that a process ended instead of answering.
	errEnded = errors.New("has ended")
)

// Child is a process of a run. It ends with the process that started it.
type Child struct {
	Name, Role string
	// Paused is set if the process was paused during the run: then the lateness of its
	// timers says nothing about the machine.
	Paused bool

	cmd   *exec.Cmd
	in    io.WriteCloser
	lines chan []byte
}

// Start starts a process that exchanges lines with its parent.
func Start(name, role, program string, args ...string) (*Child, error) {
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("open input of %s: %w", name, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	c := &Child{Name: name, Role: role, cmd: cmd, in: in, lines: make(chan []byte, outputBuffer)}
	go c.read(out)
	return c, nil
}

// read passes the lines of output on until the process ends.
func (c *Child) read(out io.Reader) {
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

// Send sends a command to the process.
func (c *Child) Send(command Command) error { return c.send(command) }

// send writes a line to the process.
func (c *Child) send(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message to %s: %w", c.Name, err)
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("send to %s: %w", c.Name, err)
	}
	return nil
}

// receive reads a line that the process writes.
func (c *Child) receive(v any, timeout time.Duration) error {
	select {
	case line, ok := <-c.lines:
		if !ok {
			return fmt.Errorf("%s %w", c.Name, errEnded)
		}
		if err := json.Unmarshal(line, v); err != nil {
			return fmt.Errorf("decode answer of %s: %w", c.Name, err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s: %w", c.Name, errTimeout)
	}
}

// Begin sends the process its configuration and waits until it is ready.
func (c *Child) Begin(cfg Config) (Ready, error) {
	var ready Ready
	if err := c.send(cfg); err != nil {
		return ready, err
	}
	return ready, c.receive(&ready, readyTimeout)
}

// Finish has the process report and end.
func (c *Child) Finish() (Report, error) {
	var report Report
	if err := c.Send(Command{Finish: true}); err != nil {
		return report, err
	}
	return report, c.receive(&report, finishTimeout)
}

// Signal sends the process a signal.
func (c *Child) Signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) } // it may have ended

// Kill ends the process, even if it is paused.
func (c *Child) Kill() {
	c.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait() // the error only says that it was killed
}

// PID returns the process's id.
func (c *Child) PID() int { return c.cmd.Process.Pid }
