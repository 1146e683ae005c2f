package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/operatorrequest"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workerregistry"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// Core is the complete decision-making state of one controller between two messages: its
// modules, and the connections between them. It is not safe for concurrent use: one actor
// owns it.
type Core struct {
	clusterstate.Module
	members      *membership.Members
	registrar    *workerregistry.Registrar
	dispatcher   *dispatcher.Dispatcher
	waitTable    *waittable.Table
	workload     *workload.Workload
	reservations *holds.Holds
	jobs         *jobs.Owned
	placer       *placement.Placer
	autoscaler   *autoscaler.Autoscaler
	planner      *autoscaler.ReservationPlanner
	operations   *operatorrequest.Handler

	// rates is kept across sessions: grants to peers of an earlier session stay in force.
	rates              *ratelimit.Ledger[protocol.LeaseID] // nil before the first step
	rateAllotment      message.SetRateAllotment            // the last one emitted
	tickLatenessMS     float64                             // moving average of the delay of ticks
	lastTick           Time
	lastFullUpdate     Time // when runPeriodicWork last ran and sent state updates to all peers
	lastInvalidMessage Time // when a peer's invalid message was last logged
}

// NewCore returns the state of a controller before its first session.
func NewCore(settings *config.Settings, operator config.Operator, rng *rand.Rand, log *slog.Logger) *Core {
	module := clusterstate.NewModule(settings, operator, log)
	table := waittable.New(module, rng)
	work := workload.New(module, table)
	queues := dispatcher.New(module)
	owned := jobs.New(module, table, work, rng)
	reservations := holds.New(module, table, owned.JobProgress, queues.MarkAllChanged)
	placer := placement.New(module, table, work, reservations, owned, rng)
	scaler, planner := autoscaler.New(module, table, work, reservations, placer)
	members := membership.New(module)
	c := &Core{
		Module:       module,
		members:      members,
		registrar:    workerregistry.New(module),
		dispatcher:   queues,
		waitTable:    table,
		workload:     work,
		reservations: reservations,
		jobs:         owned,
		placer:       placer,
		autoscaler:   scaler,
		planner:      planner,
		operations:   operatorrequest.New(module, members, table, reservations, planner),
	}
	c.reset()
	return c
}

// reset drops the state of all modules that belongs to a session. State that must outlive the
// session is in the records.
func (c *Core) reset() {
	c.Reset() // of the cluster state that the modules share
	c.members.Reset()
	c.registrar.Reset()
	c.workload.Reset()
	c.waitTable.Reset()
	c.dispatcher.Reset()
	c.jobs.Reset()
	c.placer.Reset()
	c.planner.Reset()
	c.autoscaler.Reset()
	c.reservations.Reset()
}

// Step handles one message of package message at a given time of the monotonic clock, and
// returns the actions that result from it. It ignores messages of other types.
func (c *Core) Step(now Time, msg any) []message.Action {
	c.Now = now
	c.Actions = nil
	if c.rates == nil {
		c.rates = ratelimit.NewLedger[protocol.LeaseID](c.equalAllotment(), now)
	}
	c.handleMessage(msg)
	c.processLocalMessages()
	c.members.ChangeShards(c.dispatcher.RequestedShardChanges())
	c.dispatcher.SendDirectCommands()
	return c.Actions
}

// handleMessage passes a message to the module that it concerns.
func (c *Core) handleMessage(msg any) {
	switch m := msg.(type) {
	case message.Snapshot:
		c.beginSession(m)
	case message.InSession:
		c.handleInSession(m)
	case message.CatalogueRead:
		c.handleCatalogue(m.Types)
	case message.HeartbeatReceived:
		c.handleHeartbeat(m.Heartbeat)
	case message.BatchReceived:
		c.handleBatch(m.Batch)
	case message.JobCancelled:
		c.MarkCancelled(m.Job)
	case message.Shutdown:
		c.Leaving = true
	case message.Tick:
		c.handleTick(m)
	case message.StoreRateUsed:
		c.rates.NoteUse(m.Amount)
	case message.PeerLeads:
		c.members.NoteHoldsLease(m.Peer)
	}
}

// handleInSession handles a message of the current session. It drops one of a session that has
// ended: a change that a late watch of that session delivers is older than the snapshot of the
// current one, and would bring back what was deleted in between.
func (c *Core) handleInSession(m message.InSession) {
	if m.Session != c.Session || m.Session == 0 {
		c.Log.Debug("dropped a message of an ended session", "session", m.Session, "current", c.Session, "type", fmt.Sprintf("%T", m.Message))
		return
	}
	c.handleSessionMessage(m.Message)
}

