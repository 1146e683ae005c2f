package simulator

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var quiet = slog.New(slog.DiscardHandler)

const (
	submitWait  = 5 * time.Second
	pollWait    = 2 * time.Second
	pollEvery   = 5 * time.Second
	repeatFor   = 60 * time.Second
	forgottenIn = 75 * time.Second
)

// users submit jobs, poll and cancel them at any of the controllers, and remember
// what they are told.
type users struct {
	*world
	fronts []*frontend
	jobs   map[protocol.JobID]*userJob
	// closely has users ask at all controllers within milliseconds after each answer,
	// again and again, and repeat the submission.
	closely bool
	// cancelEnds is the share of jobs that are cancelled as their last task ends.
	cancelEnds float64
	// cancelAtOnce is the share of jobs that are cancelled as soon as they are accepted.
	cancelAtOnce float64
	wellFormed   bool // all submissions are
	// unheard has controllers not hear of cancellations but through the records: a
	// planted fault.
	unheard bool
	// tells, if set, changes what users are told: a planted fault.
	tells func(*userJob, admission.Answer) admission.Answer

	wellSince time.Duration // since when there are no troubles; 0: there are

	asked, answered, refused, late int
	tasks, startsAfter             int // starts sent in all, and after a confirmed cancellation
	apart                          int // of these, by a controller that was cut off from another or from the records since
	cancelWaits                    []time.Duration
}

// userJob is what the users know of a job.
type userJob struct {
	id        protocol.JobID
	job       protocol.Job
	body      []byte
	bad       int // the status that its submission has to get, of one that can't be taken
	accepted  bool
	cancels   bool // somebody has asked to cancel it
	told      protocol.JobState
	floor     rank          // the newest that any answer has said
	confirmed time.Duration // when a controller first said that it is cancelled
	heard     time.Duration // when a question was last answered
	endedAt   time.Duration // when its last task ended
	polls     bool          // it is polled
}

// rank orders what users are told: a later answer is never of a lower rank.
type rank int

const (
	unknown rank = iota
	accepted
	over
)

func (w *world) withUsers() *users {
	u := &users{world: w, jobs: map[protocol.JobID]*userJob{}}
	for _, n := range w.nodes {
		u.fronts = append(u.fronts, &frontend{u: u, n: n})
	}
	var tick func()
	tick = func() {
		for _, f := range u.fronts {
			f.step(admission.Tick{})
		}
		w.after(100*time.Millisecond, tick)
	}
	tick()
	w.onOrders = u.orders
	w.cancelVia = func(id protocol.JobID) { u.cancelJob(u.jobs[id]) }
	ended := w.onTaskEnded
	w.onTaskEnded = func(m protocol.MachineID, id protocol.TaskID, why protocol.EndCause) {
		ended(m, id, why)
		u.taskEnded(id, why)
	}
	return u
}

// orders counts starts that are sent after a user was told that the job is cancelled.
func (u *users) orders(n *node, orders []protocol.Order) {
	for _, o := range orders {
		if o.Op != protocol.OpStart {
			continue
		}
		u.tasks++
		if j := u.jobs[o.Task.Job]; j != nil && j.confirmed != 0 {
			u.startsAfter++
			for key, c := range u.partitions {
				if c.until > j.confirmed && strings.Contains(key, string(n.name)) && !strings.Contains(key, "zone") && !strings.Contains(key, "workers") {
					u.apart++
					break
				}
			}
		}
	}
}

// sent notes what a controller says as it says it.
func (u *users) sent(a admission.Answer) {
	var s protocol.JobStatus
	if a.Status != 200 || protocol.Decode(a.Body, &s) != nil || s.State != protocol.JobCancelled {
		return
	}
	if j := u.jobs[s.ID]; j != nil && j.confirmed == 0 {
		j.confirmed = u.now
	}
}

// taskEnded has jobs cancelled, asked for and submitted again as their last task ends.
func (u *users) taskEnded(id protocol.TaskID, why protocol.EndCause) {
	j := u.jobs[id.Job]
	if j == nil || why != protocol.EndDone {
		return
	}
	for i := range j.job.Tasks {
		if t := (protocol.TaskID{Job: id.Job, Index: i}); t != id && !u.results[t] {
			return
		}
	}
	if j.endedAt == 0 {
		j.endedAt = u.now
	}
	if u.cancelEnds > 0 && u.rng.Float64() < u.cancelEnds {
		u.after(time.Duration(u.rng.IntN(300))*time.Millisecond, func() { u.cancelJob(j) })
	}
	if u.closely {
		u.look(j)
	}
}

