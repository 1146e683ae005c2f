package controller

import (
	"context"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

const (
	// handOverWithin is how long a controller that is told to end takes at the most
	// to hand over what it keeps.
	handOverWithin = 10 * time.Second
	// releaseWithin is how long it then takes at the most to end its lease, so that
	// the others need not wait for it.
	releaseWithin = 2 * time.Second
)

// Leave hands over all machines that this controller keeps and has Run return. No
// new connections of users come meanwhile: it answers health checks that it is not
// ready.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("told to end: handing over")
	n.post(message.Shutdown{})
	begun := time.Now()
	for time.Since(begun) < handOverWithin {
		if over, ok := ask(n, (*Core).HandedOver); ok && over {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.leaveCluster()
	n.log.Info("ended", "after", time.Since(begun).Round(time.Millisecond))
	close(n.left)
}

// leaveCluster ends this controller's lease, if it has one.
func (n *Node) leaveCluster() {
	session, ok := ask(n, func(c *Core) protocol.LeaseID { return c.Session })
	if !ok || session == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseWithin)
	defer cancel()
	if err := n.state.RevokeLease(ctx, session); err != nil {
		n.log.Info("lease not ended", "err", err)
	}
}
