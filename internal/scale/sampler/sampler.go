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
	// samplesPerFileCount is the number of samples per count of open files, which is more
	// expensive than the rest of a sample.
	samplesPerFileCount = 3
)

// Usage is the resource usage of a process, over all of its restarts.
type Usage struct {
	CPUSeconds float64 // processor time in seconds
	CPUPeak    float64 // mean cores in the busiest sample interval
	MemoryMB   float64 // peak
	Files      int     // peak
	Threads    int     // peak
}

// Sampler samples the resource usage of processes and the busy fraction of the machine from procfs,
// every sampleInterval.
type Sampler struct {
	fs procfs.FS

	mu              sync.Mutex
	usage           map[string]*Usage  // by process name
	lastReadings    map[int]cpuReading // by process id
	names           map[int]string     // of the sampled processes, by process id
	busyFractions   []float64          // busy fraction of all processors in each second
	lastMachineStat procfs.CPUStat     // last reading of the whole machine
	sampleCount     int                // number of samples so far

	done    chan struct{}
	running sync.WaitGroup
}

// cpuReading is the processor time that a process had used at a time.
type cpuReading struct {
	cpuS float64
	at   time.Duration
}

// Start returns a sampler that samples until Close is called.
func Start() (*Sampler, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, fmt.Errorf("open procfs: %w", err)
	}
	s := &Sampler{fs: fs, usage: map[string]*Usage{}, lastReadings: map[int]cpuReading{}, names: map[int]string{}, done: make(chan struct{})}
	s.running.Go(s.run)
	return s, nil
}

// Add adds a process to those that are sampled. After a restart, a process is added again by the
// same name.
func (s *Sampler) Add(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[pid] = name
	s.lastReadings[pid] = cpuReading{at: clock.Now()}
	if s.usage[name] == nil {
		s.usage[name] = &Usage{}
	}
}

// Remove takes a last sample of a process and stops sampling it. It is called before the process
// is killed.
func (s *Sampler) Remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(pid, true)
	delete(s.names, pid)
	delete(s.lastReadings, pid)
}

// run samples all processes and the machine every sampleInterval until the sampler is closed.
func (s *Sampler) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.sampleCount++
		for pid := range s.names {
			s.sample(pid, s.sampleCount%samplesPerFileCount == 0)
		}
		s.sampleMachine()
		s.mu.Unlock()
	}
}

// Close stops the sampling and waits until it has stopped.
func (s *Sampler) Close() {
	close(s.done)
	s.running.Wait()
}

// sample samples one process, and counts its open files if countFiles is set. A reading less than
// half of sampleInterval after the previous one does not count for the peak. The caller holds
// the lock.
func (s *Sampler) sample(pid int, countFiles bool) {
	proc, err := s.fs.Proc(pid)
	if err != nil {
		return // the process has ended
	}
	stat, err := proc.Stat()
	if err != nil {
		return
	}
	usage := s.usage[s.names[pid]]
	before, reading := s.lastReadings[pid], cpuReading{stat.CPUTime(), clock.Now()}
	used := reading.cpuS - before.cpuS
	usage.CPUSeconds += used
	if elapsed := (reading.at - before.at).Seconds(); elapsed > sampleInterval.Seconds()/2 {
		usage.CPUPeak = max(usage.CPUPeak, used/elapsed)
		s.lastReadings[pid] = reading
	} else {
		s.lastReadings[pid] = cpuReading{reading.cpuS, before.at}
	}
	usage.MemoryMB = max(usage.MemoryMB, float64(stat.ResidentMemory())/(1<<20))
	usage.Threads = max(usage.Threads, stat.NumThreads)
	if !countFiles {
		return
	}
	if openFiles, err := proc.FileDescriptorsLen(); err == nil {
		usage.Files = max(usage.Files, openFiles)
	}
}

// Usage returns the usage of each process by its name, and the busy fraction of all processors
// in each second.
func (s *Sampler) Usage() (processes map[string]Usage, busy []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	processes = map[string]Usage{}
	for name, usage := range s.usage {
		processes[name] = *usage
	}
	return processes, slices.Clone(s.busyFractions)
}

// sampleMachine samples the busy fraction of all processors since the last sample. The caller
// holds the lock.
func (s *Sampler) sampleMachine() {
	stat, err := s.fs.Stat()
	if err != nil {
		return
	}
	now, before := stat.CPUTotal, s.lastMachineStat
	s.lastMachineStat = now
	if before == (procfs.CPUStat{}) {
		return
	}
	idle := now.Idle + now.Iowait - before.Idle - before.Iowait
	if total := totalTime(now) - totalTime(before); total > 0 {
		s.busyFractions = append(s.busyFractions, 1-idle/total)
	}
}

// totalTime returns the sum of the times that all processors spent in all states.
func totalTime(c procfs.CPUStat) float64 {
	return c.User + c.Nice + c.System + c.Idle + c.Iowait + c.IRQ + c.SoftIRQ + c.Steal
}
