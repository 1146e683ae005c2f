package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/cloud"
	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/workerregistry"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

const (
	mailboxSize      = 2048
	askedTicks       = int(time.Second / tickEvery)
	catalogueWait    = time.Second
	catalogueRefresh = time.Minute
	// followHold is how long one watch stays open. Its return proves what was
	// followed when it was opened: see LeaseDeadline.
	followHold = 3 * time.Second
)

// Time is this process's steady clock.
type Time = clock.Time

// Node is the actor around a Core, with the actors that carry its messages.
type Node struct {
	settings *config.Settings
	op       config.Operator
	state    *kvstore.Client
	cloud    *cloud.Client
	log      *slog.Logger
	start    time.Time

	mailbox    chan envelope
	heartbeats *heartbeatQueue
	core       *Core
	outbox     map[protocol.NodeName]*Outbox
	workers    *workerClients
	commands   chan struct{} // holds one for each direct command under way

	leaseDeadline atomic.Int64
	shouldWaitOut atomic.Bool // a member that may not act does best to wait: see Members.ShouldWaitOut
	leaving       atomic.Bool // told to end
	left          chan struct{}
	typesKnown    atomic.Bool
	frontend      *frontend
}

// envelope is a message to the core, or a question about it.
type envelope struct {
	msg   any
	reply func([]message.Action) // gets the step's ReplyHeartbeat or ReplyBatch
	ask   func(*Core)
}

// NewNode makes a controller. Run starts it.
func NewNode(s *config.Settings, op config.Operator, log *slog.Logger) *Node {
	n := &Node{
		settings: s, op: op, log: log, start: time.Now(),
		state:      kvstore.NewClient(s.Services.State, s.Site.State.RPS, s.Site.State.WriteRPS, s.Site.Count),
		cloud:      cloud.NewClient(s.Services.Cloud, s.Site.Cloud.RPS),
		mailbox:    make(chan envelope, mailboxSize),
		outbox:     map[protocol.NodeName]*Outbox{},
		heartbeats: newHeartbeatQueue(),
		left:       make(chan struct{}),
	}
	n.core = NewCore(s, op, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), log)
	for _, m := range s.Members {
		o := NewOutbox(s.Name, transport.NewPeer(m.Peer), log)
		o.passed = func() { n.post(message.PeerLeads{Peer: m.Name}) }
		n.outbox[m.Name] = o
	}
	_, commands := sockets(s.Site.Limits.MaxConns)
	n.workers = newWorkerClients(commands)
	n.commands = make(chan struct{}, commands)
	n.frontend = newFrontend(n)
	return n
}

// now is the steady clock.
func (n *Node) now() Time { return Time(time.Since(n.start)) + 1 }

// Run serves until the context ends, the controller has left, or listening fails.
func (n *Node) Run(ctx context.Context) error {
	if err := transport.ServePeers(n.settings.PeerBind, "Peer", &peerService{n}, n.log); err != nil {
		return err
	}
	for _, o := range n.outbox {
		go o.run(ctx)
	}
	go n.runCore(ctx)
	go n.runTicker(ctx)
	go n.readCatalogue(ctx)
	go n.runSessions(ctx)
	go n.frontend.run(ctx)
	go n.serve(ctx)
	select {
	case <-n.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve answers users and workers until the context ends.
func (n *Node) serve(ctx context.Context) {
	conns, _ := sockets(n.settings.Site.Limits.MaxConns)
	server := transport.NewServer(n.frontend.handle, conns, n.log)
	for ctx.Err() == nil {
		err := server.Serve(n.settings.Listen, func() { n.log.Info("serving", "addr", n.settings.Listen) })
		n.log.Error("serving ended, starting again", "err", err)
		time.Sleep(200 * time.Millisecond)
	}
}

// runCore is the core's actor.
func (n *Node) runCore(ctx context.Context) {
	for {
		var e envelope
		select {
		case e = <-n.mailbox:
		case <-n.heartbeats.ready:
			var any bool
			if e, any = n.heartbeats.next(n.now); !any {
				continue
			}
		case <-ctx.Done():
			return
		}
		if e.ask != nil {
			e.ask(n.core)
			continue
		}
		actions := n.core.Step(n.now(), e.msg)
		until := Time(0)
		if n.core.Member() {
			until = n.core.LeaseDeadline
		}
		n.leaseDeadline.Store(int64(until))
		n.shouldWaitOut.Store(until != 0 && n.core.members.ShouldWaitOut())
		n.carryOut(ctx, actions)
		if e.reply != nil {
			e.reply(actions)
		}
	}
}

// post gives the core a message; it waits while the mailbox is full.
func (n *Node) post(msg any) { n.mailbox <- envelope{msg: msg} }

// offer gives the core a message unless its mailbox is full.
func (n *Node) offer(e envelope) bool {
	select {
	case n.mailbox <- e:
		return true
	default:
		return false
	}
}

// ask puts a question about the core to its actor, and waits for the answer;
// not ok if its mailbox is full.
func ask[T any](n *Node, question func(*Core) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	if !n.offer(envelope{ask: func(c *Core) { answers <- question(c) }}) {
		return answer, false
	}
	return <-answers, true
}

// holdsLease reports whether this controller may act now.
func (n *Node) holdsLease() bool { return int64(n.now()) < n.leaseDeadline.Load() }

func (n *Node) runTicker(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-t.C:
			n.offer(envelope{msg: message.Tick{WallMS: time.Now().UnixMilli()}})
			if i%askedTicks == 0 {
				n.offer(envelope{msg: message.StoreRateUsed{Amount: ratelimit.Amount(n.state.DemandedRate())}})
			}
		case <-ctx.Done():
			return
		}
	}
}

