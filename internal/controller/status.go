package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// Status describes the state of a Core for checks and tests.
type Status struct {
	Term                protocol.Term
	QueuesHeld          int // machines whose queues this controller holds
	InventoriedMachines int // registered ones among these whose workers have listed their attempts
	Holds               []reservation.Hold
	IsRegistrar         bool // this controller writes the machines' records
	Shards              int  // shards that this controller holds; 0 if machines are not sharded
	// Misplaced lists machines whose queues this controller holds although another one
	// holds their shards.
	Misplaced []protocol.MachineID
	// Quarantined lists machines with queues here that are quarantined because the tasks
	// started on them fail.
	Quarantined []protocol.MachineID
	// MachinesWithWait lists the machines with a wait in the wait table: they have attempts, or
	// a placement on them has been announced that their published state does not include yet.
	MachinesWithWait []protocol.MachineID
}

// Status returns a description of the core for checks and tests.
func (c *Core) Status() Status {
	status := Status{
		Term:                c.View.Term,
		QueuesHeld:          len(c.dispatcher.Machines()),
		InventoriedMachines: c.dispatcher.InventoriedMachines(),
		IsRegistrar:         c.HoldsLease() && c.Registrar() == c.Self,
		Shards:              c.dispatcher.ShardsHeld(),
		Holds:               c.reservations.List,
	}
	if c.Sharded() && c.Member() {
		status.Misplaced = c.misplacedMachines()
	}
	for _, id := range c.dispatcher.Machines() {
		if state, queued := c.dispatcher.PublishedState(id); queued && state.Suspect {
			status.Quarantined = append(status.Quarantined, id)
		}
	}
	for _, machine := range c.waitTable.InOrder() {
		if len(machine.PendingWaits) > 0 || machine.Wait() != 0 {
			status.MachinesWithWait = append(status.MachinesWithWait, machine.ID)
		}
	}
	return status
}

// misplacedMachines lists the registered machines whose queues this controller holds although
// another one holds their shards.
func (c *Core) misplacedMachines() []protocol.MachineID {
	var misplaced []protocol.MachineID
	for _, id := range c.dispatcher.Machines() {
		if c.Records[id] != nil && c.DispatcherOf(id) != c.Self {
			misplaced = append(misplaced, id)
		}
	}
	return misplaced
}

// DescribeJob returns a text of several lines on this controller's state of a job, for the report
// on a job that does not end: if this controller owns the job, the job's state, its attempts and
// all machines; and in any case the attempts in the queues here that are of the job or on
// draining machines.
func (c *Core) DescribeJob(id protocol.JobID) string {
	var b strings.Builder
	if job := c.jobs.ByID[id]; job != nil {
		fmt.Fprintf(&b, "owner %s: unverified %v, pending %d, not before %v, usage of its team %+v, awaited inventories %d, ended attempts %v, failed on %v\n",
			c.Self, job.Unverified, job.Pending.Count(), c.Since(job.NotBefore), c.jobs.TeamUsage()[job.Team], len(c.jobs.AwaitedInventories), c.jobs.EndedJobAttempts, job.FailedOn)
		for _, attempt := range job.Placed {
			fmt.Fprintf(&b, "  placed %+v\n", *attempt)
		}
		for _, m := range c.waitTable.InOrder() {
			fmt.Fprintf(&b, "  %s in %s, spot %v, dispatcher %s: usable %v, free %+v, reported %+v\n", m.ID, m.Record.Zone, m.Record.Spot, c.DispatcherOf(m.ID), c.waitTable.Usable(m), m.Free(), m.State)
		}
	}
	for _, machine := range c.dispatcher.Machines() {
		for _, attempt := range c.dispatcher.Attempts(machine) {
			if state, _ := c.dispatcher.PublishedState(machine); attempt.Task.Job == id || state.Draining {
				fmt.Fprintf(&b, "  %s has %+v\n", c.Self, attempt)
			}
		}
	}
	return b.String()
}

// MaySend reports whether direct commands that were decided in a session some time ago may still
// be sent: the session lasts, this controller holds its lease, and no job that they start has
// been cancelled since. An acknowledged cancellation promises that no start is sent any more.
func (c *Core) MaySend(now Time, session protocol.LeaseID, commands *protocol.Commands) bool {
	c.Now = now
	if session != c.Session || !c.HoldsLease() {
		return false
	}
	return !slices.ContainsFunc(commands.Orders, func(o protocol.Order) bool {
		return o.Op == protocol.OpStart && !c.MayStart(o.Task.Job)
	})
}

// CompletedMoves returns the handovers of shards that ended at this controller since the last
// call.
func (c *Core) CompletedMoves() []dispatcher.CompletedMove { return c.dispatcher.TakeCompletedMoves() }

// AnswerAdmissionQuery answers a query of package admission: the versions and the progress of
// those of the given jobs that are live, the end of those that were observed to end, the members
// of the view, and those peers among them that recently reported to hold their leases.
func (c *Core) AnswerAdmissionQuery(query admission.QueryCore) admission.CoreAnswered {
	found := make(map[protocol.JobID]admission.LiveJob, len(query.Jobs))
	ended := map[protocol.JobID]Time{}
	for _, id := range query.Jobs {
		if at, ok := c.EndedAt(id); ok {
			ended[id] = at
		}
		if job := c.Live[id]; job != nil {
			progress, _ := c.jobs.JobProgress(id)
			found[id] = admission.LiveJob{Version: job.Version, Progress: progress}
		}
	}
	members := slices.Sorted(maps.Keys(c.View.Members))
	return admission.CoreAnswered{
		Query: query.Query, Jobs: found, Leading: c.members.PeersHoldingLease(), Members: members,
		ObservedRevision: c.ObservedRevision, Ended: ended,
	}
}
