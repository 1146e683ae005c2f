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

// inventory sends the inventory of a machine from its dispatcher.
func (b *bench) inventory(id protocol.MachineID, held ...message.HeldAttempt) {
	b.c.jobs.HandleInventory(clusterstate.RendezvousDispatcher(b.c.View, id), &message.Inventory{
		Term: b.c.View.Term, Machine: id, Epoch: b.c.waitTable.Machines[id].Epoch, Upto: 1 << 40, Held: held,
	})
}

// TestTakeoverWaitsForAllInventories: a task of a job taken over is placed only when every
// machine that might have an attempt has sent its inventory; an older attempt that ended on
// one of them proves nothing about the others.
func TestTakeoverWaitsForAllInventories(t *testing.T) {
	b := newBench(t)
	b.machine("vm-1", 1)
	b.machine("vm-2", 1)
	b.job("job-1", "free", 1)
	task := protocol.TaskID{Job: "job-1"}
	b.view(3, "node-0") // a view was missed: nothing known before is valid
	o := b.c.jobs.ByID["job-1"]
	if !o.Unverified || o.Pending.Any() || len(o.Placed) > 0 {
		t.Fatalf("after a missed view: %+v", o)
	}
	b.step(message.BitmapLoaded{Job: "job-1", OK: true})
	b.inventory("vm-1", message.HeldAttempt{Task: task, Attempt: 1, State: protocol.TaskEnded, Cause: protocol.EndError})
	if o.Pending.Any() {
		t.Fatal("pending while vm-2 may run a later attempt")
	}
	b.inventory("vm-2", message.HeldAttempt{Task: task, Attempt: 2, State: protocol.TaskRunning})
	if o.Pending.Any() || o.Placed[task] == nil || o.Placed[task].Number != 2 {
		t.Fatal("the running attempt was dropped")
	}
}

// TestAttemptUnverifiedAfterDispatcherChange: an attempt placed through a controller that has
// left is unverified until its machine's new dispatcher sends an inventory.
func TestAttemptUnverifiedAfterDispatcherChange(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.machineOf("node-1")
	b.machine(id, 1)
	job := protocol.JobID("job-1")
	for i := 0; b.c.JobOwner(b.c.View, &protocol.Job{ID: job, Team: "free"}) != "node-0"; i++ {
		job = protocol.JobID("job-" + string(rune('a'+i)))
	}
	b.job(job, "free", 1)
	o := b.c.jobs.ByID[job]
	task := protocol.TaskID{Job: job}
	if o.Placed[task] == nil || o.Placed[task].Machine != id {
		t.Fatalf("not placed: %+v", o)
	}
	b.view(2, "node-0")
	if p := o.Placed[task]; p == nil || !p.Unverified {
		t.Fatalf("not unverified: %+v", p)
	}
	b.inventory(id)
	if o.Placed[task] != nil && o.Placed[task].Number>>32 != 2 {
		t.Error("not placed again after the inventory without it")
	}
}

// TestLimitAfterTakeoverCountsMachinesWithoutInventory: of a limited team just taken over,
// machines without an inventory may be full of attempts, those of jobs that are over
// included; no more than their capacity is withheld.
func TestLimitAfterTakeoverCountsMachinesWithoutInventory(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1") // 4 processors
	b.view(3, "node-0")
	b.job("job-1", "bound", 20) // limited to 12
	placed := func(want int, when string) {
		t.Helper()
		if n := len(b.c.jobs.ByID["job-1"].Placed); n != want {
			t.Fatalf("%d placed %s, want %d", n, when, want)
		}
	}
	placed(8, "before the machine's inventory")
	running := protocol.TaskStatus{Task: protocol.TaskID{Job: "job-0"}, Attempt: 1, State: protocol.TaskRunning}
	b.heartbeat("vm-1", 1, 3, running)
	placed(8, "while an attempt of an ended job runs")
	running.State, running.Cause = protocol.TaskEnded, protocol.EndStopped
	b.heartbeat("vm-1", 1, 3, running)
	placed(12, "when all is known")
	b.view(5, "node-0")
	b.c.waitTable.Machines["vm-1"].Info = protocol.TypeInfo{}
	if usage := b.c.jobs.TeamUsage()["bound"]; !math.IsInf(usage.CPUs, 1) {
		t.Fatalf("a machine of unknown size takes %v", usage.CPUs)
	}
}

