package fake

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// Worker models the agent of one machine and the tasks on it.
type Worker struct {
	ID     protocol.MachineID
	Info   protocol.TypeInfo
	Zone   protocol.Zone
	Spot   bool
	LeaseS float64 // duration of the worker's lease, in seconds
	// GangWait is how long a task waits for the other tasks of its gang.
	GangWait time.Duration
	Dead     bool // whether the machine has stopped
	Faulty   bool // whether every task on the machine fails
	// IsFaultyJob, if set, reports whether a job is faulty. The tasks of a faulty job fail on
	// every machine, one second after their start.
	IsFaultyJob func(protocol.JobID) bool
	Notice      *float64            // seconds until the cloud reclaims the machine; nil if it has not announced that
	Epoch       protocol.AgentEpoch // present agent epoch
	Term        protocol.Term       // highest fencing token of the commands received
	Seq         protocol.Seq        // sequence number of the last heartbeat in this epoch

	// JobByID returns the description of a job, and whether it is known.
	JobByID func(protocol.JobID) (protocol.Job, bool)
	// OnStartAccepted, if set, is called when the worker has accepted the start of a task, before
	// it fetches the image.
	OnStartAccepted func(*Worker, protocol.TaskID, protocol.Attempt)
	// OnStarted is called when the image of a task is fetched and the task starts to occupy
	// the machine.
	OnStarted func(*Worker, protocol.TaskID, protocol.Attempt)
	// OnEnded is called just before a task ends, while it still has its last state. It is not
	// called for a task that ends at once because its job is unknown or because the task
	// does not fit on the machine.
	OnEnded func(*Worker, protocol.TaskID, protocol.EndCause)
	// RunTime returns how long a task runs. It is called when the start of a task is
	// accepted, and again when a waiting task of a gang starts to run.
	RunTime func(protocol.TaskID) time.Duration
	// OnCheckpoint, if set, is called when a task that has saved a checkpoint ends, with
	// the remaining run time of the task.
	OnCheckpoint func(protocol.TaskID, time.Duration)
	Results      map[protocol.TaskID]bool // tasks that have completed, shared by all workers
	// CachesImages makes the worker fetch each image only once. Otherwise it fetches the
	// image again for every task: real workers do less work, but the additional fetches
	// give simulations more moments at which a fault can occur.
	CachesImages bool
	// FetchTime, if set, returns how long it takes to fetch the image of a job. The default
	// is one second.
	FetchTime func(protocol.Job) time.Duration

	stateChanges int // total number of task starts and ends
	cachedImages map[string]bool

	tasks          map[protocol.TaskID]*workerTask
	sortedTasks    []protocol.TaskID // sorted keys of tasks; nil if they must be sorted again
	leaseRenewedAt time.Duration     // send time of the last answered heartbeat
	lastTick       time.Duration
}

// Start starts the first agent epoch of the worker, without tasks and with a new lease.
func (w *Worker) Start(now time.Duration) {
	w.Epoch, w.leaseRenewedAt, w.lastTick = 1, now, now
	w.tasks, w.cachedImages = map[protocol.TaskID]*workerTask{}, map[string]bool{}
}

// IsOccupiedBy reports whether a task occupies the machine: it has started and has not ended. A
// task that is still fetching its image does not count.
func (w *Worker) IsOccupiedBy(id protocol.TaskID) bool {
	t := w.tasks[id]
	return !w.Dead && t != nil && t.state != protocol.TaskEnded && t.state != protocol.TaskFetching
}

// Tasks returns the tasks on the machine that have not ended, including those that are
// fetching their image, in no particular order.
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

// LastTick returns the time to which the worker was last advanced.
func (w *Worker) LastTick() time.Duration { return w.lastTick }

// LeaseExpiresAt returns the time at which the lease expires if no later heartbeat is
// answered.
func (w *Worker) LeaseExpiresAt() time.Duration {
	return w.leaseRenewedAt + seconds(w.LeaseS)
}

