package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/outcome"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/serviceclient"
	"damsonkeel/internal/transport"
)

// tickInterval is the time between two ticks, each of which has Admission do the work that is
// due by the clock.
const tickInterval = 100 * time.Millisecond

// Run runs the actor around Admission: it passes users' requests, results of actions,
// configurations and ticks to Admission one at a time, and executes the actions that Admission
// returns. It returns when the context ends, and so do the goroutines that it has started.
func (f *Frontend) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case msg := <-f.mailbox:
			if request, ok := msg.(userRequest); ok {
				f.replies[request.ID] = request.reply
				msg = request.Request
			}
			f.step(ctx, msg)
		case effective := <-f.configurations:
			f.step(ctx, admission.ConfigurationChanged{Effective: effective})
		case <-ticker.C:
			f.step(ctx, admission.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// SetConfiguration passes the configuration in force to Admission. It replaces one that Admission
// has not received yet. Only one goroutine may call it: the core's actor.
func (f *Frontend) SetConfiguration(effective *dynamicconfig.Effective) {
	select {
	case <-f.configurations:
	default:
	}
	f.configurations <- effective
}

// SetMachineTypes passes the machine types as last read from the cloud to Admission. It blocks
// while the mailbox is full.
func (f *Frontend) SetMachineTypes(ctx context.Context, types []protocol.TypeInfo) {
	f.post(ctx, admission.TypesRead{Types: types})
}

// enqueueRequest gives a user's request an ID and the time of day and puts it into the mailbox,
// or refuses it at once with 503 if the mailbox is full.
func (f *Frontend) enqueueRequest(request admission.Request, reply transport.Reply) {
	request.ID, request.WallMS = admission.RequestID(f.lastRequest.Add(1)), time.Now().UnixMilli()
	select {
	case f.mailbox <- userRequest{request, reply}:
	default:
		reply(Failure(http.StatusServiceUnavailable, "too many requests at once"))
	}
}

// post sends a message to the actor. It blocks while the mailbox is full, and drops the message
// if the context ends meanwhile.
func (f *Frontend) post(ctx context.Context, msg any) {
	select {
	case f.mailbox <- msg:
	case <-ctx.Done():
	}
}

// step has Admission handle a message, and then the messages that executing the resulting
// actions has added to stepQueue.
func (f *Frontend) step(ctx context.Context, msg any) {
	f.stepQueue = append(f.stepQueue, msg)
	for len(f.stepQueue) > 0 {
		next := f.stepQueue[0]
		f.stepQueue = f.stepQueue[1:]
		for _, action := range f.admission.Step(f.controller.Now(), next) {
			f.executeAction(ctx, action)
		}
	}
}

// executeAction executes an action of Admission: it answers a request, reads or writes records,
// queries the core, forwards a submission, announces a cancellation, or requests a tick at a
// given time. It never blocks: a goroutine executes each action that takes time, and posts the
// result.
func (f *Frontend) executeAction(ctx context.Context, action admission.Action) {
	switch a := action.(type) {
	case admission.Reply:
		f.replies[a.ID](response(a.Answer))
		delete(f.replies, a.ID)
	case admission.GetRecord:
		go func() { f.post(ctx, f.readJob(ctx, a)) }()
	case admission.Write:
		go func() { f.post(ctx, f.write(ctx, a)) }()
	case admission.QueryCore:
		f.queryCore(ctx, a)
	case admission.Compare:
		go func() { f.post(ctx, f.compare(ctx, a)) }()
	case admission.Forward:
		go func() { f.post(ctx, f.forward(a)) }()
	case admission.Announce:
		f.announce(ctx, a)
	case admission.Wake:
		time.AfterFunc(time.Duration(a.At-f.controller.Now()), func() { f.post(ctx, admission.Tick{}) })
	}
}

// queryCore asks the core for the state of live jobs, the peers that hold their lease and the
// members. If the core is too busy, Admission gets an answer without any of these.
func (f *Frontend) queryCore(ctx context.Context, query admission.QueryCore) {
	answer := func(answered admission.CoreAnswered) { f.post(ctx, answered) }
	if !f.controller.QueryCore(query, answer) {
		f.stepQueue = append(f.stepQueue, admission.CoreAnswered{Query: query.Query})
	}
}

// announce notifies a controller, which may be this one, of a cancellation, and posts the
// acknowledgement to Admission. If the controller does not acknowledge it, nothing is posted.
func (f *Frontend) announce(ctx context.Context, a admission.Announce) {
	announced := func() { f.post(ctx, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To}) }
	if a.To == f.settings.Name {
		f.controller.CancelJob(a.Job, announced)
		return
	}
	go func() {
		if err := f.controller.AnnounceCancellation(a.To, a.Job); err != nil {
			f.log.Debug("cancellation not announced", "err", err)
			return
		}
		announced()
	}()
}

// write executes a transaction on job records and returns its outcome.
func (f *Frontend) write(ctx context.Context, a admission.Write) admission.Written {
	revision, err := f.store.CompareAndSwap(ctx, a.Transaction, kvstore.PriorityHigh)
	if errors.Is(err, serviceclient.ErrMalformed) {
		f.log.Error("job record refused by the key-value store", "err", err)
	}
	return admission.Written{ID: a.ID, Outcome: outcome.Of(err), Revision: revision}
}

// compare asks the key-value store whether conditions hold, and returns the keys that it
// reported to differ.
func (f *Frontend) compare(ctx context.Context, a admission.Compare) admission.Compared {
	differingKeys, err := f.store.Compare(ctx, a.Conditions)
	return admission.Compared{Query: a.Query, Outcome: outcome.Of(err), Differing: differingKeys}
}

// forward sends a submission to a peer and waits for the peer's answer, which is empty (status
// 0) if the peer did not answer.
func (f *Frontend) forward(a admission.Forward) admission.Forwarded {
	answer, err := f.controller.ForwardSubmission(a.To, a.Body)
	if err != nil {
		f.log.Debug("submission not forwarded", "err", err)
	}
	return admission.Forwarded{ID: a.ID, Answer: answer}
}

// readJob reads a job's record. OutcomeDone means that it was read, OutcomeFailed that it does
// not exist, OutcomeRefused that the request was not executed, and OutcomeUnknown any other
// error, such as a record that can't be decoded.
func (f *Frontend) readJob(ctx context.Context, a admission.GetRecord) admission.RecordRead {
	item, err := f.store.Get(ctx, record.JobKey(a.Job))
	read := admission.RecordRead{ID: a.ID, Outcome: outcome.Of(err), Version: item.Version}
	if err == nil {
		err = protocol.Decode(item.Value, &read.Record)
	}
	switch {
	case errors.Is(err, serviceclient.ErrNotFound):
		read.Outcome = message.OutcomeFailed
	case err != nil && read.Outcome != message.OutcomeRefused:
		read.Outcome = message.OutcomeUnknown
	}
	return read
}
