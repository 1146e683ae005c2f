package operatorrequest

import (
	"slices"

	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Decision is what the core answers to an operator's request: the answer, and
// the transaction that has to hold first, if any.
type Decision struct {
	Reply       operatorapi.Reply
	Transaction *protocol.Transaction
}

func refuse(code operatorapi.Code, reason string) Decision {
	return Decision{Reply: operatorapi.Reply{Code: code, Reason: reason}}
}

// Handler answers operators' requests.
type Handler struct {
	clusterstate.Module
	members      *membership.Members
	table        *waittable.Table
	reservations *holds.Holds
	planner      *autoscaler.ReservationPlanner
}

// New makes a handler of operators' requests.
func New(p clusterstate.Module, members *membership.Members, table *waittable.Table, held *holds.Holds, planner *autoscaler.ReservationPlanner) *Handler {
	return &Handler{Module: p, members: members, table: table, reservations: held, planner: planner}
}

// facts is what decisions on the calendar know of the site.
func (ops *Handler) facts() *reservation.Facts {
	return &reservation.Facts{
		Types: ops.Types, Most: ops.Op.Machines,
		Team: func(name protocol.Team) (config.Team, bool) {
			t, ok := ops.Team(name)
			return t.Team, ok
		},
		Machine: func(id protocol.MachineID) (protocol.MachineType, protocol.Zone, bool) {
			m := ops.table.Machines[id]
			if m == nil {
				return "", "", false
			}
			return m.Record.Type, m.Record.Zone, true
		},
	}
}

func (ops *Handler) Decide(by string, r *operatorapi.Request) Decision {
	if ops.Session == 0 || len(ops.Types) == 0 || ops.WallMS == 0 {
		return refuse(operatorapi.Later, "not ready")
	}
	if r.Config == nil {
		r.Config = &operatorapi.ConfigRequest{}
	}
	switch {
	case r.Op == operatorapi.OpConfig:
		return ops.showConfiguration(r)
	case r.Op == operatorapi.OpConfigure:
		return ops.configure(by, r)
	case r.Op == operatorapi.OpConfigStatus:
		return ops.configurationStatus()
	case r.Op == operatorapi.OpShares:
		return ops.listShards()
	case r.Op == operatorapi.OpMove:
		return ops.moveShards(r)
	case r.Op == operatorapi.OpAway:
		return ops.moveAllAway(r)
	case r.Op == operatorapi.OpList || r.Op == operatorapi.OpShow:
		return ops.showReserved(r)
	case r.Op == operatorapi.OpCancel:
		return ops.cancelReserved(r)
	case r.Op == operatorapi.OpAdd && !r.Window && r.Reservation != nil:
		return ops.addReservation(by, r)
	case r.Op == operatorapi.OpAdd && r.Window && r.Spec != nil:
		return ops.addWindow(by, r)
	}
	return refuse(operatorapi.Refused, "no such operation")
}

func (ops *Handler) addReservation(by string, r *operatorapi.Request) Decision {
	pr, s := ops.reservations, *r.Reservation
	if err := reservation.CheckReservation(&s); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	have := pr.Calendar.Reservation(s.Name)
	if have != nil && r.ID != "" && have.Reservation.Request == r.ID {
		return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Reservations: []operatorapi.Reservation{ops.reservationView(have)}}}
	}
	if have != nil && !r.Replace && have.State != record.Cancelled && have.State != record.Used && have.State != record.Expired {
		return refuse(operatorapi.Refused, "there is a reservation of this name")
	}
	if !pr.Calendar.Complete() {
		return refuse(operatorapi.Later, "the calendar is still being read, or is full")
	}
	a := pr.Calendar.DecideReservation(&s, ops.facts(), ops.WallTime())
	d := answered(a)
	if !a.OK {
		return d
	}
	rec := record.Reservation{
		Spec: s, Request: r.ID, By: by, MadeMS: ops.WallTime(), Order: pr.Changes + 1, State: record.Accepted, StartMS: a.First[0],
	}
	if r.DryRun {
		rec.State = record.Proposed
	} else {
		d.Transaction = ops.changeCalendar(record.ReservationKey(s.Name), versionOf(have), rec)
	}
	d.Reply.Reservations = []operatorapi.Reservation{{Reservation: rec}}
	return d
}

func (ops *Handler) addWindow(by string, r *operatorapi.Request) Decision {
	pr, s := ops.reservations, *r.Spec
	if err := reservation.CheckWindow(&s); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	have := pr.Calendar.Window(s.Name)
	if have != nil && r.ID != "" && have.Window.Request == r.ID {
		return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Windows: []operatorapi.Window{ops.windowView(have)}}}
	}
	if have != nil && !r.Replace && !have.Cancelled {
		return refuse(operatorapi.Refused, "there is a window of this name")
	}
	if !pr.Calendar.Complete() {
		return refuse(operatorapi.Later, "the calendar is still being read, or is full")
	}
	a := pr.Calendar.DecideWindow(&s, ops.facts(), ops.WallTime())
	d := answered(a)
	if !a.OK {
		return d
	}
	rec := record.Window{Spec: s, Request: r.ID, By: by, MadeMS: ops.WallTime()}
	if !r.DryRun {
		d.Transaction = ops.changeCalendar(record.WindowKey(s.Name), versionOf(have), rec)
	}
	d.Reply.Windows = []operatorapi.Window{{Window: rec, NextMS: a.First[0], Overruns: ops.overruns(&s, a.First[0])}}
	return d
}