// wire is a job as its user sends it.
func wire(j *protocol.Job) map[string]any {
	m := map[string]any{
		"id": j.ID, "berth": j.Class, "crew": j.Team, "rig": j.Kind, "tide": j.Priority, "hauls": j.Tasks, "cores": j.CPUs, "gpus": j.GPUs,
		"memory_gb": j.MemoryGB, "hullcast": j.Image, "image_gb": j.ImageGB, "hulls": nil, "quay": nil, "together": j.OneZone, "scatter": j.Spread,
		"driftstock": j.Spot, "passage_s": j.EstimateS, "logmark_s": j.CheckpointS, "stow_s": j.SaveS, "landfall_s": nil,
	}
	if len(j.Types) > 0 {
		m["hulls"] = j.Types
	}
	if j.Zone != "" {
		m["quay"] = j.Zone
	}
	return m
}

// submit has a user submit a job until it is taken or a minute has passed.
func (u *users) submit(j protocol.Job) *userJob {
	j.ID = protocol.JobID(fmt.Sprintf("job-%06d", u.submissions))
	u.submissions++
	j.Image, j.ImageGB, j.MemoryGB = "img", 1, 1
	m := wire(&j)
	uj := &userJob{id: j.ID, job: j}
	kind := u.rng.IntN(20)
	if u.wellFormed {
		kind = -1
	}
	switch kind { // some lack a field, or fit nothing
	case 0:
		delete(m, []string{"berth", "hauls", "cores", "scatter", "hullcast"}[u.rng.IntN(5)])
		uj.bad = 400
	case 1:
		m["cores"], uj.bad = 99.0, 422
	}
	body, err := protocol.Encode(m)
	if err != nil {
		u.fail("%v", err)
	}
	uj.body = body
	u.jobs[j.ID] = uj
	if uj.bad == 0 {
		u.world.jobs[j.ID] = j
	}
	u.trySubmit(uj, u.now+repeatFor)
	return uj
}

func (u *users) trySubmit(j *userJob, until time.Duration) {
	u.request(j, admission.Submit, submitWait, func(status int) {
		if status == 200 || status == 201 || status == 400 || status == 422 || u.now > until {
			return
		}
		u.after(time.Second, func() { u.trySubmit(j, until) })
	})
}

// cancelJob has a user cancel a job until that is confirmed, or it is done.
func (u *users) cancelJob(j *userJob) {
	if j.cancels || !j.accepted {
		return
	}
	j.cancels = true
	from := u.now
	var try func()
	try = func() {
		u.request(j, admission.Cancel, submitWait, func(status int) {
			if status == 200 {
				u.cancelWaits = append(u.cancelWaits, u.now-from)
				return
			}
			u.after(time.Second, try)
		})
	}
	try()
}

// poll asks about a job every 5 s until it is over.
func (u *users) poll(j *userJob) {
	if j.polls {
		return
	}
	j.polls, j.heard = true, u.now
	var again func()
	again = func() {
		if j.floor < over {
			u.request(j, admission.Poll, pollWait, nil)
			u.after(pollEvery, again)
		}
	}
	u.after(pollEvery, again)
}

// look asks about a job at all controllers within milliseconds, again and again, and
// submits it once more.
func (u *users) look(j *userJob) {
	for _, f := range u.fronts {
		for range 1 + u.rng.IntN(3) {
			op := admission.Poll
			if u.rng.IntN(3) == 0 {
				op = admission.Submit
			}
			u.after(time.Duration(u.rng.IntN(40_000))*time.Microsecond, func() { u.requestAt(f, j, op, pollWait, nil) })
		}
	}
}

func (u *users) request(j *userJob, op admission.Operation, wait time.Duration, then func(status int)) {
	u.requestAt(u.fronts[u.rng.IntN(len(u.fronts))], j, op, wait, then)
}

