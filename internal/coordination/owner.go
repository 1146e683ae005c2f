package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// ownerState is what a controller keeps of the jobs it owns.
type ownerState struct {
	jobs    map[protocol.JobID]*ownedJob
	sorted  []*ownedJob                 // in order of placement; nil: to be sorted again
	dirty   bool                        // something may have become placeable
	pending map[protocol.MachineID]bool // machines whose inventory of this term is awaited
	leaving map[TaskRef]leavingTask     // attempts of limited teams' jobs that are over, not proven gone
	unsure  map[protocol.Team]bool      // limited teams just taken over, whose use is not known yet
	attempt uint64
	order   uint64
	retryAt Time
	overdue overdues
}

func newOwnerState() ownerState {
	return ownerState{
		jobs: map[protocol.JobID]*ownedJob{}, pending: map[protocol.MachineID]bool{},
		leaving: map[TaskRef]leavingTask{}, unsure: map[protocol.Team]bool{},
	}
}

// leavingTask is an attempt of a job that is over. It counts against its
// team's limit for as long as it may be on its machine.
type leavingTask struct {
	team   protocol.Team
	need   resources
	number uint64 // of the Place that carried it; 0: any inventory counts
}

// ownedJob is a job this controller owns.
type ownedJob struct {
	*liveJob
	loaded  bool // the bitmap of finished tasks has been read
	loading bool
	unknown bool // taken over: tasks not listed may be anywhere until all inventories are in

	done    *bitset.BitSet
	nDone   uint32
	pending *bitset.BitSet // tasks to be placed
	placed  map[protocol.TaskID]*placedTask
	running uint32
	dirty   map[int]bool // bitmap chunks to be written
	writing bool
	finish  bool // all done; to be written
	ran     runTimes
	again   *bitset.BitSet // tasks that ran before, in part
	ending  bool           // the write is on its way

	level     level // at the last placement
	failedOn  map[protocol.MachineID]bool
	backoff   time.Duration
	notBefore Time
	since     Time
}

// placedTask is an attempt that may exist: queued, started, or not proven gone.
type placedTask struct {
	task      protocol.TaskID
	attempt   protocol.Attempt
	machine   protocol.MachineID
	epoch     protocol.Version
	zone      protocol.Zone
	number    uint64 // of the Place that carried it
	estimate  float64
	started   bool
	running   bool
	runs      Time // since when, as far as told
	uncertain bool // its machine's inventory of this term decides
	midway    bool // may have run for a while when it was first told to run
	stopping  bool // told to be killed
	moving    bool // asked back, if it was never sent
}

type (
	finishTag struct{ job protocol.JobID }
	bitsTag   struct {
		job    protocol.JobID
		chunks []int
	}
)

// estimate is a task's expected run time; the default stands in for none.
func (c *Core) estimate(j *protocol.Job) float64 {
	if j.EstimateS > 0 {
		return j.EstimateS
	}
	return c.op.DefaultEstimate.Seconds()
}

// jobLive takes over the record of an accepted job.
func (c *Core) jobLive(j protocol.Job, version protocol.Version, snapshot bool) {
	if c.live[j.ID] != nil {
		return
	}
	l := &liveJob{Job: j, version: version, since: c.submitted(&j)}
	l.due = c.due(l)
	c.live[j.ID] = l
	c.noteArrival(&l.Job)
	if snapshot || !c.member() || c.ownerOf(l) != c.self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	o := c.own(l)
	o.loaded = true
	o.pending.FlipRange(0, uint(j.Tasks))
	c.log.Debug("job", "id", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks)
}

func (c *Core) own(l *liveJob) *ownedJob {
	o := &ownedJob{
		liveJob: l, done: bitset.New(uint(l.Tasks)), pending: bitset.New(uint(l.Tasks)),
		again: bitset.New(uint(l.Tasks)), placed: map[protocol.TaskID]*placedTask{}, dirty: map[int]bool{}, failedOn: map[protocol.MachineID]bool{}, since: l.since,
	}
	c.owner.jobs[l.ID] = o
	c.owner.sorted = nil
	c.owner.dirty = true
	return o
}

