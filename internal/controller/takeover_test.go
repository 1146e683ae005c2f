package controller

import (
	"math"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// deliverInventory has the core handle the inventory of a machine from its dispatcher.
func (h *harness) deliverInventory(id protocol.MachineID, held ...message.HeldAttempt) {
	h.core.jobs.HandleInventory(clusterstate.RendezvousDispatcher(h.core.View, id), &message.Inventory{
		Term: h.core.View.Term, Machine: id, Epoch: h.core.waitTable.Machines[id].Epoch, Upto: 1 << 40, Held: held,
	})
}

// TestTakeoverWaitsForAllInventories: a task of a job that was taken over is placed only after
// the inventories of all machines that might have an attempt of it have arrived. An older
// attempt that has ended on one of the machines proves nothing about the others.
func TestTakeoverWaitsForAllInventories(t *testing.T) {
	h := newHarness(t)
	h.registerMachine("vm-1", 1)
	h.registerMachine("vm-2", 1)
	h.acceptJob("job-1", "free", 1)
	task := protocol.TaskID{Job: "job-1"}
	h.adoptView(3, "node-0") // the core has missed a view, so all its state is unverified
	job := h.core.jobs.ByID["job-1"]
	if !job.Unverified || job.Pending.Any() || len(job.Placed) > 0 {
		t.Fatalf("after a missed view: %+v", job)
	}
	h.step(message.BitmapLoaded{Job: "job-1", Term: h.core.View.Term, OK: true})
	h.deliverInventory("vm-1", message.HeldAttempt{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndError})
	if job.Pending.Any() {
		t.Fatal("the task is pending while vm-2 may run a later attempt")
	}
	h.deliverInventory("vm-2", message.HeldAttempt{Task: task, Attempt: 2, State: protocol.TaskRunning})
	if job.Pending.Any() || job.Placed[task] == nil || job.Placed[task].Number != 2 {
		t.Fatal("the running attempt was dropped")
	}
}

// TestAttemptUnverifiedAfterDispatcherChange: an attempt that was placed through a controller
// that is no longer a member is unverified until the machine's new dispatcher sends an
// inventory.
func TestAttemptUnverifiedAfterDispatcherChange(t *testing.T) {
	h := newHarness(t, "node-1")
	id := h.machineDispatchedBy("node-1")
	h.registerMachine(id, 1)
	job := protocol.JobID("job-1")
	for i := 0; h.core.JobOwner(h.core.View, &protocol.Job{ID: job, Team: "free"}) != "node-0"; i++ {
		job = protocol.JobID("job-" + string(rune('a'+i)))
	}
	h.acceptJob(job, "free", 1)
	owned := h.core.jobs.ByID[job]
	task := protocol.TaskID{Job: job}
	if owned.Placed[task] == nil || owned.Placed[task].Machine != id {
		t.Fatalf("the task is not placed: %+v", owned)
	}
	h.adoptView(2, "node-0")
	if attempt := owned.Placed[task]; attempt == nil || !attempt.Unverified {
		t.Fatalf("the attempt is not unverified: %+v", attempt)
	}
	h.deliverInventory(id)
	if owned.Placed[task] != nil && owned.Placed[task].Number>>32 != 2 {
		t.Error("the task is not placed again after an inventory without the attempt")
	}
}

// TestLimitAfterTakeoverCountsMachinesWithoutInventory: after the takeover of a team with a
// limit, machines without an inventory may be full of attempts of the team, including attempts
// of ended jobs. The capacity of these machines counts against the limit, and no more than
// that.
func TestLimitAfterTakeoverCountsMachinesWithoutInventory(t *testing.T) {
	h := newHarness(t)
	h.bringIntoService("vm-1") // 4 processors
	h.adoptView(3, "node-0")
	h.acceptJob("job-1", "bound", 20) // the team is limited to 12 processors
	expectPlaced := func(want int, when string) {
		t.Helper()
		if n := len(h.core.jobs.ByID["job-1"].Placed); n != want {
			t.Fatalf("%d placed %s, want %d", n, when, want)
		}
	}
	expectPlaced(8, "before the machine's inventory")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-0"}, Attempt: 1, State: protocol.TaskRunning}
	h.sendHeartbeat("vm-1", 1, 3, running)
	expectPlaced(8, "while an attempt of an ended job runs")
	running.State, running.Cause = protocol.TaskEnded, protocol.EndStopped
	h.sendHeartbeat("vm-1", 1, 3, running)
	expectPlaced(12, "after the end of the last attempt was reported")
	h.adoptView(5, "node-0")
	h.core.waitTable.Machines["vm-1"].Info = protocol.TypeInfo{}
	if usage := h.core.jobs.TeamUsage()["bound"]; !math.IsInf(usage.CPUs, 1) {
		t.Fatalf("a machine of unknown size counts as %v processors, want infinitely many", usage.CPUs)
	}
}

// TestMachineRemovedOnlyAfterLeaseInTermOfAllMembers: the record of a machine that sends no
// heartbeats is removed only after the duration of a lease during which all members are known
// to have adopted this term.
func TestMachineRemovedOnlyAfterLeaseInTermOfAllMembers(t *testing.T) {
	h := newHarness(t, "node-1")
	id := h.machineDispatchedBy("node-0")
	h.registerMachine(id, 1)
	tickRemovesRecord := func() bool {
		for _, a := range h.step(message.Tick{}) {
			if c, ok := a.(message.Commit); ok && c.Tag == (dispatcher.RemoveTag{Machine: id}) {
				return true
			}
		}
		return false
	}
	removedWithin := func(d time.Duration) (wasRemoved bool) {
		for range int(d / time.Second) {
			h.now += Time(time.Second)
			wasRemoved = tickRemovesRecord() || wasRemoved
		}
		return wasRemoved
	}
	lease := time.Duration(h.core.Settings.Site.Workers.LeaseS) * time.Second
	if removedWithin(3 * lease) {
		t.Fatal("the record is removed while node-1 may answer heartbeats in an earlier term")
	}
	h.step(message.BatchReceived{Batch: message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}})
	if removedWithin(lease) {
		t.Fatal("the record is removed before the machine's lease has expired")
	}
	if !removedWithin(10 * time.Second) {
		t.Error("the record is not removed after the machine's lease has expired")
	}
}

