package jobs

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/protocol"
)

const (
	// HeadroomOnlyDuration is how long a job without an objective may use only the headroom
	// before its first task, or the whole gang, is placed like that of any other job of its
	// level.
	HeadroomOnlyDuration = time.Minute
	// retryInterval is the shortest time between two runs of Retry.
	retryInterval = time.Second
)

// Owned is the state of the jobs that a controller owns.
type Owned struct {
	clusterstate.Module
	table    *waittable.Table
	workload *workload.Workload
	rng      *rand.Rand

	// ByID holds the owned jobs by their IDs.
	ByID map[protocol.JobID]*Job
	// AttemptsByMachine holds the attempts of owned jobs on each machine that were placed under
	// the machine's present record.
	AttemptsByMachine AttemptIndex
	// AwaitedInventories is the set of machines whose inventory of this term has not been
	// received.
	AwaitedInventories map[protocol.MachineID]bool
	// EndedJobAttempts holds the attempts of ended jobs of limited teams, which count against the
	// limits, until each attempt is proven to have ended.
	EndedJobAttempts EndedJobAttempts
	// UnverifiedTeams is the set of limited teams whose jobs were just taken over: the attempts
	// of a team are not completely known until all inventories have been received.
	UnverifiedTeams map[protocol.Team]bool

	sorted         []*Job // the jobs in order of placement; nil if they have to be sorted again
	attemptCounter uint64 // the last attempt number of this term, without the term
	retryAt        clock.Time
	runDeadlines   runDeadlines
	// changes is the change log from which the progress of the owned jobs is replicated to
	// all members, with one stream per term.
	changes replication.ChangeLog[protocol.JobID]
}

// New returns the state of a controller that owns no jobs. Reset must be called before use.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, rng *rand.Rand) *Owned {
	return &Owned{Module: module, table: table, workload: work, rng: rng}
}

// Reset drops all state of an earlier session.
func (o *Owned) Reset() {
	o.DropAll()
	o.AttemptsByMachine = AttemptIndex{}
	o.changes = replication.ChangeLog[protocol.JobID]{}
}

// DropAll drops all owned jobs and what is kept about ended jobs, teams and awaited
// inventories. It is called when this controller is not in the view.
func (o *Owned) DropAll() {
	o.ByID, o.sorted = map[protocol.JobID]*Job{}, nil
	o.AwaitedInventories = map[protocol.MachineID]bool{}
	o.EndedJobAttempts = EndedJobAttempts{}
	o.UnverifiedTeams = map[protocol.Team]bool{}
	o.attemptCounter, o.retryAt, o.runDeadlines = 0, 0, nil
}

// AllWritten reports whether the complete state of all owned jobs is in their records.
func (o *Owned) AllWritten() bool {
	for _, job := range o.ByID {
		if job.hasUnwrittenState() {
			return false
		}
	}
	return true
}

// AddAccepted adds a job whose live record was read to the live jobs, and records its arrival
// for the workload statistics. If snapshot is not set, the record is a new one, read as a
// change of the records: if this controller owns the job, all its tasks become pending at once.
// If snapshot is set, the record was read with all records, and AdoptView takes the job over
// later. A job that is live already is ignored.
func (o *Owned) AddAccepted(accepted protocol.Job, version protocol.Version, snapshot bool) {
	if o.Live[accepted.ID] != nil {
		return
	}
	live := &clusterstate.LiveJob{Job: accepted, Version: version, SubmittedAt: o.SubmissionTime(&accepted)}
	live.Deadline = o.Deadline(live)
	o.Live[accepted.ID] = live
	o.workload.RecordArrival(&live.Job)
	if snapshot || !o.Member() || o.OwnerOf(live) != o.Self {
		return
	}
	// The record is new, so neither an attempt nor a bitmap of the job can exist.
	job := o.AdoptJob(live)
	job.Loaded = true
	job.Pending.FlipRange(0, uint(accepted.Tasks))
	o.Log.Debug("job accepted", "job", accepted.ID, "class", accepted.Class, "team", accepted.Team, "tasks", accepted.Tasks)
}

