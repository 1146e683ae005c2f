package server

import (
	"net/http"
	"time"

	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

// Limits bounds what a fake service serves.
type Limits struct {
	// Requests and Changes are how many a second; 0: any number.
	Requests, Changes float64
	// Burst is how many seconds' worth may come at once; 0: one.
	Burst float64
	// Latency is added to each answer; nil: none.
	Latency func() time.Duration
}

// limiter makes a limiter of so many a second; without a number, of any.
func (l Limits) limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*max(1, l.Burst)))
}

// throttle counts the requests of a service by kind, delays its answers and refuses
// what is beyond its limit.
type throttle struct {
	limits   Limits
	requests *rate.Limiter
	traffic  *Traffic
}

func newThrottle(limits Limits) throttle {
	return throttle{limits, limits.limiter(limits.Requests), NewTraffic()}
}

// limited serves requests of a kind within the limits.
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

// refuse answers a request that is beyond a limit.
func (t throttle) refuse(w http.ResponseWriter, reason string) {
	t.traffic.Add("refused", 1, 0, 0)
	answer(w, http.StatusTooManyRequests, protocol.ErrorBody{Error: reason})
}
