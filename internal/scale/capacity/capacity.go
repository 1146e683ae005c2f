package capacity

import (
	"fmt"
	"syscall"

	"damsonkeel/internal/scale/siteconfig"

	"github.com/prometheus/procfs"
)

// What processes need at the most, as measured in runs of 60 to 2,800 workers.
const (
	controllerMB          = 60.0
	controllerMBPerWorker = 0.03 // of the site
	processMB             = 40.0
	workerMB              = 0.35
	forwarderMBPerWorker  = 0.1  // whose connections pass it
	servicesMBPerWorker   = 0.15 // records and events
	filesHeadroom         = 200
	filesPerWorker        = 4 // a listener, a connection for heartbeats, two for commands
	filesPerLink          = 2
	// maxProcesses is the highest number of processes of a run.
	maxProcesses = 200
	// maxMemoryFraction is the fraction of the machine's memory that a run may use.
	maxMemoryFraction = 0.5
)

// otherProcesses counts the coordinating process and those of the services and the users.
const otherProcesses = 3

// Need is an estimate of what a run needs.
type Need struct {
	Processes int     `json:"processes"`
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // open in one process
}

// InsufficientError says why a machine is too small for a run.
type InsufficientError struct{ Reason string }

// Error gives the reason.
func (e *InsufficientError) Error() string { return e.Reason }

// insufficient returns an InsufficientError.
func insufficient(format string, args ...any) error {
	return &InsufficientError{Reason: fmt.Sprintf(format, args...)}
}

// Machine describes the resources of a machine.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Files    int     `json:"files"` // that a process may open
}

// ThisMachine reads the resources of this machine.
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

// Estimate returns what a run of a site needs at the most.
func Estimate(s *siteconfig.Site) Need {
	workers := float64(s.Workers + s.SpareWorkers)
	forwarders := s.Regions + 1
	n := Need{Processes: s.Controllers + 2*s.Zones + forwarders + otherProcesses}
	n.MemoryMB = float64(s.Controllers)*(controllerMB+controllerMBPerWorker*workers) +
		float64(n.Processes-s.Controllers)*processMB + workers*(workerMB+forwarderMBPerWorker+servicesMBPerWorker)
	perZone := (s.Workers+s.SpareWorkers)/s.Zones + 1
	perRegion := (s.Workers+s.SpareWorkers)/s.Regions + 1
	n.Files = filesHeadroom + max(perZone*filesPerWorker, perRegion*filesPerLink, s.Limits.MaxConns)
	return n
}

// Check returns an InsufficientError if a run needs more than a machine may give it.
func (n Need) Check(m Machine) error {
	switch {
	case n.Processes > maxProcesses:
		return insufficient("%d processes are needed, at most %d may be", n.Processes, maxProcesses)
	case n.MemoryMB > maxMemoryFraction*m.MemoryMB:
		return insufficient("%.0f MB are needed, more than %.0f%% of the machine's %.0f MB", n.MemoryMB, 100*maxMemoryFraction, m.MemoryMB)
	case n.Files > m.Files:
		return insufficient("%d open files of a process are needed, the limit is %d", n.Files, m.Files)
	}
	return nil
}
