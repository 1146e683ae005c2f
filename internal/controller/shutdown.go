package controller

import (
	"context"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

const (
	// handoverTimeout bounds the time that a controller that is shutting down spends on
	// the handover of its shards and jobs.
	handoverTimeout = 10 * time.Second
	// handoverPollInterval is the time between two checks whether the handover is complete.
	handoverPollInterval = 50 * time.Millisecond
	// revokeTimeout bounds the time for revoking the lease after the handover. With the
	// lease revoked, the other controllers need not wait until it expires.
	revokeTimeout = 2 * time.Second
)

// Shutdown hands over all shards that this controller holds, for at most handoverTimeout, ends its
// session, revokes its lease, makes Run return and then returns itself. A second call returns at
// once. Meanwhile the health check reports that the controller is not ready, so that users open
// no new connections to it.
func (n *Node) Shutdown() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("shutting down: handing over shards and jobs")
	n.post(message.Shutdown{})
	startedAt := time.Now()
	for time.Since(startedAt) < handoverTimeout {
		if handedOver, ok := queryCore(n, (*Core).HandedOver); ok && handedOver {
			break
		}
		time.Sleep(handoverPollInterval)
	}
	n.endSession()
	n.log.Info("shutdown complete", "after", time.Since(startedAt).Round(time.Millisecond))
	close(n.leaveDone)
}

// endSession ends this controller's session, if it has one, and then revokes its lease. The core
// does nothing under the lease any more when it is revoked: without it, the other controllers
// take the work over at once. If the core does not end the session in time, or the lease can't be
// revoked, the lease expires.
func (n *Node) endSession() {
	session, ok := queryCore(n, func(c *Core) protocol.LeaseID { return c.Session })
	if !ok || session == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	close(n.stopSessions)
	select {
	case <-n.sessionsEnded:
	case <-ctx.Done():
		n.log.Info("the session has not ended in time: its lease is not revoked", "session", session)
		return
	}
	if now, ok := queryCore(n, func(c *Core) protocol.LeaseID { return c.Session }); !ok || now == session {
		n.log.Info("the core has not ended the session: its lease is not revoked", "session", session)
		return
	}
	if err := n.store.RevokeLease(ctx, session); err != nil {
		n.log.Info("failed to revoke the lease", "err", err)
	}
}
