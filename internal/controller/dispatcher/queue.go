package dispatcher

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// queue is the state of one machine that is held here: its worker, the attempts that wait
// for it or are on it, and what peers know of it.
type queue struct {
	*environment
	id          protocol.MachineID
	zone        protocol.Zone
	machineType protocol.TypeInfo
	address     string

	agentEpoch       protocol.AgentEpoch // the newest seen
	lastSeq          protocol.Seq        // of the newest heartbeat or answer to direct commands
	heartbeatSeq     protocol.Seq        // of the newest heartbeat
	fencingTokenSeen protocol.Term       // the highest fencing token that the worker has said to have seen
	lastAnswer       clock.Time
	everSeen         bool
	silence          message.Silence

	recordVersion protocol.Version // of the machine's record; 0: not registered
	requests      recordRequests

	entrySet
	waiting []*entry // never sent, in order of service once sorted
	sorted  bool

	published      message.MachineState // what peers are sent
	publishedValid bool                 // published and preemptible are up to date
	runs           []reservation.Run
	preemptible    bool // something here might be stopped for something that waits

	inventorySent  bool       // owners have an inventory of this term
	inventoryKnown bool       // the worker has listed its attempts since the machine is held here
	inventoryAfter clock.Time // no inventory is sent before
	// exclusive is set while the machine has been held here without a break since its
	// worker saw a token of that: no other controller can have started anything.
	exclusive bool

	directInFlight  bool // direct commands have no answer yet
	directRequested bool // there may be something to command at once

	noticeSeconds *float64 // until the cloud terminates the machine, by its notice
	draining      bool
	idleSince     clock.Time
	quarantine    quarantine
	images        imageCache
}

func newQueue(env *environment, id protocol.MachineID, zone protocol.Zone) *queue {
	return &queue{
		environment: env,
		id:          id,
		zone:        zone,
		entrySet:    newEntrySet(),
		lastAnswer:  env.Now,
		idleSince:   env.Now,
		quarantine:  newQuarantine(),
	}
}

// applyRecord takes over what the machine's record says.
func (q *queue) applyRecord(m *clusterstate.Machine) {
	q.recordVersion = m.Epoch
	q.machineType = m.Info
	q.address = m.Record.Address
	q.zone = m.Record.Zone
	q.agentEpoch = max(q.agentEpoch, m.Record.Session)
}

// beginAgentEpoch drops what the worker's earlier epoch ran: its lease expired, and with
// it all attempts.
func (q *queue) beginAgentEpoch(epoch protocol.AgentEpoch) {
	if q.agentEpoch != 0 {
		q.Log.Info("worker began a new agent epoch", "machine", q.id, "agent_epoch", epoch)
	}
	// The old record stands until the new one is written; owners learn from the record
	// that everything of the old epoch is lost.
	q.agentEpoch, q.lastSeq, q.heartbeatSeq = epoch, 0, 0
	q.recordVersion, q.exclusive = 0, false
	q.touch()
	q.entrySet = newEntrySet()
	q.waiting = nil
	q.noticeSeconds = nil
	q.images = nil
}

// refusesStarts reports whether nothing more is to be started on the machine.
func (q *queue) refusesStarts() bool {
	return q.draining || q.quarantine.active || q.noticeSeconds != nil
}

// enqueue adds an attempt to those that wait.
func (q *queue) enqueue(e *entry) {
	q.waiting, q.sorted = append(q.waiting, e), false
	q.touch()
}

// dequeue takes an attempt out of those that wait.
func (q *queue) dequeue(e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.touch()
}

// requeue queues an attempt again whose start was not executed. Where nothing is started
// any more it is released instead: it would wait there for ever, and keep the machine
// from being empty and terminated.
func (q *queue) requeue(e *entry) {
	e.sent = false
	q.enqueue(e)
	if q.refusesStarts() || q.closed() || q.outdated(e) {
		q.release(e)
	}
}

// release gives a waiting attempt back to its owner, which places it elsewhere.
func (q *queue) release(e *entry) {
	q.dequeue(e)
	q.removeEntry(e.task)
	q.notifyOwner(e, message.EventReleased)
}

// releaseWaiting gives all that waits back to its owners.
func (q *queue) releaseWaiting() {
	q.releaseWhere(func(*entry) bool { return true })
}

// releaseWhere gives those waiting attempts back to their owners that a condition picks.
func (q *queue) releaseWhere(pick func(*entry) bool) {
	for _, e := range slices.Clone(q.waiting) {
		if pick(e) {
			q.release(e)
		}
	}
}

// sortWaiting puts the higher level first, then the earlier deadline, then the earlier
// arrival.
func (q *queue) sortWaiting() {
	if q.sorted {
		return
	}
	q.sorted = true
	for _, e := range q.waiting {
		if job := q.Live[e.task.Job]; job != nil {
			e.deadline = job.Deadline
		} else {
			q.sorted = false // its record has not arrived yet
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
	})
}

// maxRememberedImages is how many images of a machine are remembered. Which ones its
// cache still holds only the worker knows: the latest are the likeliest.
const maxRememberedImages = 12

// imageCache lists the images that a machine has fetched in this agent epoch, the latest
// last.
type imageCache []string

// add notes that the machine has an image.
func (c *imageCache) add(image string) {
	images := *c
	if i := slices.Index(images, image); i >= 0 {
		images = slices.Delete(images, i, i+1)
	} else if len(images) >= maxRememberedImages {
		images = images[1:]
	}
	*c = append(images, image)
}

// fetchSeconds is how long the machine takes to get a job's image.
func (q *queue) fetchSeconds(job *clusterstate.LiveJob) float64 {
	if slices.Contains(q.images, job.Image) {
		return 0
	}
	return clusterstate.FetchS(q.machineType, &job.Job)
}
