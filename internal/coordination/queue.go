package coordination

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"
)

// queue is what the controller that a machine reports to keeps of it.
type queue struct {
	id      protocol.MachineID
	epoch   protocol.Version // of its record; 0: not registered
	session protocol.Session // the newest seen
	seq     protocol.Seq
	info    protocol.TypeInfo
	addr    string

	entries map[protocol.TaskID]*entry
	waiting []*entry // never sent, in order of service once sorted
	sorted  bool

	lastAnswer  Time
	inventoried bool // owners have an inventory of this term
	known       bool // what is on the machine was reported since it is kept here
	sole        bool // kept here without a break since the worker saw a term of that: nobody else can have started anything
	registering bool
	removing    bool
	commanding  bool // a direct command has no answer yet
	push        bool // something may be started at once
	notice      *float64
	draining    bool
	idleSince   Time
	everSeen    bool

	failed  map[protocol.JobID]bool // jobs that failed here since something last succeeded
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
	need     resources
	order    uint64
	since    Time // queued here, or first seen here
	runs     Time // since when, as far as seen here
	level    level
	due      Time              // of its job, when the queue was last sorted
	together bool              // others of its gang wait for it
	from     protocol.NodeName // that placed it here, if any
	sent     bool
	direct   protocol.Term // of a direct start that has no answer: it may be executed until the worker sees a later term
	present  bool          // the worker has reported it
	state    protocol.TaskState
	cause    protocol.EndCause
	saved    bool
	kill     bool
	graceS   float64
	reap     bool
	noticed  bool
}

type (
	registerTag struct {
		machine protocol.MachineID
		session protocol.Session
	}
	removeTag struct{ machine protocol.MachineID }
)

func (e *entry) guaranteed() bool { return e.level >= ranks }

func (e *entry) ended() bool { return e.state == protocol.TaskEnded }

// adoptQueues goes over to a new view. Queues that stay here keep what they
// know; the rest is dropped, for its new keeper's inventory to tell.
func (c *Core) adoptQueues(old bookkeeping.View, keeps bool) {
	for id, q := range inOrder(c.queues) {
		if c.keeper(id) != c.self {
			delete(c.queues, id)
			continue
		}
		q.inventoried = false
		if !keeps {
			q.known, q.sole = false, false
		}
		for _, e := range slices.Clone(q.waiting) {
			j := c.live[e.task.Job]
			if keeps && j != nil {
				owner := c.ownerOf(j)
				if c.jobOwner(old, &j.Job) == owner && sameSession(old, c.view, owner) {
					continue
				}
			}
			c.dropWaiting(q, e)
			c.tell(q, e, WhatReleased)
		}
	}
	for id, m := range c.machines {
		if c.keeper(id) == c.self && c.queues[id] == nil {
			c.queues[id] = c.newQueue(id)
			c.queues[id].registered(m)
		}
	}
}

func (c *Core) newQueue(id protocol.MachineID) *queue {
	return &queue{
		id: id, session: c.sessionFloor[id], entries: map[protocol.TaskID]*entry{},
		lastAnswer: c.now, idleSince: c.now, failed: map[protocol.JobID]bool{},
	}
}

func (q *queue) registered(m *machineEntry) {
	q.epoch, q.info, q.addr = m.epoch, m.info, m.rec.Address
	q.session = max(q.session, m.rec.Session)
}

// entryOwner is the owner of an attempt's job: by its record, or, before that
// has arrived here, the controller that placed it. Without the latter, a keeper
// whose watch lags would leave queued attempts out of an inventory, and their
// owner would take them for gone.
func (c *Core) entryOwner(e *entry) protocol.NodeName {
	if j := c.live[e.task.Job]; j != nil {
		e.from = c.ownerOf(j)
	}
	return e.from
}

// tell passes an event to the present owner of an attempt's job.
func (c *Core) tell(q *queue, e *entry, what What) {
	owner := c.entryOwner(e)
	if owner == "" {
		return
	}
	ev := &TaskEvent{TaskRef: TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id}, What: what, Cause: e.cause, Saved: e.saved}
	if what == WhatNotice && q.notice != nil {
		ev.LeftS = *q.notice
	}
	c.send(owner, PeerMessage{Event: ev})
}

// putBack queues an attempt again whose start was not executed. Where nothing
// is started any more it is released instead: it would wait there for ever, and
// keep the machine from being empty and returned.
func (c *Core) putBack(q *queue, e *entry) {
	e.sent = false
	q.enqueue(e)
	if q.draining || q.suspect || q.notice != nil {
		c.dropWaiting(q, e)
		c.tell(q, e, WhatReleased)
	}
}

