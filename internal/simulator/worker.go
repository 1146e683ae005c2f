package simulator

import (
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// worker is a simulated worker and its connection to the controllers.
type worker struct {
	*fake.Worker
	world         *world
	targetNode    int // index of the node that the heartbeats are sent to
	nextHeartbeat time.Duration
	awaitsReply   bool
	nextEvent     time.Duration // when the state of the worker next changes, in an event-driven world
	pausedUntil   time.Duration
	// inboundLostUntil is the time until which the worker's heartbeats arrive, but replies and
	// commands to it are lost.
	inboundLostUntil time.Duration
	// outboundLostUntil is the time until which the worker's heartbeats and the replies to them
	// are lost, but commands reach it.
	outboundLostUntil time.Duration
}

// bootMachine adds a machine that has booted and starts its worker, which sends its first
// heartbeat after a network delay to a random node.
func (w *world) bootMachine(id protocol.MachineID, r protocol.ProvisionRequest) {
	var info protocol.TypeInfo
	for _, t := range w.types {
		if t.Name == r.Type {
			info = t
		}
	}
	added := &worker{world: w, targetNode: w.rng.IntN(w.settings.Site.Count), Worker: &fake.Worker{
		ID: id, Info: info, Zone: r.Zone, Spot: r.Spot, LeaseS: w.settings.Site.Workers.LeaseS, Results: w.results,
		GangWait:     time.Duration(w.settings.Site.Workers.GangWaitS) * time.Second,
		JobByID:      func(j protocol.JobID) (protocol.Job, bool) { job, ok := w.jobs[j]; return job, ok },
		RunTime:      func(t protocol.TaskID) time.Duration { return w.runTime(t) }, // the hook as set when the task starts
		OnCheckpoint: w.onCheckpoint,
		IsFaultyJob:  func(j protocol.JobID) bool { return w.faultyJobs[j] },
		OnStarted:    w.checkStart,
		OnEnded: func(m *fake.Worker, id protocol.TaskID, cause protocol.EndCause) {
			w.onTaskEnded(m.ID, id, cause)
			if w.onMachine[id] == m {
				delete(w.onMachine, id)
			}
		},
	}}
	added.Start(w.now)
	added.nextHeartbeat = w.now + w.delay()
	w.workers[id] = added
	w.machineOrder = append(w.machineOrder, id)
}

// killMachine terminates a machine and all tasks on it. It does nothing if the machine has not
// booted or is terminated already.
func (w *world) killMachine(id protocol.MachineID) {
	if killed := w.workers[id]; killed != nil && !killed.Dead {
		for _, t := range killed.Tasks() {
			if w.onMachine[t] == killed.Worker {
				delete(w.onMachine, t)
			}
		}
		killed.Dead = true
		delete(w.cloud.Machines, id)
		w.onTerminated(id)
	}
}

// step advances the worker by one step and sends a heartbeat if one is due and none is in
// flight. In an event-driven world, it advances the worker only when its state is due to
// change, and then makes a heartbeat due within a step, which reports the change.
func (m *worker) step() {
	w := m.world
	switch {
	case !w.eventDriven:
		m.advance()
	case w.now >= m.nextEvent && !m.Dead:
		m.advance()
		if m.nextEvent = max(m.NextChangeAt(), w.now+1); !m.awaitsReply {
			m.nextHeartbeat = min(m.nextHeartbeat, w.now+w.step) // report the change
		}
	}
	if !m.Dead && !m.awaitsReply && w.now >= m.nextHeartbeat {
		m.sendHeartbeat()
	}
}

// advance advances the worker and its tasks to the current time; a paused worker's tasks do
// not run. It counts the expiry of the worker's lease.
func (m *worker) advance() {
	epoch := m.Epoch
	if m.world.now < m.pausedUntil {
		m.TickStalled(m.world.now)
	} else {
		m.Tick(m.world.now)
	}
	if m.Epoch != epoch {
		m.world.expiredLeases++
	}
}

// deferWhilePaused calls handle once the worker resumes, if it is paused, in any order with the
// other messages that it has received meanwhile, and reports whether it is paused.
func (m *worker) deferWhilePaused(handle func()) bool {
	w := m.world
	if w.now >= m.pausedUntil {
		return false
	}
	w.after(m.pausedUntil-w.now+w.delay(), handle)
	return true
}

// advanceBeforeMessage advances the worker before it handles a message, in an event-driven
// world. In other worlds all workers are advanced at each step.
func (m *worker) advanceBeforeMessage() {
	if m.world.eventDriven {
		m.advance()
	}
}
