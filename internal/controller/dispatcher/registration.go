package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// registrarRetryAfter is how long after a request the registrar, the member that writes the
// records of machines, is asked again if the record has not changed.
const registrarRetryAfter = 2 * time.Second

// RegisterTag identifies the registration of a machine's agent epoch.
type RegisterTag struct {
	machine    protocol.MachineID
	agentEpoch protocol.AgentEpoch
}

// RemoveTag identifies the removal of a machine's record.
type RemoveTag struct{ Machine protocol.MachineID }

// recordRequests tracks the requested changes of a machine's record.
type recordRequests struct {
	registering, removing bool
	requestedAt           clock.Time // when a change was last requested
}

// awaitsOutcome reports whether the outcome of a requested change of the machine's record
// is still awaited, so that it must not be requested again. The key-value store answers
// each transaction of this controller. A change requested from the registrar appears in the
// records, and is requested again if it does not within registrarRetryAfter.
func (q *queue) awaitsOutcome(requested bool) bool {
	return requested && (!q.UsesBlocks() || q.Since(q.requests.requestedAt) <= registrarRetryAfter)
}

// register requests the record that allows the machine's agent epoch to run tasks. Nothing
// is started on the machine before the record is durable, so that a controller that takes
// over work can find every machine that it has to ask. The request is valid only in the
// present view: a controller that reads the records after a new view misses none.
func (q *queue) register(heartbeat *protocol.Heartbeat) {
	if q.awaitsOutcome(q.requests.registering) {
		return
	}
	q.requests.registering, q.requests.requestedAt = true, q.Now
	var knownVersion protocol.Version
	if m := q.Records[q.id]; m != nil {
		knownVersion = m.Epoch
	}
	machine := record.Machine{Session: heartbeat.AgentEpoch, Address: heartbeat.Address, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	q.ChangeRecord(RegisterTag{q.id, heartbeat.AgentEpoch}, message.RecordChange{Machine: q.id, Have: knownVersion, To: &machine}, q.ViewUnchanged())
}

// removeRecord requests the removal of the machine's record, if it still has the given
// version.
func (q *queue) removeRecord(version protocol.Version) {
	q.requests.removing, q.requests.requestedAt = true, q.Now
	change := message.RecordChange{Machine: q.id, Have: version, Tenure: q.ShardEpoch(q.id, q.zone)}
	q.ChangeRecord(RemoveTag{q.id}, change, q.ViewUnchanged())
}

// RegistrationDone allows the registration of a machine to be requested again, whatever the
// outcome of the last request. The watched record shows whether the machine is registered.
func (d *Dispatcher) RegistrationDone(tag RegisterTag, _ message.Outcome) {
	if q := d.queues.get(tag.machine); q != nil {
		q.requests.registering = false
	}
}

// RemovalDone allows the removal of a machine's record to be requested again. The watched
// record shows whether it was removed.
func (d *Dispatcher) RemovalDone(id protocol.MachineID) {
	if q := d.queues.get(id); q != nil {
		q.requests.removing = false
	}
}

// RecordUpdated applies a new or changed machine record: a newer agent epoch drops the
// attempts of the previous one, a record of the present agent epoch registers the machine,
// and a machine that has no queue yet gets one if this controller is its dispatcher.
func (d *Dispatcher) RecordUpdated(machine *clusterstate.Machine) {
	q := d.queues.get(machine.ID)
	if q != nil && q.agentEpoch < machine.Record.Session {
		// The previous dispatcher registered this agent epoch, and its notice arrived too
		// late.
		q.beginAgentEpoch(machine.Record.Session)
	}
	if q != nil && q.agentEpoch == machine.Record.Session {
		q.recordVersion, q.requests.registering = machine.Epoch, false
		q.markChanged()
	} else if q == nil && d.Member() && d.DispatcherOf(machine.ID) == d.Self {
		d.addQueue(machine.ID, machine.Record.Zone).applyRecord(machine)
	}
}

// RecordDeleted drops a machine whose record was deleted because nothing can run on it any
// more, and rejects later heartbeats of the record's agent epoch. A queue of a newer agent
// epoch stays.
func (d *Dispatcher) RecordDeleted(machine *clusterstate.Machine) {
	d.agentEpochFloor[machine.ID] = max(d.agentEpochFloor[machine.ID], machine.Record.Session+1)
	if q := d.queues.get(machine.ID); q != nil && q.agentEpoch <= machine.Record.Session {
		d.dropQueue(machine.ID)
	}
}
