package simulator

import (
	"fmt"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

type simWorker struct {
	world *world
	*fake.Worker
	target  int
	nextAt  time.Duration
	waiting bool
	due     time.Duration // when time next changes something on it, in an exact world
	// hung and deaf are until when it stands still, and until when it reports but gets
	// neither answers nor commands.
	hung, deaf time.Duration
	// mute is until when it reaches no controller, while commands reach it.
	mute time.Duration
}

func (w *world) boot(id protocol.MachineID, r protocol.ProvisionRequest) {
	var info protocol.TypeInfo
	for _, t := range w.types {
		if t.Name == r.Type {
			info = t
		}
	}
	sw := &simWorker{world: w, target: w.rng.IntN(w.settings.Site.Count), Worker: &fake.Worker{
		ID: id, Info: info, Zone: r.Zone, Spot: r.Spot, LeaseS: w.settings.Site.Workers.LeaseS, Results: w.results,
		GangWait: time.Duration(w.settings.Site.Workers.GangWaitS) * time.Second,
		Jobs:     func(j protocol.JobID) (protocol.Job, bool) { job, ok := w.jobs[j]; return job, ok },
		RunTime:  func(t protocol.TaskID) time.Duration { return w.runTime(t) }, // as it is when the task starts
		Saved:    w.saved,
		Mistaken: func(j protocol.JobID) bool { return w.mistaken[j] },
		Started:  w.taskStarted,
		Ended: func(m *fake.Worker, id protocol.TaskID, why protocol.EndCause) {
			w.endedTask(m.ID, id, why)
			if w.onMachine[id] == m {
				delete(w.onMachine, id)
			}
		},
	}}
	sw.Start(w.now)
	sw.nextAt = w.now + w.delay()
	w.workers[id] = sw
	w.order = append(w.order, id)
}

// tickWorker lets time pass on a machine before it is told something, in an exact
// world; elsewhere time passes for all at each step.
func (sw *simWorker) tickWorker() {
	w := sw.world
	if w.exact {
		sw.tick()
	}
}

func (sw *simWorker) tick() {
	w := sw.world
	session := sw.Session
	if w.now < sw.hung {
		sw.Skip(w.now)
	} else {
		sw.Tick(w.now)
	}
	if sw.Session != session {
		w.lapsed++
	}
}

// kill takes a machine away, with all on it.
func (w *world) kill(id protocol.MachineID) {
	if sw := w.workers[id]; sw != nil && !sw.Dead {
		for _, t := range sw.Tasks() {
			if w.onMachine[t] == sw.Worker {
				delete(w.onMachine, t)
			}
		}
		sw.Dead = true
		delete(w.cloud.Machines, id)
		w.gone(id)
	}
}

func (sw *simWorker) report() {
	w := sw.world
	if w.now < sw.hung {
		sw.nextAt = sw.hung + w.delay()
		return
	}
	if w.now < sw.mute {
		sw.target = (sw.target + 1) % len(w.nodes)
		sw.nextAt = w.now + time.Second
		return
	}
	sw.waiting = true
	sw.tickWorker()
	sent, r := w.now, sw.Report()
	if w.forNext && len(w.keptReports) < keptReportsMost {
		w.keptReports = append(w.keptReports, r)
	}
	n := w.nodes[sw.target]
	over := false
	next := func(d time.Duration) {
		over, sw.waiting = true, false
		sw.nextAt = w.now + d
	}
	w.after(4*time.Second, func() {
		if !over {
			sw.target = (sw.target + 1) % len(w.nodes)
			next(time.Second)
		}
	})
	if w.lateReports > 0 && w.rng.Float64() < w.lateReports {
		// Its answer goes to nobody, but whatever else it has the controller do.
		w.after(2*time.Second+time.Duration(w.rng.Float64()*2*w.settings.Site.Workers.LeaseS*float64(time.Second)), func() {
			n.stepNode(message.HeartbeatReceived{Heartbeat: r})
		})
	}
	n.carryToZone(sw.Zone, func() {
		if n.core == nil {
			if !over {
				sw.target = (sw.target + 1) % len(w.nodes)
				next(time.Second)
			}
			return
		}
		for _, a := range n.stepNode(message.HeartbeatReceived{Heartbeat: r}) {
			rr, ok := a.(message.ReplyHeartbeat)
			if !ok {
				continue
			}
			w.ordered(n, rr.Reply.Orders)
			var answer func()
			answer = func() {
				if over || w.now < sw.deaf || w.now < sw.mute {
					return
				}
				if w.now < sw.hung {
					w.after(sw.hung-w.now+w.delay(), answer)
					return
				}
				switch rr.Status {
				case 200:
					before := sw.Term
					sw.tickWorker()
					sw.Answer(r.AgentEpoch, sent, rr.Reply)
					sw.due = w.now
					next(time.Duration(w.settings.Site.Workers.ReportS * float64(time.Second)))
					if sw.Term != before || len(rr.Reply.Orders) > 0 {
						sw.nextAt = w.now + 500*time.Millisecond
					}
				case 421:
					var at int
					fmt.Sscanf(string(rr.Leader), "node-%d", &at)
					sw.target = at
					next(w.delay())
				default:
					sw.target = (sw.target + 1) % len(w.nodes)
					next(time.Second)
				}
			}
			w.after(w.workerDelay(), answer)
		}
	})
}

// keptReportsMost bounds the reports that are kept for a new view.
const keptReportsMost = 200

// deliverKept has the reports that were kept reach every controller within half a
// second, once a new view is there.
func (w *world) deliverKept() {
	it, _ := w.state.Get(record.ViewKey)
	if it.Version == w.viewAt {
		return
	}
	w.viewAt = it.Version
	for _, r := range w.keptReports {
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, func() { n.stepNode(message.HeartbeatReceived{Heartbeat: r}) })
		}
	}
	w.keptReports = nil
}

// gangs lets the tasks of gangs find one another, and notice who is gone.
func (w *world) gangs() {
	for _, id := range w.jobOrder {
		j := w.jobs[id]
		if j.Kind != protocol.KindGang || j.Tasks < 2 || w.final[id] != "" {
			continue
		}
		waiting, running := map[protocol.Attempt]int{}, map[protocol.Attempt]int{}
		each := func(do func(*simWorker, protocol.TaskID, protocol.Attempt, protocol.TaskState)) {
			for _, m := range w.order {
				for i := range j.Tasks {
					task := protocol.TaskID{Job: id, Index: i}
					if a, st, ok := w.workers[m].Gang(task); ok {
						do(w.workers[m], task, a, st)
					}
				}
			}
		}
		each(func(_ *simWorker, _ protocol.TaskID, a protocol.Attempt, st protocol.TaskState) {
			switch st {
			case protocol.TaskWaiting:
				waiting[a]++
			case protocol.TaskRunning:
				running[a]++
			}
		})
		each(func(m *simWorker, task protocol.TaskID, a protocol.Attempt, _ protocol.TaskState) {
			switch {
			case waiting[a] == int(j.Tasks):
				m.Meet(task)
			case running[a] > 0 && running[a] < int(j.Tasks):
				m.Part(task)
			}
		})
	}
}
