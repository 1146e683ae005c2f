package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// decision is what the core answers to an operator's request: the answer, and
// the transaction that has to hold first, if any.
type decision struct {
	reply       operatorapi.Reply
	transaction *protocol.Transaction
}

func refuse(code operatorapi.Code, reason string) decision {
	return decision{reply: operatorapi.Reply{Code: code, Reason: reason}}
}

// operations answers operators' requests.
type operations struct {
	clusterstate.Module
	members      *membership.Members
	table        *waitTable
	reservations *reservationHolds
	planner      *reservationPlanner
}

// facts is what decisions on the calendar know of the site.
func (ops *operations) facts() *reservation.Facts {
	return &reservation.Facts{
		Types: ops.Types, Most: ops.Op.Machines,
		Team: func(name protocol.Team) (config.Team, bool) {
			t, ok := ops.Team(name)
			return t.Team, ok
		},
		Machine: func(id protocol.MachineID) (protocol.MachineType, protocol.Zone, bool) {
			m := ops.table.machines[id]
			if m == nil {
				return "", "", false
			}
			return m.Record.Type, m.Record.Zone, true
		},
	}
}

// Decide decides an operator's request by what this controller has followed:
// the answer, and the transaction that has to hold before it is given, if any.
func (c *Core) Decide(by string, r *operatorapi.Request) (operatorapi.Reply, *protocol.Transaction) {
	d := c.operations.decideRequest(by, r)
	return d.reply, d.transaction
}

func (ops *operations) decideRequest(by string, r *operatorapi.Request) decision {
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

func (ops *operations) addReservation(by string, r *operatorapi.Request) decision {
	pr, s := ops.reservations, *r.Reservation
	if err := reservation.CheckReservation(&s); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	have := pr.Calendar.Reservation(s.Name)
	if have != nil && r.ID != "" && have.Reservation.Request == r.ID {
		return decision{reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Reservations: []operatorapi.Reservation{ops.reservationView(have)}}}
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
		d.transaction = ops.changeCalendar(record.ReservationKey(s.Name), versionOf(have), rec)
	}
	d.reply.Reservations = []operatorapi.Reservation{{Reservation: rec}}
	return d
}

func (ops *operations) addWindow(by string, r *operatorapi.Request) decision {
	pr, s := ops.reservations, *r.Spec
	if err := reservation.CheckWindow(&s); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	have := pr.Calendar.Window(s.Name)
	if have != nil && r.ID != "" && have.Window.Request == r.ID {
		return decision{reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Windows: []operatorapi.Window{ops.windowView(have)}}}
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
		d.transaction = ops.changeCalendar(record.WindowKey(s.Name), versionOf(have), rec)
	}
	d.reply.Windows = []operatorapi.Window{{Window: rec, NextMS: a.First[0], Overruns: ops.overruns(&s, a.First[0])}}
	return d
}

func answered(a reservation.Answer) decision {
	code := operatorapi.Done
	if !a.OK {
		code = operatorapi.Refused
	}
	return decision{reply: operatorapi.Reply{Code: code, Reason: a.Reason, InTheWay: a.InTheWay, Beside: a.Beside, FirstMS: a.First}}
}

func versionOf(e *reservation.Entry) protocol.Version {
	if e == nil {
		return 0
	}
	return e.Version
}

// changeCalendar puts a record, if neither it nor any other promise has changed
// since this was decided.
func (ops *operations) changeCalendar(key string, version protocol.Version, value any) *protocol.Transaction {
	return &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.CalendarKey, Version: ops.reservations.Version}, {Key: key, Version: version}},
		Changes: []protocol.Change{
			{Put: key, Value: value},
			{Put: record.CalendarKey, Value: record.Calendar{Changes: ops.reservations.Changes + 1}},
		},
	}
}

func (ops *operations) cancelReserved(r *operatorapi.Request) decision {
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
		return decision{reply: done}
	case r.Window:
		rec := *e.Window
		rec.Cancelled = true
		return decision{done, ops.changeCalendar(record.WindowKey(r.Name), e.Version, rec)}
	}
	rec := *e.Reservation
	rec.State, rec.Risk, rec.RiskMS = record.Cancelled, "", 0
	return decision{done, ops.changeCalendar(record.ReservationKey(r.Name), e.Version, rec)}
}

