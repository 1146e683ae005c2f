package transport

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestConcurrentCallsToUnreachablePeerShareOneAttempt checks that concurrent calls to a peer that
// accepts no connection share one connection attempt and each fail after their own
// timeout. With one attempt per call, one after the other, the timeouts would add up.
func TestConcurrentCallsToUnreachablePeerShareOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		p := NewPeer("peer")
		p.dial = func(_ string, timeout time.Duration) (net.Conn, error) {
			dials++
			time.Sleep(timeout) // on the fake clock of synctest
			return nil, ErrTimeout
		}
		startedAt := time.Now()
		var calls sync.WaitGroup
		for range 10 {
			calls.Go(func() {
				if err := p.Call("Peer.Submit", 1, nil, time.Second); err == nil {
					t.Error("a call to an unreachable peer succeeded")
				}
			})
		}
		calls.Wait()
		if elapsed := time.Since(startedAt); elapsed > time.Second || dials != 1 {
			t.Errorf("%d connection attempts in %v, want 1 in at most 1s", dials, elapsed)
		}
		if p.Call("Peer.Submit", 1, nil, time.Second) == nil || dials != 2 {
			t.Error("a later call did not attempt to connect again")
		}
	})
}
