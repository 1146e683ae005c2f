package simulator

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// frontend plays the actor around a controller's intake, as coordination.Node does.
type frontend struct {
	u           *users
	n           *node
	incarnation int // of the process that it belongs to
	in          *admission.Admission
	lastID      admission.RequestID
	replies     map[admission.RequestID]func(admission.Answer)
}

// begin makes the intake of a process that has begun, and says whether one is there.
func (f *frontend) begin() bool {
	w := f.u.world
	if f.n.core == nil {
		return false
	}
	if f.in != nil && f.incarnation == f.n.incarnation {
		return true
	}
	f.incarnation, f.in, f.replies = f.n.incarnation, admission.New(f.n.settings(), w.operator, quiet), map[admission.RequestID]func(admission.Answer){}
	f.step(admission.ConfigurationChanged{Effective: f.n.core.ConfigurationInForce()})
	if w.now > 0 { // some time passes before it knows the machine types
		f.n.afterIfAlive(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { f.step(admission.TypesRead{Types: w.types}) })
	} else {
		f.step(admission.TypesRead{Types: w.types})
	}
	return true
}

// requestUntilDone gives the process a request; nobody answers if there is none.
func (f *frontend) request(a admission.Request, reply func(admission.Answer)) {
	if !f.begin() {
		return
	}
	f.lastID++
	a.ID, a.WallMS = f.lastID, f.u.wallMS()
	f.replies[a.ID] = reply
	f.step(a)
}

// step has the process handle a message, when it goes on if it is paused.
func (f *frontend) step(msg any) {
	w := f.u.world
	if !f.begin() {
		return
	}
	if w.now < f.n.pausedUntil {
		f.n.afterIfAlive(f.n.pausedUntil-w.now, func() { f.step(msg) })
		return
	}
	for _, a := range f.in.Step(f.n.clock(), msg) {
		f.execute(a)
	}
}

// deliver gives the process a message after a while, unless it has ended by then.
func (f *frontend) deliver(d time.Duration, msg any) {
	f.n.afterIfAlive(d, func() { f.step(msg) })
}

func (f *frontend) execute(a admission.Action) {
	w := f.u.world
	switch a := a.(type) {
	case admission.Reply:
		reply := f.replies[a.ID]
		delete(f.replies, a.ID)
		f.u.recordAnswer(a.Answer)
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
		f.n.transact(a.Transaction, func(out message.Outcome, _ protocol.Revision) { f.step(admission.Written{ID: a.ID, Outcome: out}) })
	case admission.QueryCore:
		f.step(f.n.core.AnswerAdmissionQuery(a))
	case admission.Forward:
		p := f.u.front(a.To)
		w.send(string(f.n.name), string(a.To), func() {
			p.request(admission.Request{Operation: admission.Submit, Body: a.Body, Forwarded: true}, func(answer admission.Answer) {
				w.send(string(a.To), string(f.n.name), func() { f.deliver(0, admission.Forwarded{ID: a.ID, Answer: answer}) })
			})
		})
	case admission.Announce:
		f.u.halt(f, a)
	case admission.Wake:
		f.deliver(time.Duration(a.At-f.n.clock()), admission.Tick{})
	}
}

// read reads from the state service.
func (f *frontend) read(answer func() any, without func(message.Outcome) any) {
	w := f.u.world
	switch {
	case w.outageUntil <= w.now && !f.n.stateReachable() && w.partitions[string(f.n.name)+">state"].delayed:
		f.deliver(1500*time.Millisecond, without(message.OutcomeUnknown))
	case !f.n.stateReachable():
		f.deliver(w.delay(), without(message.OutcomeRefused))
	default:
		f.n.afterIfAlive(w.delay()+w.stateLatency/2, func() {
			got := answer()
			if w.rng.IntN(30) == 0 {
				f.deliver(1500*time.Millisecond, without(message.OutcomeUnknown))
				return
			}
			f.deliver(w.delay()+w.stateLatency/2, got)
		})
	}
}

// halt notifies a controller's core that a job is cancelled.
func (u *users) halt(f *frontend, a admission.Announce) {
	w := u.world
	if u.dropCancellations {
		f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To})
		return
	}
	to := u.front(a.To).n
	heard := func() {
		if to.core == nil {
			return
		}
		to.afterIfAlive(max(0, to.pausedUntil-w.now), func() {
			to.step(message.JobCancelled{Job: a.Job})
			w.send(string(a.To), string(f.n.name), func() { f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To}) })
		})
	}
	if to == f.n {
		to.step(message.JobCancelled{Job: a.Job})
		f.deliver(0, admission.AnnouncementAcknowledged{Job: a.Job, By: a.To})
		return
	}
	w.send(string(f.n.name), string(a.To), heard)
}

func (u *users) front(name protocol.NodeName) *frontend {
	return u.fronts[slices.IndexFunc(u.fronts, func(f *frontend) bool { return f.n.name == name })]
}
