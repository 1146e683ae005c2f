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
	// StartsWithin is how long a job without an objective is confined to the headroom
	// before it begins like any other of its level.
	StartsWithin = time.Minute
	// retryInterval is the time between two retries of reads and writes that were not
	// carried out.
	retryInterval = time.Second
)

// Owned is the state of the jobs that a controller owns.
type Owned struct {
	clusterstate.Module
	table    *waittable.Table
	workload *workload.Workload
	rng      *rand.Rand

	// ByID has the owned jobs.
	ByID map[protocol.JobID]*Job
	// AttemptsOn are the attempts placed on each machine by its present record.
	AttemptsOn AttemptIndex
	// AwaitedInventories are the machines whose inventory of this term has not been
	// received.
	AwaitedInventories map[protocol.MachineID]bool
	// EndedAttempts are the attempts of limited teams' jobs that are over, as long as they
	// are not proven to have ended.
	EndedAttempts EndedAttempts
	// UnverifiedTeams are the limited teams just taken over whose usage is not known yet.
	UnverifiedTeams map[protocol.Team]bool

	sorted         []*Job // the jobs in order of placement; nil: to be sorted again
	attemptCounter uint64 // of this term's attempt numbers
	retryAt        clock.Time
	runWatch       runDeadlines
	// changes is the log by which all members follow the progress of the owned jobs, one
	// stream per term.
	changes replication.ChangeLog[protocol.JobID]
}

// New returns the state of a controller that owns no jobs. Reset must be called before it
// is used.
func New(module clusterstate.Module, table *waittable.Table, work *workload.Workload, rng *rand.Rand) *Owned {
	return &Owned{Module: module, table: table, workload: work, rng: rng}
}

// Reset drops everything that was known in an earlier session.
func (o *Owned) Reset() {
	o.Drop()
	o.AttemptsOn = AttemptIndex{}
	o.changes = replication.ChangeLog[protocol.JobID]{}
}

// Drop drops all owned jobs: this controller is not in the view.
func (o *Owned) Drop() {
	o.ByID, o.sorted = map[protocol.JobID]*Job{}, nil
	o.AwaitedInventories = map[protocol.MachineID]bool{}
	o.EndedAttempts = EndedAttempts{}
	o.UnverifiedTeams = map[protocol.Team]bool{}
	o.attemptCounter, o.retryAt, o.runWatch = 0, 0, nil
}

// AllWritten reports whether all that is known of the owned jobs is in their records.
func (o *Owned) AllWritten() bool {
	for _, job := range o.ByID {
		if job.unwritten() {
			return false
		}
	}
	return true
}

// AddAccepted adds a job whose live record was read: by a change of the records, or in a
// snapshot of all of them.
func (o *Owned) AddAccepted(accepted protocol.Job, version protocol.Version, snapshot bool) {
	if o.Live[accepted.ID] != nil {
		return
	}
	live := &clusterstate.LiveJob{Job: accepted, Version: version, Since: o.SubmissionTime(&accepted)}
	live.Deadline = o.Deadline(live)
	o.Live[accepted.ID] = live
	o.workload.RecordArrival(&live.Job)
	if snapshot || !o.Member() || o.OwnerOf(live) != o.Self {
		return
	}
	// Its record is new, so no attempt of it can exist and no bitmap either.
	job := o.Adopt(live)
	job.Loaded = true
	job.Pending.FlipRange(0, uint(accepted.Tasks))
	o.Log.Debug("job accepted", "job", accepted.ID, "class", accepted.Class, "team", accepted.Team, "tasks", accepted.Tasks)
}

// Adopt makes a live job an owned one, of which nothing is known yet.
func (o *Owned) Adopt(live *clusterstate.LiveJob) *Job {
	job := newJob(live)
	o.ByID[live.ID] = job
	o.changes.Touch(live.ID)
	o.sorted = nil
	o.table.PlacementDue = true
	return job
}

// RemoveEnded drops an owned job whose record says that it is over, and has its attempts killed.
func (o *Owned) RemoveEnded(id protocol.JobID) {
	job := o.ByID[id]
	if job == nil {
		return
	}
	for _, attempt := range ordered.Tasks(job.Placed) {
		if o.Limited(job.Team) {
			ended := endedAttempt{job.Team, resource.Need(&job.Job), attempt.PlaceNumber}
			if attempt.Unverified {
				ended.placeNumber = 0
			}
			o.EndedAttempts[attempt.ref()] = ended
		}
		o.SendStop(attempt, true, 0)
		o.RemoveAttempt(job, attempt)
	}
	delete(o.ByID, id)
	o.changes.Drop(id)
	o.sorted = nil
	o.table.PlacementDue = true
}

// Retry repeats the reads and writes that the key-value store did not carry out, and has
// jobs placed whose backoff is over.
func (o *Owned) Retry() {
	if o.Now < o.retryAt || !o.HoldsLease() {
		return
	}
	o.retryAt = o.After(retryInterval)
	for _, job := range ordered.Of(o.ByID) {
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
		o.expireTrials(job)
	}
}

// AnyPlaceable reports whether a task of any job waits to be placed.
func (o *Owned) AnyPlaceable() bool {
	for _, job := range o.ByID {
		if job.NotBefore <= o.Now && job.Pending.Any() {
			return true
		}
	}
	return false
}

// InvalidateOrder has the jobs sorted again before they are listed next.
func (o *Owned) InvalidateOrder() { o.sorted = nil }

// InOrder returns the owned jobs in the order in which they are placed: by priority, then
// by deadline, then by submission.
func (o *Owned) InOrder() []*Job {
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

// CurrentDeadline returns when a job should be done. A job without an objective of which
// nothing has started for StartsWithin goes first until something does: behind all jobs
// with earlier deadlines, which keep coming where there is more work than resources, it
// would not start for minutes.
func (o *Owned) CurrentDeadline(live *clusterstate.LiveJob) clock.Time {
	if o.Since(live.Since) > StartsWithin && len(o.ObjectiveTimes(&live.Job)) == 0 && !o.HasStartObjective(&live.Job) {
		if progress, _ := o.JobProgress(live.ID); progress.Running == 0 && progress.Done == 0 {
			return live.Since
		}
	}
	return o.Deadline(live)
}