// TestMachineRemovedWhenSilentBeforeRegistration: if a worker begins a new agent epoch and stops
// sending heartbeats before the epoch is registered, its old record is still removed.
func TestMachineRemovedWhenSilentBeforeRegistration(t *testing.T) {
	h := newHarness(t)
	h.bringIntoService("vm-1")
	h.sendHeartbeat("vm-1", 2, 1) // requests a registration, which is never answered
	for range 60 {
		h.now += Time(time.Second)
		if deletesMachineRecord(h.step(message.Tick{}), "vm-1") {
			return
		}
	}
	t.Fatal("the record of the earlier agent epoch is not removed")
}

// TestInventoryNotAwaitedFromContinuousDispatcher: a dispatcher that has held a machine's queue
// without a break since the worker received one of its terms lists all attempts that may be on
// the machine, and sends the inventory at once in a new term. After a missed term, or in a new
// agent epoch, the list is complete only after the worker's next heartbeat.
func TestInventoryNotAwaitedFromContinuousDispatcher(t *testing.T) {
	h := newHarness(t, "node-1")
	id := h.machineDispatchedBy("node-0")
	h.bringIntoService(id)
	expectAwaited := func(want bool, when string) {
		t.Helper()
		if h.core.jobs.AwaitedInventories[id] != want {
			t.Errorf("inventory awaited %v %s, want %v", !want, when, want)
		}
	}
	h.sendHeartbeat(id, 1, 1)
	h.adoptView(2, "node-0")
	expectAwaited(false, "after the next term")
	h.adoptView(4, "node-0")
	expectAwaited(true, "after a missed term")
	h.sendHeartbeat(id, 1, 4)
	expectAwaited(false, "after a heartbeat")
	h.sendHeartbeat(id, 2, 3) // from a worker that has not received the current term
	h.registerMachine(id, 2)
	h.adoptView(5, "node-0")
	expectAwaited(true, "in a new agent epoch")
}

