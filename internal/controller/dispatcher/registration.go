package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// registrarRetryAfter is after how long without a change of the record the registrar is
// asked once more.
const registrarRetryAfter = 2 * time.Second

// RegisterTag marks the registration of a machine's agent epoch.
type RegisterTag struct {
	machine    protocol.MachineID
	agentEpoch protocol.AgentEpoch
}

// RemoveTag marks the removal of a machine's record.
type RemoveTag struct{ Machine protocol.MachineID }

// recordRequests are the changes of a machine's record that have been asked for.
type recordRequests struct {
	registering, removing bool
	askedAt               clock.Time // when either was last asked for
}

// pending reports whether what was asked for is still to be waited for. A transaction of
// this controller's own is answered; what the registrar was asked for shows in the
// records, or is asked for again.
func (q *queue) pending(asked bool) bool {
	return asked && (!q.UsesBlocks() || q.Since(q.requests.askedAt) <= registrarRetryAfter)
}

// register asks for the record that the machine's agent epoch may run tasks. Nothing is
// started on it before that is durable, so that a controller that takes work over knows
// every machine that has to be asked. It holds only in the present view: who reads the
// records after a new view misses none.
func (q *queue) register(r *protocol.Heartbeat) {
	if q.pending(q.requests.registering) {
		return
	}
	q.requests.registering, q.requests.askedAt = true, q.Now
	var have protocol.Version
	if m := q.Records[q.id]; m != nil {
		have = m.Epoch
	}
	machine := record.Machine{Session: r.AgentEpoch, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	q.ChangeRecord(RegisterTag{q.id, r.AgentEpoch}, message.RecordChange{Machine: q.id, Have: have, To: &machine}, q.ViewUnchanged())
}

// removeRecord asks for the removal of the machine's record of a version.
func (q *queue) removeRecord(version protocol.Version) {
	q.requests.removing, q.requests.askedAt = true, q.Now
	change := message.RecordChange{Machine: q.id, Have: version, Tenure: q.ShardEpoch(q.id, q.zone)}
	q.ChangeRecord(RemoveTag{q.id}, change, q.ViewUnchanged())
}

// RegistrationDone takes the outcome of a registration; the watched record says whether
// it is there.
func (d *Dispatcher) RegistrationDone(tag RegisterTag, _ message.Outcome) {
	if q := d.queues.get(tag.machine); q != nil {
		q.requests.registering = false
	}
}

// RemovalDone takes the outcome of a record's removal; the watched record says whether it
// was removed.
func (d *Dispatcher) RemovalDone(id protocol.MachineID) {
	if q := d.queues.get(id); q != nil {
		q.requests.removing = false
	}
}

// RecordUpdated takes over a machine's record.
func (d *Dispatcher) RecordUpdated(m *clusterstate.Machine) {
	q := d.queues.get(m.ID)
	if q != nil && q.agentEpoch < m.Record.Session {
		// Registered by the previous dispatcher, whose notice of it came too late.
		q.beginAgentEpoch(m.Record.Session)
	}
	if q != nil && q.agentEpoch == m.Record.Session {
		q.recordVersion, q.requests.registering = m.Epoch, false
		q.touch()
	} else if q == nil && d.Member() && d.DispatcherOf(m.ID) == d.Self {
		d.addQueue(m.ID, m.Record.Zone).applyRecord(m)
	}
}

// RecordDeleted drops a machine whose record was deleted, on proof that nothing runs there
// any more.
func (d *Dispatcher) RecordDeleted(m *clusterstate.Machine) {
	d.agentEpochFloor[m.ID] = max(d.agentEpochFloor[m.ID], m.Record.Session+1)
	if q := d.queues.get(m.ID); q != nil && q.agentEpoch <= m.Record.Session {
		d.dropQueue(m.ID)
	}
}
