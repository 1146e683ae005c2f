package controller

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// ownedJobs is what a controller keeps of the jobs it owns.
type ownedJobs struct {
	clusterstate.Module
	table    *waitTable
	workload *workload
	// attemptsOn are the attempts placed on each machine by its present record.
	attemptsOn         map[protocol.MachineID]map[protocol.TaskID]*attempt
	byID               map[protocol.JobID]*ownedJob
	sorted             []*ownedJob                      // in order of placement; nil: to be sorted again
	awaitedInventories map[protocol.MachineID]bool      // machines whose inventory of this term is awaited
	endedAttempts      map[message.TaskRef]endedAttempt // attempts of limited teams' jobs that are over, not proven gone
	unverifiedTeams    map[protocol.Team]bool           // limited teams just taken over, whose use is not known yet
	attemptCounter     uint64
	retryAt            Time
	runWatch           runDeadlines
	// ownedChanges are the owned jobs, as their state changes: a stream for all members
	// in one term.
	ownedChanges replication.Log[protocol.JobID]
	rng          *rand.Rand
}

// reset forgets everything a session knew.
func (oj *ownedJobs) reset() {
	oj.drop()
	oj.attemptsOn = map[protocol.MachineID]map[protocol.TaskID]*attempt{}
	oj.ownedChanges = replication.Log[protocol.JobID]{}
}

// drop forgets all owned jobs: this controller is not in the view.
func (oj *ownedJobs) drop() {
	oj.byID, oj.sorted = map[protocol.JobID]*ownedJob{}, nil
	oj.awaitedInventories = map[protocol.MachineID]bool{}
	oj.endedAttempts = map[message.TaskRef]endedAttempt{}
	oj.unverifiedTeams = map[protocol.Team]bool{}
	oj.attemptCounter, oj.retryAt, oj.runWatch = 0, 0, nil
}

// allWritten reports whether all that is known of the owned jobs is in their records.
func (oj *ownedJobs) allWritten() bool {
	for _, o := range oj.byID {
		if len(o.dirtyChunks) > 0 || o.writing || o.finishInFlight {
			return false
		}
	}
	return true
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
func (oj *ownedJobs) jobAccepted(j protocol.Job, version protocol.Version, snapshot bool) {
	if oj.Live[j.ID] != nil {
		return
	}
	l := &clusterstate.LiveJob{Job: j, Version: version, Since: oj.SubmissionTime(&j)}
	l.Deadline = oj.Deadline(l)
	oj.Live[j.ID] = l
	oj.workload.recordArrival(&l.Job)
	if snapshot || !oj.Member() || oj.OwnerOf(l) != oj.Self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	o := oj.adoptJob(l)
	o.loaded = true
	o.pending.FlipRange(0, uint(j.Tasks))
	oj.Log.Debug("job", "id", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks)
}

func (oj *ownedJobs) adoptJob(l *clusterstate.LiveJob) *ownedJob {
	o := &ownedJob{
		LiveJob: l, done: bitset.New(uint(l.Tasks)), pending: bitset.New(uint(l.Tasks)),
		retry: bitset.New(uint(l.Tasks)), placed: map[protocol.TaskID]*attempt{}, dirtyChunks: map[int]bool{}, storedChunks: map[int]protocol.Version{}, failedOn: map[protocol.MachineID]bool{}, since: l.Since,
	}
	oj.byID[l.ID] = o
	oj.ownedChanges.Touch(l.ID)
	oj.sorted = nil
	oj.table.placementDue = true
	return o
}

// jobEnded: the job's record says done or cancelled.
func (c *Core) jobEnded(id protocol.JobID) {
	c.reservations.reservedJobOver(c.Live[id])
	failing := c.jobs.isFailing(id)
	delete(c.Live, id)
	c.MarkEnded(id)
	c.table.forgetProgress(id)
	c.jobs.endJob(id)
	c.dispatcher.JobOver(id, failing)
}

// endJob drops an owned job whose record says that it is over, and has its attempts
// killed.
func (oj *ownedJobs) endJob(id protocol.JobID) {
	if o := oj.byID[id]; o != nil {
		for _, t := range ordered.Tasks(o.placed) {
			if oj.Limited(o.Team) {
				left := endedAttempt{o.Team, resource.Need(&o.Job), t.placeNumber}
				if t.unverified {
					left.placeNumber = 0
				}
				oj.endedAttempts[message.TaskRef{Task: t.task, Attempt: t.number, Machine: t.machine}] = left
			}
			oj.sendStop(t, true, 0)
			oj.removeAttempt(o, t)
		}
		delete(oj.byID, id)
		oj.ownedChanges.Drop(id)
		oj.sorted = nil
		oj.table.placementDue = true
	}
}

// track notes that an attempt is on a machine.
func (oj *ownedJobs) track(t *attempt) {
	on := oj.attemptsOn[t.machine]
	if on == nil {
		on = map[protocol.TaskID]*attempt{}
		oj.attemptsOn[t.machine] = on
	}
	on[t.task] = t
}

// removeAttempt forgets an attempt that is proven gone, or not this job's concern.
func (oj *ownedJobs) removeAttempt(o *ownedJob, t *attempt) {
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
	oj.ownedChanges.Touch(o.ID)
	if oj.attemptsOn[t.machine][t.task] == t {
		delete(oj.attemptsOn[t.machine], t.task)
	}
}

// attemptLost makes a task whose attempt is proven gone placeable again.
func (oj *ownedJobs) attemptLost(o *ownedJob, t *attempt) {
	if t.started {
		o.retry.Set(uint(t.task.Index))
	}
	oj.removeAttempt(o, t)
	// Of a job just taken over, an attempt that is gone proves nothing of the
	// others: a later one may run on a machine not heard yet. What is missing
	// when all are heard becomes placeable then.
	if !o.unverified && !o.done.Test(uint(t.task.Index)) {
		o.pending.Set(uint(t.task.Index))
	}
	oj.table.placementDue = true
	if o.Kind == protocol.KindGang {
		// The rest of the attempt can't go on: its next one starts when all
		// of this one are gone.
		for _, other := range ordered.Tasks(o.placed) {
			oj.sendStop(other, true, clusterstate.GraceS(&o.Job))
		}
	}
}

// sendStop asks the machine's keeper to end an attempt.
func (oj *ownedJobs) sendStop(t *attempt, kill bool, grace float64) {
	if t.stopping && kill && grace > 0 {
		return
	}
	t.stopping, t.releaseAsked = t.stopping || kill, !kill
	oj.Send(oj.DispatcherOf(t.machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: message.TaskRef{Task: t.task, Attempt: t.number, Machine: t.machine}, Kill: kill, GraceS: grace,
	}})
}

