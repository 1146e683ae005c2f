package jobs

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"

	"github.com/bits-and-blooms/bitset"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Owned is what a controller keeps of the jobs it owns.
type Owned struct {
	clusterstate.Module
	table    *waittable.Table
	workload *workload.Workload
	// AttemptsOn are the attempts placed on each machine by its present record.
	AttemptsOn         map[protocol.MachineID]map[protocol.TaskID]*Attempt
	ByID               map[protocol.JobID]*Job
	sorted             []*Job                           // in order of placement; nil: to be sorted again
	AwaitedInventories map[protocol.MachineID]bool      // machines whose inventory of this term is awaited
	EndedAttempts      map[message.TaskRef]endedAttempt // attempts of limited teams' jobs that are over, not proven gone
	UnverifiedTeams    map[protocol.Team]bool           // limited teams just taken over, whose use is not known yet
	attemptCounter     uint64
	retryAt            clock.Time
	runWatch           runDeadlines
	// ownedChanges are the owned jobs, as their state changes: a stream for all members
	// in one term.
	ownedChanges replication.Log[protocol.JobID]
	rng          *rand.Rand
}

// New owns nothing yet.
func New(p clusterstate.Module, table *waittable.Table, work *workload.Workload, rng *rand.Rand) *Owned {
	return &Owned{Module: p, table: table, workload: work, rng: rng}
}

// Reset forgets everything a session knew.
func (oj *Owned) Reset() {
	oj.Drop()
	oj.AttemptsOn = map[protocol.MachineID]map[protocol.TaskID]*Attempt{}
	oj.ownedChanges = replication.Log[protocol.JobID]{}
}

// Drop forgets all owned jobs: this controller is not in the view.
func (oj *Owned) Drop() {
	oj.ByID, oj.sorted = map[protocol.JobID]*Job{}, nil
	oj.AwaitedInventories = map[protocol.MachineID]bool{}
	oj.EndedAttempts = map[message.TaskRef]endedAttempt{}
	oj.UnverifiedTeams = map[protocol.Team]bool{}
	oj.attemptCounter, oj.retryAt, oj.runWatch = 0, 0, nil
}

// AllWritten reports whether all that is known of the owned jobs is in their records.
func (oj *Owned) AllWritten() bool {
	for _, o := range oj.ByID {
		if len(o.dirtyChunks) > 0 || o.writing || o.finishInFlight {
			return false
		}
	}
	return true
}

// Accepted takes over the record of an accepted job.
func (oj *Owned) Accepted(j protocol.Job, version protocol.Version, snapshot bool) {
	if oj.Live[j.ID] != nil {
		return
	}
	l := &clusterstate.LiveJob{Job: j, Version: version, Since: oj.SubmissionTime(&j)}
	l.Deadline = oj.Deadline(l)
	oj.Live[j.ID] = l
	oj.workload.RecordArrival(&l.Job)
	if snapshot || !oj.Member() || oj.OwnerOf(l) != oj.Self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	o := oj.Adopt(l)
	o.Loaded = true
	o.Pending.FlipRange(0, uint(j.Tasks))
	oj.Log.Debug("job", "id", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks)
}

func (oj *Owned) Adopt(l *clusterstate.LiveJob) *Job {
	o := &Job{
		LiveJob: l, Done: bitset.New(uint(l.Tasks)), Pending: bitset.New(uint(l.Tasks)),
		retry: bitset.New(uint(l.Tasks)), Placed: map[protocol.TaskID]*Attempt{}, dirtyChunks: map[int]bool{}, storedChunks: map[int]protocol.Version{}, FailedOn: map[protocol.MachineID]bool{}, WaitingSince: l.Since,
	}
	oj.ByID[l.ID] = o
	oj.ownedChanges.Touch(l.ID)
	oj.sorted = nil
	oj.table.PlacementDue = true
	return o
}

// End drops an owned job whose record says that it is over, and has its attempts
// killed.
func (oj *Owned) End(id protocol.JobID) {
	if o := oj.ByID[id]; o != nil {
		for _, t := range ordered.Tasks(o.Placed) {
			if oj.Limited(o.Team) {
				left := endedAttempt{o.Team, resource.Need(&o.Job), t.PlaceNumber}
				if t.Unverified {
					left.placeNumber = 0
				}
				oj.EndedAttempts[message.TaskRef{Task: t.Task, Attempt: t.Number, Machine: t.Machine}] = left
			}
			oj.SendStop(t, true, 0)
			oj.RemoveAttempt(o, t)
		}
		delete(oj.ByID, id)
		oj.ownedChanges.Drop(id)
		oj.sorted = nil
		oj.table.PlacementDue = true
	}
}

// Retry repeats what the state service did not do.
func (oj *Owned) Retry() {
	if oj.Now < oj.retryAt || !oj.HoldsLease() {
		return
	}
	oj.retryAt = oj.After(time.Second)
	for id, o := range ordered.Of(oj.ByID) {
		if o.FinishDue {
			oj.writeFinish(o)
		}
		if (!o.Loaded || o.rereadNeeded) && !o.loading {
			o.loading = true
			oj.Emit(message.LoadBitmap{Job: id})
		}
		if o.NotBefore > 0 && oj.Now >= o.NotBefore {
			o.NotBefore = 0
			oj.table.PlacementDue = true
		}
		oj.expireTrials(o)
	}
}

// InvalidateOrder has the jobs sorted again before they are listed next.
func (oj *Owned) InvalidateOrder() { oj.sorted = nil }

// Touch notes that what others are told of a job has changed.
func (oj *Owned) Touch(o *Job) { oj.ownedChanges.Touch(o.ID) }

// AnyPlaceable reports whether a task of any job waits to be placed.
func (oj *Owned) AnyPlaceable() bool {
	for _, o := range oj.ByID {
		if o.NotBefore <= oj.Now && o.Pending.Any() {
			return true
		}
	}
	return false
}

// InOrder returns the owned jobs in the order they are placed: the more urgent
// priority first, then what is due first, then by creation.
func (oj *Owned) InOrder() []*Job {
	if oj.sorted == nil {
		for _, o := range oj.ByID {
			oj.sorted = append(oj.sorted, o)
		}
		slices.SortFunc(oj.sorted, func(a, b *Job) int {
			return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
		})
	}
	return oj.sorted
}

func (oj *Owned) NextAttempt() protocol.Attempt {
	oj.attemptCounter++
	return protocol.Attempt(uint64(oj.View.Term)<<32 | oj.attemptCounter)
}

// CurrentDeadline is when a job should be done. One of which nobody says when, and of which
// nothing has begun for a while, goes first until something does: waiting behind all
// that is due sooner, which keeps coming where there is more work than room, it would
// not begin for minutes.
func (oj *Owned) CurrentDeadline(l *clusterstate.LiveJob) clock.Time {
	if oj.Since(l.Since) > BeginsWithin && len(oj.ObjectiveTimes(&l.Job)) == 0 && !oj.HasStartObjective(&l.Job) {
		if g, _ := oj.JobProgress(l.ID); g.Running == 0 && g.Done == 0 {
			return l.Since
		}
	}
	return oj.Deadline(l)
}

// BeginsWithin is how long a job without an objective waits for what others leave
// before it begins like any other of its level.
const BeginsWithin = time.Minute
