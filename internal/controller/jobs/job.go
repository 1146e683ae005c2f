package jobs

import (
	"time"

	"damsonkeel/internal/controller/waittable"

	"github.com/bits-and-blooms/bitset"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Job is a job this controller owns.
type Job struct {
	*clusterstate.LiveJob
	Loaded     bool // the bitmap of finished tasks has been read
	loading    bool
	Unverified bool // taken over: tasks not listed may be anywhere until all inventories are in

	Done        *bitset.BitSet
	DoneCount   uint32
	Pending     *bitset.BitSet // tasks to be placed
	Placed      map[protocol.TaskID]*Attempt
	running     uint32
	Waiting     int          // attempts placed that have not started
	dirtyChunks map[int]bool // bitmap chunks to be written
	writing     bool
	// chunksInFlight are the bitmap chunks that are being written.
	chunksInFlight []int
	// storedChunks are the bitmap chunks that may be in the records, and their versions as
	// last read or written; reread: these may be others, since a write has no answer.
	storedChunks   map[int]protocol.Version
	rereadNeeded   bool
	FinishDue      bool // all done; to be written
	runTimes       forecast.RunTimes
	retry          *bitset.BitSet // tasks that ran before, in part
	finishInFlight bool           // the write is on its way

	SearchFailed    bool // a gang: when last tried, machines were looked at and none found
	SearchedAt      clock.Time
	ClaimedMachines []*waittable.Machine // for it then
	// LacksSince is since when a gang lacks a place for what was released of it.
	LacksSince clock.Time

	Level        resource.Level // at the last placement
	UsesHeadroom bool           // at the last placement: has only what others leave
	FailedOn     map[protocol.MachineID]bool
	failures     int  // attempts that ended in an error since a task was last done
	Failing      bool // it fails wherever it runs
	// failedAfter is how long its tasks ran at the most before they failed.
	failedAfter  time.Duration
	backoff      time.Duration
	NotBefore    clock.Time
	WaitingSince clock.Time
}

// PlaceNumber is an attempt that may exist: queued, started, or not proven gone.
type Attempt struct {
	Task         protocol.TaskID
	Number       protocol.Attempt
	Machine      protocol.MachineID
	Epoch        protocol.Version
	Zone         protocol.Zone
	PlaceNumber  uint64 // of the Place that carried it
	Estimate     float64
	Started      bool
	running      bool
	runningSince clock.Time // since when, as far as told
	Unverified   bool       // its machine's inventory of this term decides
	startUnseen  bool       // may have run for a while when it was first told to run
	Stopping     bool       // told to be killed
	ReleaseAsked bool       // asked back, if it was never sent
	Trial        bool       // placed while the job failed wherever it ran
}

// endedAttempt is an attempt of a job that is over. It counts against its
// team's limit for as long as it may be on its machine.
type endedAttempt struct {
	team        protocol.Team
	need        resource.Amount
	placeNumber uint64 // of the Place that carried it; 0: any inventory counts
}

// IsGang reports whether a task is of use only with others that run at the
// same time.
func (o *Job) IsGang() bool { return o.Kind == protocol.KindGang && o.Tasks > 1 }

// BoundZone is the zone that a job's attempts hold it to, if they do.
func (o *Job) BoundZone() protocol.Zone {
	if o.OneZone {
		for _, t := range o.Placed {
			return t.Zone // of all of them
		}
	}
	return ""
}

// planZones counts the attempts of a job that may exist by zone.
func (o *Job) ZoneCounts() map[protocol.Zone]int {
	z := map[protocol.Zone]int{}
	for _, t := range o.Placed {
		z[t.Zone]++
	}
	return z
}

// Allows reports whether a job may have a task on a machine: type, zone, kind
// and size, and the zones of its other tasks that are not proven gone.
func (o *Job) Allows(m *waittable.Machine, zones map[protocol.Zone]int) bool {
	return o.AllowsKind(m.Info, m.Record.Zone, m.Record.Spot) && o.AllowsZone(m, zones)
}

// AllowsZone is the part that depends on where its other tasks are.
func (o *Job) AllowsZone(m *waittable.Machine, zones map[protocol.Zone]int) bool {
	if o.OneZone {
		for z, n := range zones {
			if n > 0 && z != m.Record.Zone {
				return false
			}
		}
	}
	return !o.Spread || zones[m.Record.Zone] < int(o.Tasks+1)/2
}

// UsualSeconds is how long half of a job's tasks run at the most, once that is known.
func (o *Job) UsualSeconds() (seconds float64, ok bool) { return o.runTimes.Usual(int(o.running)) }

// MayTry is how many of n tasks of a job may be placed now.
func (o *Job) MayTry(n int) int {
	switch {
	case !o.Failing:
		return n
	case len(o.Placed) > 0:
		return 0 // until all that is known to be there has ended
	}
	return min(n, 1)
}
