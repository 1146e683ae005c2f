package simulator

import (
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// worker is a simulated worker with its connection to the controllers.
type worker struct {
	*fake.Worker
	world         *world
	target        int // index of the node that gets the heartbeats
	nextHeartbeat time.Duration
	awaitsAnswer  bool
	nextEvent     time.Duration // when time next changes something on it, in an event-driven world
	pausedUntil   time.Duration
	// inboundLostUntil is until when its heartbeats arrive, but it gets neither answers nor
	// commands.
	inboundLostUntil time.Duration
	// outboundLostUntil is until when it reaches no controller, but commands reach it.
	outboundLostUntil time.Duration
}

// bootMachine adds a machine that has booted, with its worker.
func (w *world) bootMachine(id protocol.MachineID, r protocol.ProvisionRequest) {
	var info protocol.TypeInfo
	for _, t := range w.types {
		if t.Name == r.Type {
			info = t
		}
	}
	added := &worker{world: w, target: w.rng.IntN(w.settings.Site.Count), Worker: &fake.Worker{
		ID: id, Info: info, Zone: r.Zone, Spot: r.Spot, LeaseS: w.settings.Site.Workers.LeaseS, Results: w.results,
		GangWait:     time.Duration(w.settings.Site.Workers.GangWaitS) * time.Second,
		Jobs:         func(j protocol.JobID) (protocol.Job, bool) { job, ok := w.jobs[j]; return job, ok },
		RunTime:      func(t protocol.TaskID) time.Duration { return w.runTime(t) }, // as it is when the task starts
		OnCheckpoint: w.onCheckpoint,
		IsFaulty:     func(j protocol.JobID) bool { return w.faultyJobs[j] },
		Started:      w.checkStart,
		Ended: func(m *fake.Worker, id protocol.TaskID, cause protocol.EndCause) {
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

// killMachine removes a machine with all that runs on it.
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

// step lets a step pass on a worker, which sends a heartbeat if it is time.
func (m *worker) step() {
	w := m.world
	switch {
	case !w.eventDriven:
		m.advance()
	case w.now >= m.nextEvent && !m.Dead:
		m.advance()
		if m.nextEvent = max(m.NextChange(), w.now+1); !m.awaitsAnswer {
			m.nextHeartbeat = min(m.nextHeartbeat, w.now+w.step) // something changed
		}
	}
	if !m.Dead && !m.awaitsAnswer && w.now >= m.nextHeartbeat {
		m.sendHeartbeat()
	}
}

// advance lets the time until now pass on a worker.
func (m *worker) advance() {
	epoch := m.Epoch
	if m.world.now < m.pausedUntil {
		m.Skip(m.world.now)
	} else {
		m.Tick(m.world.now)
	}
	if m.Epoch != epoch {
		m.world.expiredLeases++
	}
}

// advanceBeforeMessage lets time pass on a worker before it gets a message, in an
// event-driven world; otherwise time passes for all at each step.
func (m *worker) advanceBeforeMessage() {
	if m.world.eventDriven {
		m.advance()
	}
}
