package controller

import (
	"context"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

const (
	// handoverTimeout is how long a controller that shuts down may take to hand over its
	// shards and jobs.
	handoverTimeout = 10 * time.Second
	// handoverPollInterval is the time between two checks whether it has.
	handoverPollInterval = 50 * time.Millisecond
	// revokeTimeout is how long it may then take to revoke its lease, so that the others
	// need not wait for its expiry.
	revokeTimeout = 2 * time.Second
)

// Leave hands over all shards that this controller holds and has Run return. Meanwhile it
// answers health checks that it is not ready, so that no new connections of users come.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("told to end: handing over")
	n.post(message.Shutdown{})
	begun := time.Now()
	for time.Since(begun) < handoverTimeout {
		if handedOver, ok := ask(n, (*Core).HandedOver); ok && handedOver {
			break
		}
		time.Sleep(handoverPollInterval)
	}
	n.revokeLease()
	n.log.Info("ended", "after", time.Since(begun).Round(time.Millisecond))
	close(n.left)
}

// revokeLease revokes this controller's lease, if it has one.
func (n *Node) revokeLease() {
	session, ok := ask(n, func(c *Core) protocol.LeaseID { return c.Session })
	if !ok || session == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := n.store.RevokeLease(ctx, session); err != nil {
		n.log.Info("lease not revoked", "err", err)
	}
}
