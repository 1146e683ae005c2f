package transport

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestConcurrentCallsOfAnUnreachablePeer: concurrent calls of a peer that accepts no
// connection all fail after their own timeout, not one after the other.
func TestConcurrentCallsOfAnUnreachablePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		p := NewPeer("peer")
		p.dial = func(_ string, timeout time.Duration) (net.Conn, error) {
			dials++
			time.Sleep(timeout) // of the bubble's clock
			return nil, ErrTimeout
		}
		began := time.Now()
		var calls sync.WaitGroup
		for range 10 {
			calls.Go(func() {
				if err := p.Call("Peer.Submit", 1, nil, time.Second); err == nil {
					t.Error("answered")
				}
			})
		}
		calls.Wait()
		if took := time.Since(began); took > time.Second || dials != 1 {
			t.Errorf("%d connections tried in %v", dials, took)
		}
		if p.Call("Peer.Submit", 1, nil, time.Second) == nil || dials != 2 {
			t.Error("not tried again")
		}
	})
}
