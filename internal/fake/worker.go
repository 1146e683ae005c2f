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
	// Mistaken, if set, tells which jobs fail on every machine, after a second.
	Mistaken func(protocol.JobID) bool
	Notice   *float64
	Session  protocol.AgentEpoch
	Term     protocol.Term
	Seq      protocol.Seq

	Jobs func(protocol.JobID) (protocol.Job, bool)
	// Ordered, if set, hears of tasks whose start was taken, before they have their image.
	Ordered func(*Worker, protocol.TaskID, protocol.Attempt)
	// Started and Ended hear of tasks as they come onto and go off the machine.
	Started func(*Worker, protocol.TaskID, protocol.Attempt)
	Ended   func(*Worker, protocol.TaskID, protocol.EndCause)
	RunTime func(protocol.TaskID) time.Duration
	// Saved, if set, hears what a task that saved its progress has left to run.
	Saved   func(protocol.TaskID, time.Duration)
	Results map[protocol.TaskID]bool // kept results, shared by all workers
	// Caches has it fetch an image once; else every task fetches its own anew, which is
	// more work than there is, and more moments at which something can go wrong.
	Caches bool
	// FetchTime, if set, is how long an image takes to fetch; else it is a second.
	FetchTime func(protocol.Job) time.Duration

	changes int // how often a task has changed its state by itself, ever

	images map[string]bool // fetched

	tasks    map[protocol.TaskID]*workerTask
	order    []protocol.TaskID // of the tasks; nil: to be sorted again
	renewed  time.Duration     // when the last answered report was sent
	lastTick time.Duration
}

type workerTask struct {
	attempt protocol.Attempt
	state   protocol.TaskState
	cause   protocol.EndCause
	saved   bool
	left    time.Duration
	ran     time.Duration
	fetch   time.Duration
	save    time.Duration
}

// mistakeAfter is how long a task of a job with a mistake runs before it fails.
const mistakeAfter = time.Second

