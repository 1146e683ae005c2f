package capacity

import (
	"fmt"
	"syscall"

	"damsonkeel/internal/scale/siteconfig"

	"github.com/prometheus/procfs"
)

// Upper bounds of the needs of processes, for runs of 60 to 2,800 workers.
const (
	controllerMB          = 60.0 // of a controller, without workers
	controllerMBPerWorker = 0.03 // of a controller, for each worker of the site
	processMB             = 40.0 // of a process other than a controller, without workers
	workerMB              = 0.35 // of the process that runs the worker
	forwarderMBPerWorker  = 0.1  // of the forwarder, for the connections of the worker
	servicesMBPerWorker   = 0.15 // of the services, for records and events
	filesHeadroom         = 200  // open files of a process besides those of workers and links
	filesPerWorker        = 4    // a listener, a connection for heartbeats, two for commands
	filesPerLink          = 2    // both ends of a connection
	// maxProcesses is the largest number of processes that a run may have.
	maxProcesses = 200
	// maxMemoryFraction is the fraction of the machine's memory that a run may use.
	maxMemoryFraction = 0.5
)

// singletonProcesses is the number of processes that exist once in each run: the coordinating
// process, the services and the users.
const singletonProcesses = 3

// Need is an upper estimate of the resources that a run needs.
type Need struct {
	Processes int     `json:"processes"`
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // open files of one process
}

// InsufficientError reports why a run cannot be started on a machine.
type InsufficientError struct{ Reason string }

// Error returns the reason.
func (e *InsufficientError) Error() string { return e.Reason }

// insufficient returns an InsufficientError with a formatted reason.
func insufficient(format string, args ...any) error {
	return &InsufficientError{Reason: fmt.Sprintf(format, args...)}
}

// Machine describes the resources of a machine.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Files    int     `json:"files"` // open files that a process may have
}

// ThisMachine returns the resources of this machine, with a given number of cores.
func ThisMachine(cores int) (Machine, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, fmt.Errorf("open procfs: %w", err)
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return Machine{}, fmt.Errorf("read memory size: %w", err)
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return Machine{}, fmt.Errorf("read limit of open files: %w", err)
	}
	return Machine{Cores: cores, MemoryMB: float64(*memory.MemTotal) / 1024, Files: int(files.Cur)}, nil
}

// Estimate returns an upper estimate of the resources that a run of a site needs.
func Estimate(s *siteconfig.Site) Need {
	workers := float64(s.Workers + s.SpareWorkers)
	forwarders := s.Regions + 1
	n := Need{Processes: s.Controllers + 2*s.Zones + forwarders + singletonProcesses}
	n.MemoryMB = float64(s.Controllers)*(controllerMB+controllerMBPerWorker*workers) +
		float64(n.Processes-s.Controllers)*processMB + workers*(workerMB+forwarderMBPerWorker+servicesMBPerWorker)
	perZone := (s.Workers+s.SpareWorkers)/s.Zones + 1
	perRegion := (s.Workers+s.SpareWorkers)/s.Regions + 1
	n.Files = filesHeadroom + max(perZone*filesPerWorker, perRegion*filesPerLink, s.Limits.MaxConns)
	return n
}

// Check returns an InsufficientError if a run needs more than it may use of a machine.
func (n Need) Check(m Machine) error {
	switch {
	case n.Processes > maxProcesses:
		return insufficient("the run needs %d processes, at most %d are allowed", n.Processes, maxProcesses)
	case n.MemoryMB > maxMemoryFraction*m.MemoryMB:
		return insufficient("the run needs %.0f MB of memory, more than %.0f%% of the machine's %.0f MB", n.MemoryMB, 100*maxMemoryFraction, m.MemoryMB)
	case n.Files > m.Files:
		return insufficient("the run needs %d open files in one process, the limit is %d", n.Files, m.Files)
	}
	return nil
}
