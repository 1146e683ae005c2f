package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/config"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/protocol"
	"log/slog"
	"time"
)

// known is what a controller knows that all parts of its core read: its
// settings, the time, its session, the view, and the records that all follow.
type known struct {
	self     protocol.NodeName
	settings *config.Settings
	op       config.Operator
	log      *slog.Logger
	now      Time
	wallMS   int64 // the time of day when now was 0, as last told

	types map[protocol.MachineType]protocol.TypeInfo

	session     protocol.LeaseID
	begun       Time // when this session began
	until       Time // acts only before
	view        bookkeeping.View
	viewVersion protocol.Version
	keepers     map[protocol.MachineID]protocol.NodeName // by the view, as far as asked for

	live    map[protocol.JobID]*liveJob
	over    map[protocol.JobID]Time // seen to end, and when
	records map[protocol.MachineID]*machine
	pledged *pledges
}

// newKnown knows nothing but its settings.
func newKnown(s *config.Settings, op config.Operator, log *slog.Logger) *known {
	k := &known{self: s.Name, settings: s, op: op, log: log, types: map[protocol.MachineType]protocol.TypeInfo{}}
	k.reset()
	return k
}

// reset forgets what a session knew. What matters is in the records.
func (k *known) reset() {
	k.session, k.until = 0, 0
	k.view, k.viewVersion = bookkeeping.View{}, 0
	k.keepers = map[protocol.MachineID]protocol.NodeName{}
	k.live, k.over = map[protocol.JobID]*liveJob{}, map[protocol.JobID]Time{}
	k.records = map[protocol.MachineID]*machine{}
	k.pledged = k.pledged.anew()
}

// machine is a registered machine as the records have it.
type machine struct {
	id    protocol.MachineID
	rec   bookkeeping.Machine
	epoch protocol.Version
	info  protocol.TypeInfo
}

// acting reports whether this controller may command workers and settle jobs:
// its lease has not run out by its own clock, and the view has its session.
func (k *known) acting() bool {
	return k.now < k.until && k.member()
}

func (k *known) member() bool {
	return k.session != 0 && k.view.Members[k.self] == k.session
}

func (k *known) after(d time.Duration) Time { return k.now + Time(d) }

func (k *known) since(t Time) time.Duration { return time.Duration(k.now - t) }

// noteOver remembers that a job is over, for messages about it that are still
// under way.
func (k *known) noteOver(id protocol.JobID) {
	k.over[id] = k.now
	if len(k.over) <= 4096 {
		return
	}
	for old, at := range k.over {
		if k.since(at) > 10*time.Minute {
			delete(k.over, old)
		}
	}
}

// isOver reports whether a job is known to have ended, rather than not to have
// arrived here yet.
func (k *known) isOver(id protocol.JobID) bool {
	_, over := k.over[id]
	return over && k.live[id] == nil
}

func (k *known) limited(name protocol.Team) bool {
	t, ok := k.settings.Team(name)
	return ok && t.Limited()
}

// guarantees reports whether a team is guaranteed anything.
func (k *known) guarantees(name protocol.Team) bool {
	t, ok := k.settings.Team(name)
	return ok && (t.CPUs > 0 || t.GPUs > 0)
}

// estimate is a task's expected run time; the default stands in for none.
func (k *known) estimate(j *protocol.Job) float64 {
	if j.EstimateS > 0 {
		return j.EstimateS
	}
	return k.op.DefaultEstimate.Seconds()
}

// leaseOver is how long after the last possible answer a worker has surely
// killed its tasks: its lease by a clock that may run slow, and a margin for
// answers on their way.
func (k *known) leaseOver() time.Duration {
	lease := k.settings.Site.Workers.LeaseS
	return time.Duration(lease*1.002*float64(time.Second)) + 5*time.Second
}

// inThisView is the condition that the view is unchanged.
func (k *known) inThisView() protocol.Condition {
	return protocol.Condition{Key: bookkeeping.ViewKey, Version: k.viewVersion}
}

// inBlocks reports whether machines are recorded in blocks in this term.
func (k *known) inBlocks() bool { return k.view.Layout >= bookkeeping.LayoutBlocks }

// moment is the time of day.
func (k *known) moment() calendar.Moment {
	return calendar.Moment(k.wallMS + int64(k.now/Time(time.Millisecond)))
}

// tellTime takes over the time of day; steady clocks drift apart.
func (k *known) tellTime(wallMS int64) {
	if wallMS != 0 {
		k.wallMS = wallMS - int64(k.now/Time(time.Millisecond))
	}
}
