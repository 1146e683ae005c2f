package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// DirectCommandTimeout is how long direct commands may stay unanswered. If a start in them
// remains unanswered and the worker's next heartbeat doesn't list its attempt, the worker gets a
// later fencing token, after which the start can no longer be executed.
const DirectCommandTimeout = 4 * time.Second

// directSchedule lists the queues to which requestDirect was applied in this step: their
// commands are sent at its end.
type directSchedule struct {
	due        []*queue
	lastNumber uint64 // of the last message of commands that was sent
}

// takeAll empties the list and returns it.
func (s *directSchedule) takeAll() []*queue {
	due := s.due
	s.due = nil
	return due
}

// requestDirect schedules direct commands to the queue's worker for the end of the step;
// they are sent only if there are any. A queue is scheduled at most once.
func (q *queue) requestDirect() {
	if !q.directRequested {
		q.directRequested = true
		q.direct.due = append(q.direct.due, q)
	}
}

// SendDirectCommands sends direct commands to the workers scheduled by requestDirect, whose
// queue or resources have changed, without waiting for their next heartbeat. Each worker
// has at most one such message in flight. A new term does not interrupt this: the
// dispatcher tracks what is on the machine for as long as it holds the queue, and the
// commands themselves carry the new term.
func (d *Dispatcher) SendDirectCommands() {
	if !d.HoldsLease() {
		return
	}
	for _, q := range d.direct.takeAll() {
		if !q.directRequested || q.commandInFlight != 0 || d.queues.get(q.id) != q || q.handingOver() {
			continue // the answer to the commands in flight reschedules the queue
		}
		q.directRequested = false
		if q.reachable() {
			q.sendCommands()
		}
	}
}

// reachable reports whether direct commands can be sent to the worker: its address is
// known, it has sent a heartbeat, and its machine is registered and inventoried.
func (q *queue) reachable() bool {
	return q.inventoryKnown && q.recordVersion != 0 && q.address != "" && q.everSeen
}

// sendCommands sends the worker its pending commands, if there are any.
func (q *queue) sendCommands() {
	orders := q.buildOrders(true)
	if len(orders) == 0 {
		return
	}
	q.direct.lastNumber++
	q.commandInFlight = q.direct.lastNumber
	q.Emit(message.Command{Number: q.commandInFlight, Machine: q.id, Address: q.address, Commands: protocol.Commands{
		Term: q.fencingToken(), AgentEpoch: q.agentEpoch, Orders: orders,
	}})
}

// HandleCommandDone ends the flight of a worker's direct commands. If the worker answered, the
// status in the answer is applied like a heartbeat, and starts that the worker refused are
// queued again. If it did not answer, the outcome of the starts is unknown. Commands requested
// in the meantime are scheduled. The result of commands that an earlier queue of the machine
// has sent is ignored: the machine was held by another dispatcher since.
func (d *Dispatcher) HandleCommandDone(result message.CommandDone) {
	q := d.queues.get(result.Machine)
	if q == nil || result.Number != q.commandInFlight {
		return
	}
	q.commandInFlight = 0
	if q.handingOver() {
		return // the next heartbeat settles the commands
	}
	if q.directRequested {
		q.directRequested = false
		q.requestDirect()
	}
	if q.agentEpoch == result.AgentEpoch && result.Withheld {
		q.requeueUnexecuted(&result)
		q.requestDirect() // sends the other orders anew
	}
	if !result.Answered && !result.Withheld {
		q.statistics.unanswered++
	}
	if q.agentEpoch != result.AgentEpoch || !result.Answered {
		return // the outcome of these starts is unknown: see applyMissingTask
	}
	if q.isNewAnswer(&result.Heartbeat) {
		q.lastSeq = result.Heartbeat.Seq
		q.applyHeartbeat(&result.Heartbeat, false)
	}
	if !result.Executed {
		q.statistics.refused++
		q.requeueUnexecuted(&result)
	}
}

// isNewAnswer reports whether the status in an answer to direct commands belongs to this
// machine and agent epoch and is newer than the last status applied.
func (q *queue) isNewAnswer(heartbeat *protocol.Heartbeat) bool {
	return q.HoldsLease() && heartbeat.Machine == q.id && heartbeat.AgentEpoch == q.agentEpoch && heartbeat.Seq > q.lastSeq && heartbeat.Term <= q.fencingToken()
}

// entryToStart returns the entry of the attempt that an order starts; nil if the order is
// not a start, or if the attempt is no longer in the queue.
func (q *queue) entryToStart(o protocol.Order) *entry {
	e := q.entries[o.Task]
	if o.Op != protocol.OpStart || e == nil || e.attempt != o.Attempt {
		return nil // an answered kill does not settle a start that was sent before it
	}
	return e
}

// requeueUnexecuted settles the starts in direct commands that were refused or withheld, and
// queues them again, except those of attempts that are or may be on the machine: a heartbeat
// reply that overtook the commands has started the attempt, or still will. A worker that
// refuses commands has seen a later token, so neither they nor their copies can be executed. Of
// withheld commands, a start that was also sent before with an earlier token stays unsettled:
// that one may still be delivered.
func (q *queue) requeueUnexecuted(result *message.CommandDone) {
	for _, o := range result.Orders {
		e := q.entryToStart(o)
		if e == nil {
			continue
		}
		earlierStartUnsettled := result.Withheld && e.startResent
		if e.directFencingToken == result.Term && !earlierStartUnsettled {
			e.directFencingToken = 0
		}
		if e.sent && !e.present && e.directFencingToken == 0 && !e.startInLastReply {
			q.requeue(e)
		}
	}
}