// jobOver: the job's record says done or cancelled.
func (c *Core) jobOver(id protocol.JobID) {
	delete(c.live, id)
	c.noteOver(id)
	if o := c.owner.jobs[id]; o != nil {
		for _, t := range tasksInOrder(o.placed) {
			if c.limited(o.Team) {
				left := leavingTask{o.Team, need(&o.Job), t.number}
				if t.uncertain {
					left.number = 0
				}
				c.owner.leaving[TaskRef{t.task, t.attempt, t.machine}] = left
			}
			c.askStop(t, true, 0)
			c.unplace(o, t)
		}
		delete(c.owner.jobs, id)
		c.owner.sorted = nil
		c.owner.dirty = true
	}
	for _, q := range inOrder(c.queues) {
		for _, e := range tasksWhere(q.entries, func(t protocol.TaskID, _ *entry) bool { return t.Job == id }) {
			if !e.sent && !e.present {
				c.dropWaiting(q, e)
				c.tell(q, e, WhatReleased)
			} else {
				c.wake(q) // killed or reaped now, or by the next answer
			}
		}
	}
}

// adoptJobs goes over to a new view: jobs owned without a break are kept, with
// what changed hands made uncertain; others are taken over or let go.
func (c *Core) adoptJobs(old bookkeeping.View, keeps bool) {
	before := c.owner.jobs
	c.owner.jobs = map[protocol.JobID]*ownedJob{}
	c.owner.sorted = nil
	c.owner.dirty = true
	c.owner.pending = map[protocol.MachineID]bool{}
	if !keeps {
		clear(c.owner.leaving)
	}
	for ref, t := range c.owner.leaving {
		// A keeper's new session counts placements anew: held against its
		// count, an attempt long gone would take of its team's limit for ever.
		if c.changedKeeper(old, ref.Machine) {
			t.number = 0
			c.owner.leaving[ref] = t
		}
	}
	for _, t := range c.settings.Site.Teams {
		if j := (&protocol.Job{Team: t.Name}); t.Limited() && c.jobOwner(c.view, j) == c.self && (!keeps || c.jobOwner(old, j) != c.self) {
			c.owner.unsure[t.Name] = true
		}
	}
	for id, m := range c.machines {
		c.owner.pending[id] = true
		clear(m.mine)
	}
	for id, l := range inOrder(c.live) {
		if c.ownerOf(l) != c.self {
			continue
		}
		o := before[id]
		if o == nil || !keeps {
			o = c.own(l)
			o.unknown = true
			o.loading = true
			c.do(LoadBits{Job: id})
			continue
		}
		c.owner.jobs[id] = o
		for _, t := range o.placed {
			if c.changedKeeper(old, t.machine) {
				t.uncertain = true
			}
			if m := c.machines[t.machine]; m != nil {
				m.mine[t.task] = t
			}
		}
	}
	c.resolveUnknown()
}

// changedKeeper reports whether a machine is kept by another controller, or
// another session of the same, than by an earlier view.
func (c *Core) changedKeeper(old bookkeeping.View, id protocol.MachineID) bool {
	keeper := c.keeper(id)
	return machineKeeper(old, id) != keeper || !sameSession(old, c.view, keeper)
}

func (c *Core) jobLoaded(m JobLoaded) {
	o := c.owner.jobs[m.Job]
	if o == nil || o.loaded {
		return
	}
	o.loading = false
	if !m.OK {
		return // asked for again at a later tick
	}
	for _, it := range m.Chunks {
		var b bookkeeping.Bits
		err := protocol.Decode(it.Value, &b)
		if err == nil {
			err = bookkeeping.DecodeChunk(it.Key, b, o.done, o.Tasks)
		}
		if err != nil {
			c.log.Error("bitmap can't be read", "job", m.Job, "err", err)
		}
	}
	o.loaded = true
	o.nDone = uint32(o.done.Count())
	for id, t := range tasksInOrder(o.placed) {
		if o.done.Test(uint(id.Index)) {
			c.askStop(t, true, 0)
		}
	}
	c.checkDone(o)
	c.resolveUnknown()
}

// resolveUnknown makes the unlisted tasks of jobs taken over placeable, once
// every machine that might hold one has been heard or is proven empty.
func (c *Core) resolveUnknown() {
	if len(c.owner.pending) > 0 {
		return
	}
	clear(c.owner.unsure)
	c.owner.dirty = true
	for _, o := range c.owner.jobs {
		if !o.unknown || !o.loaded {
			continue
		}
		o.unknown = false
		for i := uint32(0); i < o.Tasks; i++ {
			if !o.done.Test(uint(i)) && o.placed[protocol.TaskID{Job: o.ID, Index: i}] == nil {
				o.pending.Set(uint(i))
			}
		}
		c.owner.dirty = true
		c.log.Debug("job taken over", "id", o.ID, "done", o.nDone, "placed", len(o.placed))
	}
}

