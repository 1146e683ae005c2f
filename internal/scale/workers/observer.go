package workers

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// MachineUp records a machine that has come up.
func (w *Workers) MachineUp(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.MachineUp, Machine: id, Type: info.Name, Zone: zone, Spot: spot})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, id)
}

// MachineLost records a machine that is lost.
func (w *Workers) MachineLost(id protocol.MachineID, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.MachineLost, Machine: id})
}

// TaskStartAccepted records a task whose start was accepted.
func (w *Workers) TaskStartAccepted(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskStartAccepted, Machine: id, Task: task, Attempt: attempt})
}

// TaskStarted records a task that has started on its machine.
func (w *Workers) TaskStarted(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskStarted, Machine: id, Task: task, Attempt: attempt})
}

// TaskEnded records a task that has ended.
func (w *Workers) TaskEnded(id protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration) {
	w.record(rules.MachineEvent{At: at, Kind: rules.TaskEnded, Machine: id, Task: task, Attempt: attempt, Cause: cause})
}

// record stores an event until it is sent to the monitor.
func (w *Workers) record(e rules.MachineEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}
