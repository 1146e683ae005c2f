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
	jobs               map[protocol.JobID]*ownedJob
	sorted             []*ownedJob                      // in order of placement; nil: to be sorted again
	placementDue       bool                             // something may have become placeable
	awaitedInventories map[protocol.MachineID]bool      // machines whose inventory of this term is awaited
	endedAttempts      map[message.TaskRef]endedAttempt // attempts of limited teams' jobs that are over, not proven gone
	unverifiedTeams    map[protocol.Team]bool           // limited teams just taken over, whose use is not known yet
	attemptCounter     uint64
	retryAt            Time
	runWatch           runDeadlines
	failedSearches     []failedSearch
}

func newOwnerState() ownerState {
	return ownerState{
		jobs: map[protocol.JobID]*ownedJob{}, awaitedInventories: map[protocol.MachineID]bool{},
		endedAttempts: map[message.TaskRef]endedAttempt{}, unverifiedTeams: map[protocol.Team]bool{},
	}
}

// endedAttempt is an attempt of a job that is over. It counts against its
// team's limit for as long as it may be on its machine.
type endedAttempt struct {
	team        protocol.Team
	need        resource.Amount
	placeNumber uint64 // of the Place that carried it; 0: any inventory counts
}

// ownedJob is a job this controller owns.
type ownedJob struct {
	*clusterstate.LiveJob
	loaded     bool // the bitmap of finished tasks has been read
	loading    bool
	unverified bool // taken over: tasks not listed may be anywhere until all inventories are in

	done        *bitset.BitSet
	nDone       uint32
	pending     *bitset.BitSet // tasks to be placed
	placed      map[protocol.TaskID]*attempt
	running     uint32
	waiting     int          // attempts placed that have not started
	dirtyChunks map[int]bool // bitmap chunks to be written
	writing     bool
	// chunksInFlight are the bitmap chunks that are being written.
	chunksInFlight []int
	// storedChunks are the bitmap chunks that may be in the records, and their versions as
	// last read or written; reread: these may be others, since a write has no answer.
	storedChunks   map[int]protocol.Version
	rereadNeeded   bool
	finishDue      bool // all done; to be written
	runTimes       forecast.RunTimes
	retry          *bitset.BitSet // tasks that ran before, in part
	finishInFlight bool           // the write is on its way

	searchFailed    bool // a gang: when last tried, machines were looked at and none found
	searchedAt      Time
	claimedMachines []*machineEntry // for it then
	// lacksSince is since when a gang lacks a place for what was released of it.
	lacksSince Time

	level        resource.Level // at the last placement
	usesHeadroom bool           // at the last placement: has only what others leave
	failedOn     map[protocol.MachineID]bool
	failures     int  // attempts that ended in an error since a task was last done
	failing      bool // it fails wherever it runs
	// failedAfter is how long its tasks ran at the most before they failed.
	failedAfter time.Duration
	backoff     time.Duration
	notBefore   Time
	since       Time
}

// placeNumber is an attempt that may exist: queued, started, or not proven gone.
type attempt struct {
	task         protocol.TaskID
	number       protocol.Attempt
	machine      protocol.MachineID
	epoch        protocol.Version
	zone         protocol.Zone
	placeNumber  uint64 // of the Place that carried it
	estimate     float64
	started      bool
	running      bool
	runningSince Time // since when, as far as told
	unverified   bool // its machine's inventory of this term decides
	startUnseen  bool // may have run for a while when it was first told to run
	stopping     bool // told to be killed
	releaseAsked bool // asked back, if it was never sent
	trial        bool // placed while the job failed wherever it ran
}

type (
	finishTag struct{ job protocol.JobID }
	bitmapTag struct {
		job    protocol.JobID
		chunks []int
	}
)

// jobAccepted takes over the record of an accepted job.
func (c *Core) jobAccepted(j protocol.Job, version protocol.Version, snapshot bool) {
	if c.Live[j.ID] != nil {
		return
	}
	l := &clusterstate.LiveJob{Job: j, Version: version, Since: c.SubmissionTime(&j)}
	l.Deadline = c.Deadline(l)
	c.Live[j.ID] = l
	c.recordArrival(&l.Job)
	if snapshot || !c.Member() || c.OwnerOf(l) != c.Self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	o := c.adoptJob(l)
	o.loaded = true
	o.pending.FlipRange(0, uint(j.Tasks))
	c.Log.Debug("job", "id", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks)
}

func (c *Core) adoptJob(l *clusterstate.LiveJob) *ownedJob {
	o := &ownedJob{
		LiveJob: l, done: bitset.New(uint(l.Tasks)), pending: bitset.New(uint(l.Tasks)),
		retry: bitset.New(uint(l.Tasks)), placed: map[protocol.TaskID]*attempt{}, dirtyChunks: map[int]bool{}, storedChunks: map[int]protocol.Version{}, failedOn: map[protocol.MachineID]bool{}, since: l.Since,
	}
	c.owner.jobs[l.ID] = o
	c.ownedChanges.Touch(l.ID)
	c.owner.sorted = nil
	c.owner.placementDue = true
	return o
}

