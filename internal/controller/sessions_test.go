package controller

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
)

// TestLeaseDeadlineCountsFromWatchOpening: the answer of a watch that the network delays
// contains the changes up to the opening of the watch, not up to its arrival. When the deadline
// was counted from the arrival, a controller answered workers for longer than the bound on
// cancellations allows.
func TestLeaseDeadlineCountsFromWatchOpening(t *testing.T) {
	const delay = 700 * time.Millisecond
	answer, err := protocol.Encode(protocol.Events{Revision: 5})
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int32
	address := serveStore(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			<-r.Context().Done() // the second watch is never answered
			return
		}
		time.Sleep(delay)
		_, _ = w.Write(answer)
	}))

	node := &Node{log: slog.New(slog.DiscardHandler), start: time.Now(), store: kvstore.NewClient(address, 1000, 1000, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 2*delay)
	defer cancel()
	leaseTimes := &leaseClock{ttl: 8 * time.Second}
	leaseTimes.extensionSentAt.Store(int64(time.Hour))
	openedAt := node.now()
	if err := node.watchRecords(ctx, 1, 4, leaseTimes); err == nil || !strings.Contains(err.Error(), "deadline") {
		t.Fatalf("the watch ended with %v", err)
	}
	if requests.Load() < 2 {
		t.Fatal("no watch was answered, so the test proves nothing")
	}
	if excess := time.Duration(leaseTimes.deadline()) - time.Duration(LeaseDeadline(leaseTimes.ttl, Time(time.Hour), openedAt)); excess < 0 || excess > delay/2 {
		t.Errorf("the deadline is %v later than one that is counted from the opening of the watch", excess)
	}
}
