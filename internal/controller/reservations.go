package controller

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// reservationState is what a controller reckons of the calendar as an owner, and as the
// one that chooses where room is held.
type reservationState struct {
	*clusterstate.Reservations

	written Time // when the list was last written
	stale   bool // it has changed since
	// heldVersion is that of the list in the records, as followed.
	heldVersion protocol.Version
	number      uint64 // of the list, by the controller that chose it
	teams       map[protocol.Team][]teamClaim

	// byClass are the live jobs of the classes that something is due for within
	// windowsAhead, as of the last relay period.
	byClass map[string][]*clusterstate.LiveJob
	seen    map[reservation.Name]*seenJob
	demands []reservation.Demand               // as last chosen for
	short   map[reservation.Name]int           // tasks that no sure room is held for, as last chosen
	missing map[reservation.Name]int           // of these, unlikely to have any in time
	zones   map[reservation.Name]protocol.Zone // where one that needs one zone is held
	risk    map[reservation.Name]string        // of the present occurrences
	swept   Time                               // when all reservations were last looked at
	write   map[reservation.Name]bool          // transactions under way
}

// teamClaim is what of a team's limit is promised from a time on.
type teamClaim struct {
	of   reservation.Name
	need resource.Amount
	from reservation.Moment
}

// seenJob is what was seen of the jobs of one occurrence that are over.
type seenJob struct {
	start reservation.Moment
	tasks int
}

func newReservationState(p *clusterstate.Reservations) reservationState {
	return reservationState{
		Reservations: p, seen: map[reservation.Name]*seenJob{}, short: map[reservation.Name]int{}, zones: map[reservation.Name]protocol.Zone{},
		risk: map[reservation.Name]string{}, write: map[reservation.Name]bool{},
	}
}

// calendarRecord takes over a record of the calendar.
func (c *Core) calendarRecord(f record.FollowedKey, value protocol.RawValue, version protocol.Version) (err error) {
	pr := &c.reservations
	switch {
	case f.Calendar:
		var r record.Calendar
		err = protocol.Decode(value, &r)
		pr.Version, pr.Changes = version, r.Changes
	case f.Reservation != "":
		var r record.Reservation
		if err = protocol.Decode(value, &r); err == nil {
			err = pr.Calendar.PutReservation(r, version, c.WallTime())
			if r.State != record.Accepted && r.State != record.Holding {
				c.dropHolds(r.Spec.Name)
			}
		}
	case f.Window != "":
		var w record.Window
		if err = protocol.Decode(value, &w); err == nil {
			err = pr.Calendar.PutWindow(w, version, c.WallTime())
		}
	}
	c.reservationsChanged()
	return err
}

// calendarDeleted takes over that a record was deleted.
func (c *Core) calendarDeleted(f record.FollowedKey) {
	if f.Reservation != "" {
		c.reservations.Calendar.Drop(false, f.Reservation)
		c.dropHolds(f.Reservation)
	} else {
		c.reservations.Calendar.Drop(true, f.Window)
	}
	c.reservationsChanged()
}

// dropHolds frees at once what was held for a reservation that is over: a controller
// that hears of that before the next list does not wait for it.
func (c *Core) dropHolds(n reservation.Name) {
	held := func(h reservation.Hold) bool { return h.For == n }
	if slices.ContainsFunc(c.reservations.List, held) {
		c.setHolds(slices.DeleteFunc(slices.Clone(c.reservations.List), held))
	}
}

// reservationsChanged notes whether there is anything in the book. What machines
// run is told from then on.
func (c *Core) reservationsChanged() {
	is := !c.reservations.Calendar.Empty()
	if is == c.reservations.Any {
		return
	}
	c.reservations.Any = is
	c.dispatcher.TouchAll()
}

// windowsAhead is for how long ahead windows are looked at when something is
// placed: more than tasks are likely to run.
const windowsAhead = 24 * time.Hour

