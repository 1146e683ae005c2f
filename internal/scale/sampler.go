package scale

import (
	"sync"
	"time"

	"github.com/prometheus/procfs"
)

const (
	sampleEvery = time.Second
	// sampleFiles is every how many samples open files are counted: that is dearer.
	sampleFiles = 3
)

// Spent is what processes of a role have used. Times are in seconds of one core.
type Spent struct {
	CPUS     float64 // in all
	CPUPeak  float64 // cores in the busiest second of a process
	MemoryMB float64 // peak of a process
	Files    int     // peak of a process
	Threads  int     // peak of a process
}

// sampler reads what processes use from the system.
type sampler struct {
	fs procfs.FS

	mu    sync.Mutex
	spent map[string]*Spent  // by the process's name; restarts are added up
	last  map[int]cpuReading // by id
	names map[int]string     // of the processes that are sampled
	busy  []float64          // part of all processors that was busy, each second
	total procfs.CPUStat     // of the machine, as last read
	done  chan struct{}
	wait  sync.WaitGroup
	count int
}

// cpuReading is a process's processor time at a moment.
type cpuReading struct {
	cpuS float64
	at   time.Duration
}

// newSampler begins to sample.
func newSampler() (*sampler, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, err
	}
	s := &sampler{fs: fs, spent: map[string]*Spent{}, last: map[int]cpuReading{}, names: map[int]string{}, done: make(chan struct{})}
	s.wait.Go(s.run)
	return s, nil
}

// add samples a process from now on.
func (s *sampler) add(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[pid] = name
	s.last[pid] = cpuReading{at: Now()}
	if s.spent[name] == nil {
		s.spent[name] = &Spent{}
	}
}

// remove takes a last sample of a process that is to end.
func (s *sampler) remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(pid, true)
	delete(s.names, pid)
	delete(s.last, pid)
}

func (s *sampler) run() {
	every := time.NewTicker(sampleEvery)
	defer every.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-every.C:
		}
		s.mu.Lock()
		s.count++
		for pid := range s.names {
			s.sample(pid, s.count%sampleFiles == 0)
		}
		s.sampleMachine()
		s.mu.Unlock()
	}
}

// close ends sampling.
func (s *sampler) close() {
	close(s.done)
	s.wait.Wait()
}

// sample reads one process. The lock is held.
func (s *sampler) sample(pid int, files bool) {
	proc, err := s.fs.Proc(pid)
	if err != nil {
		return // it has ended
	}
	stat, err := proc.Stat()
	if err != nil {
		return
	}
	spent := s.spent[s.names[pid]]
	before, reading := s.last[pid], cpuReading{stat.CPUTime(), Now()}
	used := reading.cpuS - before.cpuS
	spent.CPUS += used
	if passed := (reading.at - before.at).Seconds(); passed > sampleEvery.Seconds()/2 {
		spent.CPUPeak = max(spent.CPUPeak, used/passed)
		s.last[pid] = reading
	} else {
		s.last[pid] = cpuReading{reading.cpuS, before.at}
	}
	spent.MemoryMB = max(spent.MemoryMB, float64(stat.ResidentMemory())/(1<<20))
	spent.Threads = max(spent.Threads, stat.NumThreads)
	if !files {
		return
	}
	if n, err := proc.FileDescriptorsLen(); err == nil {
		spent.Files = max(spent.Files, n)
	}
}

// sampleMachine reads how busy all processors were. The lock is held.
func (s *sampler) sampleMachine() {
	stat, err := s.fs.Stat()
	if err != nil {
		return
	}
	now, before := stat.CPUTotal, s.total
	s.total = now
	if before == (procfs.CPUStat{}) {
		return
	}
	idle := now.Idle + now.Iowait - before.Idle - before.Iowait
	if all := cpuSum(now) - cpuSum(before); all > 0 {
		s.busy = append(s.busy, 1-idle/all)
	}
}

func cpuSum(c procfs.CPUStat) float64 {
	return c.User + c.Nice + c.System + c.Idle + c.Iowait + c.IRQ + c.SoftIRQ + c.Steal
}