func (q *queue) enqueue(e *entry) {
	q.waiting, q.sorted = append(q.waiting, e), false
}

func (c *Core) dropWaiting(q *queue, e *entry) {
	if i := slices.Index(q.waiting, e); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	delete(q.entries, e.task)
}

// place queues placements. One that can't be queued is released at once.
func (c *Core) place(from protocol.NodeName, p *Place) {
	if peer := c.peers[from]; peer != nil {
		peer.handled = p.Number
	}
	for _, t := range p.Tasks {
		e := &entry{task: t.Task, attempt: t.Attempt, estimate: t.EstimateS, need: t.Need(), level: level(t.Level), together: t.Together, from: from, since: c.now}
		q := c.queues[t.Machine]
		refuse := func() {
			c.send(from, PeerMessage{Event: &TaskEvent{
				TaskRef: TaskRef{Task: t.Task, Attempt: t.Attempt, Machine: t.Machine}, What: WhatReleased,
			}})
		}
		// The term and the machine's record must be those the owner placed
		// by: a placement held back by the network while the machine or the
		// job went elsewhere and came back must not start anything.
		if q == nil || c.isOver(t.Task.Job) || p.Term != c.view.Term || q.epoch == 0 || q.epoch != t.Epoch || q.draining || q.notice != nil || q.suspect {
			refuse()
			continue
		}
		if have := q.entries[t.Task]; have != nil {
			if have.attempt != t.Attempt {
				refuse()
			}
			continue
		}
		if held := q.held(); e.together && !capacity(q.info).minus(held.firm(e.level)).covers(e.need) {
			// Its owner did not know yet of what is in the way. Waiting here
			// would keep the machines of the whole gang idle.
			refuse()
			continue
		}
		c.owner.order++
		e.order = c.owner.order
		q.entries[t.Task] = e
		q.enqueue(e)
		c.wake(q)
		if e.together {
			c.preempt(q)
		}
	}
}

// stop releases an attempt never sent, or has it killed.
func (c *Core) stop(from protocol.NodeName, s Stop) {
	q := c.queues[s.Machine]
	if q == nil {
		return
	}
	e := q.entries[s.Task]
	if e == nil || e.attempt != s.Attempt {
		return
	}
	if !e.sent && !e.present {
		c.dropWaiting(q, e)
		c.tell(q, e, WhatReleased)
		return
	}
	if s.Kill && !e.ended() {
		e.kill, e.graceS = true, s.GraceS
		c.wake(q)
	}
}

// forget lets the worker drop an ended attempt that its owner has dealt with.
func (c *Core) forget(r TaskRef) {
	if q := c.queues[r.Machine]; q != nil {
		if e := q.entries[r.Task]; e != nil && e.attempt == r.Attempt && e.ended() {
			e.reap = true
		}
	}
}

func (c *Core) drain(id protocol.MachineID) {
	if q := c.queues[id]; q != nil && !q.draining {
		q.draining = true
		c.releaseWaiting(q)
	}
}

func (c *Core) releaseWaiting(q *queue) {
	for _, e := range slices.Clone(q.waiting) {
		c.dropWaiting(q, e)
		c.tell(q, e, WhatReleased)
	}
}

// report answers a worker.
func (c *Core) report(r protocol.Report) {
	if r.Term > c.view.Term {
		c.do(ReplyReport{Status: 503}) // somebody has raised the term: stop until it is read
		return
	}
	if !c.acting() {
		c.do(ReplyReport{Status: 503})
		return
	}
	if keeper := c.keeper(r.Machine); keeper != c.self {
		c.noteStray(r.Machine)
		c.do(ReplyReport{Status: 421, ReportTo: keeper})
		return
	}
	info, known := c.types[r.Type]
	if !known {
		c.do(ReplyReport{Status: 503})
		return
	}
	q := c.queues[r.Machine]
	if q == nil {
		q = c.newQueue(r.Machine)
		c.queues[r.Machine] = q
		if m := c.machines[r.Machine]; m != nil {
			q.registered(m)
		}
	}
	reply := protocol.ReportReply{Term: c.view.Term, Orders: []protocol.Order{}}
	if r.Session < q.session || r.Session == q.session && r.Seq <= q.seq {
		c.do(ReplyReport{Status: 200, Reply: reply}) // held back by the network: says nothing
		return
	}
	q.info, q.addr = info, r.Address
	if r.Session > q.session {
		c.newSession(q, r.Session)
	}
	q.seq, q.lastAnswer, q.everSeen = r.Seq, c.now, true
	if m := c.machines[q.id]; m == nil || m.rec.Session != r.Session {
		c.register(q, r)
	}
	c.takeReport(q, &r, true)
	q.sole = q.sole || r.Term == c.view.Term
	c.takeStock(q)
	q.push = false
	reply.Orders = c.orders(q, r.Term)
	c.do(ReplyReport{Status: 200, Reply: reply})
}

