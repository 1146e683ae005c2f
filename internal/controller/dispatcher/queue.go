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
	id      protocol.MachineID
	epoch   protocol.Version // of its record; 0: not registered
	session protocol.Session // the newest seen
	seq     protocol.Seq     // of the newest report or answer to direct commands
	ownSeq  protocol.Seq     // of the newest report
	info    protocol.TypeInfo
	addr    string
	zone    protocol.Zone
	seen    protocol.Term // the highest token that its worker has said to have seen

	entries map[protocol.TaskID]*entry // added and dropped by put and drop alone
	ofJob   map[protocol.JobID]int     // how many of these
	waiting []*entry                   // never sent, in order of service once sorted
	sorted  bool

	lastAnswer     clock.Time
	silence        message.Silence
	told           bool                 // said is up to date
	said           message.MachineState // what others are told
	runs           []reservation.Run
	contested      bool       // something here might be stopped for something that waits; as said
	inventoried    bool       // owners have an inventory of this term
	known          bool       // what is on the machine was reported since it is kept here
	inventoryAfter clock.Time // no inventory is given before
	sole           bool       // kept here without a break since the worker saw a term of that: nobody else can have started anything
	registering    bool
	removing       bool
	asked          clock.Time // when the registrar was last asked for either
	commanding     bool       // a direct command has no answer yet
	push           bool       // something may be started at once
	notice         *float64
	draining       bool
	idleSince      clock.Time
	everSeen       bool

	failed  map[protocol.JobID]clock.Time // jobs that failed here since something last succeeded, and when
	suspect bool

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
	task     protocol.TaskID
	attempt  protocol.Attempt
	estimate float64
	need     resource.Amount
	order    uint64
	since    clock.Time // queued here, or first seen here
	runs     clock.Time // since when, as far as seen here
	level    resource.Level
	guessed  bool              // its level is guessed
	due      clock.Time        // of its job, when the queue was last sorted
	together bool              // others of its gang wait for it
	from     protocol.NodeName // that placed it here, if any
	// configuration is the revision that its owner placed it by.
	configuration record.ConfigurationRevision
	sent          bool
	direct        protocol.Term // of a direct start that has no answer: it may be executed until the worker sees a later term
	again         bool          // its start has gone another way too since: that it is there does not tell which of them arrived
	inAnswer      bool          // its start is in the last answer to a report: the worker's next report settles it
	present       bool          // the worker has reported it
	state         protocol.TaskState
	cause         protocol.EndCause
	saved         bool
	kill          bool
	graceS        float64
	reap          bool
	// reapSince is since when it waits to be reaped for a start that may be under way.
	reapSince clock.Time
	noticed   bool
}

type (
	RegisterTag struct {
		machine protocol.MachineID
		session protocol.Session
	}
	RemoveTag struct{ Machine protocol.MachineID }
)

func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// Adopt goes over to a new view. Queues that stay here keep what they
// know; the rest is dropped, for its new keeper's inventory to tell.
func (k *Keeper) Adopt(old record.View, keeps bool) {
	released := map[protocol.NodeName][]message.TaskRef{}
	// What waits here for a job that has another owner now waits on: the inventory
	// tells. Releasing it had the new owner place it anew once all machines were
	// heard, and began gangs again of which the rest had started.
	lost := func(e *entry) bool { return !keeps || k.Live[e.task.Job] == nil }
	for _, q := range k.queuesInOrder() {
		if k.KeeperIn(q.id, q.zone) != k.Self {
			k.dropQueue(q.id)
			continue
		}
		q.lastAnswer = k.answered(q)
		q.inventoried, q.registering, q.removing = false, false, false
		if !keeps {
			q.known, q.sole = false, false
		}
		if !slices.ContainsFunc(q.waiting, lost) {
			continue
		}
		k.touch(q)
		q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
			if !lost(e) {
				return false
			}
			q.drop(e.task)
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
		if k.Keeper(id) == k.Self && k.queues[id] == nil {
			k.keep(id, m.Record.Zone).registered(m)
		}
	}
	k.allSince = 0
	k.adoptedView()
}

// releasedMost bounds the attempts that one message says were released.
const releasedMost = 500

// keep begins to keep the queue of a machine of a zone. The zone is set from the
// first: a queue of another share would never be let go, and its machine be taken
// for silent.
func (k *Keeper) keep(id protocol.MachineID, z protocol.Zone) *queue {
	q := &queue{
		id: id, zone: z, session: k.sessionFloor[id], entries: map[protocol.TaskID]*entry{}, ofJob: map[protocol.JobID]int{},
		lastAnswer: k.Now, idleSince: k.Now, failed: map[protocol.JobID]clock.Time{},
	}
	k.queues[id], k.kept = q, nil
	k.touch(q)
	return q
}

// dropQueue ends that.
func (k *Keeper) dropQueue(id protocol.MachineID) {
	delete(k.queues, id)
	k.kept = nil
	k.changed.Drop(id)
}

// queuesInOrder lists the queues by their machines' names. It is kept until one
// comes or goes.
func (k *Keeper) queuesInOrder() []*queue {
	if k.kept == nil {
		for _, q := range ordered.Of(k.queues) {
			k.kept = append(k.kept, q)
		}
	}
	return k.kept
}

func (q *queue) registered(m *clusterstate.Machine) {
	q.epoch, q.info, q.addr, q.zone = m.Epoch, m.Info, m.Record.Address, m.Record.Zone
	q.session = max(q.session, m.Record.Session)
}

