// Package controller decides: who is entitled to act, who owns which job,
// where tasks go, what workers are told and which machines are rented. The
// decisions are step functions over plain state (Core); thin actors around
// them (Node) carry the messages.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/operatorrequest"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/workerregistry"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Core is one controller's whole state between messages: the modules, and the wiring
// between them. It is not safe for concurrent use: one actor owns it.
type Core struct {
	clusterstate.Module
	members      *membership.Members
	registrar    *workerregistry.Registrar
	dispatcher   *dispatcher.Dispatcher
	table        *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	jobs         *jobs.Owned
	placer       *placement.Placer
	autoscaler   *autoscaler.Autoscaler
	planner      *autoscaler.ReservationPlanner
	operations   *operatorrequest.Handler

	// rates outlives sessions: what was lent in the last one is still lent.
	rates          *ratelimit.Ledger[protocol.LeaseID]
	rateAllotment  message.SetRateAllotment // as last set
	tickLatenessMS float64                  // how late ticks come, on average
	lastTick       Time
	lastRelay      Time
	refusedAt      Time // when an impossible message was last logged
}

// NewCore makes a controller's state before its first session.
func NewCore(s *config.Settings, op config.Operator, rng *rand.Rand, log *slog.Logger) *Core {
	p := clusterstate.Module{State: clusterstate.NewState(s, op, log), Output: &clusterstate.Output{}}
	table := waittable.New(p, rng)
	work := workload.New(p, table)
	queues := dispatcher.New(p)
	owned := jobs.New(p, table, work, rng)
	held := holds.New(p, table, owned.JobProgress, queues.TouchAll)
	place := placement.New(p, table, work, held, owned, rng)
	scaler, planner := autoscaler.New(p, table, work, held, place)
	members := membership.New(p)
	c := &Core{
		Module: p, members: members, registrar: workerregistry.New(p), dispatcher: queues,
		table: table, workload: work, reservations: held, jobs: owned, placer: place, autoscaler: scaler, planner: planner,
		operations: operatorrequest.New(p, members, table, held, planner),
	}
	c.reset()
	return c
}

// Reset forgets everything a session knew. What matters is in the records.
func (c *Core) reset() {
	c.State.Reset()
	c.members.Reset()
	c.registrar.Reset()
	c.workload.Reset()
	c.table.Reset()
	c.dispatcher.Reset()
	c.jobs.Reset()
	c.placer.Reset()
	c.planner.Reset()
	c.autoscaler.Reset()
	c.reservations.Reset()
}

// Step handles one message at a time of the steady clock.
func (c *Core) Step(now Time, msg any) []message.Action {
	c.Now = now
	c.Actions = nil
	if c.rates == nil {
		c.rates = ratelimit.NewLedger[protocol.LeaseID](c.equalAllotment(), now)
	}
	switch m := msg.(type) {
	case message.Snapshot:
		c.reset()
		c.Session, c.SessionStart = m.Session, c.Now
		c.SetWallClock(m.WallMS)
		for _, it := range m.Items {
			c.record(it.Key, it.Value, it.Version, true)
		}
		if !c.members.IsPresent(c.Self) && c.Op.NodeLease >= ratelimit.MaxGrantDuration {
			// An earlier process of this controller was gone for its whole
			// lease: what it lent is over.
			c.rates.NothingOutstanding()
		}
	case message.RecordChanged:
		c.recordChanged(m.Event)
	case message.LeaseExtended:
		c.LeaseDeadline = m.Until
	case message.SessionEnded:
		c.reset()
	case message.CatalogueRead:
		c.catalogueRead(m.Types)
	case message.HeartbeatReceived:
		c.heartbeat(m.Heartbeat)
	case message.BatchReceived:
		for _, fresh := range c.members.Received(m.Batch) {
			if err := fresh.Check(); err != nil {
				c.refusePeer(m.Batch.From, err)
				continue
			}
			c.message(m.Batch.From, fresh)
		}
	case message.JobCancelled:
		c.MarkCancelled(m.Job)
	case message.Shutdown:
		c.Leaving = true
	case message.Tick:
		c.measureTickLateness()
		c.SetWallClock(m.WallMS)
		c.setRateAllotment()
		c.members.SendRequestedMoves()
		c.tick()
	case message.StoreRateUsed:
		c.rates.NoteUse(m.Amount)
	case message.CommitDone:
		c.commitDone(m)
	case message.BitmapLoaded:
		c.jobs.BitmapLoaded(m)
	case message.CommandDone:
		c.dispatcher.CommandDone(m)
	case message.PeerLeads:
		c.members.NoteLeading(m.Peer)
	case message.ProvisionDone:
		c.autoscaler.Provisioned(m)
	case message.TerminateDone:
		c.autoscaler.Terminated(m)
	case message.MachinesListed:
		c.autoscaler.MachinesListed(m)
	}
	c.settle()
	c.members.ChangeShards(c.dispatcher.RequestedShardChanges())
	c.dispatcher.SendDirectCommands()
	return c.Actions
}

