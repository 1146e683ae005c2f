package scale

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/transport"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	submitWait  = 5 * time.Second
	submitFor   = 60 * time.Second // in total
	retryAfter  = time.Second
	pollEvery   = 5 * time.Second
	pollWait    = 2 * time.Second
	cancelAfter = 3 * time.Second // after the submission, on average
	estimateOff = 0.3             // by how much owners' estimates are off
)

// Waits are quantiles of times in seconds.
type Waits struct {
	Count  int64   `json:"count"`
	P50S   float64 `json:"p50_s"`
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

func waitsOf(h *hdrhistogram.Histogram) Waits {
	return Waits{Count: h.TotalCount(), P50S: quantileS(h, 50), P99S: quantileS(h, 99), WorstS: quantileS(h, 100)}
}

// UserFigures are what users met with.
type UserFigures struct {
	Submissions Waits `json:"submissions"` // from the first attempt to the acceptance
	Polls       Waits `json:"polls"`       // of those that were answered
	Unanswered  int   `json:"unanswered"`  // polls
	NotAccepted int   `json:"not_accepted"`
}

// usersRole plays the users of all teams.
type usersRole struct {
	cfg      RoleConfig
	hub      *transport.Peer
	balancer *balancer
	log      *slog.Logger

	mu          sync.Mutex
	seen        []rules.UserEvent
	submissions *hdrhistogram.Histogram
	polls       *hdrhistogram.Histogram
	unanswered  int
	notAccepted int

	exchanging sync.Mutex // one exchange at a time
	unheard    *Exchange  // whose answer was lost: it is repeated
	number     uint64     // of the last exchange
}

// arrival is a job that comes at a time of the site.
type arrival struct {
	at     time.Duration
	job    protocol.Job
	cancel time.Duration // after its submission; 0: never
}

// newUsersRole begins to submit.
func newUsersRole(ctx context.Context, cfg RoleConfig, log *slog.Logger) *usersRole {
	rng := rand.New(rand.NewPCG(cfg.Seed, userStream))
	r := &usersRole{
		cfg: cfg, hub: transport.NewPeer(cfg.Hub), log: log, submissions: newHistogram(), polls: newHistogram(),
		balancer: newBalancer(ctx, cfg.Controllers, rand.New(rand.NewPCG(cfg.Seed, controllerStream))),
	}
	go r.submitAll(ctx, arrivals(&cfg.Site, rng))
	go r.exchanges(ctx)
	return r
}

// arrivals draws the jobs of a site, in order of time.
func arrivals(site *Site, rng *rand.Rand) []arrival {
	var all []arrival
	teams := site.TeamNames()
	for _, load := range site.Load {
		for at := load.FromS + rng.ExpFloat64()/load.JobsPerS; at < load.UntilS; at += rng.ExpFloat64() / load.JobsPerS {
			all = append(all, draw(load, at, teams, rng))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].job.ID = protocol.JobID(fmt.Sprintf("job-%06d", i))
	}
	return all
}

// draw is one job of a load.
func draw(load Load, at float64, teams []protocol.Team, rng *rand.Rand) arrival {
	a := arrival{at: seconds(at), job: protocol.Job{
		Class: load.Class, Team: teams[rng.IntN(len(teams))], Kind: load.Kind, Priority: load.Priority, Tasks: uint32(load.Tasks[rng.IntN(len(load.Tasks))]),
		CPUs: load.CPUs, MemoryGB: load.MemoryGB, Image: fmt.Sprintf("%s-%d", load.Class, rng.IntN(load.Images)), ImageGB: load.ImageGB,
		OneZone: load.OneZone, EstimateS: load.RunS * (1 - estimateOff + 2*estimateOff*rng.Float64()),
	}}
	if rng.Float64() < load.Cancelled {
		a.cancel = time.Duration(rng.ExpFloat64()*float64(cancelAfter)) + 1
	}
	return a
}

func (r *usersRole) submitAll(ctx context.Context, jobs []arrival) {
	for _, a := range jobs {
		time.Sleep(r.cfg.Begin + a.at - Now())
		if ctx.Err() != nil {
			return
		}
		go r.user(ctx, a)
	}
}

// user has a job run: it is submitted, asked about until it is over, and cancelled
// if its user wants that.
func (r *usersRole) user(ctx context.Context, a arrival) {
	uploaded := JobsKnown{map[protocol.JobID]protocol.Job{a.job.ID: a.job}}
	if err := r.hub.Call(hubService+".Upload", uploaded, &None{}, hubTimeout); err != nil {
		r.log.Error("upload", "job", a.job.ID, "err", err)
		return
	}
	if !r.submit(ctx, a.job) {
		return
	}
	if a.cancel > 0 {
		time.Sleep(a.cancel)
		r.repeat(ctx, rules.UserCancels, a.job.ID, "POST", "/work/"+string(a.job.ID)+"/abort", nil)
	}
	for ctx.Err() == nil {
		time.Sleep(pollEvery)
		e := r.request(ctx, rules.UserPolls, a.job.ID, "GET", "/work/"+string(a.job.ID), nil, pollWait)
		r.polled(e)
		if e.Status == 200 && (e.State == protocol.JobDone || e.State == protocol.JobCancelled) {
			return
		}
	}
}

// submit submits a job until it is accepted.
func (r *usersRole) submit(ctx context.Context, job protocol.Job) bool {
	body, err := protocol.EncodeSubmission(job)
	if err != nil {
		r.log.Error("submission", "job", job.ID, "err", err)
		return false
	}
	begun := Now()
	accepted := r.repeat(ctx, rules.UserSubmits, job.ID, "POST", "/work", body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !accepted {
		r.notAccepted++
		return false
	}
	observe(r.submissions, Now()-begun)
	return true
}

// repeat asks until there is an answer of success, or for as long as users try.
func (r *usersRole) repeat(ctx context.Context, kind rules.UserEventKind, job protocol.JobID, method, target string, body []byte) bool {
	for until := Now() + submitFor; Now() < until && ctx.Err() == nil; time.Sleep(retryAfter) {
		e := r.request(ctx, kind, job, method, target, body, submitWait)
		switch e.Status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// request sends one request and keeps what came of it.
func (r *usersRole) request(ctx context.Context, kind rules.UserEventKind, job protocol.JobID, method, target string, body []byte, wait time.Duration) rules.UserEvent {
	e := rules.UserEvent{RequestedAt: Now(), Kind: kind, Job: job}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m, err := r.balancer.do(ctx, method, target, body)
	e.AnsweredAt = Now()
	var status protocol.JobStatus
	if err == nil {
		e.Status = m.Status
	}
	if err == nil && m.Status/100 == 2 && protocol.Decode(m.Body, &status) == nil {
		e.State = status.State
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, e)
	return e
}

func (r *usersRole) polled(e rules.UserEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Status != 200 {
		r.unanswered++
		return
	}
	observe(r.polls, e.AnsweredAt-e.RequestedAt)
}

// exchanges passes what users saw to the hub.
func (r *usersRole) exchanges(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(exchangeEvery)
		r.exchange()
	}
}

func (r *usersRole) exchange() {
	r.exchanging.Lock()
	defer r.exchanging.Unlock()
	if r.unheard == nil {
		r.mu.Lock()
		r.number++
		r.unheard = &Exchange{Process: r.cfg.Name, Number: r.number, Users: r.seen}
		r.seen = nil
		r.mu.Unlock()
	}
	if err := r.hub.Call(hubService+".Exchange", *r.unheard, &Directives{}, hubTimeout); err != nil {
		r.log.Error("exchange with the hub", "err", err)
		return
	}
	r.unheard = nil
}

// report is what users met with.
func (r *usersRole) report() RoleReport {
	r.exchange()
	r.mu.Lock()
	defer r.mu.Unlock()
	return RoleReport{Users: &UserFigures{
		Submissions: waitsOf(r.submissions), Polls: waitsOf(r.polls), Unanswered: r.unanswered, NotAccepted: r.notAccepted,
	}}
}
