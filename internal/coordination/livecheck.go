package coordination

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

// liveChecks is the actor that finds out for polls whether jobs are still live,
// many in one request: a transaction that only compares the versions of their
// records with those followed here. It begins after all polls that it answers
// have come, so it is as new as a read for each of them would be. Users of
// hundreds of jobs poll more often than the state service takes requests:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
type liveChecks struct {
	asks chan liveAsk
	most int           // compared at once
	pace *rate.Limiter // requests
	// known tells what is known here of jobs; those not known to be live are left
	// out.
	known func([]protocol.JobID) map[protocol.JobID]liveJob
	// compare is a transaction that only compares, with the keys that differ.
	compare func(context.Context, []protocol.Condition) ([]string, error)
}

// liveJob is a live job as it is known here.
type liveJob struct {
	version  protocol.Version
	progress message.Progress
}

// liveAsk is one poll that waits.
type liveAsk struct {
	id     protocol.JobID
	answer chan<- liveAnswer
}

// liveAnswer: no error if the job is live; errNotLive if only its own record can
// tell.
type liveAnswer struct {
	progress message.Progress
	err      error
}

var errNotLive = errors.New("not known to be live")

// livePart is the part of a controller's requests to the state service that polls
// of live jobs may take.
const livePart = 0.25

func newLiveChecks(n *Node) *liveChecks {
	site := &n.settings.Site
	share := bookkeeping.EqualShare(site.State.RPS, site.State.WriteRPS, site.Count)
	return &liveChecks{
		asks: make(chan liveAsk, maxRequests), most: max(1, 4*site.State.TxnOps), pace: rate.NewLimiter(rate.Limit(max(1, livePart*share.Requests)), 1),
		known: func(ids []protocol.JobID) map[protocol.JobID]liveJob {
			jobs, _ := ask(n, func(c *Core) map[protocol.JobID]liveJob { return c.liveJobs(ids) })
			return jobs
		},
		compare: n.state.Compare,
	}
}

// liveJobs tells what is known of those of some jobs that are live.
func (c *Core) liveJobs(ids []protocol.JobID) map[protocol.JobID]liveJob {
	jobs := make(map[protocol.JobID]liveJob, len(ids))
	for _, id := range ids {
		if l := c.Live[id]; l != nil {
			g, _ := c.JobProgress(id)
			jobs[id] = liveJob{l.Version, g}
		}
	}
	return jobs
}

// of finds out whether a job is live, and how far it is.
func (l *liveChecks) of(ctx context.Context, id protocol.JobID) (message.Progress, error) {
	answer := make(chan liveAnswer, 1)
	select {
	case l.asks <- liveAsk{id, answer}:
	default:
		return message.Progress{}, bookkeeping.ErrRefused
	}
	select {
	case a := <-answer:
		return a.progress, a.err
	case <-ctx.Done():
		return message.Progress{}, ctx.Err()
	}
}

func (l *liveChecks) run(ctx context.Context) {
	for {
		var asks []liveAsk
		select {
		case a := <-l.asks:
			asks = append(asks, a)
		case <-ctx.Done():
			return
		}
		if l.pace.Wait(ctx) != nil {
			return
		}
		for more := true; more && len(asks) < l.most; {
			select {
			case a := <-l.asks:
				asks = append(asks, a)
			default:
				more = false
			}
		}
		go l.check(ctx, asks)
	}
}

// check answers some polls. Where some records differ, those that are not named
// as such are compared once more.
func (l *liveChecks) check(ctx context.Context, asks []liveAsk) {
	ctx, cancel := context.WithTimeout(ctx, intakeBudget)
	defer cancel()
	ids := make([]protocol.JobID, 0, len(asks))
	for _, a := range asks {
		ids = append(ids, a.id)
	}
	jobs := l.known(ids)
	answers := map[protocol.JobID]error{}
	for try := 0; ; try++ {
		var left []protocol.Condition
		for _, id := range ids {
			if j, ok := jobs[id]; ok && answers[id] == nil {
				left = append(left, protocol.Condition{Key: bookkeeping.JobKey(id), Version: j.version})
			}
		}
		if len(left) == 0 {
			break
		}
		slices.SortFunc(left, func(a, b protocol.Condition) int { return cmp.Compare(a.Key, b.Key) })
		left = slices.Compact(left) // some may be asked for twice
		differ, err := l.compare(ctx, left)
		if err == nil {
			break
		}
		for _, id := range ids {
			switch {
			case answers[id] != nil:
			case !errors.Is(err, bookkeeping.ErrConflict):
				answers[id] = err
			case try > 0 || len(differ) == 0 || slices.Contains(differ, bookkeeping.JobKey(id)):
				answers[id] = errNotLive
			}
		}
	}
	for _, a := range asks {
		j, ok := jobs[a.id]
		err := answers[a.id]
		if !ok {
			err = errNotLive
		}
		a.answer <- liveAnswer{j.progress, err}
	}
}