// TestEndedAttemptsDroppedAfterDispatcherRestart: the attempts of an ended job on a machine count
// against its team's limit only until the inventory of the machine's next dispatcher. The next
// dispatcher restarts the count of placements.
func TestEndedAttemptsDroppedAfterDispatcherRestart(t *testing.T) {
	for _, ended := range []string{"before the view", "after it"} {
		h := newHarness(t, "node-1")
		id := h.machineDispatchedBy("node-1")
		team := protocol.Team("bound")
		h.core.Settings.Site.Teams = nil
		for i := 0; clusterstate.Rendezvous(h.core.View, "team "+string(team)) != "node-0" || clusterstate.RendezvousExcluding(h.core.View, []protocol.NodeName{"node-1"}, "team "+string(team)) != "node-0"; i++ {
			team = protocol.Team("bound" + string(rune('a'+i)))
		}
		h.core.Settings.Site.Teams = []config.Team{{Name: team, MaxCPUs: 4}}
		h.core.Configuration.Reset() // has it use the changed teams
		h.registerMachine(id, 1)
		for i := range 2 { // the first job ends before the second is placed
			job := protocol.JobID("job-" + string(rune('1'+i)))
			h.acceptJob(job, team, 4)
			if i == 0 {
				h.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey(job), Version: 90}})
				clear(h.core.jobs.EndedJobAttempts)
				h.step(message.Tick{})
			}
		}
		endJob := func() {
			h.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey("job-2"), Version: 91}})
		}
		if ended == "before the view" {
			endJob()
		}
		h.core.View.Members["node-1"] = 77 // the session of its previous process
		h.adoptView(2, "node-0", "node-1")
		if ended == "after it" {
			endJob()
		}
		if len(h.core.jobs.EndedJobAttempts) != 4 {
			t.Fatalf("job ended %s: %d attempts count, want 4", ended, len(h.core.jobs.EndedJobAttempts))
		}
		h.core.jobs.HandleInventory("node-1", &message.Inventory{Term: 2, Machine: id, Epoch: h.core.waitTable.Machines[id].Epoch})
		if n := len(h.core.jobs.EndedJobAttempts); n > 0 {
			t.Errorf("job ended %s: %d attempts still count after the inventory", ended, n)
		}
	}
}

// useLimitedTeam replaces the teams by a single one with a limit, which this controller owns.
func (h *harness) useLimitedTeam(cpus float64) protocol.Team {
	team := protocol.Team("bound")
	for i := 0; clusterstate.Rendezvous(h.core.View, "team "+string(team)) != "node-0"; i++ {
		team = protocol.Team("bound" + string(rune('a'+i)))
	}
	h.core.Settings.Site.Teams = []config.Team{{Name: team, MaxCPUs: cpus}}
	h.core.Configuration.Reset() // has it use the changed teams
	return team
}