// TestMachineRemovedOnlyAfterLeaseInTermOfAllMembers: the record of a silent machine is
// removed only after a whole lease in which every member is known to follow this term.
func TestMachineRemovedOnlyAfterLeaseInTermOfAllMembers(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.machineOf("node-0")
	b.machine(id, 1)
	removed := func() bool {
		for _, a := range b.step(message.Tick{}) {
			if c, ok := a.(message.Commit); ok && c.Tag == (dispatcher.RemoveTag{Machine: id}) {
				return true
			}
		}
		return false
	}
	pass := func(d time.Duration) (wasRemoved bool) {
		for range int(d / time.Second) {
			b.now += Time(time.Second)
			wasRemoved = removed() || wasRemoved
		}
		return wasRemoved
	}
	lease := time.Duration(b.c.Settings.Site.Workers.LeaseS) * time.Second
	if pass(3 * lease) {
		t.Fatal("removed while node-1 may answer in an earlier term")
	}
	b.step(message.BatchReceived{Batch: message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}})
	if pass(lease) {
		t.Fatal("removed before its lease has expired")
	}
	if !pass(10 * time.Second) {
		t.Error("never removed")
	}
}

// TestMachineRemovedWhenSilentBeforeRegistration: a worker that begins a new agent epoch and
// falls silent before that is registered does not leave its old record for ever.
func TestMachineRemovedWhenSilentBeforeRegistration(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.heartbeat("vm-1", 2, 1) // the registration is never answered
	for range 60 {
		b.now += Time(time.Second)
		if dropped(b.step(message.Tick{}), "vm-1") {
			return
		}
	}
	t.Fatal("the record of its earlier agent epoch stays")
}

// TestInventoryNotAwaitedFromContinuousDispatcher: a dispatcher that has held a machine's
// queue without a break since the worker saw a term of its own knows all that may be on the
// machine, and sends an inventory at once in a new term. After a missed term, or in a new
// agent epoch, only the worker's next heartbeat proves it.
func TestInventoryNotAwaitedFromContinuousDispatcher(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.machineOf("node-0")
	b.ready(id)
	awaited := func(want bool, when string) {
		t.Helper()
		if b.c.jobs.AwaitedInventories[id] != want {
			t.Errorf("inventory awaited %v %s, want %v", !want, when, want)
		}
	}
	b.heartbeat(id, 1, 1)
	b.view(2, "node-0")
	awaited(false, "after the next term")
	b.view(4, "node-0")
	awaited(true, "after a missed term")
	b.heartbeat(id, 1, 4)
	awaited(false, "after a heartbeat")
	b.heartbeat(id, 2, 3) // of a worker that has not seen the term
	b.machine(id, 2)
	b.view(5, "node-0")
	awaited(true, "in a new agent epoch")
}

// TestEndedAttemptsDroppedAfterDispatcherRestart: the attempts that an ended job had on a
// machine count against its team's limit only until the inventory of the machine's next
// dispatcher, which counts placements from the start.
func TestEndedAttemptsDroppedAfterDispatcherRestart(t *testing.T) {
	for _, over := range []string{"before the view", "after it"} {
		b := newBench(t, "node-1")
		id := b.machineOf("node-1")
		team := protocol.Team("bound")
		b.c.Settings.Site.Teams = nil
		for i := 0; clusterstate.Rendezvous(b.c.View, "team "+string(team)) != "node-0" || clusterstate.RendezvousExcluding(b.c.View, []protocol.NodeName{"node-1"}, "team "+string(team)) != "node-0"; i++ {
			team = protocol.Team("bound" + string(rune('a'+i)))
		}
		b.c.Settings.Site.Teams = []config.Team{{Name: team, MaxCPUs: 4}}
		b.c.Configuration.Reset() // read anew
		b.machine(id, 1)
		for i := range 2 { // the first is over before the second is placed
			job := protocol.JobID("job-" + string(rune('1'+i)))
			b.job(job, team, 4)
			if i == 0 {
				b.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey(job), Version: 90}})
				clear(b.c.jobs.EndedJobAttempts)
				b.step(message.Tick{})
			}
		}
		end := func() {
			b.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey("job-2"), Version: 91}})
		}
		if over == "before the view" {
			end()
		}
		b.c.View.Members["node-1"] = 77 // its process before this one
		b.view(2, "node-0", "node-1")
		if over == "after it" {
			end()
		}
		if len(b.c.jobs.EndedJobAttempts) != 4 {
			t.Fatalf("over %s: %d attempts count", over, len(b.c.jobs.EndedJobAttempts))
		}
		b.c.jobs.HandleInventory("node-1", &message.Inventory{Term: 2, Machine: id, Epoch: b.c.waitTable.Machines[id].Epoch})
		if n := len(b.c.jobs.EndedJobAttempts); n > 0 {
			t.Errorf("over %s: %d attempts count for ever", over, n)
		}
	}
}

