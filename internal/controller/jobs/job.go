package jobs

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// Job is a live job that this controller owns.
type Job struct {
	*clusterstate.LiveJob

	// adoptedTerm is the term in which this controller became the owner of the job.
	adoptedTerm protocol.Term
	// Loaded is set once the bitmap of finished tasks has been read.
	Loaded bool
	// Unverified is set after a takeover until all inventories have been received: until
	// then tasks without a known attempt may have one on any machine.
	Unverified bool

	// Done is the set of finished tasks, and DoneCount is their number.
	Done      *bitset.BitSet
	DoneCount uint32
	// Pending is the set of tasks that are to be placed.
	Pending *bitset.BitSet
	// Placed holds the current attempt of each task that has one, which may exist, and Unstarted
	// is the number of these that have not been sent to their workers.
	Placed    map[protocol.TaskID]*Attempt
	Unstarted int
	// runningCount is the number of attempts in Placed that were reported to run.
	runningCount uint32
	// interrupted is the set of tasks that lost an attempt after it had started.
	interrupted *bitset.BitSet
	runTimes    forecast.RunTimes

	// FinishDue is set once all tasks are done and the job's final record has to be written.
	FinishDue bool
	// finishInFlight is set while that write is in flight, and stays set once it succeeded.
	finishInFlight bool
	bitmap         bitmapState

	// SearchFailed is set for a gang if the last placement search, at SearchedAt, examined
	// machines and could not place the gang. ClaimedMachines were claimed for it in that search.
	SearchFailed    bool
	SearchedAt      clock.Time
	ClaimedMachines []*waittable.Machine
	// IncompleteSince is when placement first found no machines for released tasks of a gang
	// whose other tasks are still placed; 0 if no task is missing.
	IncompleteSince clock.Time

	// Level is the job's resource level, set at the beginning of the last placing round.
	Level resource.Level
	// ConfinedToHeadroom is set if the job was confined to the headroom at the last placement.
	// The headroom is the capacity that jobs with an objective are not expected to need.
	ConfinedToHeadroom bool
	// NotBefore is the end of the job's backoff: no task is placed before it; 0 means none.
	NotBefore clock.Time
	// WaitingSince is when the job was submitted, in the time of this controller's clock.
	WaitingSince clock.Time

	// FailedOn are the machines on which an attempt ended in an error.
	FailedOn map[protocol.MachineID]bool
	// Failing is set while the job is classified as failing on every machine.
	Failing bool
	failure failureState
}

// bitmapState is the state of a job's stored bitmap, by chunk, and of its reads and writes.
type bitmapState struct {
	loading bool // a read is in flight
	writing bool // a write is in flight
	// dirty are the chunks that have to be written; inFlight are the chunks being written.
	dirty    map[int]bool
	inFlight []int
	// stored are the chunks that may be in the records, with their versions as last read
	// or written.
	stored map[int]protocol.Version
	// rereadNeeded is set after a write whose outcome is uncertain: the chunks and versions
	// in the records may differ from stored.
	rereadNeeded bool
}

// failureState holds the observed failures of a job and the backoff of its trials.
type failureState struct {
	// count is the number of attempts that ended in an error since a task was last done.
	count int
	// longestRun is the longest time that an attempt ran before it failed.
	longestRun time.Duration
	// backoff is the current time between two trials of a failing job.
	backoff time.Duration
}

// newJob returns the state of a newly owned job, without attempts and with no task pending.
func newJob(live *clusterstate.LiveJob) *Job {
	tasks := uint(live.Tasks)
	return &Job{
		LiveJob:      live,
		Done:         bitset.New(tasks),
		Pending:      bitset.New(tasks),
		interrupted:  bitset.New(tasks),
		Placed:       map[protocol.TaskID]*Attempt{},
		FailedOn:     map[protocol.MachineID]bool{},
		WaitingSince: live.SubmittedAt,
		bitmap:       bitmapState{dirty: map[int]bool{}, stored: map[int]protocol.Version{}},
	}
}

// IsGang reports whether the job has several tasks that all have to run at the same time.
func (j *Job) IsGang() bool { return j.Kind == protocol.KindGang && j.Tasks > 1 }

// BoundZone returns the zone of the attempts of a job that must run in one zone. It is empty
// if there are no attempts, or if the job may use several zones.
func (j *Job) BoundZone() protocol.Zone {
	if j.OneZone {
		for _, attempt := range j.Placed {
			return attempt.Zone // all attempts are in the same zone
		}
	}
	return ""
}

// ZoneCounts returns the number of the job's attempts that may exist in each zone.
func (j *Job) ZoneCounts() map[protocol.Zone]int {
	counts := map[protocol.Zone]int{}
	for _, attempt := range j.Placed {
		counts[attempt.Zone]++
	}
	return counts
}

// Allows reports whether a task of the job may run on a machine, considering the machine's
// type, zone, purchase option and size, and the number of the job's attempts in each zone. It
// does not consider which resources of the machine are free.
func (j *Job) Allows(m *waittable.Machine, zones map[protocol.Zone]int) bool {
	return j.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) && j.AllowsZone(m, zones)
}

// AllowsZone reports whether another attempt may be placed in the zone of a machine, given the
// number of the job's attempts in each zone. A job that must run in one zone may only use the
// zone of its other attempts; of a job that must be spread, each zone may have at most half of
// the tasks, rounded up.
func (j *Job) AllowsZone(m *waittable.Machine, zones map[protocol.Zone]int) bool {
	if j.OneZone {
		for zone, n := range zones {
			if n > 0 && zone != m.Record.Zone {
				return false
			}
		}
	}
	return !j.Spread || zones[m.Record.Zone] < int(j.Tasks+1)/2
}

// MedianRunSeconds returns the median run time of the job's tasks in seconds. ok is false as
// long as only few tasks, or no more than are running, have ended with a known run time (see
// forecast.RunTimes.Median).
func (j *Job) MedianRunSeconds() (seconds float64, ok bool) {
	return j.runTimes.Median(int(j.runningCount))
}

// MaxPlaceable returns how many of n tasks of the job may be placed now: n, but while the job
// is failing only one, and none as long as one of its attempts may exist.
func (j *Job) MaxPlaceable(n int) int {
	switch {
	case !j.Failing:
		return n
	case len(j.Placed) > 0:
		return 0 // no trial starts until every known attempt has ended
	}
	return min(n, 1)
}

// refillable reports whether a task of a gang can be placed again under the same attempt
// number, after its dispatcher released the attempt without having sent it to the worker. This
// is possible if the release was not requested, other tasks of the gang are placed under that
// number, and none of them is being stopped: until then they only wait for the missing one.
func (j *Job) refillable(attempt *Attempt) bool {
	if !j.IsGang() || j.Unverified || attempt.Started || attempt.ReleaseRequested || len(j.Placed) < 2 {
		return false
	}
	for _, other := range j.Placed {
		if other.Stopping || other.Number != attempt.Number {
			return false
		}
	}
	return true
}

// hasUnwrittenState reports whether a part of the job's state may not be in its records yet: a
// bitmap chunk is dirty or being written, or the write of the final record is in flight or has
// succeeded.
func (j *Job) hasUnwrittenState() bool {
	return len(j.bitmap.dirty) > 0 || j.bitmap.writing || j.finishInFlight
}