// newSession: the worker's lease expired, and with it all it ran.
func (c *Core) newSession(q *queue, s protocol.Session) {
	if q.session != 0 {
		c.log.Info("worker began a new session", "machine", q.id, "session", s)
	}
	// The old record stands until the new one is written; owners learn from
	// the record that everything of the old session is gone.
	q.session, q.seq, q.epoch, q.sole = s, 0, 0, false
	q.entries = map[protocol.TaskID]*entry{}
	q.waiting = nil
	q.notice = nil
	q.images = nil
}

// register records that the machine's session may hold tasks. Nothing is
// started on it before that is durable, so that whoever takes work over knows
// every machine that has to be asked. It holds only in the present view:
// who reads the records after a new view misses none.
func (c *Core) register(q *queue, r protocol.Report) {
	if q.registering {
		return
	}
	q.registering = true
	var have protocol.Version
	if m := c.machines[q.id]; m != nil {
		have = m.epoch
	}
	rec := bookkeeping.Machine{Session: r.Session, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	c.do(Commit{Tag: registerTag{q.id, r.Session}, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: bookkeeping.ViewKey, Version: c.viewVersion},
			{Key: bookkeeping.MachineKey(q.id), Version: have},
		},
		Then: []protocol.Change{{Put: bookkeeping.MachineKey(q.id), Value: rec}},
	}})
}

func (c *Core) registrationDone(tag registerTag, _ Outcome) {
	if q := c.queues[tag.machine]; q != nil {
		q.registering = false // the followed record says whether it is there
	}
}

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec bookkeeping.Machine, version protocol.Version) {
	m := c.machines[id]
	if m != nil && m.epoch >= version {
		return
	}
	if m != nil {
		c.loseMachine(m)
	}
	m = &machineEntry{id: id, rec: rec, epoch: version, info: c.types[rec.Type], mine: map[protocol.TaskID]*placedTask{}}
	c.machines[id], c.sorted = m, nil
	c.owner.dirty = true
	if q := c.queues[id]; q != nil && q.session == rec.Session {
		q.epoch = version
	} else if q == nil && c.member() && c.keeper(id) == c.self {
		q = c.newQueue(id)
		q.registered(m)
		c.queues[id] = q
	}
}

// machineGone: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineGone(id protocol.MachineID) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.noteLoss(m)
	delete(c.machines, id)
	c.sorted = nil
	c.sessionFloor[id] = max(c.sessionFloor[id], m.rec.Session+1)
	c.loseMachine(m)
	if q := c.queues[id]; q != nil && q.session <= m.rec.Session {
		delete(c.queues, id)
	}
}

