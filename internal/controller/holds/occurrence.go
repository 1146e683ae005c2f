package holds

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/record"
)

// A job that ends counts for the occurrences from endedBehind ago until endedAhead.
const (
	endedBehind = time.Minute
	endedAhead  = time.Hour
)

// endedTasks counts the tasks of the ended jobs of one occurrence.
type endedTasks struct {
	start reservation.Moment // of the occurrence
	tasks int
}

// collectLiveJobs collects the live jobs of the classes that have reservations among the
// occurrences.
func (h *Holds) collectLiveJobs(occurrences []reservation.Occurrence) {
	h.liveByClass = map[string][]*clusterstate.LiveJob{}
	for _, o := range occurrences {
		if !o.Window {
			h.liveByClass[h.Calendar.Reservation(o.Name).Reservation.Spec.Class] = nil
		}
	}
	for _, l := range h.Live {
		if _, reserved := h.liveByClass[l.Class]; reserved {
			h.liveByClass[l.Class] = append(h.liveByClass[l.Class], l)
		}
	}
}

// JobsOf reports on the jobs of a reservation's present occurrence: whether one was
// submitted, how many tasks the reservation is for, and how many of these have started.
func (h *Holds) JobsOf(e *reservation.Entry) (came bool, desired, started int) {
	spec := &e.Reservation.Spec
	desired = spec.Tasks
	tasks := 0
	if ended := h.endedTasks[spec.Name]; ended != nil && ended.start == e.StartMS {
		came, tasks, started = true, ended.tasks, ended.tasks
	}
	for _, l := range h.candidates(spec) {
		if h.Live[l.ID] != l || !reservation.Matches(e.Reservation, &l.Job) {
			continue
		}
		progress, _ := h.progress(l.ID)
		came, tasks, started = true, tasks+int(l.Tasks), started+int(progress.Done+progress.Running)
	}
	if came {
		desired = min(desired, tasks)
	}
	return came, desired, min(started, desired)
}

// candidates returns the jobs that a reservation may be for: the one that it names, or
// those of its class. Some of the latter may have ended since the last relay period.
func (h *Holds) candidates(spec *record.ReservationSpec) []*clusterstate.LiveJob {
	if spec.Job == "" {
		return h.liveByClass[spec.Class]
	}
	if l := h.Live[spec.Job]; l != nil {
		return []*clusterstate.LiveJob{l}
	}
	return nil
}

// JobEnded counts the tasks of a job that has ended for its reservation.
func (h *Holds) JobEnded(l *clusterstate.LiveJob) {
	if !h.HasEntries || l == nil {
		return
	}
	now := h.WallTime()
	for _, e := range h.Calendar.Due(reservation.After(now, -endedBehind), reservation.After(now, endedAhead)) {
		if !reservation.Matches(e.Reservation, &l.Job) {
			continue
		}
		ended := h.endedTasks[e.Name()]
		if ended == nil || ended.start != e.StartMS {
			ended = &endedTasks{start: e.StartMS}
			h.endedTasks[e.Name()] = ended
		}
		ended.tasks += int(l.Tasks)
	}
}
