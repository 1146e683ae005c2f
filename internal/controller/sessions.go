package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// runSessions keeps this controller a member: session after session, each as
// long as its lease.
func (n *Node) runSessions(ctx context.Context) {
	for ctx.Err() == nil && !n.leaving.Load() { // one that leaves does not come back
		if err := n.runSession(ctx); err != nil {
			n.log.Info("session", "err", err)
		}
		n.post(message.SessionEnded{})
		sleep(ctx, 250*time.Millisecond)
	}
}

// runSession reads the records, enters this controller into them under a new
// lease, and follows the records while it extends the lease.
func (n *Node) runSession(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Read before entering: any view that names this session is then a later
	// change, and so are the records that came with it.
	asked := n.now()
	items, rev, err := n.readRecords(ctx)
	if err != nil {
		return err
	}
	ttl := n.op.NodeLease
	sent := n.now()
	lease, err := n.state.GrantLease(ctx, ttl)
	if err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	key := record.NodeKey(n.settings.Name)
	var have protocol.Version
	for _, it := range items {
		if it.Key == key {
			have = it.Version
		}
	}
	_, err = n.state.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: have}},
		Changes:    []protocol.Change{{Put: key, Value: record.Node{Session: lease, Layout: n.layout()}, Lease: &lease}},
	}, kvstore.First)
	if err != nil {
		return fmt.Errorf("enter: %w", err)
	}
	n.log.Info("session begun", "session", lease)
	n.post(message.Snapshot{Session: lease, Items: items, WallMS: time.Now().UnixMilli()})
	l := &leaseClock{ttl: ttl}
	l.extended.Store(int64(sent))
	l.followed.Store(int64(asked))
	n.post(message.LeaseExtended{Until: l.until()})
	followEnd := make(chan error, 1)
	go func() { followEnd <- n.watchRecords(ctx, rev, l) }()
	return n.keepLeaseAlive(ctx, lease, l, followEnd)
}

// layout is the latest layout of machines' records that this controller uses.
func (n *Node) layout() record.Layout {
	switch {
	case n.op.SingleRecords:
		return record.LayoutSingle
	case n.op.NoShares:
		return record.LayoutBlocks
	case !n.op.Configurable():
		return record.LayoutShards
	}
	return record.LayoutConfiguration
}

func (n *Node) readRecords(ctx context.Context) ([]protocol.Item, protocol.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	return n.state.List(ctx, record.FollowedPrefix)
}

// leaseClock reckons until when a session may act.
type leaseClock struct {
	ttl                time.Duration
	extended, followed atomic.Int64 // when the last extension that was answered was sent; when the last watch that was answered was opened
}

// Until is the end of the lease as this clock has it.
func (l *leaseClock) until() Time {
	return LeaseDeadline(l.ttl, Time(l.extended.Load()), Time(l.followed.Load()))
}

// LeaseDeadline is until when a session may act: its lease, counted from before the
// extension was sent, shortened by drift and by a margin for what is under way; and
// no longer than a lease and a slack after the last watch was opened that has been
// answered. That answer holds what had changed by then, whenever it arrives: one
// held back by the network, or read after the process stood still, proves nothing
// of the time since. What users are told of cancellations rests on it (docs/design.md,
// "How long a cancelled task may stay").
func LeaseDeadline(ttl time.Duration, extended, followed Time) Time {
	lease := extended + Time(ttl) - Time(ttl/500) - Time(200*time.Millisecond)
	return min(lease, followed+Time(config.FollowedWithin(ttl)))
}

func (n *Node) keepLeaseAlive(ctx context.Context, lease protocol.LeaseID, l *leaseClock, followEnd <-chan error) error {
	every := l.ttl / 5
	refused := false
	for {
		select {
		case err := <-followEnd:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(every):
		}
		sent := n.now()
		err := n.state.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			if refused {
				n.log.Info("state service answers again")
			}
			refused, every = false, l.ttl/5
			l.extended.Store(int64(sent))
			n.post(message.LeaseExtended{Until: l.until()})
		case errors.Is(err, serviceclient.ErrNotFound):
			return fmt.Errorf("session %d: lease lost", lease)
		default:
			if !refused {
				n.log.Info("lease not extended", "err", err)
			}
			refused, every = true, 300*time.Millisecond
		}
	}
}

// watchRecords passes the changes of records to the core, in order.
func (n *Node) watchRecords(ctx context.Context, from protocol.Revision, l *leaseClock) error {
	hold := min(followHold, l.ttl) // a short lease needs the watch to prove itself more often
	for ctx.Err() == nil {
		opened := n.now()
		ev, err := n.state.Watch(ctx, record.FollowedPrefix, from, hold)
		switch {
		case errors.Is(err, serviceclient.ErrCompacted):
			return fmt.Errorf("watch from %d: %w", from, err)
		case err != nil:
			if ctx.Err() == nil {
				n.log.Debug("watch", "err", err)
			}
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		for _, e := range ev.Events {
			n.post(message.RecordChanged{Event: e})
		}
		from = max(from, ev.Revision)
		l.followed.Store(int64(opened))
	}
	return ctx.Err()
}
