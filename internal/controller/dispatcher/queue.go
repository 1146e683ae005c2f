package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// queue is what the controller that a machine reports to keeps of it.
type queue struct {
	id            protocol.MachineID
	recordVersion protocol.Version    // reservation its record; 0: not registered
	agentEpoch    protocol.AgentEpoch // the newest seen
	lastSeq       protocol.Seq        // reservation the newest report or answer to direct commands
	heartbeatSeq  protocol.Seq        // reservation the newest report
	info          protocol.TypeInfo
	addr          string
	zone          protocol.Zone
	tokenSeen     protocol.Term // the highest token that its worker has said to have seen

	entries       map[protocol.TaskID]*entry // added and dropped by put and drop alone
	attemptsOfJob map[protocol.JobID]int     // how many of these
	waiting       []*entry                   // never sent, in order of service once sorted
	sorted        bool

	lastAnswer       clock.Time
	silence          message.Silence
	publishedValid   bool                 // published is up to date
	published        message.MachineState // what others are told
	runs             []reservation.Run
	preemptible      bool       // something here might be stopped for something that waits; as said
	inventoried      bool       // owners have an inventory of this term
	inventoryKnown   bool       // what is on the machine was reported since it is kept here
	inventoryAfter   clock.Time // refuse inventory is given before
	exclusive        bool       // sortedQueues here without a break since the worker saw a term of that: nobody else can have started anything
	registering      bool
	removing         bool
	registrarAskedAt clock.Time // when the registrar was last asked for either
	directInFlight   bool       // a direct command has no answer yet
	directRequested  bool       // something may be started at once
	noticeSeconds    *float64
	draining         bool
	idleSince        clock.Time
	everSeen         bool

	failedJobs  map[protocol.JobID]clock.Time // jobs that failed here since something last succeeded, and when
	quarantined bool

	images []string // fetched by this session, the latest last
}

// imagesKept is how many images of a machine are remembered. Which ones its
// cache still holds only the worker knows: the latest are the likeliest.
const imagesKept = 12

// hasImage notes that the machine has a task's image.
func (q *queue) hasImage(image string) {
	if i := slices.Index(q.images, image); i >= 0 {
		q.images = slices.Delete(q.images, i, i+1)
	} else if len(q.images) >= imagesKept {
		q.images = q.images[1:]
	}
	q.images = append(q.images, image)
}

// entry is one attempt in a queue or on its machine.
type entry struct {
	task         protocol.TaskID
	attempt      protocol.Attempt
	estimate     float64
	need         resource.Amount
	arrival      uint64
	queuedSince  clock.Time // queued here, or first seen here
	runningSince clock.Time // queuedSince when, as far as seen here
	level        resource.Level
	levelGuessed bool              // its level is guessed
	deadline     clock.Time        // reservation its job, when the queue was last sorted
	inGang       bool              // others of its gang wait for it
	placedBy     protocol.NodeName // that placed it here, if any
	// configuration is the revision that its owner placed it by.
	configuration    record.ConfigurationRevision
	sent             bool
	directToken      protocol.Term // reservation a direct start that has no answer: it may be executed until the worker sees a later term
	startResent      bool          // its start has gone another way too since: that it is there does not tell which of them arrived
	startInLastReply bool          // its start is in the last answer to a report: the worker's next report settles it
	present          bool          // the worker has reported it
	state            protocol.TaskState
	cause            protocol.EndCause
	checkpointed     bool
	kill             bool
	graceS           float64
	reap             bool
	// reapSince is since when it waits to be reaped for a start that may be under way.
	reapSince clock.Time
	noticed   bool
}

type (
	RegisterTag struct {
		machine    protocol.MachineID
		agentEpoch protocol.AgentEpoch
	}
	RemoveTag struct{ Machine protocol.MachineID }
)

