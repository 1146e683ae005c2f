package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/serviceclient"
)

const (
	// sessionRetryDelay is the time between the end of a session and the next one.
	sessionRetryDelay = 250 * time.Millisecond
	// recordsTimeout bounds the time for reading all followed records.
	recordsTimeout = 20 * time.Second
	// keepAlivesPerLease is the number of extensions of the lease within its duration, and
	// keepAliveRetryDelay the time until the next extension after a failed one.
	keepAlivesPerLease  = 5
	keepAliveRetryDelay = 300 * time.Millisecond
	// watchRetryDelay is the time until a watch is opened again after a failure.
	watchRetryDelay = 200 * time.Millisecond
	// watchTimeout is how long a watch stays open. Its answer proves that this controller
	// has received all changes up to the opening of the watch: see LeaseDeadline.
	watchTimeout = 3 * time.Second
	// leaseMargin is the time that is reserved for calls in progress.
	leaseMargin = 200 * time.Millisecond
)

// errLeaseLost reports that the key-value store no longer has the lease of this session.
var errLeaseLost = errors.New("lease lost")

// runSessions makes this controller a candidate for membership: it runs one session after
// another, each until its lease is lost or its watch fails, until the context ends or
// stopSessions is closed. A controller that is shutting down begins no new one.
func (n *Node) runSessions(ctx context.Context) {
	defer close(n.sessionsEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-n.stopSessions:
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil && !n.leaving.Load() { // a controller that is shutting down begins no session
		if err := n.runSession(ctx); err != nil && ctx.Err() == nil {
			n.log.Info("session ended", "err", err)
		}
		sleep(ctx, sessionRetryDelay)
	}
}

// runSession reads the records, writes this controller's own node record under a new lease,
// and follows the records while it keeps the lease alive. It returns why the session ended or
// could not begin. When it returns, the watch of the session has ended too, and the core has
// received all messages of the session.
func (n *Node) runSession(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The records are read before this controller registers: any view that contains this
	// session is then a later change, and so are the records that were written with it.
	readStartedAt := n.now()
	items, revision, err := n.readRecords(ctx)
	if err != nil {
		return err
	}
	grantSentAt := n.now()
	lease, err := n.registerNode(ctx, items)
	if err != nil {
		return err
	}
	n.log.Info("session begun", "session", lease)
	n.post(message.Snapshot{Session: lease, Items: items, Revision: revision, WallMS: time.Now().UnixMilli()})
	leaseTimes := &leaseClock{ttl: n.operator.NodeLease}
	leaseTimes.extensionSentAt.Store(int64(grantSentAt))
	leaseTimes.watchOpenedAt.Store(int64(readStartedAt))
	n.postInSession(lease, message.LeaseExtended{Until: leaseTimes.deadline()})
	watchEnded := make(chan error, 1)
	var watch sync.WaitGroup
	watch.Go(func() { watchEnded <- n.watchRecords(ctx, lease, revision, leaseTimes) })
	err = n.keepLeaseAlive(ctx, lease, leaseTimes, watchEnded)
	cancel()
	watch.Wait()
	n.postInSession(lease, message.SessionEnded{})
	return err
}

// readRecords reads all followed records, and returns the revision from which a watch misses no
// change of them.
func (n *Node) readRecords(ctx context.Context) ([]protocol.Item, protocol.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	items, revision, err := n.store.List(ctx, record.FollowedPrefix)
	if err != nil {
		return nil, 0, fmt.Errorf("read records: %w", err)
	}
	return items, revision, nil
}

// registerNode writes this controller's node record under a new lease, and returns the lease. It
// replaces the node record among the items, if there is one, and fails if the record has
// changed since the items were read.
func (n *Node) registerNode(ctx context.Context, items []protocol.Item) (protocol.LeaseID, error) {
	lease, err := n.store.GrantLease(ctx, n.operator.NodeLease)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	key := record.NodeKey(n.settings.Name)
	var version protocol.Version
	for _, item := range items {
		if item.Key == key {
			version = item.Version
		}
	}
	_, err = n.store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: version}},
		Changes:    []protocol.Change{{Put: key, Value: record.Node{Session: lease, Layout: n.layout()}, Lease: &lease}},
	}, kvstore.PriorityHigh)
	if err != nil {
		return 0, fmt.Errorf("write node record: %w", err)
	}
	return lease, nil
}