// entryOwner is the owner of an attempt's job: by its record, or, before that
// has arrived here, the controller that placed it. Without the latter, a keeper
// whose watch lags would leave queued attempts out of an inventory, and their
// owner would take them for gone.
func (k *Keeper) entryOwner(e *entry) protocol.NodeName {
	if j := k.Live[e.task.Job]; j != nil {
		e.from = k.OwnerOf(j)
	}
	return e.from
}

// tell passes an event to the present owner of an attempt's job.
func (k *Keeper) tell(q *queue, e *entry, what message.What) {
	k.touch(q)
	owner := k.entryOwner(e)
	if owner == "" {
		return
	}
	ev := &message.TaskEvent{TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id}, What: what, Cause: e.cause, Saved: e.saved}
	if what == message.WhatNotice && q.notice != nil {
		ev.LeftS = *q.notice
	}
	k.Send(owner, message.PeerMessage{Event: ev})
}

// putBack queues an attempt again whose start was not executed. Where nothing
// is started any more it is released instead: it would wait there for ever, and
// keep the machine from being empty and returned.
func (k *Keeper) putBack(q *queue, e *entry) {
	e.sent = false
	k.enqueue(q, e)
	if q.draining || q.suspect || q.notice != nil || k.closed(q) || k.outdated(e) {
		k.dropWaiting(q, e)
		k.tell(q, e, message.WhatReleased)
	}
}

func (k *Keeper) enqueue(q *queue, e *entry) {
	q.waiting, q.sorted = append(q.waiting, e), false
	k.touch(q)
}

// unqueue takes an attempt out of what waits.
func (k *Keeper) unqueue(q *queue, e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	k.touch(q)
}

func (k *Keeper) dropWaiting(q *queue, e *entry) {
	k.unqueue(q, e)
	q.drop(e.task)
}

// put adds an attempt, instead of another of its task if there is one.
func (q *queue) put(e *entry) {
	if q.entries[e.task] == nil {
		q.ofJob[e.task.Job]++
	}
	q.entries[e.task] = e
}

// drop forgets a task's attempt.
func (q *queue) drop(id protocol.TaskID) {
	if q.entries[id] == nil {
		return
	}
	delete(q.entries, id)
	if q.ofJob[id.Job]--; q.ofJob[id.Job] == 0 {
		delete(q.ofJob, id.Job)
	}
}

// Place queues placements. One that can't be queued is released at once.
func (k *Keeper) Place(from protocol.NodeName, p *message.Place) {
	if _, member := k.View.Members[from]; member {
		k.handled[from] = p.Number
	}
	for _, t := range p.Tasks {
		e := &entry{task: t.Task, attempt: t.Attempt, estimate: t.EstimateS, need: t.Need(), level: resource.Level(t.Level), together: t.Together, from: from, since: k.Now, configuration: p.Configuration}
		q := k.queues[t.Machine]
		refuse := func() {
			if q != nil {
				k.touch(q) // the word that the owner waits for
			}
			k.Send(from, message.PeerMessage{Event: &message.TaskEvent{
				TaskRef: message.TaskRef{Task: t.Task, Attempt: t.Attempt, Machine: t.Machine}, What: message.WhatReleased,
			}})
		}
		// The term and the machine's record must be those the owner placed
		// by: a placement held back by the network while the machine or the
		// job went elsewhere and came back must not start anything.
		if q == nil || k.IsOver(t.Task.Job) || p.Term != k.View.Term || t.Tenure != k.Tenure(q.id, q.zone) || q.epoch == 0 || q.epoch != t.Epoch || q.draining || q.notice != nil || q.suspect || k.frozen(q) || k.closed(q) || k.outdated(e) {
			refuse()
			continue
		}
		if have := q.entries[t.Task]; have != nil {
			if have.attempt != t.Attempt {
				refuse()
			}
			continue
		}
		if e.together && !q.firmRoom(e.level).Covers(e.need) && !k.ownsRoom(q, e) {
			// Its owner did not know yet of what is in the way. Waiting here
			// would keep the machines of the whole gang idle.
			refuse()
			continue
		}
		k.order++
		e.order = k.order
		q.put(e)
		k.enqueue(q, e)
		k.wake(q)
		if e.together {
			k.preempt(q)
		}
	}
}

// Stop releases an attempt never sent, or has it killed.
func (k *Keeper) Stop(s message.Stop) {
	if k.notHere(s.Machine, message.PeerMessage{Stop: &s}) {
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
		k.tell(q, e, message.WhatReleased)
		return
	}
	if s.Kill && !e.ended() {
		e.kill, e.graceS = true, s.GraceS
		k.touch(q)
		k.wake(q)
	}
}

// Forget lets the worker drop an ended attempt that its owner has dealt with.
func (k *Keeper) Forget(r message.TaskRef) {
	if k.notHere(r.Machine, message.PeerMessage{Forget: &r}) {
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
func (k *Keeper) Drain(id protocol.MachineID) {
	if k.notHere(id, message.PeerMessage{Drain: &id}) {
		return
	}
	if q := k.queues[id]; q != nil && !q.draining {
		q.draining = true
		k.touch(q)
		k.releaseWaiting(q)
	}
}

func (k *Keeper) releaseWaiting(q *queue) {
	for _, e := range slices.Clone(q.waiting) {
		k.dropWaiting(q, e)
		k.tell(q, e, message.WhatReleased)
	}
}