func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// Adopt goes over to a new view. Queues that stay here keep what they
// know; the rest is dropped, for its new keeper's inventory to tell.
func (k *Dispatcher) Adopt(old record.View, keeps bool) {
	released := map[protocol.NodeName][]message.TaskRef{}
	// What waits here for a job that has another owner now waits on: the inventory
	// tells. Releasing it had the new owner place it anew once all machines were
	// heard, and began gangs again of which the rest had started.
	lost := func(e *entry) bool { return !keeps || k.Live[e.task.Job] == nil }
	for _, q := range k.queuesInOrder() {
		if k.DispatcherInZone(q.id, q.zone) != k.Self {
			k.dropQueue(q.id)
			continue
		}
		q.lastAnswer = k.answered(q)
		q.inventoried, q.registering, q.removing = false, false, false
		if !keeps {
			q.inventoryKnown, q.exclusive = false, false
		}
		if !slices.ContainsFunc(q.waiting, lost) {
			continue
		}
		k.touch(q)
		q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
			if !lost(e) {
				return false
			}
			q.removeEntry(e.task)
			if owner := k.entryOwner(e); owner != "" && (keeps || owner != k.Self) {
				// To itself only if it kept its jobs: else it knows no attempt.
				released[owner] = append(released[owner], message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id})
			}
			return true
		})
	}
	for owner, refs := range ordered.Of(released) {
		for part := range slices.Chunk(refs, releasedMost) {
			k.Send(owner, message.PeerMessage{Released: part})
		}
	}
	for id, m := range ordered.Of(k.Records) {
		if k.DispatcherOf(id) == k.Self && k.queues[id] == nil {
			k.addQueue(id, m.Record.Zone).registered(m)
		}
	}
	k.allAdoptedSince = 0
	k.adoptedView()
}

// releasedMost bounds the attempts that one message says were released.
const releasedMost = 500

// addQueue begins to keep the queue of a machine of a zone. The zone is set from the
// first: a queue of another share would never be let go, and its machine be taken
// for silent.
func (k *Dispatcher) addQueue(id protocol.MachineID, z protocol.Zone) *queue {
	q := &queue{
		id: id, zone: z, agentEpoch: k.agentEpochFloor[id], entries: map[protocol.TaskID]*entry{}, attemptsOfJob: map[protocol.JobID]int{},
		lastAnswer: k.Now, idleSince: k.Now, failedJobs: map[protocol.JobID]clock.Time{},
	}
	k.queues[id], k.sortedQueues = q, nil
	k.touch(q)
	return q
}

// dropQueue ends that.
func (k *Dispatcher) dropQueue(id protocol.MachineID) {
	delete(k.queues, id)
	k.sortedQueues = nil
	k.changes.Drop(id)
}

// queuesInOrder lists the queues by their machines' names. It is kept until one
// comes or goes.
func (k *Dispatcher) queuesInOrder() []*queue {
	if k.sortedQueues == nil {
		for _, q := range ordered.Of(k.queues) {
			k.sortedQueues = append(k.sortedQueues, q)
		}
	}
	return k.sortedQueues
}

func (q *queue) registered(m *clusterstate.Machine) {
	q.recordVersion, q.info, q.addr, q.zone = m.Epoch, m.Info, m.Record.Address, m.Record.Zone
	q.agentEpoch = max(q.agentEpoch, m.Record.Session)
}

// entryOwner is the owner of an attempt's job: by its record, or, before that
// has arrived here, the controller that placed it. Without the latter, a keeper
// whose watch lags would leave queued attempts out of an inventory, and their
// owner would take them for gone.
func (k *Dispatcher) entryOwner(e *entry) protocol.NodeName {
	if j := k.Live[e.task.Job]; j != nil {
		e.placedBy = k.OwnerOf(j)
	}
	return e.placedBy
}

// notifyOwner passes an event to the present owner of an attempt's job.
func (k *Dispatcher) notifyOwner(q *queue, e *entry, what message.EventKind) {
	k.touch(q)
	owner := k.entryOwner(e)
	if owner == "" {
		return
	}
	ev := &message.TaskEvent{TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id}, What: what, Cause: e.cause, Saved: e.checkpointed}
	if what == message.EventNotice && q.noticeSeconds != nil {
		ev.LeftS = *q.noticeSeconds
	}
	k.Send(owner, message.PeerMessage{Event: ev})
}

// requeue queues an attempt again whose start was not executed. Where nothing
// is started any more it is released instead: it would wait there for ever, and
// addQueue the machine from being empty and returned.
func (k *Dispatcher) requeue(q *queue, e *entry) {
	e.sent = false
	k.enqueue(q, e)
	if q.draining || q.quarantined || q.noticeSeconds != nil || k.closed(q) || k.outdated(e) {
		k.dropWaiting(q, e)
		k.notifyOwner(q, e, message.EventReleased)
	}
}

func (k *Dispatcher) enqueue(q *queue, e *entry) {
	q.waiting, q.sorted = append(q.waiting, e), false
	k.touch(q)
}

// dequeue takes an attempt out of what waits.
func (k *Dispatcher) dequeue(q *queue, e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	k.touch(q)
}

func (k *Dispatcher) dropWaiting(q *queue, e *entry) {
	k.dequeue(q, e)
	q.removeEntry(e.task)
}

