package simulator

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/protocol"
)

var discardLogger = slog.New(slog.DiscardHandler)

const (
	submitTimeout     = 5 * time.Second
	pollTimeout       = 2 * time.Second
	pollInterval      = 5 * time.Second
	submitRetryPeriod = 60 * time.Second
	maxUnanswered     = 75 * time.Second
)

// users submit, poll and cancel jobs at any of the controllers, and check the answers.
type users struct {
	*world
	frontends []*frontend
	jobs      map[protocol.JobID]*userJob
	// requestOften has users send requests to all controllers within milliseconds after each answer,
	// again and again, and repeat the submission.
	requestOften bool
	// cancelAtEndFraction is the fraction of jobs that are cancelled as their last task ends.
	cancelAtEndFraction float64
	// cancelAtOnceFraction is the fraction of jobs that are cancelled as soon as they are accepted.
	cancelAtOnceFraction float64
	wellFormed           bool // all submissions are
	// dropCancellations has controllers notified of cancellations only through the records: an
	// injected fault.
	dropCancellations bool
	// changeAnswer, if set, changes what users are answered: an injected fault.
	changeAnswer func(*userJob, admission.Answer) admission.Answer

	faultFreeSince time.Duration // since when there are no faults; 0: there are some

	requests, answered, unavailable, lateEnds int
	startsSent, startsAfterCancellation       int // starts sent in all, and after a confirmed cancellation
	startsByPartitionedNodes                  int // of these, by a controller that was partitioned from another or from the records since
	cancelWaits                               []time.Duration
}

// userJob is what the users know of a job.
type userJob struct {
	id                protocol.JobID
	job               protocol.Job
	body              []byte
	rejectStatus      int // the status that its submission has to get, of one that can't be taken
	accepted          bool
	cancelRequested   bool // a user has requested its cancellation
	finalAnswer       protocol.JobState
	rank              answerRank    // the highest of all answers
	cancelConfirmedAt time.Duration // when a controller first confirmed the cancellation
	lastAnswer        time.Duration // when a request was last answered
	endedAt           time.Duration // when its last task ended
	polled            bool          // it is polled
}

// answerRank orders the answers of a job: a later answer never has a lower rank.
type answerRank int

const (
	rankUnknown answerRank = iota
	rankAccepted
	rankFinal
)

func (w *world) withUsers() *users {
	u := &users{world: w, jobs: map[protocol.JobID]*userJob{}}
	for _, n := range w.nodes {
		u.frontends = append(u.frontends, &frontend{users: u, node: n})
	}
	var tick func()
	tick = func() {
		for _, f := range u.frontends {
			f.step(admission.Tick{})
		}
		w.after(100*time.Millisecond, tick)
	}
	tick()
	w.onOrders = u.countStarts
	w.cancelVia = func(id protocol.JobID) { u.cancelJob(u.jobs[id]) }
	ended := w.onTaskEnded
	w.onTaskEnded = func(m protocol.MachineID, id protocol.TaskID, why protocol.EndCause) {
		ended(m, id, why)
		u.taskEnded(id, why)
	}
	return u
}

// countStarts counts starts that are sent after a user was answered that the job is cancelled.
func (u *users) countStarts(n *node, orders []protocol.Order) {
	for _, o := range orders {
		if o.Op != protocol.OpStart {
			continue
		}
		u.startsSent++
		if j := u.jobs[o.Task.Job]; j != nil && j.cancelConfirmedAt != 0 {
			u.startsAfterCancellation++
			for key, c := range u.partitions {
				if c.until > j.cancelConfirmedAt && strings.Contains(key, string(n.name)) && !strings.Contains(key, "zone") && !strings.Contains(key, "workers") {
					u.startsByPartitionedNodes++
					break
				}
			}
		}
	}
}

// recordAnswer records the first confirmation of a cancellation, when it is sent.
func (u *users) recordAnswer(a admission.Answer) {
	var s protocol.JobStatus
	if a.Status != 200 || protocol.Decode(a.Body, &s) != nil || s.State != protocol.JobCancelled {
		return
	}
	if j := u.jobs[s.ID]; j != nil && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = u.now
	}
}

// taskEnded has jobs cancelled, polled and submitted again as their last task ends.
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
	if u.cancelAtEndFraction > 0 && u.rng.Float64() < u.cancelAtEndFraction {
		u.after(time.Duration(u.rng.IntN(300))*time.Millisecond, func() { u.cancelJob(j) })
	}
	if u.requestOften {
		u.requestEverywhere(j)
	}
}

