package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// mergeUpdates is one message that says what two in a row do.
func mergeUpdates(before, after *message.StateUpdate) *message.StateUpdate {
	if before.Term != after.Term {
		return after // another stream
	}
	merged := *after
	if merged.Loan == nil {
		merged.Loan = before.Loan
	}
	if merged.Machines.Follows(before.Machines) {
		merged.Machines.From = before.Machines.From
		merged.States = latest(before.States, after.States, func(s message.MachineState) protocol.MachineID { return s.Machine })
	}
	if merged.Jobs.Follows(before.Jobs) {
		merged.Jobs.From = before.Jobs.From
		merged.Progress = latest(before.Progress, after.Progress, func(g message.Progress) protocol.JobID { return g.Job })
	}
	return &merged
}

// latest is what is said last of each thing.
func latest[K comparable, V any](before, after []V, key func(V) K) []V {
	said := make(map[K]bool, len(after))
	for _, v := range after {
		said[key(v)] = true
	}
	var all []V
	for _, v := range before {
		if !said[key(v)] {
			all = append(all, v)
		}
	}
	return append(all, after...)
}
