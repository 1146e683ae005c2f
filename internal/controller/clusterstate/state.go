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
	Operator config.Operator // operator settings in force
	Log      *slog.Logger
	Now      clock.Time
	WallMS   int64 // Unix time when Now was 0, in milliseconds, as last set; 0 if unknown

	Types map[protocol.MachineType]protocol.TypeInfo

	Session       protocol.LeaseID
	SessionStart  clock.Time
	LeaseDeadline clock.Time // when this controller must stop acting on its lease, by its own clock
	View          record.View
	ViewVersion   protocol.Version
	// ObservedRevision is the revision of the key-value store up to which all changes of the
	// followed records were observed; 0 without a session.
	ObservedRevision protocol.Revision
	// DispatcherCache holds the dispatchers of machines in the current view that were
	// looked up, if there is no shard table.
	DispatcherCache map[protocol.MachineID]protocol.NodeName
	// Shards is the shard table that was last observed, or nil if there is none. It is in
	// use if the view's layout is LayoutShards or later.
	Shards        *record.ShardTable
	ShardsVersion protocol.Version
	// Leaving is set while the process is shutting down and hands its shards over first.
	Leaving bool
	// HighestFencingToken is the highest fencing token that any worker has reported since
	// the process started.
	HighestFencingToken protocol.Term

	Live          map[protocol.JobID]*LiveJob
	endedJobs     map[protocol.JobID]clock.Time // when each was observed to end
	cancelledJobs map[protocol.JobID]clock.Time // when each was marked as cancelled
	Records       map[protocol.MachineID]*Machine
	Reservations  *Reservations
	// Configuration holds the settings with the changes that operators have made.
	Configuration *dynamicconfig.Tracker
}

// NewState returns the state of a controller before its first session: it has the settings and
// no records, view or machine types.
func NewState(settings *config.Settings, op config.Operator, log *slog.Logger) *State {
	s := &State{
		Self:          settings.Name,
		Settings:      settings,
		Operator:      op,
		Log:           log,
		Types:         map[protocol.MachineType]protocol.TypeInfo{},
		Configuration: dynamicconfig.NewTracker(&settings.Site, op),
		cancelledJobs: map[protocol.JobID]clock.Time{},
	}
	s.Reset()
	return s
}

// Reset discards the state of the previous session: the view, the shard table and the records
// that were observed. Durable state is recorded in the key-value store. The machine types, the
// observed estimation errors, the highest fencing token and the marks of MarkCancelled are kept.
func (s *State) Reset() {
	s.Session = 0
	s.LeaseDeadline = 0
	s.ObservedRevision = 0
	s.View = record.View{}
	s.ViewVersion = 0
	s.Shards = nil
	s.ShardsVersion = 0
	s.DispatcherCache = map[protocol.MachineID]protocol.NodeName{}
	s.Live = map[protocol.JobID]*LiveJob{}
	s.endedJobs = map[protocol.JobID]clock.Time{}
	s.Records = map[protocol.MachineID]*Machine{}
	s.Reservations = s.Reservations.forNewSession()
	s.Configuration.Reset()
	s.Operator = s.Configuration.Effective().Operator
}

// Machine is the record of a registered machine and the information on its type.
type Machine struct {
	ID     protocol.MachineID
	Record record.Machine
	Epoch  protocol.Version // version of the record; all tasks are lost when it changes
	Info   protocol.TypeInfo
}

// HoldsLease reports whether this controller may send commands to workers and change
// jobs: its lease has not expired by its own clock, and the view contains its session.
func (s *State) HoldsLease() bool {
	return s.Now < s.LeaseDeadline && s.Member()
}

// Member reports whether this controller is in the view with its current session.
func (s *State) Member() bool {
	return s.Session != 0 && s.View.Members[s.Self] == s.Session
}

// ViewUnchanged returns the condition of a transaction that the record of the view still has
// the version that this controller has observed.
func (s *State) ViewUnchanged() protocol.Condition {
	return protocol.Condition{Key: record.ViewKey, Version: s.ViewVersion}
}