// StateChanges returns the total number of task starts and ends on the machine.
func (w *Worker) StateChanges() int { return w.stateChanges }

// Tick advances the worker and its tasks to the time now. If the lease has expired, it ends all
// tasks and starts the next agent epoch.
func (w *Worker) Tick(now time.Duration) {
	elapsed := now - w.lastTick
	if w.TickStalled(now); w.Dead {
		return
	}
	for _, id := range w.sortedTaskIDs() {
		w.tickTask(id, w.tasks[id], elapsed)
	}
}

// TickStalled advances the worker to the time now without running its tasks, as if the machine
// had stalled since the last tick. If the lease has expired meanwhile, it ends all tasks, which
// do not outlive the lease, and starts the next agent epoch.
func (w *Worker) TickStalled(now time.Duration) {
	w.lastTick = now
	if !w.Dead && (now-w.leaseRenewedAt).Seconds() > w.LeaseS {
		w.Restart(now)
	}
}

// Restart ends all tasks, which are lost, and starts the next agent epoch with a new lease.
func (w *Worker) Restart(now time.Duration) {
	w.Reboot(now)
	w.Epoch++
	w.Seq = 0
}

// Reboot ends all tasks, which are lost, and starts a new lease. The agent epoch, the highest
// fencing token and the sequence number stay as they are.
func (w *Worker) Reboot(now time.Duration) {
	for id, t := range w.tasks {
		if t.state != protocol.TaskEnded {
			w.end(id, t, protocol.EndStopped)
		}
	}
	w.tasks, w.sortedTasks = map[protocol.TaskID]*workerTask{}, nil
	w.leaseRenewedAt = now
}

// RebootFromScratch is a Reboot after which the worker also begins its agent epochs, fencing
// tokens and sequence numbers anew.
func (w *Worker) RebootFromScratch(now time.Duration) {
	w.Reboot(now)
	w.Epoch, w.Term, w.Seq = 1, 0, 0
}

// NextChangeAt returns the time of the next change of the worker's state if no command and no
// reply arrives before: a task's next change, or just after the lease expires.
func (w *Worker) NextChangeAt() time.Duration {
	next := w.LeaseExpiresAt() + 1
	for _, t := range w.tasks {
		if in, ok := t.nextChange(); ok {
			next = min(next, w.lastTick+in)
		}
	}
	return next
}

// sortedTaskIDs returns the task ids, sorted by job and index.
func (w *Worker) sortedTaskIDs() []protocol.TaskID {
	if len(w.sortedTasks) == len(w.tasks) && w.sortedTasks != nil {
		return w.sortedTasks
	}
	w.sortedTasks = slices.SortedFunc(maps.Keys(w.tasks), func(a, b protocol.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return w.sortedTasks
}

// Heartbeat returns the next heartbeat to send, with the next sequence number and the states of
// all tasks, including ended ones that the controller has not acknowledged yet.
func (w *Worker) Heartbeat() protocol.Heartbeat {
	w.Seq++
	heartbeat := protocol.Heartbeat{
		Machine: w.ID, Address: "worker " + string(w.ID), Type: w.Info.Name, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.Epoch, Seq: w.Seq, Term: w.Term, NoticeS: w.Notice,
	}
	for _, id := range w.sortedTaskIDs() {
		t := w.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed,
		})
	}
	return heartbeat
}

// ProcessReply processes the reply to the heartbeat that was sent at the time sent in the
// given agent epoch. It renews the lease from that time and executes the orders. It ignores
// replies to an earlier epoch, or with a lower fencing token than the highest received.
func (w *Worker) ProcessReply(epoch protocol.AgentEpoch, sent time.Duration, reply protocol.HeartbeatReply) {
	if w.Dead || epoch != w.Epoch || reply.Term < w.Term {
		return
	}
	w.Term = reply.Term
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.execute(reply.Orders)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