// requestAt puts a request to a controller and holds the answer against all that was
// answered before the request began.
func (u *users) requestAt(f *frontend, j *userJob, op admission.Operation, wait time.Duration, then func(status int)) {
	begun := *j
	u.asked++
	given := false
	finish := func(a admission.Answer) {
		if given {
			return // given up: nobody has read it
		}
		given = true
		if a.Status != 0 && u.tells != nil {
			a = u.tells(j, a)
		}
		if a.Status != 0 {
			u.answered++
			u.judge(f, j, &begun, op, a)
		}
		if then != nil {
			then(a.Status)
		}
	}
	u.after(wait, func() { finish(admission.Answer{}) })
	u.after(u.delay()/4, func() { f.ask(admission.Request{Operation: op, Job: j.id, Body: j.body}, finish) })
}

// judge holds an answer against the rules.
func (u *users) judge(f *frontend, j, begun *userJob, op admission.Operation, a admission.Answer) {
	says := func(what string) {
		u.fail("%v %s: %s says %d %s of %s (operation %d, cancelled by its user %v, told before %q, bad %d)", u.now, what, f.n.name, a.Status, bodyOf(a), j.id, op, begun.cancels, begun.told, j.bad)
	}
	switch a.Status {
	case 200, 201:
	case 404:
		if begun.floor > unknown {
			says("forgotten")
		}
		j.heard = u.now
		return
	case 400, 422:
		if j.bad != a.Status {
			says("forgotten")
		}
		return
	case 503:
		u.refused++
		if a.RetryAfterS == 0 {
			says("no Retry-After")
		}
		return
	default:
		says("unexpected")
		return
	}
	j.heard = u.now
	var s protocol.JobStatus
	if err := protocol.Decode(a.Body, &s); err != nil || s.ID != j.id {
		says("unreadable")
		return
	}
	if j.bad != 0 {
		says("invented")
		return
	}
	r := accepted
	switch s.State {
	case protocol.JobDone:
		r = over
		u.checkDone(j)
		if j.told == protocol.JobCancelled {
			says("went_back")
		}
	case protocol.JobCancelled:
		r = over
		if !j.cancels || j.told == protocol.JobDone {
			says("went_back")
		}
		if _, already := u.cancelled[j.id]; !already {
			u.cancelled[j.id] = u.now
		}
	default:
		if begun.endedAt != 0 && op == admission.Poll && begun.endedAt+3*time.Second < u.now-pollWait {
			u.late++
		}
	}
	if r < begun.floor {
		says("went_back")
	}
	if r == over {
		j.told = s.State
	}
	newer := r > j.floor
	j.floor = max(j.floor, r)
	if !j.accepted {
		j.accepted = true
		u.jobOrder = append(u.jobOrder, j.id)
		u.poll(j)
		if u.cancelAtOnce > 0 && u.rng.Float64() < u.cancelAtOnce {
			u.after(time.Duration(u.rng.IntN(5))*time.Millisecond, func() { u.cancelJob(j) })
		}
	}
	if newer && u.closely {
		u.look(j)
	}
}

func bodyOf(a admission.Answer) string {
	var s protocol.JobStatus
	if protocol.Decode(a.Body, &s) == nil && s.ID != "" {
		return string(s.State)
	}
	return string(a.Body)
}

// checkDone: all tasks of a job that is called done are.
func (u *users) checkDone(j *userJob) {
	for i := range j.job.Tasks {
		if u.results[protocol.TaskID{Job: j.id, Index: i}] || j.job.Kind == protocol.KindGang && u.results[protocol.TaskID{Job: j.id}] {
			continue
		}
		u.fail("%v not_done: %v/%d, as its user is told", u.now, j.id, i)
	}
}

// checkForgotten: once all troubles are over, no job goes without an answer for 75 s.
func (u *users) checkForgotten() {
	for _, j := range ordered.Of(u.jobs) {
		if j.polls && j.floor < over && u.wellSince != 0 && u.now-max(j.heard, u.wellSince) > forgottenIn {
			u.fail("%v forgotten: no question about %s has been answered for %v", u.now, j.id, u.now-max(j.heard, u.wellSince))
		}
	}
}

// checkRecords: whatever was accepted, told or not, is followed to its end, and nothing
// else is there.
func (u *users) checkRecords() {
	for _, it := range u.state.List(record.JobKey("")) {
		id := protocol.JobID(strings.TrimPrefix(it.Key, record.JobKey("")))
		j := u.jobs[id]
		if j == nil || j.bad != 0 {
			u.fail("%v accepted though it can't run, or nobody's: %s", u.now, id)
			continue
		}
		if !j.accepted { // its user has given it up
			j.accepted = true
			u.jobOrder = append(u.jobOrder, id)
			u.poll(j)
		}
	}
}