// machineLost: everything placed by the machine's present record is gone.
func (oj *ownedJobs) machineLost(m *machineEntry) {
	delete(oj.awaitedInventories, m.ID)
	oj.clearEndedAttempts(m.ID, math.MaxUint64)
	for _, t := range ordered.Tasks(oj.attemptsOn[m.ID]) {
		if o := oj.byID[t.task.Job]; o != nil && o.placed[t.task] == t {
			oj.attemptLost(o, t)
		}
	}
	delete(oj.attemptsOn, m.ID)
	oj.table.placementDue = true
	oj.resolveUnverified()
}

// clearEndedAttempts: a machine holds no attempts of jobs that are over, of those placed up
// to a number.
func (oj *ownedJobs) clearEndedAttempts(id protocol.MachineID, upto uint64) {
	for ref, t := range oj.endedAttempts {
		if ref.Machine == id && t.placeNumber <= upto {
			delete(oj.endedAttempts, ref)
			oj.table.placementDue = true
		}
	}
}

// retryJobs repeats what the state service did not do.
func (oj *ownedJobs) retryJobs() {
	if oj.Now < oj.retryAt || !oj.HoldsLease() {
		return
	}
	oj.retryAt = oj.After(time.Second)
	for id, o := range ordered.Of(oj.byID) {
		if o.finishDue {
			oj.writeFinish(o)
		}
		if (!o.loaded || o.rereadNeeded) && !o.loading {
			o.loading = true
			oj.Emit(message.LoadBitmap{Job: id})
		}
		if o.notBefore > 0 && oj.Now >= o.notBefore {
			o.notBefore = 0
			oj.table.placementDue = true
		}
		oj.expireTrials(o)
	}
}

// jobsInOrder returns the owned jobs in the order they are placed: the more urgent
// priority first, then what is due first, then by creation.
func (oj *ownedJobs) jobsInOrder() []*ownedJob {
	if oj.sorted == nil {
		for _, o := range oj.byID {
			oj.sorted = append(oj.sorted, o)
		}
		slices.SortFunc(oj.sorted, func(a, b *ownedJob) int {
			return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
		})
	}
	return oj.sorted
}
