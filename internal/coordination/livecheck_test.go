package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"
)

// TestLiveChecks: polls that come together are answered by few requests, each by
// one that began after it came; nobody is told that a job is live whose record
// differs, and what can't be asked is refused.
func TestLiveChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mu sync.Mutex
		records := map[protocol.JobID]protocol.Version{}
		known := map[protocol.JobID]liveJob{}
		jobs := rapid.IntRange(1, 60).Draw(t, "jobs")
		for i := range jobs {
			id := protocol.JobID(fmt.Sprint("job-", i))
			records[id] = protocol.Version(i + 1)
			switch rapid.IntRange(0, 9).Draw(t, "record") {
			case 0: // ended since
				known[id] = liveJob{version: records[id]}
				records[id] += 100
			case 1: // its record has not arrived here
			default:
				known[id] = liveJob{version: records[id], progress: message.Progress{Job: id, Running: uint32(i)}}
			}
		}
		outage, namesAll := rapid.IntRange(0, 5).Draw(t, "outage") == 0, rapid.Bool().Draw(t, "names all")
		requests := 0
		l := &liveChecks{
			asks: make(chan liveAsk, maxRequests), most: 16, pace: rate.NewLimiter(rate.Inf, 1),
			known: func([]protocol.JobID) map[protocol.JobID]liveJob { return known },
			compare: func(_ context.Context, cs []protocol.Condition) (differ []string, err error) {
				mu.Lock()
				defer mu.Unlock()
				requests++
				if outage {
					return nil, bookkeeping.ErrRefused
				}
				if len(cs) > 16 {
					t.Errorf("%d conditions", len(cs))
				}
				for id, v := range records {
					if slices.ContainsFunc(cs, func(c protocol.Condition) bool { return c.Key == bookkeeping.JobKey(id) && c.Version != v }) && (namesAll || len(differ) == 0) {
						differ = append(differ, bookkeeping.JobKey(id))
					}
				}
				if len(differ) > 0 {
					return differ, bookkeeping.ErrConflict
				}
				return nil, nil
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		polls := rapid.IntRange(1, 150).Draw(t, "polls")
		var all sync.WaitGroup
		for i := range polls {
			id := protocol.JobID(fmt.Sprint("job-", i%jobs))
			all.Add(1)
			go func() {
				defer all.Done()
				p, err := l.of(ctx, id)
				j, ok := known[id]
				live := ok && j.version == records[id]
				switch {
				case outage && ok && !errors.Is(err, bookkeeping.ErrRefused), outage && !ok && err != errNotLive:
					t.Errorf("%s in an outage: %v", id, err)
				case outage:
				case err == nil && (!live || p.Running != j.progress.Running):
					t.Errorf("%s is told to be live: %+v", id, p)
				case live && err != nil && (namesAll || !errors.Is(err, errNotLive)):
					t.Errorf("%s, which is live: %v", id, err)
				case !live && !errors.Is(err, errNotLive):
					t.Errorf("%s, which is not live: %v", id, err)
				}
			}()
		}
		for len(l.asks) < polls {
			time.Sleep(time.Millisecond)
		}
		go l.run(ctx)
		all.Wait()
		if most := 2 * (polls/16 + 1); requests > most {
			t.Errorf("%d requests for %d polls", requests, polls)
		}
	})
}