// AdoptJob adds a live job to the owned jobs, without any attempts or finished tasks and with
// no task pending.
func (o *Owned) AdoptJob(live *clusterstate.LiveJob) *Job {
	job := newJob(live)
	job.adoptedTerm = o.View.Term
	o.ByID[live.ID] = job
	o.changes.Touch(live.ID)
	o.sorted = nil
	o.table.PlacementDue = true
	return job
}

// RemoveEnded drops an owned job that has ended, so that its live record was deleted, and asks
// the dispatchers to kill its attempts without a grace period. Those of a limited team are kept
// in EndedJobAttempts. It does nothing for a job that is not owned here.
func (o *Owned) RemoveEnded(id protocol.JobID) {
	job := o.ByID[id]
	if job == nil {
		return
	}
	for _, attempt := range ordered.Tasks(job.Placed) {
		if o.MayHaveLimit(job.Team) {
			ended := endedJobAttempt{job.Team, resource.Need(&job.Job), attempt.PlaceNumber}
			if attempt.Unverified {
				ended.placeNumber = 0
			}
			o.EndedJobAttempts[attempt.ref()] = ended
		}
		o.SendStop(attempt, true, 0)
		o.RemoveAttempt(job, attempt)
	}
	delete(o.ByID, id)
	o.changes.Drop(id)
	o.sorted = nil
	o.table.PlacementDue = true
}

// Retry repeats the reads of bitmaps and the writes of final records that are due and not in
// flight, triggers the placement of jobs whose backoff has ended, and clears the failures of
// failing jobs with a long trial (see endTrialsAfterLongRun). It does so at most once per
// retryInterval, and only while this controller holds its lease.
func (o *Owned) Retry() {
	if o.Now < o.retryAt || !o.HoldsLease() {
		return
	}
	o.retryAt = o.After(retryInterval)
	for _, job := range ordered.ByKey(o.ByID) {
		if job.FinishDue {
			o.writeFinish(job)
		}
		if (!job.Loaded || job.bitmap.rereadNeeded) && !job.bitmap.loading {
			o.requestBitmap(job)
		}
		if job.NotBefore > 0 && o.Now >= job.NotBefore {
			job.NotBefore = 0
			o.table.PlacementDue = true
		}
		o.endTrialsAfterLongRun(job)
	}
}

// HasPlaceableTask reports whether any job has a pending task and is not in backoff.
func (o *Owned) HasPlaceableTask() bool {
	for _, job := range o.ByID {
		if job.NotBefore <= o.Now && job.Pending.Any() {
			return true
		}
	}
	return false
}

// InvalidateOrder makes the next call of InPlacementOrder sort the jobs again.
func (o *Owned) InvalidateOrder() { o.sorted = nil }

// InPlacementOrder returns the owned jobs in the order in which they are placed: by priority,
// then by deadline, then by submission.
func (o *Owned) InPlacementOrder() []*Job {
	if o.sorted == nil {
		for _, job := range o.ByID {
			o.sorted = append(o.sorted, job)
		}
		slices.SortFunc(o.sorted, func(a, b *Job) int {
			return cmp.Or(
				cmp.Compare(b.Priority.Rank(), a.Priority.Rank()),
				cmp.Compare(a.Deadline, b.Deadline),
				cmp.Compare(a.SubmittedMS, b.SubmittedMS),
				cmp.Compare(a.ID, b.ID))
		})
	}
	return o.sorted
}

// CurrentDeadline returns the time by which a job is ordered among the jobs of its priority:
// normally its Deadline. For a job without an objective or deadline that has started no task
// within HeadroomOnlyDuration, it is the submission time, which puts the job ahead of those
// that arrive later, until a task starts. Otherwise it would not start for minutes where there
// is more work than resources, since jobs with earlier deadlines keep arriving.
func (o *Owned) CurrentDeadline(live *clusterstate.LiveJob) clock.Time {
	if o.Since(live.SubmittedAt) > HeadroomOnlyDuration && len(o.ObjectiveTimes(&live.Job)) == 0 && !o.HasStartObjective(&live.Job) {
		if progress, _ := o.JobProgress(live.ID); progress.Running == 0 && progress.Done == 0 {
			return live.SubmittedAt
		}
	}
	return o.Deadline(live)
}