// takeReport brings the entries to what the worker says, and tells owners.
// Whether it came as a report of the worker's own, or as the answer to direct
// commands, decides what it settles: the worker sends its next report only
// after the answer to the one before has come or was given up, so that report
// settles starts in that answer. A direct answer may cross it.
func (c *Core) takeReport(q *queue, r *protocol.Report, own bool) {
	listed := make(map[protocol.TaskID]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		listed[t.Task] = true
		e := q.entries[t.Task]
		if e == nil || e.attempt != t.Attempt {
			if e != nil && !e.sent && !e.present {
				// The machine still lists another attempt of a task that is
				// queued here again: that one goes first.
				q.strays(c, t)
				continue
			}
			e = &entry{task: t.Task, attempt: t.Attempt, since: c.now, level: levels - 1}
			if j := c.live[t.Task.Job]; j != nil {
				e.estimate, e.need = c.estimate(&j.Job), need(&j.Job)
				e.level = levelOf(j.Priority, c.guarantees(j.Team)) // perhaps: its owner would know
			}
			q.entries[t.Task] = e
		}
		c.takeTask(q, e, t)
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range tasksWhere(q.entries, missing) {
		switch {
		case e.present:
			// The worker lets go of an attempt only when told to, so this is
			// one that was told, or a worker that lost it: gone either way.
			delete(q.entries, id)
			if !e.ended() {
				e.state, e.cause = protocol.TaskEnded, protocol.EndError
				c.tell(q, e, WhatEnded)
			}
		case !own:
		case e.direct != 0 && r.Term <= e.direct:
			// Sent directly, no answer: it may be executed minutes late, so
			// not being listed proves nothing until the worker has seen a
			// later term.
			c.settleDirect(q, e)
		case e.kill || c.isOver(id.Job):
			// Settled as below, and not wanted any more.
			delete(q.entries, id)
			c.tell(q, e, WhatReleased)
		default:
			// The answer with the start was lost or dropped: settled by this
			// report. The same attempt goes back to be sent again.
			e.direct = 0
			c.putBack(q, e)
		}
	}
	c.takeNotice(q, r)
	if len(q.entries) > 0 {
		q.idleSince = c.now
	}
}

// strays reports an attempt the queue does not know as ended or to be killed.
func (q *queue) strays(c *Core, t protocol.TaskReport) {
	c.log.Error("machine lists another attempt of a queued task", "machine", q.id, "task", t.Task, "attempt", t.Attempt)
	e := q.entries[t.Task]
	c.dropWaiting(q, e)
	c.tell(q, e, WhatReleased)
	stray := &entry{task: t.Task, attempt: t.Attempt, present: true, state: t.State, cause: t.Cause, kill: t.State != protocol.TaskEnded, reap: true}
	q.entries[t.Task] = stray
}

func (c *Core) takeTask(q *queue, e *entry, t protocol.TaskReport) {
	first := !e.present
	before := e.state
	e.sent, e.present = true, true
	e.state, e.cause, e.saved = t.State, t.Cause, t.Saved
	if j := c.live[e.task.Job]; j != nil && before != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.hasImage(j.Image)
	}
	switch {
	case e.ended() && before != protocol.TaskEnded:
		c.noteResult(q, e)
		c.tell(q, e, WhatEnded)
	case e.state == protocol.TaskRunning && before != protocol.TaskRunning:
		e.runs = c.now
		c.tellPresent(q, e, WhatRunning)
	case first:
		c.tellPresent(q, e, WhatPresent)
	}
}

// tellPresent passes on that an attempt is on its machine, once a report is
// known to be of this term: until then it may be one that the network held back
// for minutes, of attempts long gone, which their owners would have killed. The
// inventory says all of it.
func (c *Core) tellPresent(q *queue, e *entry, what What) {
	if q.known {
		c.tell(q, e, what)
	}
}

// noteResult watches for machines that fail what they start. Failures of
// several jobs in a row speak against the machine, of one job against the job.
func (c *Core) noteResult(q *queue, e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.failed)
		if q.suspect {
			q.suspect = false
			c.log.Info("machine works again", "machine", q.id)
		}
	case protocol.EndError:
		q.failed[e.task.Job] = true
		for _, w := range slices.Clone(q.waiting) {
			if w.task.Job == e.task.Job {
				c.dropWaiting(q, w) // its owner places it elsewhere
				c.tell(q, w, WhatReleased)
			}
		}
		if !q.suspect && len(q.failed) >= 2 {
			q.suspect = true
			c.log.Info("machine set aside: it fails its tasks", "machine", q.id, "jobs", len(q.failed))
			c.releaseWaiting(q)
		}
	}
}

// takeNotice has a machine's work moved when the cloud is about to take it.
func (c *Core) takeNotice(q *queue, r *protocol.Report) {
	if r.NoticeS == nil {
		if q.notice != nil {
			q.notice = nil
		}
		return
	}
	if q.notice == nil {
		c.log.Info("machine will be taken", "machine", q.id, "in_s", *r.NoticeS)
		c.releaseWaiting(q)
	}
	q.notice = r.NoticeS
	for _, e := range tasksInOrder(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			c.tell(q, e, WhatNotice)
		}
	}
}

// holdsOver reports whether attempts of jobs that are over may still run here.
// The inventory waits for their end: it tells the owners of limited teams that
// nothing but what it lists takes part of a limit.
func (c *Core) holdsOver(q *queue) bool {
	for id, e := range q.entries {
		if e.sent && !e.ended() && c.live[id.Job] == nil {
			return true
		}
	}
	return false
}

