package holds

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/record"
)

// The tasks of a job that ends count as started for the reservations that match it and whose
// current occurrence overlaps the period from endedLookback ago until endedLookahead from now.
const (
	endedLookback  = time.Minute
	endedLookahead = time.Hour
)

// endedTasks is the number of tasks of the ended jobs of one occurrence of a reservation.
type endedTasks struct {
	start reservation.Moment // start of the occurrence
	tasks int
}

// collectLiveJobs collects the live jobs of the classes that have a reservation among the
// given occurrences.
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

// OccurrenceProgress reports on the jobs of a reservation's current occurrence: whether one was
// submitted, how many tasks the reservation covers, and how many of these have started.
// Before a job is submitted the reservation covers all the tasks it is made for; after that,
// no more than its jobs have.
func (h *Holds) OccurrenceProgress(e *reservation.Entry) (submitted bool, desired, started int) {
	spec := &e.Reservation.Spec
	desired = spec.Tasks
	tasks := 0
	if ended := h.endedTasks[spec.Name]; ended != nil && ended.start == e.StartMS {
		submitted, tasks, started = true, ended.tasks, ended.tasks
	}
	for _, l := range h.candidateJobs(spec) {
		if h.Live[l.ID] != l || !reservation.MatchesJob(e.Reservation, &l.Job) {
			continue
		}
		progress, _ := h.progress(l.ID)
		submitted, tasks, started = true, tasks+int(l.Tasks), started+int(progress.Done+progress.Running)
	}
	if submitted {
		desired = min(desired, tasks)
	}
	return submitted, desired, min(started, desired)
}

// candidateJobs returns the jobs that a reservation may be for: the one that it names, or
// those of its class. Some of the latter may have ended since the last replication interval.
func (h *Holds) candidateJobs(spec *record.ReservationSpec) []*clusterstate.LiveJob {
	if spec.Job == "" {
		return h.liveByClass[spec.Class]
	}
	if l := h.Live[spec.Job]; l != nil {
		return []*clusterstate.LiveJob{l}
	}
	return nil
}

// CountEndedJob adds the tasks of a job that has ended to the ended tasks of the current
// occurrences that match it. It does nothing for a nil job.
func (h *Holds) CountEndedJob(l *clusterstate.LiveJob) {
	if !h.HasEntries || l == nil {
		return
	}
	now := h.WallTime()
	for _, e := range h.Calendar.DueReservations(reservation.After(now, -endedLookback), reservation.After(now, endedLookahead)) {
		if !reservation.MatchesJob(e.Reservation, &l.Job) {
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