// Start puts a worker into service.
func (w *Worker) Start(now time.Duration) {
	w.Session, w.renewed, w.lastTick = 1, now, now
	w.tasks, w.images = map[protocol.TaskID]*workerTask{}, map[string]bool{}
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

// LeaseEnds is when the lease ends, unless a report is answered before.
func (w *Worker) LeaseEnds() time.Duration {
	return w.renewed + time.Duration(w.LeaseS*float64(time.Second))
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

// Skip passes time in which the machine stood still: its tasks did not go on, its
// lease did, and what it holds beyond that it can't go on with.
func (w *Worker) Skip(now time.Duration) {
	w.lastTick = now
	if !w.Dead && (now-w.renewed).Seconds() > w.LeaseS {
		w.Restart(now)
	}
}

// Restart begins the next session: all tasks are gone.
func (w *Worker) Restart(now time.Duration) {
	for id, t := range w.tasks {
		if t.state != protocol.TaskEnded {
			w.end(id, t, protocol.EndStopped)
		}
	}
	w.tasks, w.order = map[protocol.TaskID]*workerTask{}, nil
	w.Session++
	w.Seq = 0
	w.renewed = now
}

// Next is when time next changes something here, if no command does.
func (w *Worker) Next() time.Duration {
	next := w.LeaseEnds() + 1
	for _, t := range w.tasks {
		in := time.Duration(-1)
		switch t.state {
		case protocol.TaskFetching:
			in = t.fetch
		case protocol.TaskSaving:
			in = t.save
		case protocol.TaskRunning, protocol.TaskWaiting:
			in = t.left
		}
		if in >= 0 {
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

func (w *Worker) tickTask(id protocol.TaskID, t *workerTask, passed time.Duration) {
	switch t.state {
	case protocol.TaskFetching:
		if t.fetch -= passed; t.fetch <= 0 {
			t.state = protocol.TaskRunning
			w.changes++
			w.Started(w, id, t.attempt)
			j, _ := w.Jobs(id.Job)
			w.images[j.Image] = true
			switch {
			case w.Results[id]:
				w.end(id, t, protocol.EndDone)
			case j.Kind == protocol.KindGang && j.Tasks > 1:
				t.state, t.left = protocol.TaskWaiting, w.GangWait
			}
		}
	case protocol.TaskWaiting:
		if t.left -= passed; t.left <= 0 {
			w.end(id, t, protocol.EndIncomplete)
		}
	case protocol.TaskSaving:
		if t.save -= passed; t.save <= 0 {
			t.saved = true
			w.end(id, t, protocol.EndStopped)
		}
	case protocol.TaskRunning:
		t.left, t.ran = t.left-passed, t.ran+passed
		switch j, _ := w.Jobs(id.Job); {
		case w.Faulty, w.Mistaken != nil && w.Mistaken(id.Job) && t.ran >= mistakeAfter:
			w.end(id, t, protocol.EndError)
		case t.left <= 0 && j.Kind == protocol.KindGang:
			for i := range j.Tasks { // they complete together
				w.Results[protocol.TaskID{Job: id.Job, Index: i}] = true
			}
			w.end(id, t, protocol.EndDone)
		case t.left <= 0 && j.Kind != protocol.KindService:
			w.Results[id] = true
			w.end(id, t, protocol.EndDone)
		}
	}
}

func (w *Worker) end(id protocol.TaskID, t *workerTask, cause protocol.EndCause) {
	w.changes++
	w.Ended(w, id, cause)
	if t.saved && w.Saved != nil {
		w.Saved(id, t.left)
	}
	t.state, t.cause = protocol.TaskEnded, cause
}

// Gang is the attempt and state of a gang's task here, if it is on the machine.
func (w *Worker) Gang(id protocol.TaskID) (protocol.Attempt, protocol.TaskState, bool) {
	t := w.tasks[id]
	if w.Dead || t == nil {
		return 0, "", false
	}
	return t.attempt, t.state, true
}

// Meet lets a waiting task of a gang run, once all of its attempt wait.
func (w *Worker) Meet(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskWaiting {
		t.state, t.left = protocol.TaskRunning, w.RunTime(id)
	}
}

// Part ends a running task of a gang that lost another.
func (w *Worker) Part(id protocol.TaskID) {
	if t := w.tasks[id]; t.state == protocol.TaskRunning {
		cause := protocol.EndGangLost
		if w.Results[id] {
			cause = protocol.EndDone
		}
		w.end(id, t, cause)
	}
}

// Report is what the worker says now.
func (w *Worker) Report() protocol.Heartbeat {
	w.Seq++
	r := protocol.Heartbeat{
		Machine: w.ID, Address: "worker " + string(w.ID), Type: w.Info.Name, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: w.Session, Seq: w.Seq, Term: w.Term, NoticeS: w.Notice,
	}
	for _, id := range w.sorted() {
		t := w.tasks[id]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.saved})
	}
	return r
}

// Answer takes the answer to a report of a session, sent at a time.
func (w *Worker) Answer(session protocol.AgentEpoch, sent time.Duration, reply protocol.HeartbeatReply) {
	if w.Dead || session != w.Session || reply.Term < w.Term {
		return
	}
	w.Term = reply.Term
	w.renewed = max(w.renewed, sent)
	w.execute(reply.Orders)
}

// Do takes direct commands and reports whether they were executed.
func (w *Worker) Do(c protocol.Commands) bool {
	if c.Term < w.Term || c.AgentEpoch != w.Session {
		return false
	}
	w.Term = c.Term
	w.execute(c.Orders)
	return true
}

func (w *Worker) execute(orders []protocol.Order) {
	for _, o := range orders {
		t := w.tasks[o.Task]
		switch o.Op {
		case protocol.OpStart:
			w.start(o, t)
		case protocol.OpStop:
			if t != nil && t.attempt == o.Attempt {
				w.stop(o, t)
			}
		case protocol.OpForget:
			if t != nil && t.attempt == o.Attempt && t.state == protocol.TaskEnded {
				delete(w.tasks, o.Task)
				w.order = nil
			}
		}
	}
}

func (w *Worker) start(o protocol.Order, have *workerTask) {
	if have != nil && (have.attempt == o.Attempt || have.state != protocol.TaskEnded) {
		return
	}
	j, ok := w.Jobs(o.Task.Job)
	t := &workerTask{attempt: o.Attempt, state: protocol.TaskFetching, fetch: time.Second}
	w.tasks[o.Task], w.order = t, nil
	free := w.Info.CPUs
	for id, other := range w.tasks {
		if k, known := w.Jobs(id.Job); known && other != t && other.state != protocol.TaskEnded {
			free -= k.CPUs
		}
	}
	switch {
	case !ok:
		t.state, t.cause = protocol.TaskEnded, protocol.EndUnknown
	case j.CPUs > free+1e-9:
		t.state, t.cause = protocol.TaskEnded, protocol.EndFull
	default:
		t.left = w.RunTime(o.Task)
		if w.FetchTime != nil {
			t.fetch = w.FetchTime(j)
		}
		if w.Caches && w.images[j.Image] {
			t.fetch = 0
		}
		if w.Ordered != nil {
			w.Ordered(w, o.Task, o.Attempt)
		}
	}
}

func (w *Worker) stop(o protocol.Order, t *workerTask) {
	j, _ := w.Jobs(o.Task.Job)
	grace := 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch {
	case t.state == protocol.TaskEnded:
	case t.state == protocol.TaskRunning && j.CheckpointS > 0 && grace >= j.SaveS:
		t.state, t.save = protocol.TaskSaving, time.Duration(j.SaveS*float64(time.Second))
	case t.state == protocol.TaskSaving && grace > 0:
	default:
		w.end(o.Task, t, protocol.EndStopped)
	}
}