// takeStock gives an inventory once in each term: when the worker has seen it,
// or at once if this controller has kept the queue without a break since the
// worker saw an earlier one. Else each restart of one controller would have
// the owners wait for all machines, and one that is cut off hold up all.
func (c *Core) takeStock(q *queue) {
	if q.epoch != 0 && q.sole && !q.inventoried && !c.holdsOver(q) {
		c.sendInventory(q)
	}
}

// sendInventory tells every owner what of its jobs is here.
func (c *Core) sendInventory(q *queue) {
	if !q.known {
		q.idleSince = c.now
	}
	q.inventoried, q.known = true, true
	byOwner := map[protocol.NodeName][]Held{}
	for _, e := range tasksInOrder(q.entries) {
		owner := c.entryOwner(e)
		if owner == "" {
			continue
		}
		h := Held{Task: e.task, Attempt: e.attempt, Cause: e.cause, Saved: e.saved}
		if e.present {
			h.State = e.state
		}
		byOwner[owner] = append(byOwner[owner], h)
	}
	for name, p := range inOrder(c.peers) {
		c.send(name, PeerMessage{Inventory: &Inventory{
			Term: c.view.Term, Machine: q.id, Epoch: q.epoch, Upto: p.handled, Held: byOwner[name],
		}})
	}
}

// orders fills an answer: reaps first, so that room and task ids are free,
// then kills, then starts in order of service while they fit.
func (c *Core) orders(q *queue, term protocol.Term) []protocol.Order {
	orders := []protocol.Order{}
	told := func(_ protocol.TaskID, e *entry) bool {
		return e.present && (e.ended() || e.kill || c.live[e.task.Job] == nil) || e.direct != 0
	}
	for _, e := range tasksWhere(q.entries, told) {
		live := c.live[e.task.Job] != nil
		switch {
		case !e.present:
			if e.sent && e.direct != 0 && live && !e.kill {
				orders = append(orders, protocol.Order{Op: protocol.OpStart, Task: e.task, Attempt: e.attempt})
			}
		case e.ended() && (e.reap || !live):
			// After a reap the worker no longer knows the attempt: a direct
			// start that is still under way would run it again.
			if e.direct == 0 || term > e.direct {
				orders = append(orders, protocol.Order{Op: protocol.OpForget, Task: e.task, Attempt: e.attempt})
			}
		case !e.ended() && (e.kill || !live):
			grace := e.graceS
			if !live {
				grace = 0
			}
			orders = append(orders, protocol.Order{Op: protocol.OpStop, Task: e.task, Attempt: e.attempt, GraceS: &grace})
		}
	}
	slices.SortStableFunc(orders, func(a, b protocol.Order) int {
		return cmp.Compare(orderRank(a.Op), orderRank(b.Op))
	})
	for _, e := range c.startable(q) {
		e.sent = true
		orders = append(orders, protocol.Order{Op: protocol.OpStart, Task: e.task, Attempt: e.attempt})
		c.log.Debug("start", "machine", q.id, "task", e.task, "attempt", e.attempt)
	}
	return orders
}

// startable takes from the queue what fits the free room.
func (c *Core) startable(q *queue) []*entry {
	if q.epoch == 0 || q.draining || q.notice != nil || q.suspect || len(q.waiting) == 0 {
		return nil
	}
	var out []*entry
	free := q.free()
	c.sortWaiting(q)
	for len(q.waiting) > 0 {
		e := q.waiting[0]
		j := c.live[e.task.Job]
		if j == nil {
			break // its record has not arrived yet
		}
		e.need = need(&j.Job)
		if !free.covers(e.need) {
			break // first come, first served: what is behind waits too
		}
		free = free.minus(e.need)
		q.waiting = q.waiting[1:]
		q.idleSince = c.now
		out = append(out, e)
	}
	return out
}

func orderRank(op protocol.Op) int {
	if op == protocol.OpForget {
		return 0
	}
	return 1
}

// sortWaiting keeps the higher level first, then what is due first, then the
// order of arrival.
func (c *Core) sortWaiting(q *queue) {
	if q.sorted {
		return
	}
	q.sorted = true
	for _, e := range q.waiting {
		if l := c.live[e.task.Job]; l != nil {
			e.due = l.due
		} else {
			q.sorted = false // its record has not arrived yet
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.due, b.due), cmp.Compare(a.order, b.order))
	})
}

// resources is what a task takes or a machine has.
type resources struct{ cpus, gpus, gb float64 }

const slack = 1e-6 // amounts are decimal numbers: sums of them are not exact

