package sampler

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/scale/clock"

	"github.com/prometheus/procfs"
)

const (
	sampleInterval = time.Second
	// fileSampleInterval is every how many samples open files are counted, which is more
	// expensive than the rest.
	fileSampleInterval = 3
)

// Usage is what a process has used, over all of its restarts.
type Usage struct {
	CPUS     float64 // processor time in seconds
	CPUPeak  float64 // cores in the busiest second
	MemoryMB float64 // peak
	Files    int     // peak
	Threads  int     // peak
}

// Sampler samples what processes use from procfs.
type Sampler struct {
	fs procfs.FS

	mu    sync.Mutex
	usage map[string]*Usage  // by the process's name
	last  map[int]cpuReading // by process id
	names map[int]string     // of the sampled processes, by process id
	busy  []float64          // busy fraction of all processors, each second
	total procfs.CPUStat     // of the machine, as last read
	count int                // samples so far

	done    chan struct{}
	running sync.WaitGroup
}

// cpuReading is a process's processor time at some time.
type cpuReading struct {
	cpuS float64
	at   time.Duration
}

// Start starts to sample.
func Start() (*Sampler, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("open procfs: %w", err)
	}
	s := &Sampler{fs: fs, usage: map[string]*Usage{}, last: map[int]cpuReading{}, names: map[int]string{}, done: make(chan struct{})}
	s.running.Go(s.run)
	return s, nil
}

// Add samples a process from now on.
func (s *Sampler) Add(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[pid] = name
	s.last[pid] = cpuReading{at: clock.Now()}
	if s.usage[name] == nil {
		s.usage[name] = &Usage{}
	}
}

// Remove takes the last sample of a process, before it is killed.
func (s *Sampler) Remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(pid, true)
	delete(s.names, pid)
	delete(s.last, pid)
}

// run samples until the sampler is closed.
func (s *Sampler) run() {
	every := time.NewTicker(sampleInterval)
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
			s.sample(pid, s.count%fileSampleInterval == 0)
		}
		s.sampleMachine()
		s.mu.Unlock()
	}
}

// Close ends sampling.
func (s *Sampler) Close() {
	close(s.done)
	s.running.Wait()
}

// sample samples one process. The lock is held.
func (s *Sampler) sample(pid int, files bool) {
	proc, err := s.fs.Proc(pid)
	if err != nil {
		return // it has ended
	}
	stat, err := proc.Stat()
	if err != nil {
		return
	}
	usage := s.usage[s.names[pid]]
	before, reading := s.last[pid], cpuReading{stat.CPUTime(), clock.Now()}
	used := reading.cpuS - before.cpuS
	usage.CPUS += used
	if elapsed := (reading.at - before.at).Seconds(); elapsed > sampleInterval.Seconds()/2 {
		usage.CPUPeak = max(usage.CPUPeak, used/elapsed)
		s.last[pid] = reading
	} else {
		s.last[pid] = cpuReading{reading.cpuS, before.at}
	}
	usage.MemoryMB = max(usage.MemoryMB, float64(stat.ResidentMemory())/(1<<20))
	usage.Threads = max(usage.Threads, stat.NumThreads)
	if !files {
		return
	}
	if n, err := proc.FileDescriptorsLen(); err == nil {
		usage.Files = max(usage.Files, n)
	}
}

// Usage returns what each process has used, by its name, and the busy fraction of all
// processors in each second.
func (s *Sampler) Usage() (processes map[string]Usage, busy []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	processes = map[string]Usage{}
	for name, usage := range s.usage {
		processes[name] = *usage
	}
	return processes, slices.Clone(s.busy)
}

// sampleMachine samples how busy all processors were. The lock is held.
func (s *Sampler) sampleMachine() {
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
	if total := totalTime(now) - totalTime(before); total > 0 {
		s.busy = append(s.busy, 1-idle/total)
	}
}

// totalTime returns the time of all states of all processors.
func totalTime(c procfs.CPUStat) float64 {
	return c.User + c.Nice + c.System + c.Idle + c.Iowait + c.IRQ + c.SoftIRQ + c.Steal
}
