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

	// Loaded is set once the bitmap of finished tasks has been read.
	Loaded bool
	// Unverified is set after a takeover: tasks without a known attempt may have one on
	// any machine until all inventories have been received.
	Unverified bool

	// Done has the tasks that are finished, and DoneCount their number.
	Done      *bitset.BitSet
	DoneCount uint32
	// Pending has the tasks that are to be placed.
	Pending *bitset.BitSet
	// Placed are the attempts that may exist, and Waiting is how many of them have not
	// started.
	Placed    map[protocol.TaskID]*Attempt
	Unstarted int
	// running is how many attempts are known to run.
	running uint32
	// interrupted has the tasks of which an earlier attempt had started.
	interrupted *bitset.BitSet
	runTimes    forecast.RunTimes

	// FinishDue is set once all tasks are done: the end of the job is to be written.
	FinishDue bool
	// finishInFlight is set while that write is on its way.
	finishInFlight bool
	bitmap         bitmapState

	// SearchFailed is set for a gang if machines were examined when it was last tried, at
	// SearchedAt, and it found no place. ClaimedMachines were claimed for it then.
	SearchFailed    bool
	SearchedAt      clock.Time
	ClaimedMachines []*waittable.Machine
	// IncompleteSince is when a gang first found no place for tasks that were released;
	// 0: it lacks none.
	IncompleteSince clock.Time

	// Level is the job's level at the last placement.
	Level resource.Level
	// UsesHeadroom is set if at the last placement the job was confined to the headroom:
	// what jobs with an objective are not expected to need.
	UsesHeadroom bool
	// NotBefore is the earliest time at which tasks may be placed; 0: at once.
	NotBefore clock.Time
	// WaitingSince is when the job was submitted, by this controller's clock.
	WaitingSince clock.Time

	// FailedOn are the machines on which an attempt ended in an error.
	FailedOn map[protocol.MachineID]bool
	// Failing is set while the job is taken to fail wherever it runs.
	Failing bool
	failure failureState
}

// bitmapState is what is known of a job's bitmap in the records, by chunks.
type bitmapState struct {
	loading bool // a read is on its way
	writing bool // a write is on its way
	// dirty are the chunks that are to be written, inFlight those being written.
	dirty    map[int]bool
	inFlight []int
	// stored are the chunks that may be in the records, with their versions as last read
	// or written.
	stored map[int]protocol.Version
	// rereadNeeded is set after a write whose outcome is not known: the stored chunks and
	// versions may be others.
	rereadNeeded bool
}

// failureState is what is known of the failures of a job.
type failureState struct {
	// count is how many attempts have ended in an error since a task was last done.
	count int
	// longestRun is the longest time that an attempt ran before it failed.
	longestRun time.Duration
	// backoff is the present time between two trials of a failing job.
	backoff time.Duration
}

func newJob(live *clusterstate.LiveJob) *Job {
	tasks := uint(live.Tasks)
	return &Job{
		LiveJob:      live,
		Done:         bitset.New(tasks),
		Pending:      bitset.New(tasks),
		interrupted:  bitset.New(tasks),
		Placed:       map[protocol.TaskID]*Attempt{},
		FailedOn:     map[protocol.MachineID]bool{},
		WaitingSince: live.Since,
		bitmap:       bitmapState{dirty: map[int]bool{}, stored: map[int]protocol.Version{}},
	}
}

// IsGang reports whether a task of the job is of use only with others that run at the
// same time.
func (j *Job) IsGang() bool { return j.Kind == protocol.KindGang && j.Tasks > 1 }

// BoundZone returns the zone to which the job's attempts bind it; empty: none.
func (j *Job) BoundZone() protocol.Zone {
	if j.OneZone {
		for _, attempt := range j.Placed {
			return attempt.Zone // of all of them
		}
	}
	return ""
}

// ZoneCounts counts the job's attempts that may exist by zone.
func (j *Job) ZoneCounts() map[protocol.Zone]int {
	counts := map[protocol.Zone]int{}
	for _, attempt := range j.Placed {
		counts[attempt.Zone]++
	}
	return counts
}

// Allows reports whether the job may have a task on a machine by the machine's type, zone,
// kind and size, and by the zones of its other attempts that may exist.
func (j *Job) Allows(m *waittable.Machine, zones map[protocol.Zone]int) bool {
	return j.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) && j.AllowsZone(m, zones)
}

// AllowsZone reports whether the zones of the job's other attempts allow one in the zone
// of a machine.
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

// MedianRunSeconds returns the median run time of the job's tasks, once that is known.
func (j *Job) MedianRunSeconds() (seconds float64, ok bool) { return j.runTimes.Usual(int(j.running)) }

// MaxPlaceable returns how many of n tasks of the job may be placed now.
func (j *Job) MaxPlaceable(n int) int {
	switch {
	case !j.Failing:
		return n
	case len(j.Placed) > 0:
		return 0 // until every known attempt has ended
	}
	return min(n, 1)
}

// refillable reports whether a task of a gang whose attempt was released by its dispatcher,
// without having been sent to the worker, can be placed again under the same attempt
// number: as long as nothing of the gang is being stopped, the others only wait for it.
func (j *Job) refillable(attempt *Attempt) bool {
	if !j.IsGang() || j.Unverified || attempt.Started || attempt.ReleaseAsked || len(j.Placed) < 2 {
		return false
	}
	for _, other := range j.Placed {
		if other.Stopping || other.Number != attempt.Number {
			return false
		}
	}
	return true
}

// unwritten reports whether something that is known of the job is not in its records yet.
func (j *Job) unwritten() bool {
	return len(j.bitmap.dirty) > 0 || j.bitmap.writing || j.finishInFlight
}
