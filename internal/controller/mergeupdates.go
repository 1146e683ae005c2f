package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// mergeUpdates returns a state update that has the effect of two consecutive ones to the same
// peer. If their terms differ, that is the later one. Otherwise it is the later one with the
// earlier grant of rates if it has none itself, and with the earlier states of machines and
// jobs that it does not contain if its ranges of changes continue those of the earlier one.
func mergeUpdates(before, after *message.StateUpdate) *message.StateUpdate {
	if before.Term != after.Term {
		return after // a new term restarts the streams
	}
	merged := *after
	if merged.Loan == nil {
		merged.Loan = before.Loan
	}
	if merged.Machines.Follows(before.Machines) {
		merged.Machines.From = before.Machines.From
		merged.States = mergeLatest(before.States, after.States, func(s message.MachineState) protocol.MachineID { return s.Machine })
	}
	if merged.Jobs.Follows(before.Jobs) {
		merged.Jobs.From = before.Jobs.From
		merged.Progress = mergeLatest(before.Progress, after.Progress, func(g message.Progress) protocol.JobID { return g.Job })
	}
	return &merged
}

// mergeLatest returns the entries of both lists, except those of the first list whose keys
// also occur in the second.
func mergeLatest[K comparable, V any](before, after []V, key func(V) K) []V {
	replaced := make(map[K]bool, len(after))
	for _, v := range after {
		replaced[key(v)] = true
	}
	var merged []V
	for _, v := range before {
		if !replaced[key(v)] {
			merged = append(merged, v)
		}
	}
	return append(merged, after...)
}
