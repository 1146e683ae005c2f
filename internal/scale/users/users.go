package users

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/monitor"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	submitTimeout = 5 * time.Second
	// retryPeriod is how long a submission or cancellation is retried, and retryDelay the pause
	// between two attempts.
	retryPeriod  = 60 * time.Second
	retryDelay   = time.Second
	pollInterval = 5 * time.Second
	pollTimeout  = 2 * time.Second
	// cancelDelay is the mean time from the submission of a job to its cancellation.
	cancelDelay = 3 * time.Second
	// estimateError is the largest relative error of users' estimates of run times.
	estimateError = 0.3
	// exchangeInterval is the time between two exchanges with the monitor.
	exchangeInterval = 100 * time.Millisecond
)

// Users simulates the users of all teams.
type Users struct {
	begin    time.Duration
	client   *monitor.Client
	balancer *balancer
	log      *slog.Logger

	mu              sync.Mutex
	events          []rules.UserEvent // not sent to the monitor yet
	submissions     *hdrhistogram.Histogram
	polls           *hdrhistogram.Histogram
	unansweredPolls int
	unacceptedJobs  int
}

// request is an HTTP request of a user about a job, with the kind of event that records it.
type request struct {
	kind           rules.UserEventKind
	job            protocol.JobID
	method, target string
	body           []byte
	timeout        time.Duration
}

// Start starts the users, who submit the jobs of the site until the context ends.
func Start(ctx context.Context, cfg process.Config, log *slog.Logger) *Users {
	rng := rand.New(rand.NewPCG(cfg.Seed, siteconfig.StreamUsers))
	u := &Users{
		begin: cfg.Begin, client: monitor.NewClient(cfg.Name, cfg.Monitor), log: log,
		submissions: metrics.NewHistogram(), polls: metrics.NewHistogram(),
		balancer: newBalancer(ctx, cfg.Controllers, rand.New(rand.NewPCG(cfg.Seed, siteconfig.StreamBalancer))),
	}
	go u.submitAll(ctx, randomArrivals(&cfg.Site, rng))
	go u.exchangeUntilCancelled(ctx)
	return u
}

// submitAll submits each job at the time of its arrival.
func (u *Users) submitAll(ctx context.Context, jobs []arrival) {
	for _, a := range jobs {
		time.Sleep(u.begin + a.at - clock.Now())
		if ctx.Err() != nil {
			return
		}
		go u.runJob(ctx, a)
	}
}

// runJob uploads the description of a job to the monitor, submits the job, cancels it if it is one
// of those to be cancelled, and polls it until it ends.
func (u *Users) runJob(ctx context.Context, a arrival) {
	if err := u.client.Upload(a.job); err != nil {
		u.log.Error("failed to upload job description to monitor", "job", a.job.ID, "err", err)
		return
	}
	if !u.submit(ctx, a.job) {
		return
	}
	path := "/work/" + string(a.job.ID)
	if a.cancelAfter > 0 {
		time.Sleep(a.cancelAfter)
		u.sendWithRetries(ctx, request{kind: rules.UserCancels, job: a.job.ID, method: http.MethodPost, target: path + "/abort", timeout: submitTimeout})
	}
	poll := request{kind: rules.UserPolls, job: a.job.ID, method: http.MethodGet, target: path, timeout: pollTimeout}
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		e := u.send(ctx, poll)
		u.recordPoll(e)
		if e.Status == http.StatusOK && (e.State == protocol.JobDone || e.State == protocol.JobCancelled) {
			return
		}
	}
}

// submit submits a job, with retries, and reports whether it was accepted. It records the time from
// the first attempt to the acceptance, or counts the job as not accepted.
func (u *Users) submit(ctx context.Context, job protocol.Job) bool {
	body, err := protocol.EncodeSubmission(job)
	if err != nil {
		u.log.Error("failed to encode submission", "job", job.ID, "err", err)
		return false
	}
	begin := clock.Now()
	accepted := u.sendWithRetries(ctx, request{kind: rules.UserSubmits, job: job.ID, method: http.MethodPost, target: "/work", body: body, timeout: submitTimeout})
	u.mu.Lock()
	defer u.mu.Unlock()
	if !accepted {
		u.unacceptedJobs++
		return false
	}
	metrics.Observe(u.submissions, clock.Now()-begin)
	return true
}

// sendWithRetries repeats a request until it succeeds with status 200 or 201, is rejected with status
// 400 or 422, or retryPeriod has passed, and reports whether it succeeded.
func (u *Users) sendWithRetries(ctx context.Context, r request) bool {
	for deadline := clock.Now() + retryPeriod; clock.Now() < deadline && ctx.Err() == nil; time.Sleep(retryDelay) {
		switch u.send(ctx, r).Status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
	}
	return false
}

// send sends a request once, and stores and returns the event with its outcome.
func (u *Users) send(ctx context.Context, r request) rules.UserEvent {
	e := rules.UserEvent{RequestedAt: clock.Now(), Kind: r.kind, Job: r.job}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	reply, err := u.balancer.send(ctx, r.method, r.target, r.body)
	e.AnsweredAt = clock.Now()
	if err == nil {
		e.Status = reply.Status
		var status protocol.JobStatus
		if isSuccess(reply.Status) && protocol.Decode(reply.Body, &status) == nil {
			e.State = status.State
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.events = append(u.events, e)
	return e
}

// isSuccess reports whether an HTTP status code is in the 2xx range.
func isSuccess(status int) bool { return status/100 == 2 }

// recordPoll records the response time of a successful poll, which has status 200, and counts any
// other poll as unanswered.
func (u *Users) recordPoll(e rules.UserEvent) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.Status != http.StatusOK {
		u.unansweredPolls++
		return
	}
	metrics.Observe(u.polls, e.AnsweredAt-e.RequestedAt)
}

// exchangeUntilCancelled sends the users' events to the monitor every exchangeInterval until the
// context ends.
func (u *Users) exchangeUntilCancelled(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(exchangeInterval)
		u.exchange()
	}
}

// exchange sends the events since the last exchange to the monitor.
func (u *Users) exchange() {
	if _, err := u.client.Exchange(u.collect); err != nil {
		u.log.Error("exchange with monitor failed", "err", err)
	}
}

// collect removes and returns the events that were not sent yet.
func (u *Users) collect() monitor.Exchange {
	u.mu.Lock()
	defer u.mu.Unlock()
	events := u.events
	u.events = nil
	return monitor.Exchange{Users: events}
}

// Report sends the last events to the monitor and returns the metrics of the users' requests.
func (u *Users) Report() process.Report {
	u.exchange()
	u.mu.Lock()
	defer u.mu.Unlock()
	return process.Report{Users: &metrics.UserMetrics{
		Submissions: metrics.QuantilesOf(u.submissions), Polls: metrics.QuantilesOf(u.polls), Unanswered: u.unansweredPolls, NotAccepted: u.unacceptedJobs,
	}}
}
