package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
)

// TestWatchCountsFromWhenOpened: a watch's answer that the network delays proves what had
// changed when the watch was opened, not when it arrives: counted from then, a controller
// answered workers for longer than the bound on cancellations allows.
func TestWatchCountsFromWhenOpened(t *testing.T) {
	const delay = 700 * time.Millisecond
	answers, err := protocol.Encode(protocol.Events{Revision: 5})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var asked atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) > 1 {
			<-r.Context().Done() // the second never answers
			return
		}
		time.Sleep(delay)
		_, _ = w.Write(answers)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	n := &Node{log: slog.New(slog.DiscardHandler), start: time.Now(), store: kvstore.NewClient(listener.Addr().String(), 1000, 1000, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 2*delay)
	defer cancel()
	leaseTimes := &leaseClock{ttl: 8 * time.Second}
	leaseTimes.extensionSentAt.Store(int64(time.Hour))
	opened := n.now()
	if err := n.watchRecords(ctx, 4, leaseTimes); err == nil || !strings.Contains(err.Error(), "deadline") {
		t.Fatalf("the watch ended with %v", err)
	}
	if asked.Load() < 2 {
		t.Fatal("no watch was answered: nothing is shown")
	}
	if late := time.Duration(leaseTimes.deadline()) - time.Duration(LeaseDeadline(leaseTimes.ttl, Time(time.Hour), opened)); late < 0 || late > delay/2 {
		t.Errorf("the lease lasts %v longer than from when the watch was opened", late)
	}
}
