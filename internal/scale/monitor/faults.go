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
	// heartbeatPoll is how often the monitor checks whether all heartbeats are answered.
	heartbeatPoll = 100 * time.Millisecond
	// restartDowntime is how long a restarted worker is down.
	restartDowntime = 3 * time.Second
)

// activeFault is a fault whose effect is being measured.
type activeFault struct{ analysis.Fault }

// InjectFault carries out a fault that concerns machines, and measures the effect of any
// fault.
func (m *Monitor) InjectFault(fault siteconfig.Fault) {
	begin := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	active := &activeFault{analysis.Fault{
		Start: begin, End: begin + clock.Seconds(fault.ForS),
		Metrics: analysis.FaultMetrics{Kind: fault.Kind, AtS: fault.AtS, ForS: fault.ForS, HeartbeatsRecoveredS: analysis.NotRecovered},
	}}
	m.faults = append(m.faults, active)
	go m.awaitHeartbeats(active)
	switch fault.Kind {
	case siteconfig.FaultKillMachines:
		for range fault.Count {
			if id, machine := m.randomMachine(); machine != nil {
				machine.listed.Failed = true
				m.direct(machine.process, Directive{Kind: DirectKill, Machine: id})
			}
		}
	case siteconfig.FaultRestartWorkers:
		go m.restartWorkers(fault)
	}
}

// awaitHeartbeats waits until every worker has had an answered heartbeat since a fault's
// end.
func (m *Monitor) awaitHeartbeats(fault *activeFault) {
	time.Sleep(fault.End - clock.Now())
	for m.oldestHeartbeat() < fault.End {
		time.Sleep(heartbeatPoll)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fault.Metrics.HeartbeatsRecoveredS = math.Round((clock.Now()-fault.End).Seconds()*10) / 10
}

// oldestHeartbeat returns the time since which every worker has had an answered heartbeat.
func (m *Monitor) oldestHeartbeat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := clock.Now()
	for _, p := range m.processes {
		if p.hasWorkers {
			oldest = min(oldest, p.oldest)
		}
	}
	return oldest
}

// restartWorkers restarts a random worker every EveryS for ForS.
func (m *Monitor) restartWorkers(fault siteconfig.Fault) {
	every := time.NewTicker(clock.Seconds(fault.EveryS))
	defer every.Stop()
	for until := clock.Now() + clock.Seconds(fault.ForS); clock.Now() < until; <-every.C {
		m.mu.Lock()
		if id, machine := m.randomMachine(); machine != nil {
			m.direct(machine.process, Directive{Kind: DirectRestart, Machine: id, After: restartDowntime})
		}
		m.mu.Unlock()
	}
}

// randomMachine picks a machine that is up in a shared process. The lock is held.
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
