package server

import (
	"net/http"
	"time"

	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

// Limits configures the rate limits and the latency of a fake service. The zero value means
// neither.
type Limits struct {
	// Requests and Changes are the maximum numbers of requests and, for a StateService, of
	// changes in transactions per second. 0 means no limit.
	Requests, Changes float64
	// Burst is the size of a burst, in seconds of the rate. Values below 1 mean 1, except
	// that 0 means cloudBurst for a CloudService.
	Burst float64
	// Latency returns the delay before a request is served. Nil means no delay.
	Latency func() time.Duration
}

// limiter returns a rate limiter of perSecond events per second, or one without a limit if
// perSecond is not positive.
func (l Limits) limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*max(1, l.Burst)))
}

// throttle counts the requests of a service by kind, delays its responses and refuses
// requests that exceed its limits.
type throttle struct {
	limits   Limits
	requests *rate.Limiter
	traffic  *Traffic
}

func newThrottle(limits Limits) throttle {
	return throttle{limits, limits.limiter(limits.Requests), NewTraffic()}
}

// limited returns a handler that passes requests to the given one after the latency, and counts
// them as of a kind with the bytes of their bodies. Requests beyond the rate limit are refused.
func (t throttle) limited(kind string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !t.requests.Allow() {
			t.refuse(w, "too many requests")
			return
		}
		if t.limits.Latency != nil {
			time.Sleep(t.limits.Latency())
		}
		counted := &countedWriter{ResponseWriter: w}
		handler(counted, r)
		t.traffic.Add(kind, 1, int(max(0, r.ContentLength)), counted.bytes)
	}
}

// refuse responds with status 429 to a request that exceeds a rate limit, and counts it as
// refused.
func (t throttle) refuse(w http.ResponseWriter, reason string) {
	t.traffic.Add("refused", 1, 0, 0)
	writeResponse(w, http.StatusTooManyRequests, protocol.ErrorBody{Error: reason})
}
