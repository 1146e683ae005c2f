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
// for it or are on it, and its published state.
type queue struct {
	*environment
	id          protocol.MachineID
	zone        protocol.Zone
	machineType protocol.TypeInfo
	address     string

	agentEpoch       protocol.AgentEpoch // the latest agent epoch seen
	lastSeq          protocol.Seq        // sequence number of the latest heartbeat or answer to direct commands
	heartbeatSeq     protocol.Seq        // sequence number of the latest heartbeat
	fencingTokenSeen protocol.Term       // the highest fencing token that the worker has reported as seen
	tokens           machineTokens
	lastAnswer       clock.Time // when a heartbeat of the worker was last answered
	everSeen         bool       // the worker has sent a heartbeat here or to a dispatcher that handed it over
	silence          message.Silence

	recordVersion protocol.Version // version of the machine's record; 0 if it is not registered
	requests      recordRequests

	entrySet
	waiting []*entry // never sent, in order of service once sorted
	sorted  bool

	published      message.MachineState // the state that is sent to peers
	publishedValid bool                 // published and preemptible are up to date
	runs           []reservation.Run
	preemptible    bool // an attempt on the machine might be stopped for a waiting one

	inventorySent  bool       // the inventory of this term was sent to the owners
	inventoryKnown bool       // the worker has listed its attempts since the machine has been held here
	inventoryAfter clock.Time // no inventory is sent before this time
	// exclusive is set while the machine has been held here without a break since its
	// worker saw a fencing token of this dispatcher: no other controller can have started
	// anything on it.
	exclusive bool

	// commandInFlight is the number of the direct commands that have been sent and not
	// answered yet; 0 if there are none.
	commandInFlight uint64
	directRequested bool // there may be commands to send at the end of the step

	noticeSeconds *float64 // time until the cloud terminates the machine; nil without a termination notice
	draining      bool
	idleSince     clock.Time // when the machine last had an attempt, or began to be held here
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

// applyRecord copies the fields of the machine's record into the queue.
func (q *queue) applyRecord(machine *clusterstate.Machine) {
	q.recordVersion = machine.Epoch
	q.machineType = machine.Info
	q.address = machine.Record.Address
	q.zone = machine.Record.Zone
	q.agentEpoch = max(q.agentEpoch, machine.Record.Session)
}

// beginAgentEpoch drops the attempts of the worker's earlier agent epoch: its lease
// expired, and all its attempts ended with it.
func (q *queue) beginAgentEpoch(epoch protocol.AgentEpoch) {
	if q.agentEpoch != 0 {
		q.Log.Info("worker began a new agent epoch", "machine", q.id, "agent_epoch", epoch)
	}
	// The old record remains until the new one is written. The new record shows the owners
	// that all attempts of the old epoch are lost.
	q.agentEpoch, q.lastSeq, q.heartbeatSeq = epoch, 0, 0
	q.recordVersion, q.exclusive = 0, false
	q.markChanged()
	q.entrySet = newEntrySet()
	q.waiting = nil
	q.noticeSeconds = nil
	q.images = nil
}

// refusesStarts reports whether the machine accepts no further starts: it is drained or
// quarantined, or the cloud is about to terminate it.
func (q *queue) refusesStarts() bool {
	return q.draining || q.quarantine.active || q.noticeSeconds != nil
}

// enqueue adds an attempt to the waiting ones.
func (q *queue) enqueue(e *entry) {
	q.waiting, q.sorted = append(q.waiting, e), false
	q.markChanged()
}

// dequeue removes an attempt from the waiting ones.
func (q *queue) dequeue(e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.markChanged()
}

// requeue queues an attempt again whose start was not executed. If the attempt was to be killed,
// its job has ended, the machine accepts no further starts, or the configuration no longer allows
// this one, the attempt is released instead: it would wait there forever, keep those behind it
// waiting, and keep the machine from becoming empty and being terminated.
func (q *queue) requeue(e *entry) {
	e.sent = false
	q.enqueue(e)
	over := e.kill || q.HasEnded(e.task.Job)
	if over || q.refusesStarts() || q.inCordonedPlace() || q.isOutdated(e) {
		q.release(e)
	}
}

// release removes a waiting attempt from the queue and notifies its owner, which places it
// elsewhere.
func (q *queue) release(e *entry) {
	q.dequeue(e)
	q.removeEntry(e.task)
	q.notifyOwner(e, message.EventReleased)
}

// releaseWaiting releases all waiting attempts to their owners.
func (q *queue) releaseWaiting() {
	q.releaseWhere(func(*entry) bool { return true })
}

// releaseWhere releases the waiting attempts that match a condition to their owners.
func (q *queue) releaseWhere(matches func(*entry) bool) {
	for _, e := range slices.Clone(q.waiting) {
		if matches(e) {
			q.release(e)
		}
	}
}

// sortWaiting sorts the waiting attempts by level, highest first, then by deadline, then by
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
			q.sorted = false // the job's record has not arrived yet
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
	})
}

// maxRememberedImages is the maximum number of images recorded for a machine. Only the
// worker has the actual content of its cache; the latest images are the likeliest to be in
// it.
const maxRememberedImages = 12

// imageCache lists the images that a machine has fetched in this agent epoch, the latest
// last.
type imageCache []string

// add records that the machine has an image, as the latest one. Beyond maxRememberedImages,
// the oldest image is dropped.
func (c *imageCache) add(image string) {
	images := *c
	if i := slices.Index(images, image); i >= 0 {
		images = slices.Delete(images, i, i+1)
	} else if len(images) >= maxRememberedImages {
		images = images[1:]
	}
	*c = append(images, image)
}

// fetchSeconds returns how many seconds the machine takes to fetch a job's image; 0 if the
// image is among those that the machine fetched lately.
func (q *queue) fetchSeconds(job *clusterstate.LiveJob) float64 {
	if slices.Contains(q.images, job.Image) {
		return 0
	}
	return clusterstate.FetchS(q.machineType, &job.Job)
}