// TestHeldAttemptsOfEndedJobsCountAgainstLimit: a dispatcher that receives the records late lists
// attempts of a job whose end this controller has already handled, because it has not killed
// them yet. They count against their team's limit until the dispatcher reports their end. This
// holds for an owner that has just taken over the team, and for one that has owned it before.
func TestHeldAttemptsOfEndedJobsCountAgainstLimit(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		for _, state := range []protocol.TaskState{protocol.TaskRunning, protocol.TaskFetching, ""} {
			h := newHarness(t, "node-1")
			id := h.machineDispatchedBy("node-1")
			team := h.useLimitedTeam(4)
			h.registerMachine(id, 1)
			h.acceptJob("job-1", team, 4)
			h.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey("job-1"), Version: 90}})
			if takenOver {
				clear(h.core.jobs.EndedJobAttempts)
				h.core.jobs.UnverifiedTeams[team], h.core.jobs.AwaitedInventories[id] = true, true
			}
			var held []message.HeldAttempt
			for i := range uint32(4) {
				held = append(held, message.HeldAttempt{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: protocol.Attempt(i + 1), State: state, Team: team, Need: resource.Amount{CPUs: 1}})
			}
			h.core.jobs.HandleInventory("node-1", &message.Inventory{Term: 1, Machine: id, Epoch: h.core.waitTable.Machines[id].Epoch, Upto: 99, Held: held})
			if used := h.core.jobs.TeamUsage()[team].CPUs; used != 4 {
				t.Errorf("taken over %v, %q: %v processors count, want 4", takenOver, state, used)
			}
			for _, attempt := range held {
				h.core.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: attempt.Task, Attempt: attempt.Attempt, Machine: id}, What: message.EventEnded, Cause: protocol.EndStopped})
			}
			if used := h.core.jobs.TeamUsage()[team].CPUs; used != 0 {
				t.Errorf("taken over %v, %q: %v processors still count after the reported ends", takenOver, state, used)
			}
		}
	}
}

// TestBitmapWriteConditionalOnItsVersion: a write of a job's bitmap that was not answered may be
// executed after the next write, and would undo the ends that only the next write contains. Each
// write is therefore conditional on the version of the bitmap, and after a write without an
// answer the bitmap is read again before the next one.
func TestBitmapWriteConditionalOnItsVersion(t *testing.T) {
	h := newHarness(t)
	h.bringIntoService("vm-1")
	h.acceptJob("job-1", "free", 3)
	key := record.BitmapChunkKey("job-1", 0)
	type write struct {
		commit  *message.Commit
		version protocol.Version
	}
	nextWrite := func() (written write, reads bool) {
		for range 30 {
			for _, a := range h.step(message.Tick{}) {
				switch a := a.(type) {
				case message.Commit:
					if _, isBitmap := a.Tag.(jobs.BitmapTag); !isBitmap {
						continue
					}
					written = write{commit: &a}
					for _, cond := range a.Transaction.Conditions {
						if cond.Key == key {
							written.version = cond.Version
						}
					}
					if !slices.ContainsFunc(a.Transaction.Conditions, func(c protocol.Condition) bool { return c.Key == key }) {
						t.Fatal("the write of the bitmap is not conditional on its version")
					}
					return written, reads
				case message.LoadBitmap:
					reads = true
					h.step(message.BitmapLoaded{Job: "job-1", Term: h.core.View.Term, OK: true, Chunks: []protocol.Item{{Key: key, Version: 77, Value: encode(t, record.EncodeChunk(h.core.jobs.ByID["job-1"].Done, 0))}}})
				}
			}
		}
		t.Fatal("the bitmap is not written")
		return written, reads
	}
	endTask := func(i uint32) {
		h.step(message.Tick{})
		h.core.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
	}
	endTask(0)
	first, _ := nextWrite()
	if first.version != 0 {
		t.Errorf("the first write is conditional on version %d, want 0", first.version)
	}
	h.step(message.CommitDone{Tag: first.commit.Tag, Outcome: message.OutcomeDone, Revision: 55})
	endTask(1)
	second, reads := nextWrite()
	if second.version != 55 || reads {
		t.Errorf("the second write is conditional on version %d, bitmap read again %v", second.version, reads)
	}
	h.step(message.CommitDone{Tag: second.commit.Tag, Outcome: message.OutcomeUnknown})
	if third, reads := nextWrite(); third.version != 77 || !reads {
		t.Errorf("the write after one without an answer is conditional on version %d, bitmap read again %v", third.version, reads)
	}
}

// encode returns the encoding of a record's value.
func encode(t *testing.T, value any) protocol.RawValue {
	raw, err := protocol.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