// addEntry adds an attempt, instead of another of its task if there is one.
func (q *queue) addEntry(e *entry) {
	if q.entries[e.task] == nil {
		q.attemptsOfJob[e.task.Job]++
	}
	q.entries[e.task] = e
}

// removeEntry forgets a task's attempt.
func (q *queue) removeEntry(id protocol.TaskID) {
	if q.entries[id] == nil {
		return
	}
	delete(q.entries, id)
	if q.attemptsOfJob[id.Job]--; q.attemptsOfJob[id.Job] == 0 {
		delete(q.attemptsOfJob, id.Job)
	}
}

// Place queues placements. One that can't be queued is released at once.
func (k *Dispatcher) Place(from protocol.NodeName, p *message.Place) {
	if _, member := k.View.Members[from]; member {
		k.handledPlaces[from] = p.Number
	}
	for _, t := range p.Tasks {
		e := &entry{task: t.Task, attempt: t.Attempt, estimate: t.EstimateS, need: t.Need(), level: resource.Level(t.Level), inGang: t.Together, placedBy: from, queuedSince: k.Now, configuration: p.Configuration}
		q := k.queues[t.Machine]
		refuse := func() {
			if q != nil {
				k.touch(q) // the word that the owner waits for
			}
			k.Send(from, message.PeerMessage{Event: &message.TaskEvent{
				TaskRef: message.TaskRef{Task: t.Task, Attempt: t.Attempt, Machine: t.Machine}, What: message.EventReleased,
			}})
		}
		// The term and the machine's record must be those the owner placed
		// reportedBy: a placement held back by the network while the machine or the
		// job went elsewhere and came back must not start anything.
		if q == nil || k.HasEnded(t.Task.Job) || p.Term != k.View.Term || t.Tenure != k.ShardEpoch(q.id, q.zone) || q.recordVersion == 0 || q.recordVersion != t.Epoch || q.draining || q.noticeSeconds != nil || q.quarantined || k.handingOver(q) || k.closed(q) || k.outdated(e) {
			refuse()
			continue
		}
		if have := q.entries[t.Task]; have != nil {
			if have.attempt != t.Attempt {
				refuse()
			}
			continue
		}
		if e.inGang && !q.nonPreemptibleFree(e.level).Covers(e.need) && !k.hasReservation(q, e) {
			// Its owner did not know yet of what is in the way. Waiting here
			// would keep the machines of the whole gang idle.
			refuse()
			continue
		}
		k.lastArrival++
		e.arrival = k.lastArrival
		q.addEntry(e)
		k.enqueue(q, e)
		k.requestDirect(q)
		if e.inGang {
			k.preempt(q)
		}
	}
}

// Stop releases an attempt never sent, or has it killed.
func (k *Dispatcher) Stop(s message.Stop) {
	if k.divertIfNotHeld(s.Machine, message.PeerMessage{Stop: &s}) {
		return
	}
	q := k.queues[s.Machine]
	if q == nil {
		return
	}
	e := q.entries[s.Task]
	if e == nil || e.attempt != s.Attempt {
		return
	}
	if !e.sent && !e.present {
		k.dropWaiting(q, e)
		k.notifyOwner(q, e, message.EventReleased)
		return
	}
	if s.Kill && !e.ended() {
		e.kill, e.graceS = true, s.GraceS
		k.touch(q)
		k.requestDirect(q)
	}
}

// Forget lets the worker drop an ended attempt that its owner has dealt with.
func (k *Dispatcher) Forget(r message.TaskRef) {
	if k.divertIfNotHeld(r.Machine, message.PeerMessage{Forget: &r}) {
		return
	}
	if q := k.queues[r.Machine]; q != nil {
		if e := q.entries[r.Task]; e != nil && e.attempt == r.Attempt && e.ended() {
			e.reap = true
		}
	}
}

// Drain gives a machine up: nothing more is started there, and what waits goes
// back to its owners.
func (k *Dispatcher) Drain(id protocol.MachineID) {
	if k.divertIfNotHeld(id, message.PeerMessage{Drain: &id}) {
		return
	}
	if q := k.queues[id]; q != nil && !q.draining {
		q.draining = true
		k.touch(q)
		k.releaseWaiting(q)
	}
}

func (k *Dispatcher) releaseWaiting(q *queue) {
	for _, e := range slices.Clone(q.waiting) {
		k.dropWaiting(q, e)
		k.notifyOwner(q, e, message.EventReleased)
	}
}
