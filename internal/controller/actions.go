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

// bitmapTimeout is how long reading a job's bitmap may take.
const bitmapTimeout = 10 * time.Second

// carryOut executes the actions of a step. It never waits: what takes time is done in a
// goroutine that ends with its call or with the context, and posts the result.
func (n *Node) carryOut(ctx context.Context, actions []message.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case message.Send:
			if outbox := n.outboxes[a.To]; outbox != nil {
				outbox.Add(a)
			}
		case message.Commit:
			go n.commit(ctx, a)
		case message.Command:
			go n.command(ctx, a)
		case message.LoadBitmap:
			go n.loadBitmap(ctx, a.Job)
		case message.Provision:
			go n.provision(ctx, a.Request)
		case message.Terminate:
			go n.terminate(ctx, a.Machines)
		case message.ListMachines:
			go n.listMachines(ctx)
		case message.ConfigurationChanged:
			n.frontend.SetConfiguration(a.Effective)
		case message.SetRateAllotment:
			n.store.SetAllotment(kvstore.RateAllotment(a.Own), kvstore.RateAllotment(a.All), n.start.Add(time.Duration(a.Until)))
		}
	}
}

// precedence is the precedence of a transaction where calls to the key-value store are
// scarce, by its tag.
func precedence(tag any) kvstore.Priority {
	switch tag.(type) {
	case jobs.BitmapTag:
		return kvstore.PriorityLow
	case dispatcher.RegisterTag, dispatcher.RemoveTag, workerregistry.Tag:
		return kvstore.PriorityNormal
	}
	return kvstore.PriorityHigh
}

func (n *Node) commit(ctx context.Context, a message.Commit) {
	revision, err := n.store.CompareAndSwap(ctx, a.Transaction, precedence(a.Tag))
	if err != nil && !errors.Is(err, serviceclient.ErrConflict) {
		n.log.Debug("transaction failed", "tag", a.Tag, "err", err)
	}
	n.post(message.CommitDone{Tag: a.Tag, Outcome: outcome.Of(err), Revision: revision})
}

func (n *Node) provision(ctx context.Context, request protocol.ProvisionRequest) {
	machines, err := n.cloud.Provision(ctx, request)
	n.post(message.ProvisionDone{Request: request, Machines: machines, Outcome: outcome.Of(err)})
}

func (n *Node) terminate(ctx context.Context, machines []protocol.MachineID) {
	err := n.cloud.Terminate(ctx, machines)
	if err != nil {
		n.log.Info("machines not terminated", "machines", machines, "err", err)
	}
	n.post(message.TerminateDone{Machines: machines, OK: err == nil})
}

func (n *Node) listMachines(ctx context.Context) {
	machines, err := n.cloud.ListMachines(ctx)
	if err != nil {
		n.log.Info("machines not listed", "err", err)
	}
	n.post(message.MachinesListed{Machines: machines, OK: err == nil})
}

func (n *Node) loadBitmap(ctx context.Context, id protocol.JobID) {
	ctx, cancel := context.WithTimeout(ctx, bitmapTimeout)
	defer cancel()
	items, _, err := n.store.List(ctx, record.BitmapPrefix(id))
	if err != nil {
		n.log.Debug("bitmap not read", "job", id, "err", err)
	}
	n.post(message.BitmapLoaded{Job: id, Chunks: items, OK: err == nil})
}

// command sends direct commands to a worker and posts what is known of them then.
func (n *Node) command(ctx context.Context, a message.Command) {
	done := message.CommandDone{Machine: a.Machine, Term: a.Commands.Term, AgentEpoch: a.Commands.AgentEpoch, Orders: a.Commands.Orders}
	select {
	case n.commands <- struct{}{}:
		n.sendCommand(ctx, a, &done)
		<-n.commands
	case <-ctx.Done():
	}
	n.post(done)
}

// sendCommand sends direct commands to a worker and notes its answer, if there is one.
func (n *Node) sendCommand(ctx context.Context, a message.Command, done *message.CommandDone) {
	body, err := protocol.Encode(a.Commands)
	if err != nil {
		n.log.Error("commands not encoded", "machine", a.Machine, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.DirectCommandTimeout)
	defer cancel()
	response, err := n.workers.get(a.Address).Do(ctx, http.MethodPost, "/do", body)
	if err != nil {
		n.log.Debug("command not answered", "machine", a.Machine, "err", err)
		return
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		n.log.Info("command refused", "machine", a.Machine, "status", response.Status)
		return
	}
	heartbeat, err := protocol.ParseHeartbeat(response.Body)
	if err != nil {
		n.log.Info("command answered with an invalid heartbeat", "machine", a.Machine, "err", err)
		return
	}
	done.Answered, done.Executed, done.Heartbeat = true, response.Status == http.StatusOK, heartbeat
}
