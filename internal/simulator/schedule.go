package simulator

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

const (
	// operatorDelay is when operators make their requests.
	operatorDelay = 20 * time.Second
	// requestRetryDelay is the time between two attempts of an operator's request.
	requestRetryDelay = time.Second
	// submitRetryDelay is the time between two attempts of a submission.
	submitRetryDelay = 2 * time.Second
	// reservedRunTimeFactor is the true run time of reserved jobs, by their length.
	reservedRunTimeFactor = 0.8
	// maxTasksFactor bounds the size of a job, as a factor of the load's average.
	maxTasksFactor = 20
	// simulatorOperator is the name of the operator who makes the site's requests.
	simulatorOperator = "emulator"
)

// at does something at a time of the simulation, unless it has passed.
func (p *player) at(t time.Duration, do func()) {
	if t > p.now {
		p.after(t-p.now, do)
	}
}

// scheduleAll schedules the load, the operators' requests, the reservations and the
// faults. The order determines the random draws and that of events of the same time.
func (p *player) scheduleAll() {
	for i := range p.site.Load {
		p.scheduleArrival(&p.site.Load[i])
	}
	p.at(operatorDelay, func() { p.requestAll() })
	for i := range p.site.Windows {
		x := &p.site.Windows[i]
		if w, err := reservation.ParseWhen(x.When); err == nil { // otherwise its request is rejected
			p.windows = append(p.windows, openWindow{x.spec(), w})
		}
	}
	for i := range p.site.Reservations {
		p.scheduleReservation(&p.site.Reservations[i])
	}
	slices.Sort(p.reservationTimes)
	p.scheduleFaults()
}

// scheduleReservation schedules the jobs of a reservation.
func (p *player) scheduleReservation(r *Reservation) {
	when, err := reservation.ParseWhen(r.When)
	if err != nil {
		return // its request is rejected
	}
	from := reservation.Moment(p.site.Start.UnixMilli())
	for _, moment := range when.Occurrences(from, reservation.After(from, p.opts.For)) {
		at := warmUpTime + reservation.Between(from, moment)
		o := &Occurrence{Name: r.Name, Start: time.UnixMilli(int64(moment)).UTC(), Tasks: r.Tasks}
		p.result.Occurrences = append(p.result.Occurrences, o)
		p.reservationTimes = append(p.reservationTimes, at)
		if !r.NeverSubmitted {
			p.at(at+config.Seconds(r.SubmitAfterS), func() { p.submitReserved(r, o) })
		}
		p.at(at+time.Second, func() { p.queryOccurrence(o) })
	}
}

// scheduleArrival schedules the next job of a load.
func (p *player) scheduleArrival(l *Load) {
	p.after(config.Seconds(p.rng.ExpFloat64()*l.EveryS), func() {
		tasks := 1 + int(p.rng.ExpFloat64()*float64(l.Tasks-1)+0.5)
		p.submitUntilAccepted(protocol.Job{
			Class: l.Class, Team: l.Team, Kind: protocol.KindJobArray, Priority: l.Priority, Tasks: uint32(min(tasks, maxTasksFactor*l.Tasks)),
			CPUs: l.CPUs, EstimateS: l.EstimateS, CheckpointS: l.CheckpointS, SaveS: l.SaveS, Spot: l.Spot,
		}, jobState{factor: l.Factor})
		p.scheduleArrival(l)
	})
}

// submitReserved submits the job of a reservation.
func (p *player) submitReserved(r *Reservation, o *Occurrence) {
	kind := protocol.KindJobArray
	if r.Gang {
		kind = protocol.KindGang
	}
	p.submitUntilAccepted(protocol.Job{
		Class: r.Class, Team: r.Team, Kind: kind, Priority: r.Priority, Tasks: uint32(r.Tasks + r.ExtraTasks),
		CPUs: r.CPUs, EstimateS: r.LengthS, OneZone: r.OneZone, Zone: r.Zone,
	}, jobState{factor: reservedRunTimeFactor, occurrence: o, reserved: r.Tasks})
}

// submitUntilAccepted submits a job until it is accepted. State has what is known of it
// beforehand.
func (p *player) submitUntilAccepted(j protocol.Job, state jobState) {
	state.submitted, state.tasks, state.estimateS, state.started = p.now, int(j.Tasks), j.EstimateS, map[uint32]bool{}
	var try func()
	try = func() {
		before := len(p.jobOrder)
		p.submit(j)
		if len(p.jobOrder) == before {
			p.after(submitRetryDelay, try)
			return
		}
		state.class = p.result.class(j.Class)
		state.class.Jobs++
		p.jobState[p.jobOrder[before]] = &state
	}
	try()
}

// requestAll makes the requests for all windows and reservations, as operators do.
func (p *player) requestAll() {
	for i := range p.site.Windows {
		x := &p.site.Windows[i]
		p.requestUntilDone(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: "window " + string(x.Name), Spec: x.spec()})
	}
	if p.opts.Without {
		return
	}
	for i := range p.site.Reservations {
		r := &p.site.Reservations[i]
		p.requestUntilDone(operatorapi.Request{Op: operatorapi.OpAdd, ID: "reservation " + string(r.Name), Reservation: r.spec()})
	}
}

// requestUntilDone sends a request to controllers until it is done or rejected.
func (p *player) requestUntilDone(r operatorapi.Request) {
	n := p.nodes[p.rng.IntN(3)]
	retry := func() { p.after(requestRetryDelay, func() { p.requestUntilDone(r) }) }
	if n.core == nil || !n.stateReachable() {
		retry()
		return
	}
	reply, txn := n.core.Decide(simulatorOperator, &r)
	switch {
	case reply.Code == operatorapi.Later, txn != nil && !p.state.Txn(*txn):
		retry()
	case reply.Code != operatorapi.Done:
		name := r.Name
		if r.Reservation != nil {
			name = r.Reservation.Name
		} else if r.Spec != nil {
			name = r.Spec.Name
		}
		p.result.Refused = append(p.result.Refused, Refusal{Name: name, Reason: reply.Reason, InTheWay: reply.InTheWay})
	}
}

// queryOccurrence records what is known of an occurrence at its time.
func (p *player) queryOccurrence(o *Occurrence) {
	for _, n := range p.nodes {
		if n.core == nil || n.session == 0 {
			continue
		}
		reply, _ := n.core.Decide(simulatorOperator, &operatorapi.Request{Op: operatorapi.OpShow, Name: o.Name})
		for _, r := range reply.Reservations {
			if int64(r.StartMS) == o.Start.UnixMilli() {
				o.State, o.Risk = r.State, r.Risk
				return
			}
		}
	}
}