// unplace forgets an attempt that is proven gone, or not this job's concern.
func (c *Core) unplace(o *ownedJob, t *placedTask) {
	delete(o.placed, t.task)
	if t.running {
		o.running--
		t.running = false
	}
	if m := c.machines[t.machine]; m != nil && m.mine[t.task] == t {
		delete(m.mine, t.task)
	}
}

// gone makes a task whose attempt is proven gone placeable again.
func (c *Core) gone(o *ownedJob, t *placedTask) {
	if t.started {
		o.again.Set(uint(t.task.Index))
	}
	c.unplace(o, t)
	// Of a job just taken over, an attempt that is gone proves nothing of the
	// others: a later one may run on a machine not heard yet. What is missing
	// when all are heard becomes placeable then.
	if !o.unknown && !o.done.Test(uint(t.task.Index)) {
		o.pending.Set(uint(t.task.Index))
	}
	c.owner.dirty = true
	if o.Kind == protocol.KindGang {
		// The rest of the attempt can't go on: its next one starts when all
		// of this one are gone.
		for _, other := range tasksInOrder(o.placed) {
			c.askStop(other, true, c.grace(o))
		}
	}
}

// grace lets a task save.
func (c *Core) grace(o *ownedJob) float64 { return 2*o.SaveS + 1 }

// askStop asks the machine's keeper to end an attempt.
func (c *Core) askStop(t *placedTask, kill bool, grace float64) {
	if t.stopping && kill && grace > 0 {
		return
	}
	t.stopping, t.moving = t.stopping || kill, !kill
	c.send(c.keeper(t.machine), PeerMessage{Stop: &Stop{
		TaskRef: TaskRef{Task: t.task, Attempt: t.attempt, Machine: t.machine}, Kill: kill, GraceS: grace,
	}})
}

// loseMachine: everything placed by the machine's present record is gone.
func (c *Core) loseMachine(m *machineEntry) {
	delete(c.owner.pending, m.id)
	c.left(m.id, math.MaxUint64)
	for _, t := range tasksInOrder(m.mine) {
		if o := c.owner.jobs[t.task.Job]; o != nil && o.placed[t.task] == t {
			c.gone(o, t)
		}
	}
	c.owner.dirty = true
	c.resolveUnknown()
}

// left: a machine holds no attempts of jobs that are over, of those placed up
// to a number.
func (c *Core) left(id protocol.MachineID, upto uint64) {
	for ref, t := range c.owner.leaving {
		if ref.Machine == id && t.number <= upto {
			delete(c.owner.leaving, ref)
			c.owner.dirty = true
		}
	}
}

// event takes what a keeper says of an attempt.
func (c *Core) event(e TaskEvent) {
	o := c.owner.jobs[e.Task.Job]
	if o == nil && (e.What == WhatEnded || e.What == WhatReleased) {
		delete(c.owner.leaving, e.TaskRef)
		c.owner.dirty = true
	}
	if o == nil || e.Task.Index >= o.Tasks {
		return
	}
	t := o.placed[e.Task]
	mine := t != nil && t.attempt == e.Attempt && t.machine == e.Machine
	switch e.What {
	case WhatReleased:
		if !mine {
			return
		}
		if !t.stopping && !t.moving {
			// Refused by the keeper, which knows something of the machine
			// that the table does not: not again before its next summary.
			if m := c.machines[t.machine]; m != nil {
				m.told.Closed = true
			}
		}
		c.gone(o, t)
	case WhatPresent, WhatRunning:
		if mine {
			c.markStarted(o, t, e.What == WhatRunning)
		} else if o.loaded && !o.unknown {
			c.refuseStray(e)
		}
	case WhatNotice:
		if mine {
			c.noticed(o, t, e.LeftS)
		}
	case WhatEnded:
		c.taskEnded(o, t, mine, e)
		c.send(c.keeper(e.Machine), PeerMessage{Forget: &TaskRef{Task: e.Task, Attempt: e.Attempt, Machine: e.Machine}})
	}
}

// refuseStray has an attempt killed that this owner never placed or has
// already taken for gone.
func (c *Core) refuseStray(e TaskEvent) {
	c.log.Error("an attempt runs that is not the present one", "task", e.Task, "attempt", e.Attempt, "machine", e.Machine)
	c.askStop(&placedTask{task: e.Task, attempt: e.Attempt, machine: e.Machine}, true, 0)
}

