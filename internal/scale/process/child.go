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
	// maxBufferedLines is the number of lines that are read ahead from a process.
	maxBufferedLines = 4
)

var (
	// errTimeout reports that a process did not answer within readyTimeout or finishTimeout.
	errTimeout = errors.New("timed out waiting for an answer of the process")
	// errEnded reports that a process ended before it answered.
	errEnded = errors.New("process ended before it answered")
)

// Child is a child process of a run. The kernel kills it when its parent ends.
type Child struct {
	Name, Role string
	// Paused is set if the process was paused during the run, in which case the lateness of
	// its timers does not show the load of the machine.
	Paused bool

	cmd   *exec.Cmd
	in    io.WriteCloser
	lines chan []byte
}

// Start starts a child process for a role. Errors refer to the process by its name.
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
	c := &Child{Name: name, Role: role, cmd: cmd, in: in, lines: make(chan []byte, maxBufferedLines)}
	go c.readLines(out)
	return c, nil
}

// readLines sends the lines of the process's output to c.lines until the process ends.
func (c *Child) readLines(out io.Reader) {
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

// Send writes a command to the input of the process. It does not wait until the process has
// executed the command.
func (c *Child) Send(command Command) error { return c.send(command) }

// send writes a value as a line of JSON to the input of the process.
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

// receive decodes the next line of the process's output into v. It fails if there is none within
// the timeout, or if the process ends first.
func (c *Child) receive(v any, timeout time.Duration) error {
	select {
	case line, ok := <-c.lines:
		if !ok {
			return fmt.Errorf("%s: %w", c.Name, errEnded)
		}
		if err := json.Unmarshal(line, v); err != nil {
			return fmt.Errorf("decode answer of %s: %w", c.Name, err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s: %w", c.Name, errTimeout)
	}
}

// Configure sends the configuration to the process and waits for at most readyTimeout until the
// process is ready. It returns the addresses that the process serves.
func (c *Child) Configure(cfg Config) (Ready, error) {
	var ready Ready
	if err := c.send(cfg); err != nil {
		return ready, err
	}
	return ready, c.receive(&ready, readyTimeout)
}

// Finish requests the report of the process, after which the process ends, and returns it. It waits
// for at most finishTimeout.
func (c *Child) Finish() (Report, error) {
	var report Report
	if err := c.Send(Command{Finish: true}); err != nil {
		return report, err
	}
	return report, c.receive(&report, finishTimeout)
}

// Signal sends the process a signal.
func (c *Child) Signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) } // fails if the process has ended

// Kill kills the process, which also works if it is paused, and waits until it has ended.
func (c *Child) Kill() {
	c.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait() // the error only says that it was killed
}

// PID returns the process ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }
