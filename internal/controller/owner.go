package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// ownerState is what a controller keeps of the jobs it owns.
type ownerState struct {
	jobs           map[protocol.JobID]*ownedJob
	sorted         []*ownedJob                     // in order of placement; nil: to be sorted again
	dirty          bool                            // something may have become placeable
	pending        map[protocol.MachineID]bool     // machines whose inventory of this term is awaited
	leaving        map[message.TaskRef]leavingTask // attempts of limited teams' jobs that are over, not proven gone
	unsure         map[protocol.Team]bool          // limited teams just taken over, whose use is not known yet
	attempt        uint64
	retryAt        Time
	overdue        overdues
	failedSearches []failedSearch
}

func newOwnerState() ownerState {
	return ownerState{
		jobs: map[protocol.JobID]*ownedJob{}, pending: map[protocol.MachineID]bool{},
		leaving: map[message.TaskRef]leavingTask{}, unsure: map[protocol.Team]bool{},
	}
}

// leavingTask is an attempt of a job that is over. It counts against its
// team's limit for as long as it may be on its machine.
type leavingTask struct {
	team   protocol.Team
	need   resource.Amount
	number uint64 // of the Place that carried it; 0: any inventory counts
}

// ownedJob is a job this controller owns.
type ownedJob struct {
	*clusterstate.LiveJob
	loaded  bool // the bitmap of finished tasks has been read
	loading bool
	unknown bool // taken over: tasks not listed may be anywhere until all inventories are in

	done    *bitset.BitSet
	nDone   uint32
	pending *bitset.BitSet // tasks to be placed
	placed  map[protocol.TaskID]*placedTask
	running uint32
	waits   int          // attempts placed that have not started
	dirty   map[int]bool // bitmap chunks to be written
	writing bool
	// underWay are the bitmap chunks that are being written.
	underWay []int
	// stored are the bitmap chunks that may be in the records, and their versions as
	// last read or written; reread: these may be others, since a write has no answer.
	stored map[int]protocol.Version
	reread bool
	finish bool // all done; to be written
	ran    forecast.RunTimes
	again  *bitset.BitSet // tasks that ran before, in part
	ending bool           // the write is on its way

	stuck   bool // a gang: when last tried, machines were looked at and none found
	tried   Time
	claimed []*machineEntry // for it then
	// lacksSince is since when a gang lacks a place for what was released of it.
	lacksSince Time

	level    resource.Level // at the last placement
	yields   bool           // at the last placement: has only what others leave
	failedOn map[protocol.MachineID]bool
	failures int  // attempts that ended in an error since a task was last done
	failing  bool // it fails wherever it runs
	// failedAfter is how long its tasks ran at the most before they failed.
	failedAfter time.Duration
	backoff     time.Duration
	notBefore   Time
	since       Time
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
	trial     bool // placed while the job failed wherever it ran
}

type (
	finishTag struct{ job protocol.JobID }
	bitsTag   struct {
		job    protocol.JobID
		chunks []int
	}
)

// jobLive takes over the record of an accepted job.
func (c *Core) jobLive(j protocol.Job, version protocol.Version, snapshot bool) {
	if c.Live[j.ID] != nil {
		return
	}
	l := &clusterstate.LiveJob{Job: j, Version: version, Since: c.Submitted(&j)}
	l.Due = c.Due(l)
	c.Live[j.ID] = l
	c.noteArrival(&l.Job)
	if snapshot || !c.Member() || c.OwnerOf(l) != c.Self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	o := c.own(l)
	o.loaded = true
	o.pending.FlipRange(0, uint(j.Tasks))
	c.Log.Debug("job", "id", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks)
}

func (c *Core) own(l *clusterstate.LiveJob) *ownedJob {
	o := &ownedJob{
		LiveJob: l, done: bitset.New(uint(l.Tasks)), pending: bitset.New(uint(l.Tasks)),
		again: bitset.New(uint(l.Tasks)), placed: map[protocol.TaskID]*placedTask{}, dirty: map[int]bool{}, stored: map[int]protocol.Version{}, failedOn: map[protocol.MachineID]bool{}, since: l.Since,
	}
	c.owner.jobs[l.ID] = o
	c.ownedChanged.Touch(l.ID)
	c.owner.sorted = nil
	c.owner.dirty = true
	return o
}

// jobOver: the job's record says done or cancelled.
func (c *Core) jobOver(id protocol.JobID) {
	c.reservedJobOver(c.Live[id])
	failing := c.jobFails(id)
	delete(c.Live, id)
	c.NoteOver(id)
	for _, p := range c.peers {
		delete(p.progress, id)
	}
	if o := c.owner.jobs[id]; o != nil {
		for _, t := range ordered.Tasks(o.placed) {
			if c.Limited(o.Team) {
				left := leavingTask{o.Team, resource.Need(&o.Job), t.number}
				if t.uncertain {
					left.number = 0
				}
				c.owner.leaving[message.TaskRef{Task: t.task, Attempt: t.attempt, Machine: t.machine}] = left
			}
			c.askStop(t, true, 0)
			c.unplace(o, t)
		}
		delete(c.owner.jobs, id)
		c.ownedChanged.Drop(id)
		c.owner.sorted = nil
		c.owner.dirty = true
	}
	c.keeping.JobOver(id, failing)
}

// unplace forgets an attempt that is proven gone, or not this job's concern.
func (c *Core) unplace(o *ownedJob, t *placedTask) {
	if o.placed[t.task] == t {
		delete(o.placed, t.task)
		if !t.started {
			o.waits--
		}
	}
	if t.running {
		o.running--
		t.running = false
	}
	c.ownedChanged.Touch(o.ID)
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
		for _, other := range ordered.Tasks(o.placed) {
			c.askStop(other, true, clusterstate.GraceS(&o.Job))
		}
	}
}

// askStop asks the machine's keeper to end an attempt.
func (c *Core) askStop(t *placedTask, kill bool, grace float64) {
	if t.stopping && kill && grace > 0 {
		return
	}
	t.stopping, t.moving = t.stopping || kill, !kill
	c.Send(c.Keeper(t.machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: message.TaskRef{Task: t.task, Attempt: t.attempt, Machine: t.machine}, Kill: kill, GraceS: grace,
	}})
}

// loseMachine: everything placed by the machine's present record is gone.
func (c *Core) loseMachine(m *machineEntry) {
	delete(c.owner.pending, m.ID)
	c.left(m.ID, math.MaxUint64)
	for _, t := range ordered.Tasks(m.mine) {
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

// retryJobs repeats what the state service did not do.
func (c *Core) retryJobs() {
	if c.Now < c.owner.retryAt || !c.Acting() {
		return
	}
	c.owner.retryAt = c.After(time.Second)
	for id, o := range ordered.Of(c.owner.jobs) {
		if o.finish {
			c.writeFinish(o)
		}
		if (!o.loaded || o.reread) && !o.loading {
			o.loading = true
			c.Do(message.LoadBits{Job: id})
		}
		if o.notBefore > 0 && c.Now >= o.notBefore {
			o.notBefore = 0
			c.owner.dirty = true
		}
		c.watchTrials(o)
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
			return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.Due, b.Due), cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
		})
	}
	return c.owner.sorted
}
