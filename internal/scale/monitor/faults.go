package monitor

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/siteconfig"
)

const (
	// heartbeatPoll is the interval at which the monitor checks whether every worker had an
	// answered heartbeat after a fault.
	heartbeatPoll = 100 * time.Millisecond
	// restartDowntime is how long a restarted worker is down.
	restartDowntime = 3 * time.Second
)

// measuredFault is a fault whose effect is being measured.
type measuredFault struct{ analysis.Fault }

// InjectFault starts to measure the effect of a fault and returns without waiting for the end of
// the fault. It injects the fault itself if the
// fault concerns machines; the coordinating process injects all others.
func (m *Monitor) InjectFault(fault siteconfig.Fault) {
	begin := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	measured := &measuredFault{analysis.Fault{
		Start: begin, End: begin + clock.Seconds(fault.ForS),
		Metrics: analysis.FaultMetrics{Kind: fault.Kind, AtS: fault.AtS, ForS: fault.ForS, HeartbeatsRecoveredS: analysis.NotRecovered},
	}}
	m.faults = append(m.faults, measured)
	go m.awaitHeartbeats(measured)
	switch fault.Kind {
	case siteconfig.FaultKillMachines:
		for range fault.Count {
			if id, machine := m.randomMachine(); machine != nil {
				machine.listed.Failed = true
				m.enqueueDirective(machine.process, Directive{Kind: DirectKill, Machine: id})
			}
		}
	case siteconfig.FaultRestartWorkers:
		go m.restartWorkers(fault)
	}
}

// awaitHeartbeats waits until every worker has had an answered heartbeat since the end of a
// fault, and records how many seconds that took from the end of the fault.
func (m *Monitor) awaitHeartbeats(fault *measuredFault) {
	time.Sleep(fault.End - clock.Now())
	for m.oldestHeartbeat() < fault.End {
		time.Sleep(heartbeatPoll)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fault.Metrics.HeartbeatsRecoveredS = math.Round((clock.Now()-fault.End).Seconds()*10) / 10
}

// oldestHeartbeat returns the earliest of the times at which the workers had their last answered
// heartbeat, as reported by the worker processes, or the present time if there are none.
func (m *Monitor) oldestHeartbeat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := clock.Now()
	for _, p := range m.processes {
		if p.hasWorkers {
			oldest = min(oldest, p.oldestHeartbeat)
		}
	}
	return oldest
}

// restartWorkers restarts one random worker every fault.EveryS seconds for fault.ForS
// seconds.
func (m *Monitor) restartWorkers(fault siteconfig.Fault) {
	ticker := time.NewTicker(clock.Seconds(fault.EveryS))
	defer ticker.Stop()
	for until := clock.Now() + clock.Seconds(fault.ForS); clock.Now() < until; <-ticker.C {
		m.mu.Lock()
		if id, machine := m.randomMachine(); machine != nil {
			m.enqueueDirective(machine.process, Directive{Kind: DirectRestart, Machine: id, After: restartDowntime})
		}
		m.mu.Unlock()
	}
}

// randomMachine returns a random machine of a shared process that is up, was not killed by a fault
// and is not to be terminated, or nil if there is none. The caller holds the lock.
func (m *Monitor) randomMachine() (protocol.MachineID, *machine) {
	var ids []protocol.MachineID
	for id, machine := range m.machines {
		if machine.up && !machine.listed.Failed && machine.termination == 0 && process.IsShared(machine.process.name) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	slices.Sort(ids)
	id := ids[m.rng.IntN(len(ids))]
	return id, m.machines[id]
}