// readCatalogue keeps the machine types, and their prices, up to date.
func (n *Node) readCatalogue(ctx context.Context) {
	for ctx.Err() == nil {
		cat, err := n.cloud.Catalogue(ctx)
		wait := catalogueRefresh
		if err != nil || len(cat.Types) == 0 {
			n.log.Info("catalogue can't be read", "err", err)
			wait = catalogueWait
		} else {
			n.typesKnown.Store(true)
			n.frontend.mailbox <- admission.TypesRead{Types: cat.Types}
			n.post(message.CatalogueRead{Types: cat.Types})
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// carryOut executes actions; none of them waits here.
func (n *Node) carryOut(ctx context.Context, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			if o := n.outbox[a.To]; o != nil {
				o.Add(a)
			}
		case message.Commit:
			go n.commit(ctx, a)
		case message.Command:
			go n.command(ctx, a)
		case message.LoadBitmap:
			go n.loadBits(ctx, a.Job)
		case message.Provision:
			go func() {
				got, err := n.cloud.Rent(ctx, a.Request)
				n.post(message.ProvisionDone{Request: a.Request, Machines: got, Outcome: outcome(err)})
			}()
		case message.Terminate:
			go func() {
				err := n.cloud.Delete(ctx, a.Machines)
				if err != nil {
					n.log.Info("machines not returned", "machines", a.Machines, "err", err)
				}
				n.post(message.TerminateDone{Machines: a.Machines, OK: err == nil})
			}()
		case message.ConfigurationChanged:
			n.frontend.configure(a.Effective)
		case message.SetRateAllotment:
			n.state.SetAllotment(kvstore.RateAllotment(a.Own), kvstore.RateAllotment(a.All), n.start.Add(time.Duration(a.Until)))
		case message.ListMachines:
			go func() {
				list, err := n.cloud.Machines(ctx)
				if err != nil {
					n.log.Info("machines can't be listed", "err", err)
				}
				n.post(message.MachinesListed{Machines: list, OK: err == nil})
			}()
		}
	}
}

// precedence is how a transaction of the core yields to others.
func precedence(tag any) kvstore.Precedence {
	switch tag.(type) {
	case jobs.BitmapTag:
		return kvstore.Spare
	case dispatcher.RegisterTag, dispatcher.RemoveTag, workerregistry.Tag:
		return kvstore.Later
	}
	return kvstore.First
}

func (n *Node) commit(ctx context.Context, a message.Commit) {
	rev, err := n.state.CompareAndSwap(ctx, a.Txn, precedence(a.Tag))
	if err != nil && !errors.Is(err, serviceclient.ErrConflict) {
		n.log.Debug("transaction", "what", a.Tag, "err", err)
	}
	n.post(message.CommitDone{Tag: a.Tag, Outcome: outcome(err), Revision: rev})
}

// command sends commands to a worker. Its kept connections go when it has not
// been commanded for a while.
func (n *Node) command(ctx context.Context, a message.Command) {
	done := message.CommandDone{Machine: a.Machine, Term: a.Commands.Term, AgentEpoch: a.Commands.AgentEpoch, Orders: a.Commands.Orders}
	defer func() { n.post(done) }()
	n.commands <- struct{}{}
	defer func() { <-n.commands }()
	body, err := protocol.Encode(a.Commands)
	if err != nil {
		n.log.Error("commands", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.DirectTimeout)
	defer cancel()
	m, err := n.workers.get(a.Address).Do(ctx, "POST", "/do", body)
	if err != nil {
		n.log.Debug("command", "machine", a.Machine, "err", err)
		return
	}
	if m.Status != 200 && m.Status != 409 {
		n.log.Info("command refused", "machine", a.Machine, "status", m.Status)
		return
	}
	r, err := protocol.ParseHeartbeat(m.Body)
	if err != nil {
		n.log.Info("command: bad report", "machine", a.Machine, "err", err)
		return
	}
	done.Answered, done.Executed, done.Heartbeat = true, m.Status == 200, r
}

func outcome(err error) message.Outcome {
	switch {
	case err == nil:
		return message.OutcomeDone
	case errors.Is(err, serviceclient.ErrConflict), errors.Is(err, serviceclient.ErrMalformed):
		return message.OutcomeFailed
	case errors.Is(err, serviceclient.ErrRefused):
		return message.OutcomeRefused
	}
	return message.OutcomeUnknown
}

func (n *Node) loadBits(ctx context.Context, id protocol.JobID) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	items, _, err := n.state.List(ctx, record.BitmapPrefix(id))
	if err != nil {
		n.log.Debug("bitmap", "job", id, "err", err)
	}
	n.post(message.BitmapLoaded{Job: id, Chunks: items, OK: err == nil})
}