func (c *Core) markStarted(o *ownedJob, t *placedTask, running bool) {
	t.started, t.moving = true, false
	if running && !t.running {
		t.running, t.runs = true, c.now
		o.running++
		c.watchRun(o, t)
	}
}

// noticed moves a task off a machine that is about to be taken. One that
// can't save goes on if it may finish in time: else what it does until then is
// time lost for its next attempt.
func (c *Core) noticed(o *ownedJob, t *placedTask, leftS float64) {
	if o.Kind == protocol.KindGang {
		for _, other := range tasksInOrder(o.placed) {
			c.askStop(other, true, c.grace(o))
		}
		return
	}
	if o.CheckpointS > 0 || o.Kind == protocol.KindService {
		c.askStop(t, true, c.grace(o))
		return
	}
	ran := 0.0
	if t.running {
		ran = c.since(t.runs).Seconds()
	}
	if t.estimate-ran > leftS {
		c.askStop(t, true, 0)
	}
}

func (c *Core) taskEnded(o *ownedJob, t *placedTask, mine bool, e TaskEvent) {
	if e.Cause == protocol.EndDone && o.Kind != protocol.KindService {
		c.markDone(o, e.Task.Index)
		if mine {
			c.noteRun(o, t)
			c.runsWell(o, t)
			c.unplace(o, t)
		} else if t != nil {
			c.askStop(t, true, 0)
		}
		if o.Kind == protocol.KindGang {
			for i := range o.Tasks {
				c.markDone(o, i) // they complete together
			}
		}
		c.checkDone(o)
		c.owner.dirty = true
		return
	}
	if !mine {
		return
	}
	switch e.Cause {
	case protocol.EndError:
		o.failedOn[e.Machine] = true
		if c.failsEverywhere(o) {
			o.backoff = min(max(2*o.backoff, 5*time.Second), 5*time.Minute)
			o.notBefore = c.after(o.backoff)
			c.log.Info("job fails wherever it runs: it waits", "job", o.ID, "machines", len(o.failedOn), "wait", o.backoff)
		}
	case protocol.EndUnknown:
		o.notBefore = c.after(2 * time.Second)
	case protocol.EndFull, protocol.EndInUse:
		if m := c.machines[e.Machine]; m != nil {
			m.told.Closed = true
		}
	}
	c.log.Debug("attempt ended", "task", e.Task, "cause", e.Cause, "saved", e.Saved, "machine", e.Machine)
	c.gone(o, t)
}

func (c *Core) markDone(o *ownedJob, i uint32) {
	o.pending.Clear(uint(i))
	if o.done.Test(uint(i)) {
		return
	}
	o.done.Set(uint(i))
	o.nDone++
	o.dirty[int(i)/bookkeeping.ChunkTasks] = true
	if o.backoff > 0 {
		o.backoff, o.notBefore = 0, 0
		clear(o.failedOn)
	}
}

// checkDone has a job's end written once all its tasks are done. It is told
// to nobody before that is durable.
func (c *Core) checkDone(o *ownedJob) {
	if !o.loaded || o.nDone < o.Tasks || o.finish {
		return
	}
	o.finish = true
	c.writeFinish(o)
}

func (c *Core) writeFinish(o *ownedJob) {
	if o.ending || !c.acting() {
		return
	}
	o.ending = true
	txn := protocol.Txn{
		If: []protocol.Condition{{Key: bookkeeping.LiveKey(o.ID), Version: o.version}, {Key: bookkeeping.JobKey(o.ID), Version: o.version}},
		Then: []protocol.Change{
			{Put: bookkeeping.JobKey(o.ID), Value: bookkeeping.JobRecord{State: bookkeeping.RecordDone, Tasks: o.Tasks}},
			{Delete: bookkeeping.LiveKey(o.ID)},
		},
	}
	for chunk := 0; chunk*bookkeeping.ChunkTasks < int(o.Tasks); chunk++ {
		txn.Then = append(txn.Then, protocol.Change{Delete: bookkeeping.BitsKey(o.ID, chunk)})
	}
	c.do(Commit{Tag: finishTag{o.ID}, Txn: txn})
}

func (c *Core) finishDone(tag finishTag, out Outcome) {
	o := c.owner.jobs[tag.job]
	if o == nil {
		return
	}
	o.ending = out == OutcomeDone // otherwise again at a later tick; a conflict shows in the records
}

