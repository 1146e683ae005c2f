package workers

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// MachineUp records that a machine has started. The next exchange with the monitor also sends the
// machine's listing.
func (w *Workers) MachineUp(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.MachineUp, Machine: id, Type: info.Name, Zone: zone, Spot: spot})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedMachines = append(w.startedMachines, id)
}

// MachineLost records that a machine has stopped.
func (w *Workers) MachineLost(id protocol.MachineID, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.MachineLost, Machine: id})
}

// TaskStartAccepted records that a worker accepted the command to start a task.
func (w *Workers) TaskStartAccepted(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskStartAccepted, Machine: id, Task: task, Attempt: attempt})
}

// TaskStarted records that a task has started on a machine.
func (w *Workers) TaskStarted(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskStarted, Machine: id, Task: task, Attempt: attempt})
}

// TaskEnded records that a task has ended on a machine.
func (w *Workers) TaskEnded(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskEnded, Machine: id, Task: task, Attempt: attempt, Cause: cause})
}

// record stores an event that the next exchange sends to the monitor.
func (w *Workers) record(e rules.MachineEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}
