package jobs

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// newOwned returns the state of the jobs of node-0, which owns no jobs yet. node-0 holds its
// lease, and the view also contains node-1.
func newOwned(t testing.TB) *Owned {
	t.Helper()
	settings := fake.Settings()
	settings.Name = "node-0"
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	rng := rand.New(rand.NewPCG(1, 1))
	table := waittable.New(module, rng)
	table.Reset()
	work := workload.New(module, table)
	work.Reset()
	owned := New(module, table, work, rng)
	owned.Reset()
	owned.Now, owned.LeaseDeadline = clock.Time(time.Second), clock.Time(time.Hour)
	owned.Session = 100
	owned.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100, "node-1": 101}}
	table.AdoptPeers(owned.View)
	return owned
}

// addMachines registers n idle machines with four processors each.
func addMachines(table *waittable.Table, n int) {
	for i := range n {
		id := protocol.MachineID(fmt.Sprintf("vm-%02d", i))
		table.Add(&waittable.Machine{
			Machine: &clusterstate.Machine{
				ID: id, Epoch: 1, Info: protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16}, Record: record.Machine{Zone: "a"},
			},
			State: message.MachineState{Machine: id, Epoch: 1, FreeCPUs: 4, FreeGB: 16},
		})
	}
}

// taskRef returns a reference to the first attempt of a task of job-1.
func taskRef(index uint32, machine protocol.MachineID) message.TaskRef {
	return message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: index}, Attempt: 1, Machine: machine}
}

// startAttempt adds an attempt to a job and delivers a report that it runs.
func startAttempt(owned *Owned, job *Job, ref message.TaskRef) *Attempt {
	attempt := &Attempt{Task: ref.Task, Number: ref.Attempt, Machine: ref.Machine, Estimate: owned.EstimateRunSeconds(job)}
	if m := owned.table.Machines[ref.Machine]; m != nil {
		attempt.Epoch, attempt.Zone = m.Epoch, m.Record.Zone
	}
	owned.AddAttempt(job, attempt)
	owned.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
	return attempt
}

// endAttempt delivers a report that an attempt has ended.
func endAttempt(owned *Owned, ref message.TaskRef, cause protocol.EndCause) {
	owned.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: cause})
}
