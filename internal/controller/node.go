package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damsonkeel/internal/cloud"
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/frontend"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// ticksPerRateSample is the number of ticks in a second. The demand for calls to the
	// key-value store is measured once in that time.
	ticksPerRateSample = int(time.Second / tickInterval)
	// serverRestartDelay is the time until a server that has stopped is restarted.
	serverRestartDelay = 200 * time.Millisecond
)

// Time is a time of this process's monotonic clock.
type Time = clock.Time

// Node runs a Core in an actor, together with the actors that carry its messages.
type Node struct {
	settings *config.Settings
	operator config.Operator
	store    *kvstore.Client
	cloud    *cloud.Client
	log      *slog.Logger
	start    time.Time

	core        *Core // only the core actor, runCore, accesses it
	mailbox     chan envelope
	coreStopped chan struct{} // closed when the core actor has ended
	heartbeats  *heartbeatQueue
	outboxes    map[protocol.NodeName]*Outbox
	// peers has separate connections for users' requests, so that no call of an outbox delays
	// them.
	peers        map[protocol.NodeName]*transport.Peer
	workers      *workerClients
	commandSlots chan struct{} // holds an element for each direct command in progress
	frontend     *frontend.Frontend

	leaseDeadline atomic.Int64 // the core's LeaseDeadline; 0 if this controller is not a member
	// shouldWaitForLease is set for a member that should keep its users until it holds its
	// lease again: see Members.ShouldWaitForLease.
	shouldWaitForLease atomic.Bool
	stopSessions       chan struct{} // closed when no session may run any more
	sessionsEnded      chan struct{} // closed when runSessions has returned
	leaving            atomic.Bool   // set when the shutdown begins
	leaveDone          chan struct{} // closed when Leave has completed
	catalogueReceived  atomic.Bool   // set once the machine types were read from the cloud
}

// NewNode returns a controller that is not running yet: Run starts it.
func NewNode(settings *config.Settings, operator config.Operator, log *slog.Logger) *Node {
	n := &Node{
		settings:    settings,
		operator:    operator,
		store:       kvstore.NewClient(settings.Services.State, settings.Site.State.RPS, settings.Site.State.WriteRPS, settings.Site.Count),
		cloud:       cloud.NewClient(settings.Services.Cloud, settings.Site.Cloud.RPS),
		log:         log,
		start:       time.Now(),
		mailbox:     make(chan envelope, mailboxSize),
		coreStopped: make(chan struct{}),
		heartbeats:  newHeartbeatQueue(),
		outboxes:    map[protocol.NodeName]*Outbox{},
		peers:       map[protocol.NodeName]*transport.Peer{},
		leaveDone:   make(chan struct{}),

		stopSessions:  make(chan struct{}),
		sessionsEnded: make(chan struct{}),
	}
	n.core = NewCore(settings, operator, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), log)
	for _, member := range settings.Members {
		outbox := NewOutbox(settings.Name, transport.NewPeer(member.Peer), log)
		outbox.onExcluded = func() { n.post(message.PeerLeads{Peer: member.Name}) }
		n.outboxes[member.Name] = outbox
		n.peers[member.Name] = transport.NewPeer(member.Peer)
	}
	_, commands := socketLimits(settings.Site.Limits.MaxConns)
	n.workers = newWorkerClients(commands)
	n.commandSlots = make(chan struct{}, commands)
	n.frontend = frontend.New(&frontendController{n}, settings, operator, n.store, log)
	return n
}

// now returns the time since NewNode by the monotonic clock. It is never 0, which means never.
func (n *Node) now() Time { return Time(time.Since(n.start)) + 1 }

// Run serves until the context ends, Leave has completed, or the controller can't listen for
// peers. The actors that it starts end with the context or after it returns.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := transport.ServePeers(n.settings.PeerBind, "Peer", &peerService{n}, n.log); err != nil {
		return err //nolint:wrapcheck // the error is shown to users and names the operation that failed
	}
	for _, outbox := range n.outboxes {
		go outbox.run(ctx)
	}
	go n.runCore(ctx)
	go n.runTicker(ctx)
	go n.readCatalogue(ctx)
	go n.runSessions(ctx)
	go n.frontend.Run(ctx)
	go n.serve(ctx)
	select {
	case <-n.leaveDone:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("run controller: %w", ctx.Err())
	}
}

// serve runs the HTTP server for users and workers until the context ends.
func (n *Node) serve(ctx context.Context) {
	connections, _ := socketLimits(n.settings.Site.Limits.MaxConns)
	server := transport.NewServer(n.frontend.Handle, connections, n.log)
	for ctx.Err() == nil {
		err := server.Serve(n.settings.Listen, func() { n.log.Info("server started", "addr", n.settings.Listen) })
		n.log.Error("server stopped", "err", err)
		sleep(ctx, serverRestartDelay)
	}
}

// runCore is the core actor: it passes envelopes and heartbeats to the core until the
// context ends.
func (n *Node) runCore(ctx context.Context) {
	defer close(n.coreStopped)
	for {
		select {
		case e := <-n.mailbox:
			n.handleEnvelope(ctx, e)
		case <-n.heartbeats.ready:
			if e, ok := n.heartbeats.next(n.now); ok {
				n.handleEnvelope(ctx, e)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleEnvelope runs a query on the core, or has the core handle a message, executes the
// resulting actions and calls the envelope's reply. After a message it also publishes to other
// goroutines until when this controller holds its lease, and whether it should wait for it.
func (n *Node) handleEnvelope(ctx context.Context, e envelope) {
	if e.query != nil {
		e.query(n.core)
		return
	}
	actions := n.core.Step(n.now(), e.msg)
	deadline := Time(0)
	if n.core.Member() {
		deadline = n.core.LeaseDeadline
	}
	n.leaseDeadline.Store(int64(deadline))
	n.shouldWaitForLease.Store(deadline != 0 && n.core.members.ShouldWaitForLease())
	n.executeActions(ctx, actions)
	if e.reply != nil {
		e.reply(actions)
	}
}

// holdsLease reports whether this controller is a member that currently holds its lease.
func (n *Node) holdsLease() bool { return int64(n.now()) < n.leaseDeadline.Load() }

// runTicker sends a tick to the core every tickInterval and, once a second, the number of calls to
// the key-value store that were demanded since the last one. It drops what it can't put into a
// full mailbox.
func (n *Node) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-ticker.C:
			n.tryDeliver(envelope{msg: message.Tick{WallMS: time.Now().UnixMilli()}})
			if i%ticksPerRateSample == 0 {
				n.tryDeliver(envelope{msg: message.StoreRateUsed{Amount: ratelimit.Amount(n.store.TakeDemandedRate())}})
			}
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