// refreshReservations reckons once a relay period what is open, held and claimed now.
func (c *Core) refreshReservations() {
	pr := &c.reservations
	if !pr.Any && len(pr.List) == 0 {
		return
	}
	now, off := c.WallTime(), c.Settings.Site.ClockError()
	pr.Calendar.Extend(now)
	pr.Windows, pr.teams = nil, map[protocol.Team][]teamClaim{}
	soon := pr.Calendar.Overlapping(reservation.After(now, -2*off), reservation.After(now, windowsAhead))
	pr.byClass = map[string][]*clusterstate.LiveJob{}
	for _, o := range soon {
		if !o.Window {
			pr.byClass[pr.Calendar.Reservation(o.Name).Reservation.Spec.Class] = nil
		}
	}
	for _, l := range c.Live {
		if _, asked := pr.byClass[l.Class]; asked {
			pr.byClass[l.Class] = append(pr.byClass[l.Class], l)
		}
	}
	for _, o := range soon {
		if o.Window {
			pr.Windows = append(pr.Windows, clusterstate.OpenWindow{Spec: &pr.Calendar.Window(o.Name).Window.Spec, Start: reservation.After(o.Start, -off), End: reservation.After(o.End, off)})
		}
	}
	for _, e := range pr.Calendar.Due(reservation.After(now, -2*off), reservation.After(now, windowsAhead)) {
		c.claimLimit(e)
	}
	c.computeReserved()
}

// computeReserved reckons what of each machine's room is held now.
func (c *Core) computeReserved() {
	now := c.WallTime()
	for _, m := range c.machines {
		m.reserved = clusterstate.ReservedBy(c.reservations.Holds[m.ID], now)
	}
}

// claimLimit notes what of its team's limit a reservation claims, as far as it
// has not been used.
func (c *Core) claimLimit(e *reservation.Entry) {
	s := &e.Reservation.Spec
	if !e.Active() || !c.Limited(s.Team) {
		return
	}
	_, wanted, started := c.jobsOf(e)
	if n := float64(wanted - started); n > 0 {
		c.reservations.teams[s.Team] = append(c.reservations.teams[s.Team], teamClaim{s.Name, reservation.Size(s).Times(n), e.StartMS})
	}
}

// jobsOf is what became of the jobs of a reservation's present occurrence:
// whether one came, and how many of the tasks that are within it have started.
func (c *Core) jobsOf(e *reservation.Entry) (came bool, wanted, started int) {
	wanted = e.Reservation.Spec.Tasks
	tasks := 0
	if s := c.reservations.seen[e.Reservation.Spec.Name]; s != nil && s.start == e.StartMS {
		came, tasks, started = true, s.tasks, s.tasks
	}
	each := func(l *clusterstate.LiveJob) {
		if reservation.Matches(e.Reservation, &l.Job) {
			g, _ := c.JobProgress(l.ID)
			came, tasks, started = true, tasks+int(l.Tasks), started+int(g.Done+g.Running)
		}
	}
	if id := e.Reservation.Spec.Job; id != "" {
		if l := c.Live[id]; l != nil {
			each(l)
		}
	} else {
		for _, l := range c.reservations.byClass[e.Reservation.Spec.Class] {
			if c.Live[l.ID] == l {
				each(l)
			}
		}
	}
	if came {
		wanted = min(wanted, tasks)
	}
	return came, wanted, min(started, wanted)
}

// reservedJobOver remembers a job of a reservation that is over.
func (c *Core) reservedJobOver(l *clusterstate.LiveJob) {
	if !c.reservations.Any || l == nil {
		return
	}
	now := c.WallTime()
	for _, e := range c.reservations.Calendar.Due(reservation.After(now, -time.Minute), reservation.After(now, time.Hour)) {
		if !reservation.Matches(e.Reservation, &l.Job) {
			continue
		}
		s := c.reservations.seen[e.Name()]
		if s == nil || s.start != e.StartMS {
			s = &seenJob{start: e.StartMS}
			c.reservations.seen[e.Name()] = s
		}
		s.tasks += int(l.Tasks)
	}
}
