package simulator

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// frontend runs the admission core of a node's process and executes its actions, as
// frontend.Frontend does.
type frontend struct {
	users       *users
	node        *node
	incarnation int // incarnation of the process that admission belongs to
	admission   *admission.Admission
	lastID      admission.RequestID
	replies     map[admission.RequestID]func(admission.Answer)
}

// ensureAdmission creates an admission core if the node's process has none yet. It returns
// false if the process is down.
func (f *frontend) ensureAdmission() bool {
	w := f.users.world
	if f.node.core == nil {
		return false
	}
	if f.admission != nil && f.incarnation == f.node.incarnation {
		return true
	}
	operator := w.operator
	operator.NodeLease = w.nodeLease
	f.incarnation, f.admission, f.replies = f.node.incarnation, admission.New(f.node.settings(), operator, discardLogger), map[admission.RequestID]func(admission.Answer){}
	f.step(admission.ConfigurationChanged{Effective: f.node.core.ConfigurationInForce()})
	if w.now > 0 { // a restarted process reads the machine types after a delay
		f.node.afterIfAlive(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { f.step(admission.TypesRead{Types: w.types}) })
	} else {
		f.step(admission.TypesRead{Types: w.types})
	}
	return true
}

// request passes a request to the process, which passes the answer to reply. If the process is
// down or ends before it answers, reply is never called.
func (f *frontend) request(a admission.Request, reply func(admission.Answer)) {
	if !f.ensureAdmission() {
		return
	}
	f.lastID++
	a.ID, a.WallMS = f.lastID, f.users.wallMS()
	f.replies[a.ID] = reply
	f.step(a)
}

// step passes a message to the admission core and executes its actions. If the process is
// paused, this happens when it resumes.
func (f *frontend) step(msg any) {
	w := f.users.world
	if !f.ensureAdmission() {
		return
	}
	if w.now < f.node.pausedUntil {
		f.node.afterIfAlive(f.node.pausedUntil-w.now, func() { f.step(msg) })
		return
	}
	for _, a := range f.admission.Step(f.node.clock(), msg) {
		f.execute(a)
	}
}

// deliver passes a message to the process after the duration d, unless the process has ended
// by then.
func (f *frontend) deliver(d time.Duration, msg any) {
	f.node.afterIfAlive(d, func() { f.step(msg) })
}

// execute carries out an action that the admission core has returned: it answers a user, reads
// or writes the key-value store, queries the node's core, or sends a message to another
// controller.
func (f *frontend) execute(a admission.Action) {
	w := f.users.world
	switch a := a.(type) {
	case admission.Reply:
		reply := f.replies[a.ID]
		delete(f.replies, a.ID)
		f.users.recordAnswer(a.Answer)
		w.after(w.delay(), func() { reply(a.Answer) })
	case admission.GetRecord:
		f.read(func() any {
			it, ok := w.state.Get(record.JobKey(a.Job))
			r := admission.RecordRead{ID: a.ID, Outcome: message.OutcomeFailed, Version: it.Version}
			if ok {
				r.Outcome = message.OutcomeDone
				if err := protocol.Decode(it.Value, &r.Record); err != nil {
					w.fail("%v", err)
				}
			}
			return r
		}, func(out message.Outcome) any { return admission.RecordRead{ID: a.ID, Outcome: out} })
	case admission.Compare:
		f.read(func() any {
			c := admission.Compared{Query: a.Query, Outcome: message.OutcomeDone}
			for _, cond := range a.Conditions {
				if it, _ := w.state.Get(cond.Key); it.Version != cond.Version {
					c.Outcome, c.Differing = message.OutcomeFailed, append(c.Differing, cond.Key)
				}
			}
			return c
		}, func(out message.Outcome) any { return admission.Compared{Query: a.Query, Outcome: out} })
	case admission.Write:
		f.node.transact(a.Transaction, func(out message.Outcome, at protocol.Revision) {
			f.step(admission.Written{ID: a.ID, Outcome: out, Revision: at})
		})
	case admission.QueryCore:
		f.step(f.node.core.AnswerAdmissionQuery(a))
	case admission.Forward:
		p := f.users.frontendOf(a.To)
		w.send(string(f.node.name), string(a.To), func() {
			p.request(admission.Request{Operation: admission.Submit, Body: a.Body, Forwarded: true}, func(answer admission.Answer) {
				w.send(string(a.To), string(f.node.name), func() { f.deliver(0, admission.Forwarded{ID: a.ID, Answer: answer}) })
			})
		})
	case admission.Announce:
		f.users.announceCancellation(f, a)
	case admission.Wake:
		f.deliver(time.Duration(a.At-f.node.clock()), admission.Tick{})
	}
}

// read calls query, which reads from the key-value store, and delivers the result to the
// process. If the key-value store is unreachable or the reply is lost, as one in thirty is, it
// delivers the result of failed with the outcome instead.
func (f *frontend) read(query func() any, failed func(message.Outcome) any) {
	w := f.users.world
	switch {
	case w.outageUntil <= w.now && !f.node.stateReachable() && w.partitions[string(f.node.name)+">state"].delayed:
		f.deliver(1500*time.Millisecond, failed(message.OutcomeUnknown))
	case !f.node.stateReachable():
		f.deliver(w.delay(), failed(message.OutcomeRefused))
	default:
		f.node.afterIfAlive(w.delay()+w.stateLatency/2, func() {
			got := query()
			if w.rng.IntN(30) == 0 {
				f.deliver(1500*time.Millisecond, failed(message.OutcomeUnknown))
				return
			}
			f.deliver(w.delay()+w.stateLatency/2, got)
		})
	}
}

// announceCancellation notifies a controller's core that a job is cancelled, and acknowledges
// this to the controller that sent the announcement. With dropCancellations, it acknowledges
// without notifying.
func (u *users) announceCancellation(f *frontend, a admission.Announce) {
	w := u.world
	if u.dropCancellations {
		f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To})
		return
	}
	to := u.frontendOf(a.To).node
	deliver := func() {
		if to.core == nil {
			return
		}
		to.afterIfAlive(max(0, to.pausedUntil-w.now), func() {
			to.step(message.JobCancelled{Job: a.Job})
			w.send(string(a.To), string(f.node.name), func() { f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To}) })
		})
	}
	if to == f.node {
		to.step(message.JobCancelled{Job: a.Job})
		f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To})
		return
	}
	w.send(string(f.node.name), string(a.To), deliver)
}

// frontendOf returns the frontend of the node with a name.
func (u *users) frontendOf(name protocol.NodeName) *frontend {
	return u.frontends[slices.IndexFunc(u.frontends, func(f *frontend) bool { return f.node.name == name })]
}
