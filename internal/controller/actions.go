package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/outcome"
	"damsonkeel/internal/controller/workerregistry"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/serviceclient"
)

const (
	// bitmapTimeout bounds the time for reading a job's bitmap.
	bitmapTimeout = 10 * time.Second
	// commandRecheckAfter is the time after which direct commands that have not been sent yet,
	// for want of a command slot or since the process stood still, are checked again.
	commandRecheckAfter = 50 * time.Millisecond
)

// executeActions executes the actions of a step, except the replies, which the envelope's reply
// function sends. It never blocks: an action that takes time runs in a goroutine, which posts
// its result to the core and ends with its call or with the context. The results belong to the
// core's present session, in which the actions were decided.
func (n *Node) executeActions(ctx context.Context, actions []message.Action) {
	session, decidedAt := n.core.Session, n.core.Now
	for _, action := range actions {
		switch a := action.(type) {
		case message.Send:
			if outbox := n.outboxes[a.To]; outbox != nil {
				outbox.Add(a)
			}
		case message.Commit:
			go n.commit(ctx, session, a)
		case message.Command:
			go n.executeCommand(ctx, session, decidedAt, a)
		case message.LoadBitmap:
			go n.loadBitmap(ctx, session, a)
		case message.Provision:
			go n.provision(ctx, session, a.Request)
		case message.Terminate:
			go n.terminate(ctx, session, a.Machines)
		case message.ListMachines:
			go n.listMachines(ctx, session)
		case message.ConfigurationChanged:
			n.frontend.SetConfiguration(a.Effective)
		case message.SetRateAllotment:
			n.store.SetAllotment(kvstore.RateAllotment(a.Own), kvstore.RateAllotment(a.All), n.start.Add(time.Duration(a.Until)))
		}
	}
}

// transactionPriority returns the priority of a transaction by its tag: low for bitmaps, normal
// for machine records, else high. It orders transactions when this controller's allotment of
// writes to the key-value store runs short.
func transactionPriority(tag any) kvstore.Priority {
	switch tag.(type) {
	case jobs.BitmapTag:
		return kvstore.PriorityLow
	case dispatcher.RegisterTag, dispatcher.RemoveTag, workerregistry.Tag:
		return kvstore.PriorityNormal
	}
	return kvstore.PriorityHigh
}

// commit executes a transaction on the key-value store and posts its outcome.
func (n *Node) commit(ctx context.Context, session protocol.LeaseID, a message.Commit) {
	revision, err := n.store.CompareAndSwap(ctx, a.Transaction, transactionPriority(a.Tag))
	if err != nil && !errors.Is(err, serviceclient.ErrConflict) {
		n.log.Debug("transaction failed", "tag", a.Tag, "err", err)
	}
	n.postInSession(session, message.CommitDone{Tag: a.Tag, Outcome: outcome.Of(err), Revision: revision})
}

// provision requests machines from the cloud and posts the machines and the outcome.
func (n *Node) provision(ctx context.Context, session protocol.LeaseID, request protocol.ProvisionRequest) {
	machines, err := n.cloud.Provision(ctx, request)
	n.postInSession(session, message.ProvisionDone{Request: request, Machines: machines, Outcome: outcome.Of(err)})
}

// terminate requests that the cloud terminates machines, and posts whether it confirmed that.
func (n *Node) terminate(ctx context.Context, session protocol.LeaseID, machines []protocol.MachineID) {
	err := n.cloud.Terminate(ctx, machines)
	if err != nil {
		n.log.Info("failed to terminate machines", "machines", machines, "err", err)
	}
	n.postInSession(session, message.TerminateDone{Machines: machines, OK: err == nil})
}

// listMachines reads the list of machines from the cloud and posts it, or that this failed.
func (n *Node) listMachines(ctx context.Context, session protocol.LeaseID) {
	machines, err := n.cloud.ListMachines(ctx)
	if err != nil {
		n.log.Info("failed to list the machines", "err", err)
	}
	n.postInSession(session, message.MachinesListed{Machines: machines, OK: err == nil})
}

// loadBitmap reads the chunks of a job's bitmap of finished tasks from the key-value store, and
// posts them, or that this failed.
func (n *Node) loadBitmap(ctx context.Context, session protocol.LeaseID, a message.LoadBitmap) {
	ctx, cancel := context.WithTimeout(ctx, bitmapTimeout)
	defer cancel()
	items, _, err := n.store.List(ctx, record.BitmapPrefix(a.Job))
	if err != nil {
		n.log.Debug("failed to read a job's bitmap", "job", a.Job, "err", err)
	}
	n.postInSession(session, message.BitmapLoaded{Job: a.Job, Term: a.Term, Chunks: items, OK: err == nil})
}

// executeCommand sends direct commands to a worker as soon as one of the command slots, which
// limit the direct commands in progress, is free. It posts the result: whether the worker has
// answered, and whether it has executed them. Commands that were decided longer than
// commandRecheckAfter ago are withheld if the core would not send them any more. If the context
// ends first, nothing is sent.
func (n *Node) executeCommand(ctx context.Context, session protocol.LeaseID, decidedAt Time, a message.Command) {
	done := a.Done()
	select {
	case n.commandSlots <- struct{}{}:
		if n.isStillDue(session, decidedAt, &a.Commands) {
			n.sendCommands(ctx, a, &done)
		} else {
			done.Withheld = true
		}
		<-n.commandSlots
	case <-ctx.Done():
	}
	n.postInSession(session, done)
}

// isStillDue reports whether direct commands that were decided at a time in a session are to be
// sent now. It asks the core if that was some time ago, and reports false if the core is too busy.
func (n *Node) isStillDue(session protocol.LeaseID, decidedAt Time, commands *protocol.Commands) bool {
	if n.now().Since(decidedAt) <= commandRecheckAfter {
		return true
	}
	maySend, ok := queryCore(n, func(c *Core) bool { return c.MaySend(n.now(), session, commands) })
	return ok && maySend
}

// sendCommands sends direct commands to a worker and stores its answer, a heartbeat, in done. An
// answer with the status 409 means that the worker did not execute the commands. Without a
// valid answer, done stays unchanged.
func (n *Node) sendCommands(ctx context.Context, a message.Command, done *message.CommandDone) {
	body, err := protocol.Encode(a.Commands)
	if err != nil {
		n.log.Error("failed to encode direct commands", "machine", a.Machine, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.DirectCommandTimeout)
	defer cancel()
	response, err := n.workers.get(a.Address).Do(ctx, http.MethodPost, "/do", body)
	if err != nil {
		n.log.Debug("worker did not answer a direct command", "machine", a.Machine, "err", err)
		return
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		n.log.Info("worker refused a direct command", "machine", a.Machine, "status", response.Status)
		return
	}
	heartbeat, err := protocol.ParseHeartbeat(response.Body)
	if err != nil {
		n.log.Info("worker answered a direct command with an invalid heartbeat", "machine", a.Machine, "err", err)
		return
	}
	done.Answered, done.Executed, done.Heartbeat = true, response.Status == http.StatusOK, heartbeat
}
