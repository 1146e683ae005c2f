package scale

import (
	"fmt"
	"syscall"

	"github.com/prometheus/procfs"
)

// What processes are reckoned to need at the most, from runs of 60 to 2,800 workers.
const (
	controllerMB    = 60.0
	controllerPerMB = 0.03 // for each worker of the site
	processMB       = 40.0
	workerMB        = 0.35
	forwarderPerMB  = 0.1  // for each worker whose connection passes it
	servicesPerMB   = 0.15 // for each worker: records and what was seen
	filesSpare      = 200
	filesPerWorker  = 4 // a listener, a report's connection, two for commands
	filesPerLink    = 2
	// maxProcesses is how many processes a run may have.
	maxProcesses = 200
	// memoryPart is the part of the machine's memory that a run may take.
	memoryPart = 0.5
)

// Need is what a run is reckoned to take.
type Need struct {
	Processes int     `json:"processes"`
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // of the process that opens most
}

// Machine is what this machine has.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Files    int     `json:"files"` // that a process may open, as the limit stands
}

// thisMachine reads what this machine has.
func thisMachine(cores int) (Machine, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, err
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return Machine{}, err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return Machine{}, err
	}
	return Machine{Cores: cores, MemoryMB: float64(*memory.MemTotal) / 1024, Files: int(files.Cur)}, nil
}

// Need reckons what a site takes.
func (s *Site) Need() Need {
	workers := float64(s.Workers + s.SpareWorkers)
	const others = 3 // this one, the services, the users
	forwarders := s.Regions + 1
	n := Need{Processes: s.Controllers + 2*s.Zones + forwarders + others}
	n.MemoryMB = float64(s.Controllers)*(controllerMB+controllerPerMB*workers) +
		float64(n.Processes-s.Controllers)*processMB + workers*(workerMB+forwarderPerMB+servicesPerMB)
	perZone := (s.Workers+s.SpareWorkers)/s.Zones + 1
	perRegion := (s.Workers+s.SpareWorkers)/s.Regions + 1
	n.Files = filesSpare + max(perZone*filesPerWorker, perRegion*filesPerLink, s.Limits.MaxConns)
	return n
}

// Fits tells why a run would take more than this machine should give.
func (n Need) Fits(m Machine) error {
	switch {
	case n.Processes > maxProcesses:
		return fmt.Errorf("%d processes are needed, at most %d may be", n.Processes, maxProcesses)
	case n.MemoryMB > memoryPart*m.MemoryMB:
		return fmt.Errorf("%.0f MB are needed, more than %.0f%% of the machine's %.0f MB", n.MemoryMB, 100*memoryPart, m.MemoryMB)
	case n.Files > m.Files:
		return fmt.Errorf("%d open files of a process are needed, the limit is %d", n.Files, m.Files)
	}
	return nil
}