// refuseLogged is how often what peers say that can't be is logged at the most.
const refuseLogged = time.Minute

// refusePeer ignores what a peer says that can't be: it is of another version, or
// broken.
func (c *Core) refusePeer(from protocol.NodeName, err error) {
	if c.refusedAt == 0 || c.Since(c.refusedAt) > refuseLogged {
		c.refusedAt = c.Now
		c.Log.Error("a peer's message is ignored", "peer", from, "err", err)
	}
}

// settle handles messages to itself and places what became pending.
func (c *Core) settle() {
	for range 8 {
		for len(c.Local) > 0 {
			m := c.Local[0]
			c.Local = c.Local[1:]
			c.message(c.Self, m)
		}
		if !c.placer.PlaceIfDue() {
			return
		}
	}
}

// catalogueRead takes over the machine types.
func (c *Core) catalogueRead(types []protocol.TypeInfo) {
	for _, t := range types {
		c.Types[t.Name] = t
	}
	c.placer.RefreshPrices()
	c.table.RefreshTypes()
}

func (c *Core) recordChanged(ev protocol.Event) {
	if ev.Put != "" {
		c.record(ev.Put, ev.Value, ev.Version, false)
		return
	}
	f, ok := record.ParseFollowedKey(ev.Delete)
	if !ok {
		return
	}
	switch {
	case f.Node != "":
		c.members.Absent(f.Node)
		c.checkView()
	case f.ShardTable:
		c.ShardsVersion = 0 // lost: written again as it is known here
	case f.Job != "":
		c.jobEnded(f.Job)
	case f.Machine != "":
		if !c.registrar.InBlock(f.Machine) { // else it has moved into a block
			c.machineDeregistered(f.Machine)
		}
	case f.Block != "":
		for _, id := range c.registrar.BlockDeleted(f.Block) {
			c.machineDeregistered(id)
		}
	case f.Reservation != "" || f.Window != "":
		c.reservations.CalendarDeleted(f)
	}
}

// record takes over one followed record.
func (c *Core) record(key string, value protocol.RawValue, version protocol.Version, snapshot bool) {
	f, ok := record.ParseFollowedKey(key)
	if !ok {
		return
	}
	var err error
	switch {
	case f.View:
		var v record.View
		if err = protocol.Decode(value, &v); err == nil && version > c.ViewVersion {
			c.adopt(v, version)
		}
	case f.Node != "":
		var n record.Node
		if err = protocol.Decode(value, &n); err == nil {
			c.members.Present(f.Node, n)
			if !snapshot {
				c.checkView()
			}
		}
	case f.Job != "":
		var j protocol.Job
		if err = protocol.Decode(value, &j); err == nil {
			c.jobs.Accepted(j, version, snapshot)
		}
	case f.Machine != "":
		var m record.Machine
		if err = protocol.Decode(value, &m); err == nil {
			c.machineRegistered(f.Machine, m, version)
		}
	case f.Block != "":
		var b record.Block
		if err = protocol.Decode(value, &b); err == nil {
			changed, gone := c.registrar.BlockUpdated(f.Block, b, version)
			for _, id := range gone {
				c.machineDeregistered(id)
			}
			for _, e := range changed {
				c.machineRegistered(e.ID, e.Machine, e.Epoch)
			}
		}
	case f.ShardTable:
		var s record.ShardTable
		if err = protocol.Decode(value, &s); err == nil && version > c.ShardsVersion {
			c.adoptShares(&s, version)
		}
	case f.ReservationHolds:
		err = c.reservations.RecordSeen(value, version)
	case f.Configuration || f.ConfigurationEntry != "":
		err = c.configurationRecord(f, value, version)
	case f.Calendar || f.Reservation != "" || f.Window != "":
		err = c.reservations.CalendarRecord(f, value, version)
	}
	if err != nil {
		c.Log.Error("record can't be read", "key", key, "err", err)
	}
}

