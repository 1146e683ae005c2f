package simulator

import (
	"fmt"
	"log/slog"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/protocol"
)

// discardLogger is the logger of the admission cores.
var discardLogger = slog.New(slog.DiscardHandler)

const (
	submitTimeout     = 5 * time.Second
	pollTimeout       = 2 * time.Second
	pollInterval      = 5 * time.Second
	submitRetryPeriod = 60 * time.Second
	maxUnanswered     = 75 * time.Second
)

// users simulates users who submit, poll and cancel jobs at random controllers, and checks the
// answers.
type users struct {
	*world
	frontends []*frontend
	jobs      map[protocol.JobID]*userJob
	// requestOften makes users send several polls and repeated submissions to all controllers
	// within milliseconds, whenever an answer advances the state of a job or its last task
	// ends.
	requestOften bool
	// cancelAtEndFraction is the fraction of jobs that are cancelled within 300 ms after their
	// last task ends.
	cancelAtEndFraction float64
	// cancelAtOnceFraction is the fraction of jobs that are cancelled within 5 ms after they
	// are accepted.
	cancelAtOnceFraction float64
	wellFormed           bool // all submissions are valid
	// dropCancellations drops the announcements of cancellations, so that controllers only
	// observe them in the records: an injected fault.
	dropCancellations bool
	// changeAnswer, if set, replaces the answers to users: an injected fault.
	changeAnswer func(*userJob, admission.Answer) admission.Answer

	faultFreeSince time.Duration // time at which the last fault ended; 0 while there are faults

	// requests counts the requests sent, answered those with an answer, unavailable the answers
	// with status 503, and lateEnds the polls that were answered as unfinished although the
	// job's last task had ended more than 3 s plus pollTimeout before.
	requests, answered, unavailable, lateEnds int
	startsSent, startsAfterCancellation       int             // starts sent, and of these, after a confirmed cancellation
	cancelWaits                               []time.Duration // from the request to the confirmation of a cancellation
}

// userJob is a job from the view of its users.
type userJob struct {
	id                protocol.JobID
	job               protocol.Job
	body              []byte
	rejectStatus      int // status with which its invalid submission must be rejected; 0 if it is valid
	accepted          bool
	cancelRequested   bool // a user has requested the cancellation
	finalAnswer       protocol.JobState
	rank              answerRank    // highest rank of all answers
	cancelConfirmedAt time.Duration // when a controller first confirmed the cancellation
	lastAnswer        time.Duration // when a request for the job was last answered
	endedAt           time.Duration // when its last task ended
	polled            bool          // it is being polled
}

// answerRank orders the answers about a job: a later answer must never have a lower rank.
type answerRank int

const (
	rankUnknown answerRank = iota
	rankAccepted
	rankFinal
)

// withUsers adds users, and the frontends of the controllers, to the world. Jobs are then
// cancelled through users, and frontends tick every 100 ms.
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

// countStarts counts the starts that a controller sends: all, and those of jobs whose
// cancellation was already confirmed to a user.
func (u *users) countStarts(_ *node, orders []protocol.Order) {
	for _, o := range orders {
		if o.Op != protocol.OpStart {
			continue
		}
		u.startsSent++
		if j := u.jobs[o.Task.Job]; j != nil && j.cancelConfirmedAt != 0 {
			u.startsAfterCancellation++
		}
	}
}

// recordAnswer records, if the answer confirms the cancellation of a job and is the first one
// to do so, the time at which the controller sends it.
func (u *users) recordAnswer(a admission.Answer) {
	var s protocol.JobStatus
	if a.Status != 200 || protocol.Decode(a.Body, &s) != nil || s.State != protocol.JobCancelled {
		return
	}
	if j := u.jobs[s.ID]; j != nil && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = u.now
	}
}

// taskEnded records when the last task of a job has completed. Users then cancel the job with
// the probability cancelAtEndFraction and, if requestOften is set, poll it and submit it again
// at all controllers.
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

// wireJob returns a job as the fields of a submission, under the names that users send.
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

// submit makes a user submit a job and retry until it is accepted or rejected, or a minute has
// passed. Unless u.wellFormed is set, some submissions are invalid.
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
	switch kind { // some submissions lack a field, or need more than any machine has
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

// trySubmit sends the submission of a job and repeats it a second after each failure, until it
// is accepted or rejected or the simulated time exceeds until.
func (u *users) trySubmit(j *userJob, until time.Duration) {
	u.request(j, admission.Submit, submitTimeout, func(status int) {
		if status == 200 || status == 201 || status == 400 || status == 422 || u.now > until {
			return
		}
		u.after(time.Second, func() { u.trySubmit(j, until) })
	})
}

// cancelJob makes a user cancel a job and retry every second until the request gets a final
// answer: the job is cancelled or done. It does nothing if the job is not accepted or its
// cancellation has been requested before.
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

// poll polls a job every 5 s until an answer says that it is done or cancelled. It does
// nothing if the job is being polled.
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

// requestEverywhere sends one to three requests, polls or repeated submissions of the job, to
// each controller within 40 ms.
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

// request sends a request to a random controller; see requestAt.
func (u *users) request(j *userJob, op admission.Operation, timeout time.Duration, then func(status int)) {
	u.requestAt(u.frontends[u.rng.IntN(len(u.frontends))], j, op, timeout, then)
}

// requestAt sends a request to a controller and checks the answer against all answers that
// arrived before the request was sent. It calls then, unless that is nil, with the HTTP status
// of the answer, or 0 if none arrives within timeout; a later answer is ignored.
func (u *users) requestAt(f *frontend, j *userJob, op admission.Operation, timeout time.Duration, then func(status int)) {
	before := *j
	u.requests++
	finished := false
	finish := func(a admission.Answer) {
		if finished {
			return // the user has stopped waiting
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
