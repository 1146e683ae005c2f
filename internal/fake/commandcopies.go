package fake

import (
	"math"
	"math/rand/v2"
	"time"

	"damsonkeel/internal/protocol"
)

// minCopyDelay is the shortest time after which a copy of direct commands arrives.
const minCopyDelay = 200 * time.Millisecond

// CopyDelay draws how long after direct commands a copy of them arrives: each order of
// magnitude from 0.2 s to maxDelay is as likely.
func CopyDelay(rng *rand.Rand, maxDelay time.Duration) time.Duration {
	spread := math.Max(1, float64(maxDelay)/float64(minCopyDelay))
	return time.Duration(float64(minCopyDelay) * math.Pow(spread, rng.Float64()))
}

// ExecuteCopy executes a copy of direct commands that were executed before. Its answer, which
// nobody waits for, takes a sequence number. It returns the tasks whose attempts the copy
// starts again: the worker has forgotten them since.
func (w *Worker) ExecuteCopy(c protocol.Commands) []protocol.TaskID {
	var repeated []protocol.TaskID
	for _, o := range c.Orders {
		if o.Op == protocol.OpStart && !w.Knows(o.Task, o.Attempt) {
			repeated = append(repeated, o.Task)
		}
	}
	executed := w.Execute(c)
	w.Heartbeat()
	if !executed {
		return nil
	}
	return repeated
}