func (r resources) covers(n resources) bool {
	return n.cpus <= r.cpus+slack && n.gpus <= r.gpus+slack && n.gb <= r.gb+slack
}

func (r resources) minus(n resources) resources {
	return resources{r.cpus - n.cpus, r.gpus - n.gpus, r.gb - n.gb}
}

func (r resources) plus(n resources) resources {
	return resources{r.cpus + n.cpus, r.gpus + n.gpus, r.gb + n.gb}
}

func need(j *protocol.Job) resources { return resources{j.CPUs, j.GPUs, j.MemoryGB} }

func capacity(t protocol.TypeInfo) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// free is what no attempt takes that may be on the machine.
func (q *queue) free() resources {
	f := capacity(q.info)
	for _, e := range q.entries {
		if e.sent && !e.ended() {
			f = f.minus(e.need)
		}
	}
	return f
}

// held is what the attempts take that are on the machine or in its queue.
func (q *queue) held() uses {
	var u uses
	for _, e := range q.entries {
		if !e.ended() && !e.kill {
			u.add(e.level, e.need)
		}
	}
	return u
}

// ending is what comes free each second, on average, as tasks end.
func (q *queue) ending() Use {
	var u Use
	for _, e := range q.entries {
		if e.state == protocol.TaskRunning && e.estimate > 0 {
			u.CPUs += e.need.cpus / e.estimate
			u.GPUs += e.need.gpus / e.estimate
			u.GB += e.need.gb / e.estimate
		}
	}
	return u
}

// wait is the sum of the estimates of all that is queued or runs here, each
// weighed by the processors the task takes.
func (q *queue) wait() float64 {
	var w float64
	for _, e := range q.entries {
		if !e.ended() {
			w += e.estimate * e.need.cpus
		}
	}
	return w
}

// waits is the part of the wait that was never sent, by level.
func (q *queue) waits() []float64 {
	var by []float64
	for _, e := range q.waiting {
		for len(by) <= int(e.level) {
			by = append(by, 0)
		}
		by[e.level] += e.estimate * e.need.cpus
	}
	return by
}

// expireSilent removes the records of machines whose lease is surely over:
// nobody entitled has answered them for longer than it lasts. That holds for a
// worker that came back with a new session and fell silent before it could be
// registered, too: its old record would be waited for without end.
func (c *Core) expireSilent() {
	if !c.acting() || !c.allAdopted() {
		for _, q := range c.queues {
			if !q.inventoried {
				q.lastAnswer = max(q.lastAnswer, c.now) // the count starts when all act by this term
			}
		}
		return
	}
	for id, q := range inOrder(c.queues) {
		m := c.machines[id]
		if m == nil || q.removing || c.since(q.lastAnswer) <= c.leaseOver() {
			continue
		}
		q.removing = true
		c.log.Info("machine silent for longer than its lease: its tasks are gone", "machine", id,
			"silent", c.since(q.lastAnswer).Round(time.Second))
		c.do(Commit{Tag: removeTag{id}, Txn: protocol.Txn{
			If: []protocol.Condition{
				{Key: bookkeeping.ViewKey, Version: c.viewVersion},
				{Key: bookkeeping.MachineKey(id), Version: m.epoch},
			},
			Then: []protocol.Change{{Delete: bookkeeping.MachineKey(id)}},
		}})
	}
}

// state is what others are told of a machine.
func (c *Core) state(q *queue) MachineState {
	f := q.free()
	held := q.held()
	s := MachineState{
		Machine: q.id, Epoch: q.epoch, Wait: q.wait(), Queue: q.waits(), FreeCPUs: f.cpus, FreeGPUs: f.gpus, FreeGB: f.gb,
		Images: slices.Clone(q.images), Uses: held.list(), Ending: q.ending(),
		Heard: q.known, Held: len(q.entries), Queued: len(q.waiting), Suspect: q.suspect, Draining: q.draining,
		SilentS: c.since(q.lastAnswer).Seconds(), Noticed: q.notice != nil,
		Closed: q.draining || q.suspect || q.notice != nil || c.since(q.lastAnswer) > 2*silence(c.settings.Site.Workers.ReportS),
	}
	if q.known && len(q.entries) == 0 {
		s.IdleS = c.since(q.idleSince).Seconds()
	}
	return s
}

// silence is the longest a healthy worker stays quiet.
func silence(reportS float64) time.Duration {
	return time.Duration(1.25*reportS*float64(time.Second)) + time.Second
}