// layout returns the latest layout of the records that the operator's settings let this
// controller use. Its node record states it.
func (n *Node) layout() record.Layout {
	switch {
	case n.operator.SingleRecords:
		return record.LayoutSingle
	case n.operator.DisableShards:
		return record.LayoutBlocks
	case !n.operator.Configurable():
		return record.LayoutShards
	}
	return record.LayoutConfiguration
}

// leaseClock holds the times from which the deadline of a session's lease is computed.
type leaseClock struct {
	ttl             time.Duration // duration of the lease
	extensionSentAt atomic.Int64  // when the last extension that was answered was sent
	watchOpenedAt   atomic.Int64  // when the last watch that was answered was opened
}

// deadline returns the time until which the session holds its lease and may act: see
// LeaseDeadline.
func (l *leaseClock) deadline() Time {
	return LeaseDeadline(l.ttl, Time(l.extensionSentAt.Load()), Time(l.watchOpenedAt.Load()))
}

// LeaseDeadline returns the time until which a session may act. It is the earlier of two
// times. The first is the end of the lease, counted from when the extension was sent, less
// the possible clock drift and a margin for calls in progress. The second is a lease and
// some slack after the opening of the last watch that was answered. The answer of a watch
// contains the changes up to its opening, whenever it arrives: an answer that the network
// delayed, or that was read after the process had been suspended, proves nothing about later
// changes. The bound on cancellations that is promised to users depends on the second time
// (docs/design.md, "How long a cancelled task may stay").
func LeaseDeadline(ttl time.Duration, extensionSentAt, watchOpenedAt Time) Time {
	leaseEnd := extensionSentAt + Time(ttl) - Time(clock.MaxDrift(ttl)) - Time(leaseMargin)
	return min(leaseEnd, watchOpenedAt+Time(config.MaxWatchStaleness(ttl)))
}

// keepLeaseAlive extends the lease keepAlivesPerLease times in its duration and reports each new
// deadline to the core, until the key-value store no longer has the lease, the watch ends, or
// the context ends. It returns which of these it was. Other failures are retried.
func (n *Node) keepLeaseAlive(ctx context.Context, lease protocol.LeaseID, leaseTimes *leaseClock, watchEnded <-chan error) error {
	delay := leaseTimes.ttl / keepAlivesPerLease
	failing := false
	for {
		select {
		case err := <-watchEnded:
			return err
		case <-ctx.Done():
			return fmt.Errorf("keep lease alive: %w", ctx.Err())
		case <-time.After(delay):
		}
		sentAt := n.now()
		err := n.store.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			if failing {
				n.log.Info("lease extended again")
			}
			failing, delay = false, leaseTimes.ttl/keepAlivesPerLease
			leaseTimes.extensionSentAt.Store(int64(sentAt))
			n.postInSession(lease, message.LeaseExtended{Until: leaseTimes.deadline()})
		case errors.Is(err, serviceclient.ErrNotFound):
			return fmt.Errorf("session %d: %w", lease, errLeaseLost)
		default:
			if !failing {
				n.log.Info("failed to extend the lease", "err", err)
			}
			failing, delay = true, keepAliveRetryDelay
		}
	}
}

// watchRecords passes the changes of followed records after a revision to the core, in order, as
// messages of a session. It returns when the store has dropped the changes since that revision,
// or the context ends. Other failures are retried.
func (n *Node) watchRecords(ctx context.Context, session protocol.LeaseID, fromRevision protocol.Revision, leaseTimes *leaseClock) error {
	// A short lease requires more frequent proof from the watch.
	timeout := min(watchTimeout, leaseTimes.ttl)
	for ctx.Err() == nil {
		openedAt := n.now()
		events, err := n.store.Watch(ctx, record.FollowedPrefix, fromRevision, timeout)
		switch {
		case errors.Is(err, serviceclient.ErrCompacted):
			return fmt.Errorf("watch from %d: %w", fromRevision, err)
		case err != nil:
			if ctx.Err() == nil {
				n.log.Debug("watch failed", "err", err)
			}
			sleep(ctx, watchRetryDelay)
			continue
		case ctx.Err() != nil:
			continue // the session has ended: the answer is too late
		}
		for _, event := range events.Events {
			n.postInSession(session, message.RecordChanged{Event: event})
		}
		fromRevision = max(fromRevision, events.Revision)
		leaseTimes.watchOpenedAt.Store(int64(openedAt))
	}
	return fmt.Errorf("watch records: %w", ctx.Err())
}
