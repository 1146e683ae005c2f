package clusterstate

import (
	"log/slog"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// State is the state that all modules of a controller's core read: its settings, the time,
// its session, the view, and the records that every controller watches.
type State struct {
	Self     protocol.NodeName
	Settings *config.Settings
	Op       config.Operator
	Log      *slog.Logger
	Now      clock.Time
	WallMS   int64 // the time of day when Now was 0, as last set

	Types map[protocol.MachineType]protocol.TypeInfo

	Session       protocol.LeaseID
	SessionStart  clock.Time
	LeaseDeadline clock.Time // this controller holds its lease before
	View          record.View
	ViewVersion   protocol.Version
	// DispatcherCache is the dispatchers in the present view, as far as they were asked
	// for, where there is no shard table.
	DispatcherCache map[protocol.MachineID]protocol.NodeName
	// Shards is the shard table as it was last observed; nil: there is none. It is in use
	// where the view's layout says so.
	Shards        *record.ShardTable
	ShardsVersion protocol.Version
	// Leaving: the process is shutting down, and hands its shards over first.
	Leaving bool
	// HighestFencingToken is the highest fencing token that any worker has reported since the
	// process started.
	HighestFencingToken protocol.Term

	Live          map[protocol.JobID]*LiveJob
	endedJobs     map[protocol.JobID]clock.Time // when each was observed to end
	cancelledJobs map[protocol.JobID]clock.Time // since when each is known to be cancelled
	Records       map[protocol.MachineID]*Machine
	Reservations  *Reservations
	// Configuration is the settings with the changes of operators.
	Configuration *dynamicconfig.Followed
}

// NewState returns a state that knows nothing but its settings.
func NewState(settings *config.Settings, op config.Operator, log *slog.Logger) *State {
	s := &State{
		Self:          settings.Name,
		Settings:      settings,
		Op:            op,
		Log:           log,
		Types:         map[protocol.MachineType]protocol.TypeInfo{},
		Configuration: dynamicconfig.NewFollowed(&settings.Site, op),
	}
	s.Reset()
	return s
}

// Reset discards what was known in a session: what matters is recorded.
func (s *State) Reset() {
	s.Session = 0
	s.LeaseDeadline = 0
	s.View = record.View{}
	s.ViewVersion = 0
	s.Shards = nil
	s.ShardsVersion = 0
	s.DispatcherCache = map[protocol.MachineID]protocol.NodeName{}
	s.Live = map[protocol.JobID]*LiveJob{}
	s.endedJobs = map[protocol.JobID]clock.Time{}
	s.cancelledJobs = map[protocol.JobID]clock.Time{}
	s.Records = map[protocol.MachineID]*Machine{}
	s.Reservations = s.Reservations.next()
	s.Configuration.Reset()
	s.Op = s.Configuration.Effective().Operator
}

// Machine is a registered machine as it is recorded.
type Machine struct {
	ID     protocol.MachineID
	Record record.Machine
	Epoch  protocol.Version
	Info   protocol.TypeInfo
}

// HoldsLease reports whether this controller may send commands to workers and change
// jobs: its lease has not expired by its own clock, and the view has its session.
func (s *State) HoldsLease() bool {
	return s.Now < s.LeaseDeadline && s.Member()
}

// Member reports whether the view has this session.
func (s *State) Member() bool {
	return s.Session != 0 && s.View.Members[s.Self] == s.Session
}

// ViewUnchanged returns the condition that the view is unchanged.
func (s *State) ViewUnchanged() protocol.Condition {
	return protocol.Condition{Key: record.ViewKey, Version: s.ViewVersion}
}