// jobEnded: the job's record says done or cancelled.
func (c *Core) jobEnded(id protocol.JobID) {
	c.reservedJobOver(c.Live[id])
	failing := c.isFailing(id)
	delete(c.Live, id)
	c.MarkEnded(id)
	for _, p := range c.peers {
		delete(p.progress, id)
	}
	if o := c.owner.jobs[id]; o != nil {
		for _, t := range ordered.Tasks(o.placed) {
			if c.Limited(o.Team) {
				left := endedAttempt{o.Team, resource.Need(&o.Job), t.placeNumber}
				if t.unverified {
					left.placeNumber = 0
				}
				c.owner.endedAttempts[message.TaskRef{Task: t.task, Attempt: t.number, Machine: t.machine}] = left
			}
			c.sendStop(t, true, 0)
			c.removeAttempt(o, t)
		}
		delete(c.owner.jobs, id)
		c.ownedChanges.Drop(id)
		c.owner.sorted = nil
		c.owner.placementDue = true
	}
	c.dispatcher.JobOver(id, failing)
}

// removeAttempt forgets an attempt that is proven gone, or not this job's concern.
func (c *Core) removeAttempt(o *ownedJob, t *attempt) {
	if o.placed[t.task] == t {
		delete(o.placed, t.task)
		if !t.started {
			o.waiting--
		}
	}
	if t.running {
		o.running--
		t.running = false
	}
	c.ownedChanges.Touch(o.ID)
	if m := c.machines[t.machine]; m != nil && m.ownAttempts[t.task] == t {
		delete(m.ownAttempts, t.task)
	}
}

// attemptLost makes a task whose attempt is proven gone placeable again.
func (c *Core) attemptLost(o *ownedJob, t *attempt) {
	if t.started {
		o.retry.Set(uint(t.task.Index))
	}
	c.removeAttempt(o, t)
	// Of a job just taken over, an attempt that is gone proves nothing of the
	// others: a later one may run on a machine not heard yet. What is missing
	// when all are heard becomes placeable then.
	if !o.unverified && !o.done.Test(uint(t.task.Index)) {
		o.pending.Set(uint(t.task.Index))
	}
	c.owner.placementDue = true
	if o.Kind == protocol.KindGang {
		// The rest of the attempt can't go on: its next one starts when all
		// of this one are gone.
		for _, other := range ordered.Tasks(o.placed) {
			c.sendStop(other, true, clusterstate.GraceS(&o.Job))
		}
	}
}

// sendStop asks the machine's keeper to end an attempt.
func (c *Core) sendStop(t *attempt, kill bool, grace float64) {
	if t.stopping && kill && grace > 0 {
		return
	}
	t.stopping, t.releaseAsked = t.stopping || kill, !kill
	c.Send(c.DispatcherOf(t.machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: message.TaskRef{Task: t.task, Attempt: t.number, Machine: t.machine}, Kill: kill, GraceS: grace,
	}})
}

// machineLost: everything placed by the machine's present record is gone.
func (c *Core) machineLost(m *machineEntry) {
	delete(c.owner.awaitedInventories, m.ID)
	c.clearEndedAttempts(m.ID, math.MaxUint64)
	for _, t := range ordered.Tasks(m.ownAttempts) {
		if o := c.owner.jobs[t.task.Job]; o != nil && o.placed[t.task] == t {
			c.attemptLost(o, t)
		}
	}
	c.owner.placementDue = true
	c.resolveUnverified()
}

// clearEndedAttempts: a machine holds no attempts of jobs that are over, of those placed up
// to a number.
func (c *Core) clearEndedAttempts(id protocol.MachineID, upto uint64) {
	for ref, t := range c.owner.endedAttempts {
		if ref.Machine == id && t.placeNumber <= upto {
			delete(c.owner.endedAttempts, ref)
			c.owner.placementDue = true
		}
	}
}

// retryJobs repeats what the state service did not do.
func (c *Core) retryJobs() {
	if c.Now < c.owner.retryAt || !c.HoldsLease() {
		return
	}
	c.owner.retryAt = c.After(time.Second)
	for id, o := range ordered.Of(c.owner.jobs) {
		if o.finishDue {
			c.writeFinish(o)
		}
		if (!o.loaded || o.rereadNeeded) && !o.loading {
			o.loading = true
			c.Emit(message.LoadBitmap{Job: id})
		}
		if o.notBefore > 0 && c.Now >= o.notBefore {
			o.notBefore = 0
			c.owner.placementDue = true
		}
		c.expireTrials(o)
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
			return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
		})
	}
	return c.owner.sorted
}
