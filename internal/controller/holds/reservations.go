package holds

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// CalendarRecord takes over a record of the calendar.
func (rh *Holds) CalendarRecord(f record.FollowedKey, value protocol.RawValue, version protocol.Version) (err error) {
	pr := rh
	switch {
	case f.Calendar:
		var r record.Calendar
		err = protocol.Decode(value, &r)
		pr.Version, pr.Changes = version, r.Changes
	case f.Reservation != "":
		var r record.Reservation
		if err = protocol.Decode(value, &r); err == nil {
			err = pr.Calendar.PutReservation(r, version, rh.WallTime())
			if r.State != record.Accepted && r.State != record.Holding {
				rh.dropHolds(r.Spec.Name)
			}
		}
	case f.Window != "":
		var w record.Window
		if err = protocol.Decode(value, &w); err == nil {
			err = pr.Calendar.PutWindow(w, version, rh.WallTime())
		}
	}
	rh.reservationsChanged()
	return err
}

// CalendarDeleted takes over that a record was deleted.
func (rh *Holds) CalendarDeleted(f record.FollowedKey) {
	if f.Reservation != "" {
		rh.Calendar.Drop(false, f.Reservation)
		rh.dropHolds(f.Reservation)
	} else {
		rh.Calendar.Drop(true, f.Window)
	}
	rh.reservationsChanged()
}

// reservationsChanged notes whether there is anything in the book. What machines
// run is told from then on.
func (rh *Holds) reservationsChanged() {
	is := !rh.Calendar.Empty()
	if is == rh.Any {
		return
	}
	rh.Any = is
	rh.announce()
}

// windowsAhead is for how long ahead windows are looked at when something is
// placed: more than tasks are likely to run.
const windowsAhead = 24 * time.Hour

// Refresh reckons once a relay period what is open, held and claimed now.
func (rh *Holds) Refresh() {
	pr := rh
	if !pr.Any && len(pr.List) == 0 {
		return
	}
	now, off := rh.WallTime(), rh.Settings.Site.ClockError()
	pr.Calendar.Extend(now)
	pr.Windows, pr.teamClaims = nil, map[protocol.Team][]teamClaim{}
	soon := pr.Calendar.Overlapping(reservation.After(now, -2*off), reservation.After(now, windowsAhead))
	pr.liveByClass = map[string][]*clusterstate.LiveJob{}
	for _, o := range soon {
		if !o.Window {
			pr.liveByClass[pr.Calendar.Reservation(o.Name).Reservation.Spec.Class] = nil
		}
	}
	for _, l := range rh.Live {
		if _, asked := pr.liveByClass[l.Class]; asked {
			pr.liveByClass[l.Class] = append(pr.liveByClass[l.Class], l)
		}
	}
	for _, o := range soon {
		if o.Window {
			pr.Windows = append(pr.Windows, clusterstate.OpenWindow{Spec: &pr.Calendar.Window(o.Name).Window.Spec, Start: reservation.After(o.Start, -off), End: reservation.After(o.End, off)})
		}
	}
	for _, e := range pr.Calendar.Due(reservation.After(now, -2*off), reservation.After(now, windowsAhead)) {
		rh.claimLimit(e)
	}
	rh.computeReserved()
}

// computeReserved reckons what of each machine's room is held now.
func (rh *Holds) computeReserved() {
	now := rh.WallTime()
	for _, m := range rh.table.Machines {
		m.Reserved = clusterstate.ReservedBy(rh.Holds[m.ID], now)
	}
}

// claimLimit notes what of its team's limit a reservation claims, as far as it
// has not been used.
func (rh *Holds) claimLimit(e *reservation.Entry) {
	s := &e.Reservation.Spec
	if !e.Active() || !rh.Limited(s.Team) {
		return
	}
	_, wanted, started := rh.JobsOf(e)
	if n := float64(wanted - started); n > 0 {
		rh.teamClaims[s.Team] = append(rh.teamClaims[s.Team], teamClaim{s.Name, reservation.Size(s).Times(n), e.StartMS})
	}
}

// JobsOf is what became of the jobs of a reservation's present occurrence:
// whether one came, and how many of the tasks that are within it have started.
func (rh *Holds) JobsOf(e *reservation.Entry) (came bool, wanted, started int) {
	wanted = e.Reservation.Spec.Tasks
	tasks := 0
	if s := rh.seenJobs[e.Reservation.Spec.Name]; s != nil && s.start == e.StartMS {
		came, tasks, started = true, s.tasks, s.tasks
	}
	each := func(l *clusterstate.LiveJob) {
		if reservation.Matches(e.Reservation, &l.Job) {
			g, _ := rh.progress(l.ID)
			came, tasks, started = true, tasks+int(l.Tasks), started+int(g.Done+g.Running)
		}
	}
	if id := e.Reservation.Spec.Job; id != "" {
		if l := rh.Live[id]; l != nil {
			each(l)
		}
	} else {
		for _, l := range rh.liveByClass[e.Reservation.Spec.Class] {
			if rh.Live[l.ID] == l {
				each(l)
			}
		}
	}
	if came {
		wanted = min(wanted, tasks)
	}
	return came, wanted, min(started, wanted)
}

// JobEnded remembers a job of a reservation that is over.
func (rh *Holds) JobEnded(l *clusterstate.LiveJob) {
	if !rh.Any || l == nil {
		return
	}
	now := rh.WallTime()
	for _, e := range rh.Calendar.Due(reservation.After(now, -time.Minute), reservation.After(now, time.Hour)) {
		if !reservation.Matches(e.Reservation, &l.Job) {
			continue
		}
		s := rh.seenJobs[e.Name()]
		if s == nil || s.start != e.StartMS {
			s = &seenJob{start: e.StartMS}
			rh.seenJobs[e.Name()] = s
		}
		s.tasks += int(l.Tasks)
	}
}
