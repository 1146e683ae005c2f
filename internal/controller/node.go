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
	// ticksPerRateSample is the number of ticks between two measurements of how many
	// calls to the key-value store are wanted: a second.
	ticksPerRateSample = int(time.Second / tickInterval)
	// serverRestartDelay is the time until a server that stopped is started again.
	serverRestartDelay = 200 * time.Millisecond
)

// Time is this process's steady clock.
type Time = clock.Time

// Node is the actor around a Core, with the actors that carry its messages.
type Node struct {
	settings *config.Settings
	operator config.Operator
	store    *kvstore.Client
	cloud    *cloud.Client
	log      *slog.Logger
	start    time.Time

	core        *Core // only the core's actor, runCore, touches it
	mailbox     chan envelope
	coreStopped chan struct{} // closed when the core's actor has ended
	heartbeats  *heartbeatQueue
	outboxes    map[protocol.NodeName]*Outbox
	peers       map[protocol.NodeName]*transport.Peer // for users' requests: calls of an outbox may wait
	workers     *workerClients
	commands    chan struct{} // holds one for each direct command under way
	frontend    *frontend.Frontend

	leaseDeadline atomic.Int64
	shouldWaitOut atomic.Bool // a member without its lease that should keep its users: see Members.ShouldWaitForLease
	leaving       atomic.Bool // shutting down
	left          chan struct{}
	typesKnown    atomic.Bool
}

// NewNode makes a controller. Run starts it.
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
		left:        make(chan struct{}),
	}
	n.core = NewCore(settings, operator, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), log)
	for _, member := range settings.Members {
		outbox := NewOutbox(settings.Name, transport.NewPeer(member.Peer), log)
		outbox.excluded = func() { n.post(message.PeerLeads{Peer: member.Name}) }
		n.outboxes[member.Name] = outbox
		n.peers[member.Name] = transport.NewPeer(member.Peer)
	}
	_, commands := socketLimits(settings.Site.Limits.MaxConns)
	n.workers = newWorkerClients(commands)
	n.commands = make(chan struct{}, commands)
	n.frontend = frontend.New(&frontendController{n}, settings, operator, n.store, log)
	return n
}

// now is the steady clock.
func (n *Node) now() Time { return Time(time.Since(n.start)) + 1 }

// Run serves until the context ends, the controller has left, or listening fails. The
// actors that it starts end with the context, or after it returns.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := transport.ServePeers(n.settings.PeerBind, "Peer", &peerService{n}, n.log); err != nil {
		return err //nolint:wrapcheck // shown to users as it is, and says what was being done
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
	case <-n.left:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("run controller: %w", ctx.Err())
	}
}

// serve answers users and workers until the context ends.
func (n *Node) serve(ctx context.Context) {
	connections, _ := socketLimits(n.settings.Site.Limits.MaxConns)
	server := transport.NewServer(n.frontend.Handle, connections, n.log)
	for ctx.Err() == nil {
		err := server.Serve(n.settings.Listen, func() { n.log.Info("server started", "addr", n.settings.Listen) })
		n.log.Error("server stopped", "err", err)
		sleep(ctx, serverRestartDelay)
	}
}

// runCore is the core's actor.
func (n *Node) runCore(ctx context.Context) {
	defer close(n.coreStopped)
	for {
		select {
		case e := <-n.mailbox:
			n.handle(ctx, e)
		case <-n.heartbeats.ready:
			if e, ok := n.heartbeats.next(n.now); ok {
				n.handle(ctx, e)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handle passes a message, or a question, to the core, and carries out what follows.
func (n *Node) handle(ctx context.Context, e envelope) {
	if e.ask != nil {
		e.ask(n.core)
		return
	}
	actions := n.core.Step(n.now(), e.msg)
	deadline := Time(0)
	if n.core.Member() {
		deadline = n.core.LeaseDeadline
	}
	n.leaseDeadline.Store(int64(deadline))
	n.shouldWaitOut.Store(deadline != 0 && n.core.members.ShouldWaitForLease())
	n.carryOut(ctx, actions)
	if e.reply != nil {
		e.reply(actions)
	}
}

// holdsLease reports whether this controller is a member that holds its lease now.
func (n *Node) holdsLease() bool { return int64(n.now()) < n.leaseDeadline.Load() }

// runTicker gives the core its ticks, and once a second the demand for calls to the
// key-value store.
func (n *Node) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-ticker.C:
			n.offer(envelope{msg: message.Tick{WallMS: time.Now().UnixMilli()}})
			if i%ticksPerRateSample == 0 {
				n.offer(envelope{msg: message.StoreRateUsed{Amount: ratelimit.Amount(n.store.TakeDemandedRate())}})
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