// handleSessionMessage passes a message of the current session to the module that it concerns.
func (c *Core) handleSessionMessage(msg message.SessionMessage) {
	switch m := msg.(type) {
	case message.RecordChanged:
		c.handleRecordEvent(m.Event)
	case message.LeaseExtended:
		c.LeaseDeadline = m.Until
	case message.SessionEnded:
		c.reset()
	case message.CommitDone:
		c.handleCommitDone(m)
	case message.BitmapLoaded:
		c.jobs.HandleBitmapLoaded(m)
	case message.CommandDone:
		c.dispatcher.HandleCommandDone(m)
	case message.ProvisionDone:
		c.autoscaler.HandleProvisionDone(m)
	case message.TerminateDone:
		c.autoscaler.HandleTerminateDone(m)
	case message.MachinesListed:
		c.autoscaler.HandleMachinesListed(m)
	}
}

// beginSession drops the state of the previous session and starts a new one from a snapshot of
// the followed records. The snapshot was read before this controller wrote its own node record.
func (c *Core) beginSession(m message.Snapshot) {
	c.reset()
	c.Session, c.SessionStart, c.ObservedRevision = m.Session, c.Now, m.Revision
	c.SetWallClock(m.WallMS)
	for _, item := range m.Items {
		c.handleRecordUpdate(item.Key, item.Value, item.Version, true)
	}
	if !c.members.IsRegistered(c.Self) && c.Operator.NodeLease >= ratelimit.MaxGrantDuration {
		// Without a node record, an earlier process of this controller has been absent
		// for its whole lease. A grant of rates lasts no longer than that, so all grants
		// of the earlier process have expired.
		c.rates.EndStartupHold()
	}
}

// maxLocalRounds bounds how often a step places tasks and handles the messages of this
// controller to itself that result from it. The next step handles the remaining messages.
const maxLocalRounds = 8

// processLocalMessages handles the messages of this controller to itself, and places the
// tasks that become pending, until there are none left or maxLocalRounds is reached.
func (c *Core) processLocalMessages() {
	for range maxLocalRounds {
		for len(c.Local) > 0 {
			m := c.Local[0]
			c.Local = c.Local[1:]
			c.handlePeerMessage(c.Self, m)
		}
		if !c.placer.PlaceIfDue() {
			return
		}
	}
}

// handleCatalogue stores the machine types and their prices, and updates the state that
// depends on them: the placer's prices and the types of the machines in the wait table.
func (c *Core) handleCatalogue(types []protocol.TypeInfo) {
	for _, t := range types {
		c.Types[t.Name] = t
	}
	c.placer.RefreshPrices()
	c.waitTable.RefreshTypes()
}

// handleHeartbeat answers a worker's heartbeat if this controller dispatches to its machine.
// Otherwise it redirects the worker to the controller that does. It refuses the heartbeat if
// this controller does not hold its lease, or if the worker has received a fencing token above
// the one that this controller has read.
func (c *Core) handleHeartbeat(heartbeat protocol.Heartbeat) {
	c.HighestFencingToken = max(c.HighestFencingToken, heartbeat.Term)
	if heartbeat.Term > c.LastFencingToken(heartbeat.Machine, heartbeat.Zone) || !c.HoldsLease() {
		// A higher term means that another controller has raised the fencing token:
		// this one refuses the heartbeats until it has read the record that raises it.
		c.Emit(message.ReplyHeartbeat{Status: http.StatusServiceUnavailable})
		return
	}
	if target := c.DispatcherInZone(heartbeat.Machine, heartbeat.Zone); target != c.Self {
		c.members.NoteRedirected(heartbeat.Machine, heartbeat.Zone)
		c.Emit(message.ReplyHeartbeat{Status: http.StatusMisdirectedRequest, Leader: target})
		return
	}
	c.dispatcher.HandleHeartbeat(heartbeat)
}

// HandedOver reports whether a controller that is shutting down may exit: it holds no shards and
// the state of its jobs has been written, or it is not a member of the view.
func (c *Core) HandedOver() bool {
	if !c.Leaving {
		return false // the request to shut down has not been handled yet
	}
	if !c.Member() {
		return true
	}
	return c.jobs.AllWritten() && c.dispatcher.ShardsHeld() == 0
}

// DecideOperatorRequest decides an operator's request on the basis of the records that this
// controller has read so far; by is the name of the operator's key. It returns the answer and,
// if the decision changes records, the transaction that must succeed before the answer is sent.
func (c *Core) DecideOperatorRequest(by string, r *operatorapi.Request) (operatorapi.Reply, *protocol.Transaction) {
	d := c.operations.Decide(by, r)
	return d.Reply, d.Transaction
}