func answered(a reservation.Answer) Decision {
	code := operatorapi.Done
	if !a.OK {
		code = operatorapi.Refused
	}
	return Decision{Reply: operatorapi.Reply{Code: code, Reason: a.Reason, InTheWay: a.InTheWay, Beside: a.Beside, FirstMS: a.First}}
}

func versionOf(e *reservation.Entry) protocol.Version {
	if e == nil {
		return 0
	}
	return e.Version
}

// changeCalendar puts a record, if neither it nor any other promise has changed
// since this was decided.
func (ops *Handler) changeCalendar(key string, version protocol.Version, value any) *protocol.Transaction {
	return &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.CalendarKey, Version: ops.reservations.Version}, {Key: key, Version: version}},
		Changes: []protocol.Change{
			{Put: key, Value: value},
			{Put: record.CalendarKey, Value: record.Calendar{Changes: ops.reservations.Changes + 1}},
		},
	}
}

func (ops *Handler) cancelReserved(r *operatorapi.Request) Decision {
	pr := ops.reservations
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "cancelled"}
	e, what := pr.Calendar.Reservation(r.Name), "reservation"
	if r.Window {
		e, what = pr.Calendar.Window(r.Name), "window"
	}
	switch {
	case e == nil:
		return refuse(operatorapi.NotFound, "no "+what+" of this name")
	case r.Made != 0 && e.Made() != r.Made:
		return refuse(operatorapi.Refused, "it was made anew since")
	case !e.Valid():
		return Decision{Reply: done}
	case r.Window:
		rec := *e.Window
		rec.Cancelled = true
		return Decision{done, ops.changeCalendar(record.WindowKey(r.Name), e.Version, rec)}
	}
	rec := *e.Reservation
	rec.State, rec.Risk, rec.RiskMS = record.Cancelled, "", 0
	return Decision{done, ops.changeCalendar(record.ReservationKey(r.Name), e.Version, rec)}
}

// listed at once: an answer is at most as large as a request.
const listedMost = 40

func (ops *Handler) showReserved(r *operatorapi.Request) Decision {
	pr := ops.reservations
	reply := operatorapi.Reply{Code: operatorapi.Done}
	if r.Op == operatorapi.OpShow {
		e := pr.Calendar.Reservation(r.Name)
		if r.Window {
			e = pr.Calendar.Window(r.Name)
		}
		switch {
		case e == nil:
			return refuse(operatorapi.NotFound, "nothing of this name")
		case r.Window:
			reply.Windows = []operatorapi.Window{ops.windowView(e)}
		default:
			reply.Reservations = []operatorapi.Reservation{ops.reservationView(e)}
		}
		return Decision{Reply: reply}
	}
	es := pr.Calendar.Reservations()
	if r.Window {
		es = pr.Calendar.Windows()
	}
	for _, e := range es {
		if e.Name() <= r.Name {
			continue // listed before
		}
		if len(reply.Reservations)+len(reply.Windows) >= listedMost {
			reply.More = true
			break
		}
		if r.Window {
			v := ops.windowView(e)
			v.Overruns = nil
			reply.Windows = append(reply.Windows, v)
		} else {
			v := ops.reservationView(e)
			v.On, v.Past = nil, nil
			reply.Reservations = append(reply.Reservations, v)
		}
	}
	return Decision{Reply: reply}
}

func (ops *Handler) reservationView(e *reservation.Entry) operatorapi.Reservation {
	v := operatorapi.Reservation{Reservation: *e.Reservation}
	for _, h := range ops.reservations.List {
		if h.For == e.Name() {
			v.Held += h.Tasks
			v.On = append(v.On, h.Machine)
		}
	}
	if risk, ok := ops.planner.Risks[e.Name()]; ok {
		v.Risk = risk // newer than its record
	}
	_, _, v.Started = ops.reservations.JobsOf(e)
	return v
}

func (ops *Handler) windowView(e *reservation.Entry) operatorapi.Window {
	now := ops.WallTime()
	v := operatorapi.Window{Window: *e.Window}
	if e.Cancelled {
		return v
	}
	length := config.Seconds(e.Window.Spec.LengthS)
	if times := e.When.Occurrences(reservation.After(now, -length), reservation.After(now, reservation.Ahead)); len(times) > 0 {
		v.NextMS, v.Open = times[0], times[0] <= now
		v.Overruns = ops.overruns(&e.Window.Spec, v.NextMS)
	}
	return v
}

// overruns lists the machines whose work is likely to go on after a window has
// opened, the longest first.
func (ops *Handler) overruns(s *record.WindowSpec, opens reservation.Moment) []operatorapi.Overrun {
	const most = 50
	var out []operatorapi.Overrun
	for _, m := range ops.table.InOrder() {
		if !reservation.Covers(s, m.ID, m.Record.Type, m.Record.Zone) {
			continue
		}
		last := reservation.Moment(0)
		for _, r := range m.Reported.Runs {
			last = max(last, r.Ends)
		}
		if last > opens {
			out = append(out, operatorapi.Overrun{Machine: m.ID, ByS: reservation.Between(opens, last).Seconds()})
		}
	}
	slices.SortStableFunc(out, func(a, b operatorapi.Overrun) int { return int(b.ByS - a.ByS) })
	return out[:min(len(out), most)]
}
