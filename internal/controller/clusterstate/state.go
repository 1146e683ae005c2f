// Package clusterstate holds what a controller knows that all parts of its core read:
// the records that all controllers follow, the view, the time and its settings;
// who keeps a machine and who owns a job by that; and what is promised. It
// decides nothing.
package clusterstate

import (
	"log/slog"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// State is what a controller knows that all parts of its core read: its
// settings, the time, its session, the view, and the records that all follow.
type State struct {
	Self     protocol.NodeName
	Settings *config.Settings
	Op       config.Operator
	Log      *slog.Logger
	Now      clock.Time
	WallMS   int64 // the time of day when now was 0, as last told

	Types map[protocol.MachineType]protocol.TypeInfo

	Session         protocol.LeaseID
	SessionStart    clock.Time // when this session began
	LeaseDeadline   clock.Time // acts only before
	View            record.View
	ViewVersion     protocol.Version
	DispatcherCache map[protocol.MachineID]protocol.NodeName // reportedBy the view, as far as asked for
	// Shards is who keeps which share of the machines, as last followed; nil: there
	// is no such record. It counts where the view's layout says so.
	Shards        *record.ShardTable
	ShardsVersion protocol.Version
	// Leaving says that the process is to end: what it holds is handed over first.
	Leaving bool
	// HighestToken is the highest token that any worker has told since the process began.
	HighestToken protocol.Term

	Live          map[protocol.JobID]*LiveJob
	endedJobs     map[protocol.JobID]clock.Time // seen to end, and when
	cancelledJobs map[protocol.JobID]clock.Time // cancelledJobs, and since when that is known
	Records       map[protocol.MachineID]*Machine
	Reservations  *Reservations
	// Configuration is the configuration: the settings with what operators have changed.
	Configuration *dynamicconfig.Followed
}

// NewClient knows nothing but its settings.
func NewState(s *config.Settings, op config.Operator, log *slog.Logger) *State {
	k := &State{
		Self: s.Name, Settings: s, Op: op, Log: log, Types: map[protocol.MachineType]protocol.TypeInfo{},
		Configuration: dynamicconfig.NewFollowed(&s.Site, op),
	}
	k.Reset()
	return k
}

// Reset forgets what a session knew. What matters is in the records.
func (k *State) Reset() {
	k.Session, k.LeaseDeadline = 0, 0
	k.View, k.ViewVersion = record.View{}, 0
	k.Shards, k.ShardsVersion = nil, 0
	k.DispatcherCache = map[protocol.MachineID]protocol.NodeName{}
	k.Live, k.endedJobs = map[protocol.JobID]*LiveJob{}, map[protocol.JobID]clock.Time{}
	k.cancelledJobs = map[protocol.JobID]clock.Time{}
	k.Records = map[protocol.MachineID]*Machine{}
	k.Reservations = k.Reservations.next()
	k.Configuration.Reset()
	k.Op = k.Configuration.Effective().Operator
}

// Machine is a registered machine as the records have it.
type Machine struct {
	ID     protocol.MachineID
	Record record.Machine
	Epoch  protocol.Version
	Info   protocol.TypeInfo
}

// HoldsLease reports whether this controller may command workers and settle jobs:
// its lease has not run out by its own clock, and the view has its session.
func (k *State) HoldsLease() bool {
	return k.Now < k.LeaseDeadline && k.Member()
}

// Member reports whether the view has this session.
func (k *State) Member() bool {
	return k.Session != 0 && k.View.Members[k.Self] == k.Session
}

// After is the time so long from now.
func (k *State) After(d time.Duration) clock.Time { return k.Now + clock.Time(d) }

// Since is how long ago a time was.
func (k *State) Since(t clock.Time) time.Duration { return time.Duration(k.Now - t) }

// MarkEnded remembers that a job is over, for messages about it that are still
// under way.
func (k *State) MarkEnded(id protocol.JobID) {
	k.endedJobs[id] = k.Now
	delete(k.cancelledJobs, id)
	if len(k.endedJobs) <= 4096 {
		return
	}
	for old, at := range k.endedJobs {
		if k.Since(at) > 10*time.Minute {
			delete(k.endedJobs, old)
		}
	}
}

// HasEnded reports whether a job is known to have ended, rather than not to have
// arrived here yet.
func (k *State) HasEnded(id protocol.JobID) bool {
	_, over := k.endedJobs[id]
	return over && k.Live[id] == nil
}

// cancelledFor is for how long a cancelled job is remembered: far longer than a controller
// may act without having followed its end.
const cancelledFor = time.Minute

// MarkCancelled has no task of a job started any more: its user is about to be told that it is
// cancelledJobs, which is in the records, but may not have been followed yet. All the
// rest of its end waits for that, so that it happens here in the order of the records.
func (k *State) MarkCancelled(id protocol.JobID) {
	if _, over := k.endedJobs[id]; over && k.Live[id] == nil {
		return
	}
	k.cancelledJobs[id] = k.Now
	for old, at := range k.cancelledJobs {
		if k.Since(at) > cancelledFor {
			delete(k.cancelledJobs, old)
		}
	}
}

// MayStart reports whether tasks of a job may be started: it is live, and not known to
// be cancelled.
func (k *State) MayStart(id protocol.JobID) bool {
	_, cancelled := k.cancelledJobs[id]
	return k.Live[id] != nil && !cancelled
}

// Limited reports whether a team may have a limit, now or after a change of the
// configuration: its jobs have one owner then, and all that they take is counted.
func (k *State) Limited(name protocol.Team) bool { return k.limitedIn(k.View, name) }

func (k *State) limitedIn(v record.View, name protocol.Team) bool {
	return dynamicconfig.OneOwner(&k.Settings.Site, v.Layout, name)
}

// Team finds a team as it is in force.
func (k *State) Team(name protocol.Team) (dynamicconfig.Team, bool) {
	return k.Configuration.Effective().Team(name)
}

// Objectives are those in force.
func (k *State) Objectives() []config.Objective { return k.Configuration.Effective().Objectives }

// PlaceClosed reports whether a machine's type or zone takes no new work.
func (k *State) PlaceClosed(machineType protocol.MachineType, zone protocol.Zone) bool {
	return k.Configuration.Effective().PlaceClosed(machineType, zone)
}

// LimitLowered is the last revision of the configuration that lowered a team's limit:
// what was placed by an earlier one is started no more.
func (k *State) LimitLowered(name protocol.Team) dynamicconfig.Revision {
	return k.Configuration.Effective().LimitLowered(name)
}

// HasGuarantee reports whether a team is guaranteed anything.
func (k *State) HasGuarantee(name protocol.Team) bool {
	t, ok := k.Team(name)
	return ok && (t.CPUs > 0 || t.GPUs > 0)
}

// leastEstimate is the shortest run time that is reckoned with, in seconds: rates
// are divided by it.
const leastEstimate = 0.001

// Estimate is a task's expected run time; the default stands in for none.
func (k *State) Estimate(j *protocol.Job) float64 {
	if j.EstimateS > 0 {
		return max(j.EstimateS, leastEstimate)
	}
	return k.Op.DefaultEstimate.Seconds()
}

// WorkerLeaseBound is how long after the last possible answer a worker has surely
// killed its tasks: its lease by a clock that may run slow, and a margin for
// answers on their way.
func (k *State) WorkerLeaseBound() time.Duration {
	lease := k.Settings.Site.Workers.LeaseS
	return time.Duration(lease*1.002*float64(time.Second)) + 5*time.Second
}

// ViewUnchanged is the condition that the view is unchanged.
func (k *State) ViewUnchanged() protocol.Condition {
	return protocol.Condition{Key: record.ViewKey, Version: k.ViewVersion}
}

// UsesBlocks reports whether machines are recorded in blocks in this term.
func (k *State) UsesBlocks() bool { return k.View.Layout >= record.LayoutBlocks }

// WallTime is the time of day.
func (k *State) WallTime() reservation.Moment {
	return reservation.Moment(k.WallMS + int64(k.Now/clock.Time(time.Millisecond)))
}

// SetWallClock takes over the time of day; steady clocks drift apart.
func (k *State) SetWallClock(wallMS int64) {
	if wallMS != 0 {
		k.WallMS = wallMS - int64(k.Now/clock.Time(time.Millisecond))
	}
}
