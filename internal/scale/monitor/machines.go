package monitor

import (
	"errors"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/process"
)

const (
	// terminationTimeout is how long the cloud waits for machines to be terminated.
	terminationTimeout = 3 * time.Second
	// minBootFactor and maxBootFactor bound the boot time, as factors of the catalogue's.
	minBootFactor = 0.6
	maxBootFactor = 1.5
)

// errTerminationTimeout says that a process did not confirm in time that machines are
// terminated.
var errTerminationTimeout = errors.New("machines are not gone in time")

// machine is a machine and the process that runs it.
type machine struct {
	process *workerProcess
	listed  server.MachineListing
	up      bool
	// termination is the number of the directive that terminates it; 0: there is none.
	termination uint64
}

// PlaceInitial sets the function that chooses the process of each machine which is
// provisioned before the run begins; such machines boot at once. Nil ends this.
func (m *Monitor) PlaceInitial(choose func(protocol.Zone) string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placeInitial = choose
}

// place starts a machine in a process after its boot time. The lock is held.
func (m *Monitor) place(processName string, id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest, boot time.Duration) {
	p := m.process(processName)
	p.hasWorkers = true
	m.machines[id] = &machine{process: p}
	m.direct(p, Directive{Kind: DirectStart, Machine: id, Type: info, Zone: req.Zone, Spot: req.Spot, After: boot})
}

// Provisioned starts a provisioned machine in its zone's shared process.
func (m *Monitor) Provisioned(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.placeInitial != nil {
		m.place(m.placeInitial(req.Zone), id, info, req, 0)
		return
	}
	boot := clock.Seconds((minBootFactor + (maxBootFactor-minBootFactor)*m.rng.Float64()) * info.BootS)
	m.place(process.SharedWorkers(req.Zone), id, info, req, boot)
}

// Terminate terminates machines and waits until their processes have done so.
func (m *Monitor) Terminate(ids []protocol.MachineID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := map[*workerProcess]uint64{}
	for _, id := range ids {
		machine := m.machines[id]
		if machine == nil {
			continue
		}
		if machine.termination == 0 {
			machine.termination = m.direct(machine.process, Directive{Kind: DirectKill, Machine: id})
		}
		last[machine.process] = max(last[machine.process], machine.termination)
	}
	timer := time.AfterFunc(terminationTimeout, m.executed.Broadcast)
	defer timer.Stop()
	for until := clock.Now() + terminationTimeout; !allExecuted(last); m.executed.Wait() {
		if clock.Now() >= until {
			return errTerminationTimeout
		}
	}
	for _, id := range ids {
		delete(m.machines, id)
	}
	return nil
}

// allExecuted reports whether each process has executed its directives up to a number.
func allExecuted(last map[*workerProcess]uint64) bool {
	for p, number := range last {
		if p.lastExecuted < number {
			return false
		}
	}
	return true
}

// Machine returns a machine that has come up.
func (m *Monitor) Machine(id protocol.MachineID) (server.MachineListing, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := m.machines[id]
	if machine == nil || !machine.up {
		return server.MachineListing{}, false
	}
	return machine.listed, true
}