// limited makes a team with a limit, which this controller owns, the only one.
func (b *bench) limited(cpus float64) protocol.Team {
	team := protocol.Team("bound")
	for i := 0; clusterstate.Rendezvous(b.c.View, "team "+string(team)) != "node-0"; i++ {
		team = protocol.Team("bound" + string(rune('a'+i)))
	}
	b.c.Settings.Site.Teams = []config.Team{{Name: team, MaxCPUs: cpus}}
	b.c.Configuration.Reset() // read anew
	return team
}

// TestHeldAttemptsOfEndedJobsCountAgainstLimit: a dispatcher that follows the records late
// lists attempts of a job that is over here: it has not killed them yet. They count against
// their team's limit until it reports that they have ended, for an owner that has just taken
// the team over, and for one that has owned it all the while.
func TestHeldAttemptsOfEndedJobsCountAgainstLimit(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		for _, state := range []protocol.TaskState{protocol.TaskRunning, protocol.TaskFetching, ""} {
			b := newBench(t, "node-1")
			id := b.machineOf("node-1")
			team := b.limited(4)
			b.machine(id, 1)
			b.job("job-1", team, 4)
			b.step(message.RecordChanged{Event: protocol.Event{Delete: record.LiveKey("job-1"), Version: 90}})
			if takenOver {
				clear(b.c.jobs.EndedJobAttempts)
				b.c.jobs.UnverifiedTeams[team], b.c.jobs.AwaitedInventories[id] = true, true
			}
			var held []message.HeldAttempt
			for i := range uint32(4) {
				held = append(held, message.HeldAttempt{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: protocol.Attempt(i + 1), State: state, Team: team, Need: resource.Amount{CPUs: 1}})
			}
			b.c.jobs.HandleInventory("node-1", &message.Inventory{Term: 1, Machine: id, Epoch: b.c.waitTable.Machines[id].Epoch, Upto: 99, Held: held})
			if used := b.c.jobs.TeamUsage()[team].CPUs; used != 4 {
				t.Errorf("taken over %v, %q: %v processors count, want 4", takenOver, state, used)
			}
			for _, h := range held {
				b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: id}, What: message.EventEnded, Cause: protocol.EndStopped})
			}
			if used := b.c.jobs.TeamUsage()[team].CPUs; used != 0 {
				t.Errorf("taken over %v, %q: %v processors count for ever", takenOver, state, used)
			}
		}
	}
}

// TestBitmapWriteConditionalOnItsVersion: a write of a job's bitmap that has no answer may be
// carried out after the next one, and would undo the ends that only that one has. Each write
// is conditional on the bitmap's own version, which is read again before anything more is
// written.
func TestBitmapWriteConditionalOnItsVersion(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 3)
	key := record.BitmapChunkKey("job-1", 0)
	type write struct {
		commit  *message.Commit
		version protocol.Version
	}
	next := func() (w write, reads bool) {
		for range 30 {
			for _, a := range b.step(message.Tick{}) {
				switch a := a.(type) {
				case message.Commit:
					if _, is := a.Tag.(jobs.BitmapTag); !is {
						continue
					}
					w = write{commit: &a}
					for _, cond := range a.Transaction.Conditions {
						if cond.Key == key {
							w.version = cond.Version
						}
					}
					if !slices.ContainsFunc(a.Transaction.Conditions, func(c protocol.Condition) bool { return c.Key == key }) {
						t.Fatal("written on any version")
					}
					return w, reads
				case message.LoadBitmap:
					reads = true
					b.step(message.BitmapLoaded{Job: "job-1", OK: true, Chunks: []protocol.Item{{Key: key, Version: 77, Value: encoded(t, record.EncodeChunk(b.c.jobs.ByID["job-1"].Done, 0))}}})
				}
			}
		}
		t.Fatal("the bitmap is not written")
		return w, reads
	}
	end := func(i uint32) {
		b.step(message.Tick{})
		b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
	}
	end(0)
	first, _ := next()
	if first.version != 0 {
		t.Errorf("the first on version %d", first.version)
	}
	b.step(message.CommitDone{Tag: first.commit.Tag, Outcome: message.OutcomeDone, Revision: 55})
	end(1)
	second, reads := next()
	if second.version != 55 || reads {
		t.Errorf("the second on version %d, read again %v", second.version, reads)
	}
	b.step(message.CommitDone{Tag: second.commit.Tag, Outcome: message.OutcomeUnknown})
	if third, reads := next(); third.version != 77 || !reads {
		t.Errorf("after no answer on version %d, read again %v", third.version, reads)
	}
}

func encoded(t *testing.T, v any) protocol.RawValue {
	raw, err := protocol.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
