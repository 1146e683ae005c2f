package fake

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// Worker models the worker of one machine.
type Worker struct {
	ID     protocol.MachineID
	Info   protocol.TypeInfo
	Zone   protocol.Zone
	Spot   bool
	LeaseS float64
	// GangWait is how long a task waits for the others of its gang.
	GangWait time.Duration
	Dead     bool
	Faulty   bool // fails every task
	// IsFaulty, if set, reports which jobs fail on every machine, after a second.
	IsFaulty func(protocol.JobID) bool
	Notice   *float64
	Epoch    protocol.AgentEpoch
	Term     protocol.Term
	Seq      protocol.Seq

	Jobs func(protocol.JobID) (protocol.Job, bool)
	// Ordered, if set, is called for a task whose start was taken, before its image is
	// fetched.
	Ordered func(*Worker, protocol.TaskID, protocol.Attempt)
	// Started and Ended are called for a task as it comes onto and goes off the machine.
	Started func(*Worker, protocol.TaskID, protocol.Attempt)
	Ended   func(*Worker, protocol.TaskID, protocol.EndCause)
	RunTime func(protocol.TaskID) time.Duration
	// OnCheckpoint, if set, is called with the time that a task which saved a checkpoint still
	// has to run.
	OnCheckpoint func(protocol.TaskID, time.Duration)
	Results      map[protocol.TaskID]bool // kept results, shared by all workers
	// CachesImages has it fetch an image once; else every task fetches its own anew, which is
	// more work than there is, and more moments at which something can go wrong.
	CachesImages bool
	// FetchTime, if set, is how long an image takes to fetch; else it is a second.
	FetchTime func(protocol.Job) time.Duration

	changes      int // how often a task has started or ended, ever
	cachedImages map[string]bool

	tasks          map[protocol.TaskID]*workerTask
	order          []protocol.TaskID // of the tasks; nil: to be sorted again
	leaseRenewedAt time.Duration     // when the last answered heartbeat was sent
	lastTick       time.Duration
}

// Start puts a worker into service.
func (w *Worker) Start(now time.Duration) {
	w.Epoch, w.leaseRenewedAt, w.lastTick = 1, now, now
	w.tasks, w.cachedImages = map[protocol.TaskID]*workerTask{}, map[string]bool{}
}

// Holds reports whether a task is on the machine in the sense of the rules.
func (w *Worker) Holds(id protocol.TaskID) bool {
	t := w.tasks[id]
	return !w.Dead && t != nil && t.state != protocol.TaskEnded && t.state != protocol.TaskFetching
}

// Tasks lists the tasks that are on the machine, or fetch their image there.
func (w *Worker) Tasks() []protocol.TaskID {
	if w.Dead {
		return nil
	}
	var ids []protocol.TaskID
	for id, t := range w.tasks {
		if t.state != protocol.TaskEnded {
			ids = append(ids, id)
		}
	}
	return ids
}

// LastTick is when time last passed here.
func (w *Worker) LastTick() time.Duration { return w.lastTick }

// LeaseEnds is when the lease expires, unless a heartbeat is answered before.
func (w *Worker) LeaseEnds() time.Duration {
	return w.leaseRenewedAt + seconds(w.LeaseS)
}

// Changes counts how often tasks here have started or ended.
func (w *Worker) Changes() int { return w.changes }

// Tick lets time pass.
func (w *Worker) Tick(now time.Duration) {
	passed := now - w.lastTick
	if w.Skip(now); w.Dead {
		return
	}
	for _, id := range w.sorted() {
		w.tickTask(id, w.tasks[id], passed)
	}
}

// Skip passes time in which the machine stood still: its tasks did not go on, but its
// lease did. Tasks do not outlive the lease.
func (w *Worker) Skip(now time.Duration) {
	w.lastTick = now
	if !w.Dead && (now-w.leaseRenewedAt).Seconds() > w.LeaseS {
		w.Restart(now)
	}
}

// Restart begins the next agent epoch: all tasks are lost.
func (w *Worker) Restart(now time.Duration) {
	for id, t := range w.tasks {
		if t.state != protocol.TaskEnded {
			w.end(id, t, protocol.EndStopped)
		}
	}
	w.tasks, w.order = map[protocol.TaskID]*workerTask{}, nil
	w.Epoch++
	w.Seq = 0
	w.leaseRenewedAt = now
}

// NextChange is when time next changes something here, if no command does.
func (w *Worker) NextChange() time.Duration {
	next := w.LeaseEnds() + 1
	for _, t := range w.tasks {
		if in, ok := t.nextChange(); ok {
			next = min(next, w.lastTick+in)
		}
	}
	return next
}

// sorted lists the tasks in order.
func (w *Worker) sorted() []protocol.TaskID {
	if len(w.order) == len(w.tasks) && w.order != nil {
		return w.order
	}
	w.order = slices.SortedFunc(maps.Keys(w.tasks), func(a, b protocol.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return w.order
}

// Heartbeat is the heartbeat that the worker sends now.
func (w *Worker) Heartbeat() protocol.Heartbeat {
	w.Seq++
	heartbeat := protocol.Heartbeat{
		Machine: w.ID, Address: "worker " + string(w.ID), Type: w.Info.Name, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.Epoch, Seq: w.Seq, Term: w.Term, NoticeS: w.Notice,
	}
	for _, id := range w.sorted() {
		t := w.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed,
		})
	}
	return heartbeat
}

// TakeReply takes the answer to a heartbeat of an agent epoch, sent at a time.
func (w *Worker) TakeReply(epoch protocol.AgentEpoch, sent time.Duration, reply protocol.HeartbeatReply) {
	if w.Dead || epoch != w.Epoch || reply.Term < w.Term {
		return
	}
	w.Term = reply.Term
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.execute(reply.Orders)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
