package controller

import (
	"fmt"
	"strings"

	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// Status is what can be seen of a core from outside.
type Status struct {
	Term   protocol.Term
	Queues int // machines kept
	Heard  int // of these, registered and known to have nothing but what is listed
	Holds  []reservation.Hold
	Writes bool // machines' records
	Shares int  // kept; 0 where there are none
	// Misplaced are machines kept though their share is not.
	Misplaced []protocol.MachineID
	// SetAside are machines kept that fail what they start.
	SetAside []protocol.MachineID
	// Waits are the machines whose table entry is not empty: work that is there
	// or announced.
	Waits []protocol.MachineID
}

// Status tells what can be seen of it.
func (c *Core) Status() Status {
	in := Status{Term: c.View.Term, Queues: len(c.dispatcher.Machines()), Heard: c.dispatcher.InventoriedMachines(), Writes: c.HoldsLease() && c.Registrar() == c.Self, Shares: c.dispatcher.ShardsHeld(), Holds: c.reservations.List}
	if c.Sharded() && c.Member() {
		for _, id := range c.dispatcher.Machines() {
			if m := c.Records[id]; m != nil && c.DispatcherOf(id) != c.Self {
				in.Misplaced = append(in.Misplaced, id)
			}
		}
	}
	for _, id := range c.dispatcher.Machines() {
		if st, kept := c.dispatcher.StateOf(id); kept && st.Suspect {
			in.SetAside = append(in.SetAside, id)
		}
	}
	for _, m := range c.table.InOrder() {
		if len(m.PendingWaits) > 0 || m.Wait() != 0 {
			in.Waits = append(in.Waits, m.ID)
		}
	}
	return in
}

// DescribeJob tells what it knows of a job that does not end.
func (c *Core) DescribeJob(id protocol.JobID) string {
	var b strings.Builder
	if o := c.jobs.ByID[id]; o != nil {
		fmt.Fprintf(&b, "owner %s: unknown %v, pending %d, not before %v, its team uses %+v, awaited %d, leaving %v, failed on %v\n",
			c.Self, o.Unverified, o.Pending.Count(), c.Since(o.NotBefore), c.jobs.TeamUsage()[o.Team], len(c.jobs.AwaitedInventories), c.jobs.EndedAttempts, o.FailedOn)
		for _, t := range o.Placed {
			fmt.Fprintf(&b, "  placed %+v\n", *t)
		}
		for _, m := range c.table.InOrder() {
			fmt.Fprintf(&b, "  %s in %s, spot %v, kept by %s: usable %v, room %+v, told %+v\n", m.ID, m.Record.Zone, m.Record.Spot, c.DispatcherOf(m.ID), c.table.Usable(m), m.Free(), m.Reported)
		}
	}
	for _, m := range c.dispatcher.Machines() {
		for _, a := range c.dispatcher.Attempts(m) {
			if st, _ := c.dispatcher.StateOf(m); a.Task.Job == id || st.Draining {
				fmt.Fprintf(&b, "  %s has %+v\n", c.Self, a)
			}
		}
	}
	return b.String()
}

// TakeCompletedMoves returns the moves of shares that ended here since it was asked last.
func (c *Core) CompletedMoves() []dispatcher.CompletedMove { return c.dispatcher.TakeCompletedMoves() }
