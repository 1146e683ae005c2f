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
	// terminationTimeout bounds how long Terminate waits until the worker processes have executed
	// its directives.
	terminationTimeout = 3 * time.Second
	// minBootFactor and maxBootFactor bound the random boot time of a machine, as factors of
	// the boot time in the catalogue.
	minBootFactor = 0.6
	maxBootFactor = 1.5
)

// errTerminationTimeout reports that a worker process did not confirm within
// terminationTimeout that it has terminated its machines.
var errTerminationTimeout = errors.New("machines were not terminated in time")

// machine is a provisioned machine and the worker process that runs it.
type machine struct {
	process *workerProcess
	listed  server.MachineListing
	up      bool
	// termination is the number of the directive that terminates the machine; 0 if there is
	// none.
	termination uint64
}

// SetInitialPlacement sets the function that chooses the worker process of each machine which
// is provisioned before the run begins; such machines boot without delay. With nil, later
// machines run in the shared process of their zone after a random boot time.
func (m *Monitor) SetInitialPlacement(chooseProcess func(protocol.Zone) string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialProcess = chooseProcess
}

// placeMachine assigns a machine to a worker process, which starts it after its boot time.
// The caller holds the lock.
func (m *Monitor) placeMachine(processName string, id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest, boot time.Duration) {
	p := m.processByName(processName)
	p.hasWorkers = true
	m.machines[id] = &machine{process: p}
	m.enqueueDirective(p, Directive{Kind: DirectStart, Machine: id, Type: info, Zone: req.Zone, Spot: req.Spot, After: boot})
}

// Provisioned starts a provisioned machine in the shared process of its zone, or in the
// process that the function of SetInitialPlacement chooses.
func (m *Monitor) Provisioned(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.initialProcess != nil {
		m.placeMachine(m.initialProcess(req.Zone), id, info, req, 0)
		return
	}
	boot := clock.Seconds((minBootFactor + (maxBootFactor-minBootFactor)*m.rng.Float64()) * info.BootS)
	m.placeMachine(process.SharedWorkers(req.Zone), id, info, req, boot)
}

// Terminate terminates machines and waits until their worker processes have executed the
// directives. Machines that are not in the inventory are ignored. After terminationTimeout it
// returns an error and leaves the machines in the inventory.
func (m *Monitor) Terminate(ids []protocol.MachineID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	required := map[*workerProcess]uint64{}
	for _, id := range ids {
		machine := m.machines[id]
		if machine == nil {
			continue
		}
		if machine.termination == 0 {
			machine.termination = m.enqueueDirective(machine.process, Directive{Kind: DirectKill, Machine: id})
		}
		required[machine.process] = max(required[machine.process], machine.termination)
	}
	timer := time.AfterFunc(terminationTimeout, m.directivesExecuted.Broadcast)
	defer timer.Stop()
	for deadline := clock.Now() + terminationTimeout; !allExecuted(required); m.directivesExecuted.Wait() {
		if clock.Now() >= deadline {
			return errTerminationTimeout
		}
	}
	for _, id := range ids {
		delete(m.machines, id)
	}
	return nil
}

// allExecuted reports whether each process has executed its directives up to the required
// number.
func allExecuted(required map[*workerProcess]uint64) bool {
	for p, number := range required {
		if p.lastExecuted < number {
			return false
		}
	}
	return true
}

// Machine returns the listing of a machine, or false if the machine has not started or is not in
// the inventory.
func (m *Monitor) Machine(id protocol.MachineID) (server.MachineListing, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := m.machines[id]
	if machine == nil || !machine.up {
		return server.MachineListing{}, false
	}
	return machine.listed, true
}