// flushBits writes the bitmaps that changed, a few at a time.
func (c *Core) flushBits() {
	if !c.acting() {
		return
	}
	n := 0
	for _, o := range inOrder(c.owner.jobs) {
		if len(o.dirty) == 0 || o.writing || o.finish || !o.loaded {
			continue
		}
		if n++; n > c.settings.Site.State.TxnOps {
			return
		}
		tag := bitsTag{job: o.ID}
		txn := protocol.Txn{If: []protocol.Condition{
			{Key: bookkeeping.ViewKey, Version: c.viewVersion}, // a former owner writes nothing late
			{Key: bookkeeping.LiveKey(o.ID), Version: o.version},
		}}
		for chunk := range inOrder(o.dirty) {
			tag.chunks = append(tag.chunks, chunk)
			txn.Then = append(txn.Then, protocol.Change{Put: bookkeeping.BitsKey(o.ID, chunk), Value: bookkeeping.EncodeChunk(o.done, chunk)})
		}
		clear(o.dirty)
		o.writing = true
		c.do(Commit{Tag: tag, Txn: txn})
	}
}

func (c *Core) bitsDone(tag bitsTag, out Outcome) {
	o := c.owner.jobs[tag.job]
	if o == nil {
		return
	}
	o.writing = false
	if out != OutcomeDone {
		for _, chunk := range tag.chunks {
			o.dirty[chunk] = true
		}
	}
}

// retryJobs repeats what the state service did not do.
func (c *Core) retryJobs() {
	if c.now < c.owner.retryAt || !c.acting() {
		return
	}
	c.owner.retryAt = c.after(time.Second)
	for id, o := range inOrder(c.owner.jobs) {
		if o.finish {
			c.writeFinish(o)
		}
		if !o.loaded && !o.loading {
			o.loading = true
			c.do(LoadBits{Job: id})
		}
		if o.notBefore > 0 && c.now >= o.notBefore {
			o.notBefore = 0
			c.owner.dirty = true
		}
	}
}

// inventory takes a keeper's proof of all that is on a machine.
func (c *Core) inventory(from protocol.NodeName, inv *Inventory) {
	m := c.machines[inv.Machine]
	if inv.Term != c.view.Term || m == nil || m.epoch != inv.Epoch || c.keeper(inv.Machine) != from {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, h := range inv.Held {
		o := c.owner.jobs[h.Task.Job]
		if o == nil || h.Task.Index >= o.Tasks {
			continue
		}
		listed[h.Task] = true
		c.takeHeld(o, m, h)
	}
	for _, t := range tasksInOrder(m.mine) {
		o := c.owner.jobs[t.task.Job]
		if o == nil || listed[t.task] || (!t.uncertain && t.number > inv.Upto) {
			continue
		}
		c.gone(o, t)
	}
	c.left(inv.Machine, inv.Upto)
	delete(c.owner.pending, inv.Machine)
	c.resolveUnknown()
}

// takeHeld takes one attempt of an inventory.
func (c *Core) takeHeld(o *ownedJob, m *machineEntry, h Held) {
	ref := TaskRef{Task: h.Task, Attempt: h.Attempt, Machine: m.id}
	t := o.placed[h.Task]
	if t == nil && o.unknown {
		t = &placedTask{
			task: h.Task, attempt: h.Attempt, machine: m.id, epoch: m.epoch, zone: m.rec.Zone,
			estimate: c.estimate(&o.Job), midway: true,
		}
		o.placed[h.Task] = t
		m.mine[h.Task] = t
		if o.done.Test(uint(h.Task.Index)) {
			c.askStop(t, true, 0)
		}
	}
	if t != nil && t.attempt == h.Attempt && t.machine == m.id {
		t.midway = t.midway || t.uncertain && !t.running
		if t.uncertain {
			t.number, t.uncertain = 0, false // counted by a session that is over
		}
	}
	switch h.State {
	case "":
	case protocol.TaskEnded:
		c.event(TaskEvent{TaskRef: ref, What: WhatEnded, Cause: h.Cause, Saved: h.Saved})
	case protocol.TaskRunning:
		c.event(TaskEvent{TaskRef: ref, What: WhatRunning})
	default:
		c.event(TaskEvent{TaskRef: ref, What: WhatPresent})
	}
}

// jobsInOrder returns the owned jobs in the order they are placed: the more urgent
// priority first, then what is due first, then by creation.
func (c *Core) jobsInOrder() []*ownedJob {
	if c.owner.sorted == nil {
		for _, o := range c.owner.jobs {
			c.owner.sorted = append(c.owner.sorted, o)
		}
		slices.SortFunc(c.owner.sorted, func(a, b *ownedJob) int {
			return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.due, b.due), cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
		})
	}
	return c.owner.sorted
}
