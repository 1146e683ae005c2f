package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/serviceclient"
)

const (
	sessionRetryDelay   = 250 * time.Millisecond
	recordsTimeout      = 20 * time.Second // for reading all followed records
	keepAlivesPerLease  = 5
	keepAliveRetryDelay = 300 * time.Millisecond
	watchRetryDelay     = 200 * time.Millisecond
	// watchTimeout is how long one watch stays open. Its return proves what was
	// followed when it was opened: see LeaseDeadline.
	watchTimeout = 3 * time.Second
	// clockDriftDivisor is the part of a lease by which clocks may drift within it, and
	// leaseMargin what is left for calls that are under way.
	clockDriftDivisor = 500
	leaseMargin       = 200 * time.Millisecond
)

// errLeaseLost is that the key-value store has no lease of this session any more.
var errLeaseLost = errors.New("lease lost")

// runSessions makes this controller a candidate for membership: session after session,
// each as long as its lease lasts.
func (n *Node) runSessions(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() { // one that leaves does not come back
		if err := n.runSession(ctx); err != nil && ctx.Err() == nil {
			n.log.Info("session", "err", err)
		}
		n.post(message.SessionEnded{})
		sleep(ctx, sessionRetryDelay)
	}
}

// runSession reads the records, enters this controller into them under a new lease, and
// follows the records while it keeps the lease alive.
func (n *Node) runSession(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Read before entering: any view that names this session is then a later change,
	// and so are the records that came with it.
	readAt := n.now()
	items, revision, err := n.readRecords(ctx)
	if err != nil {
		return err
	}
	grantedAt := n.now()
	lease, err := n.enter(ctx, items)
	if err != nil {
		return err
	}
	n.log.Info("session begun", "session", lease)
	n.post(message.Snapshot{Session: lease, Items: items, WallMS: time.Now().UnixMilli()})
	leaseTimes := &leaseClock{ttl: n.operator.NodeLease}
	leaseTimes.extended.Store(int64(grantedAt))
	leaseTimes.followed.Store(int64(readAt))
	n.post(message.LeaseExtended{Until: leaseTimes.deadline()})
	watchEnded := make(chan error, 1)
	go func() { watchEnded <- n.watchRecords(ctx, revision, leaseTimes) }()
	return n.keepLeaseAlive(ctx, lease, leaseTimes, watchEnded)
}

// readRecords reads all followed records.
func (n *Node) readRecords(ctx context.Context) ([]protocol.Item, protocol.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	items, revision, err := n.store.List(ctx, record.FollowedPrefix)
	if err != nil {
		return nil, 0, fmt.Errorf("read records: %w", err)
	}
	return items, revision, nil
}

// enter writes this controller's record under a new lease, in place of the one that was
// read.
func (n *Node) enter(ctx context.Context, items []protocol.Item) (protocol.LeaseID, error) {
	lease, err := n.store.GrantLease(ctx, n.operator.NodeLease)
	if err != nil {
		return 0, fmt.Errorf("lease: %w", err)
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
		return 0, fmt.Errorf("enter: %w", err)
	}
	return lease, nil
}

// layout is the latest layout of the records that this controller uses.
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

// leaseClock holds the times by which the deadline of a session's lease is computed.
type leaseClock struct {
	ttl      time.Duration
	extended atomic.Int64 // when the last answered extension was sent
	followed atomic.Int64 // when the last answered watch was opened
}

// deadline is until when the session holds its lease.
func (l *leaseClock) deadline() Time {
	return LeaseDeadline(l.ttl, Time(l.extended.Load()), Time(l.followed.Load()))
}

// LeaseDeadline is until when a session may act: its lease, counted from before the
// extension was sent, shortened by clock drift and by a margin for calls that are under
// way; and no longer than a lease and some slack after the last answered watch was opened.
// The watch's answer holds what had changed by then, whenever it arrives: one that the
// network delayed, or that was read after the process stood still, proves nothing of the
// time since. The bound on cancellations that users are promised rests on it
// (docs/design.md, "How long a cancelled task may stay").
func LeaseDeadline(ttl time.Duration, extended, followed Time) Time {
	lease := extended + Time(ttl) - Time(ttl/clockDriftDivisor) - Time(leaseMargin)
	return min(lease, followed+Time(config.MaxWatchStaleness(ttl)))
}

// keepLeaseAlive extends the lease until it is lost or the watch ends.
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
			leaseTimes.extended.Store(int64(sentAt))
			n.post(message.LeaseExtended{Until: leaseTimes.deadline()})
		case errors.Is(err, serviceclient.ErrNotFound):
			return fmt.Errorf("session %d: %w", lease, errLeaseLost)
		default:
			if !failing {
				n.log.Info("lease not extended", "err", err)
			}
			failing, delay = true, keepAliveRetryDelay
		}
	}
}

// watchRecords passes the changes of records to the core, in order.
func (n *Node) watchRecords(ctx context.Context, from protocol.Revision, leaseTimes *leaseClock) error {
	timeout := min(watchTimeout, leaseTimes.ttl) // a short lease needs proof from its watch more often
	for ctx.Err() == nil {
		openedAt := n.now()
		events, err := n.store.Watch(ctx, record.FollowedPrefix, from, timeout)
		switch {
		case errors.Is(err, serviceclient.ErrCompacted):
			return fmt.Errorf("watch from %d: %w", from, err)
		case err != nil:
			if ctx.Err() == nil {
				n.log.Debug("watch failed", "err", err)
			}
			sleep(ctx, watchRetryDelay)
			continue
		}
		for _, event := range events.Events {
			n.post(message.RecordChanged{Event: event})
		}
		from = max(from, events.Revision)
		leaseTimes.followed.Store(int64(openedAt))
	}
	return fmt.Errorf("watch records: %w", ctx.Err())
}