// tick lets time pass: the regular message to peers, and whatever waits.
func (c *Core) tick() {
	c.checkView()
	if !c.Member() {
		return
	}
	if c.Since(c.lastRelay) >= c.Op.RelayEvery {
		c.lastRelay = c.Now
		c.refreshDeadlines()
		c.reservations.Refresh()
		c.workload.WatchSpots()
		c.jobs.WatchSlow()
		c.dispatcher.ExpireSilent(c.members.AllAdopted(), c.members.ShardsFloor())
		c.placer.Rebalance("")
		c.dispatcher.Maintain(c.announcedLevel, c.jobs.IsFailing)
		c.jobs.WriteBitmaps()
		c.sendUpdates(true)
		c.members.Balance()
		c.autoscaler.Step()
	} else {
		c.placer.ContinueRebalance()
		if c.Leaving {
			c.jobs.WriteBitmaps()
		}
		c.sendUpdates(false)
		c.dispatcher.SendInventories() // not in the step of the regular work: together they are long
	}
	c.registrar.Write()
	c.table.AskMorePeers()
	c.jobs.Retry()
}

func (c *Core) commitDone(m message.CommitDone) {
	switch tag := m.Tag.(type) {
	case membership.ShardsTag:
		c.members.ShardsWritten(m.Outcome)
	case membership.ViewTag:
		c.members.ViewWritten(m.Outcome)
	case autoscaler.ReservationTag:
		c.planner.Written(tag)
	case dispatcher.RegisterTag:
		c.dispatcher.RegistrationDone(tag, m.Outcome)
	case jobs.FinishTag:
		c.jobs.FinishWritten(tag, m.Outcome)
	case jobs.BitmapTag:
		c.jobs.BitmapWritten(tag, m.Outcome, m.Revision)
	case holds.Tag:
		c.reservations.Written(m.Outcome)
	case workerregistry.Tag:
		c.registrar.Written(tag, m.Outcome)
	case dispatcher.RemoveTag:
		c.dispatcher.RemovalDone(tag.Machine)
	}
}

// refreshDeadlines reckons anew when jobs are due; queues and jobs are sorted again
// where that has changed.
func (c *Core) refreshDeadlines() {
	changed := false
	for _, l := range c.Live {
		if due := c.jobs.CurrentDeadline(l); due != l.Deadline {
			l.Deadline, changed = due, true
		}
	}
	if !changed {
		return
	}
	c.jobs.InvalidateOrder()
	c.dispatcher.InvalidateOrder()
}

// announcedLevel is the level of a job, by its owner's word.
func (c *Core) announcedLevel(id protocol.JobID) (resource.Level, bool) {
	g, ok := c.jobs.JobProgress(id)
	return resource.Level(g.Level - 1), ok && g.Level > 0
}

// heartbeat answers a worker, or points it to the controller that keeps it.
func (c *Core) heartbeat(r protocol.Heartbeat) {
	c.HighestToken = max(c.HighestToken, r.Term)
	if r.Term > c.FencingToken(r.Machine, r.Zone) || !c.HoldsLease() {
		c.Emit(message.ReplyHeartbeat{Status: 503}) // where somebody has raised the term: until it is read
		return
	}
	if keeper := c.DispatcherInZone(r.Machine, r.Zone); keeper != c.Self {
		c.members.NoteRedirected(r.Machine, r.Zone)
		c.Emit(message.ReplyHeartbeat{Status: 421, Leader: keeper})
		return
	}
	c.dispatcher.Heartbeat(r)
}

// checkView has the view changed if it should be.
func (c *Core) checkView() { c.members.Check(c.dispatcher.NeedsNewTerm()) }

// lateMemory is the part of what was known of its lateness that a tick leaves.
const lateMemory = 0.98

// measureTickLateness learns how late ticks come: by how much the time between two exceeds
// what it should be.
func (c *Core) measureTickLateness() {
	if c.lastTick != 0 {
		late := max(0, c.Since(c.lastTick)-tickEvery)
		c.tickLatenessMS = lateMemory*c.tickLatenessMS + (1-lateMemory)*float64(late)/float64(time.Millisecond)
	}
	c.lastTick = c.Now
}

// HandedOver reports whether a controller that is told to end may: it keeps no
// machines, and what it knows of its jobs is written.
func (c *Core) HandedOver() bool {
	if !c.Leaving {
		return false // not noticed yet
	}
	if !c.Member() {
		return true
	}
	return c.jobs.AllWritten() && c.dispatcher.ShardsHeld() == 0
}

// Decide decides an operator's request by what this controller has followed:
// the answer, and the transaction that has to hold before it is given, if any.
func (c *Core) Decide(by string, r *operatorapi.Request) (operatorapi.Reply, *protocol.Transaction) {
	d := c.operations.Decide(by, r)
	return d.Reply, d.Transaction
}