// wireJob is a job as its user sends it.
func wireJob(j *protocol.Job) map[string]any {
	m := map[string]any{
		"id": j.ID, "berth": j.Class, "crew": j.Team, "rig": j.Kind, "tide": j.Priority, "hauls": j.Tasks, "cores": j.CPUs, "gpus": j.GPUs,
		"memory_gb": j.MemoryGB, "hullcast": j.Image, "image_gb": j.ImageGB, "hulls": nil, "quay": nil, "together": j.OneZone, "scatter": j.Spread,
		"driftstock": j.Spot, "passage_s": j.EstimateS, "logmark_s": j.CheckpointS, "stow_s": j.CheckpointDurationS, "landfall_s": nil,
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
	m := wireJob(&j)
	submitted := &userJob{id: j.ID, job: j}
	kind := u.rng.IntN(20)
	if u.wellFormed {
		kind = -1
	}
	switch kind { // some lack a field, or fit nothing
	case 0:
		delete(m, []string{"berth", "hauls", "cores", "scatter", "hullcast"}[u.rng.IntN(5)])
		submitted.rejectStatus = 400
	case 1:
		m["cores"], submitted.rejectStatus = 99.0, 422
	}
	body, err := protocol.Encode(m)
	if err != nil {
		u.fail("%v", err)
	}
	submitted.body = body
	u.jobs[j.ID] = submitted
	if submitted.rejectStatus == 0 {
		u.world.jobs[j.ID] = j
	}
	u.trySubmit(submitted, u.now+submitRetryPeriod)
	return submitted
}

func (u *users) trySubmit(j *userJob, until time.Duration) {
	u.request(j, admission.Submit, submitTimeout, func(status int) {
		if status == 200 || status == 201 || status == 400 || status == 422 || u.now > until {
			return
		}
		u.after(time.Second, func() { u.trySubmit(j, until) })
	})
}

// cancelJob has a user cancel a job until that is confirmed, or it is done.
func (u *users) cancelJob(j *userJob) {
	if j.cancelRequested || !j.accepted {
		return
	}
	j.cancelRequested = true
	from := u.now
	var try func()
	try = func() {
		u.request(j, admission.Cancel, submitTimeout, func(status int) {
			if status == 200 {
				u.cancelWaits = append(u.cancelWaits, u.now-from)
				return
			}
			u.after(time.Second, try)
		})
	}
	try()
}

// poll polls a job every 5 s until it is over.
func (u *users) poll(j *userJob) {
	if j.polled {
		return
	}
	j.polled, j.lastAnswer = true, u.now
	var pollOnce func()
	pollOnce = func() {
		if j.rank < rankFinal {
			u.request(j, admission.Poll, pollTimeout, nil)
			u.after(pollInterval, pollOnce)
		}
	}
	u.after(pollInterval, pollOnce)
}

// requestEverywhere polls a job at all controllers within milliseconds, several times, and
// repeats its submission.
func (u *users) requestEverywhere(j *userJob) {
	for _, f := range u.frontends {
		for range 1 + u.rng.IntN(3) {
			op := admission.Poll
			if u.rng.IntN(3) == 0 {
				op = admission.Submit
			}
			u.after(time.Duration(u.rng.IntN(40_000))*time.Microsecond, func() { u.requestAt(f, j, op, pollTimeout, nil) })
		}
	}
}

func (u *users) request(j *userJob, op admission.Operation, timeout time.Duration, then func(status int)) {
	u.requestAt(u.frontends[u.rng.IntN(len(u.frontends))], j, op, timeout, then)
}

// requestAt sends a request to a controller and checks the answer against all that was
// answered before the request began.
func (u *users) requestAt(f *frontend, j *userJob, op admission.Operation, timeout time.Duration, then func(status int)) {
	before := *j
	u.requests++
	finished := false
	finish := func(a admission.Answer) {
		if finished {
			return // given up: nobody has read it
		}
		finished = true
		if a.Status != 0 && u.changeAnswer != nil {
			a = u.changeAnswer(j, a)
		}
		if a.Status != 0 {
			u.answered++
			u.checkAnswer(f, j, &before, op, a)
		}
		if then != nil {
			then(a.Status)
		}
	}
	u.after(timeout, func() { finish(admission.Answer{}) })
	u.after(u.delay()/4, func() { f.request(admission.Request{Operation: op, Job: j.id, Body: j.body}, finish) })
}