// listed at once: an answer is at most as large as a request.
const listedMost = 40

func (ops *operations) showReserved(r *operatorapi.Request) decision {
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
		return decision{reply: reply}
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
	return decision{reply: reply}
}

func (ops *operations) reservationView(e *reservation.Entry) operatorapi.Reservation {
	v := operatorapi.Reservation{Reservation: *e.Reservation}
	for _, h := range ops.reservations.List {
		if h.For == e.Name() {
			v.Held += h.Tasks
			v.On = append(v.On, h.Machine)
		}
	}
	if risk, ok := ops.planner.planRisks[e.Name()]; ok {
		v.Risk = risk // newer than its record
	}
	_, _, v.Started = ops.reservations.jobsOf(e)
	return v
}

func (ops *operations) windowView(e *reservation.Entry) operatorapi.Window {
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
func (ops *operations) overruns(s *record.WindowSpec, opens reservation.Moment) []operatorapi.Overrun {
	const most = 50
	var out []operatorapi.Overrun
	for _, m := range ops.table.machinesInOrder() {
		if !reservation.Covers(s, m.ID, m.Record.Type, m.Record.Zone) {
			continue
		}
		last := reservation.Moment(0)
		for _, r := range m.reported.Runs {
			last = max(last, r.Ends)
		}
		if last > opens {
			out = append(out, operatorapi.Overrun{Machine: m.ID, ByS: reservation.Between(opens, last).Seconds()})
		}
	}
	slices.SortStableFunc(out, func(a, b operatorapi.Overrun) int { return int(b.ByS - a.ByS) })
	return out[:min(len(out), most)]
}

// operate answers an operator's request. A change is tried again while others
// change the calendar, or while it is not known what became of it: its id tells.
func (f *frontend) operate(ctx context.Context, body []byte) *transport.Message {
	keys, err := operatorapi.ReadKeys(f.n.op.OperatorKeys) // anew each time: keys are changed without a restart
	if err != nil {
		f.n.log.Error("operators' keys can't be read", "err", err)
		return failure(503, "operators' keys can't be read")
	}
	r, by, err := operatorapi.Open(body, keys, time.Now(), f.n.settings.Site.ClockError())
	if err != nil {
		f.n.log.Info("operator's request refused", "err", err)
		return success(403, operatorapi.Reply{Code: operatorapi.Denied, Reason: operatorapi.ErrSeal.Error()})
	}
	if r.Op == operatorapi.OpConfigHistory {
		return f.configurationHistory(ctx)
	}
	for ctx.Err() == nil {
		d, ok := ask(f.n, func(c *Core) decision { return c.operations.decideRequest(by, &r) })
		if !ok {
			break
		}
		if d.transaction == nil {
			return operatorAnswer(d.reply)
		}
		_, err := f.n.state.CompareAndSwap(ctx, *d.transaction, kvstore.First)
		switch {
		case err == nil:
			f.n.log.Info("operator's change", "by", by, "op", r.Op, "window", r.Window, "name", r.Name, "controller", r.Controller, "id", r.ID)
			return operatorAnswer(d.reply)
		case errors.Is(err, serviceclient.ErrMalformed):
			f.n.log.Error("state service refuses an operator's record", "err", err)
			return operatorAnswer(operatorapi.Reply{Code: operatorapi.Refused, Reason: "too large to be stored"})
		case errors.Is(err, serviceclient.ErrRefused):
			f.n.log.Debug("operator", "err", err)
			return failure(503, "state service can't be asked")
		}
		sleep(ctx, 100*time.Millisecond) // until what is followed has caught up
	}
	return failure(503, "not settled yet")
}

func operatorAnswer(r operatorapi.Reply) *transport.Message {
	status := map[operatorapi.Code]int{operatorapi.Done: 200, operatorapi.Refused: 409, operatorapi.NotFound: 404, operatorapi.Later: 503}[r.Code]
	m := success(status, r)
	if status == 503 {
		m.RetryAfterS = admission.RetryAfterS
	}
	return m
}
