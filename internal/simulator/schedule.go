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
	// operatorDelay is the simulated time, from the beginning of the warm-up, at which
	// operators make their requests.
	operatorDelay = 20 * time.Second
	// requestRetryDelay is the delay before an operator's request is retried.
	requestRetryDelay = time.Second
	// submitRetryDelay is the delay before a submission is retried.
	submitRetryDelay = 2 * time.Second
	// reservedRunTimeFactor is the actual run time of reserved jobs, as a fraction of the
	// reservation's length.
	reservedRunTimeFactor = 0.8
	// maxCancelDelay is the longest time from the acceptance of a job to its cancellation.
	maxCancelDelay = 30 * time.Second
	// maxTasksFactor bounds the number of tasks of a job, as a multiple of the load's setting
	// Tasks.
	maxTasksFactor = 20
	// simulatorOperator is the name of the operator who makes the site's requests.
	simulatorOperator = "emulator"
)

// scheduleAt schedules do to run at the simulated time t. It does nothing unless t is in the
// future.
func (d *driver) scheduleAt(t time.Duration, do func()) {
	if t > d.now {
		d.after(t-d.now, do)
	}
}

// scheduleAll schedules the load, the operators' requests, the reservations and the
// faults. The order matters: it determines the random draws and the order of simultaneous
// events.
func (d *driver) scheduleAll() {
	for i := range d.site.Load {
		d.scheduleArrival(&d.site.Load[i])
	}
	d.scheduleAt(operatorDelay, func() { d.requestWindowsAndReservations() })
	for i := range d.site.Windows {
		x := &d.site.Windows[i]
		if w, err := reservation.ParseSchedule(x.When); err == nil { // otherwise the request is rejected
			d.windows = append(d.windows, scheduledWindow{x.spec(), w})
		}
	}
	for i := range d.site.Reservations {
		d.scheduleReservation(&d.site.Reservations[i])
	}
	slices.Sort(d.reservationTimes)
	d.scheduleFaults()
}

// scheduleReservation schedules, for each occurrence of a reservation in the measured part of
// the run, the submission of its job and, one second after the start, the query of its state.
// It does nothing if the schedule of the reservation is invalid.
func (d *driver) scheduleReservation(r *Reservation) {
	when, err := reservation.ParseSchedule(r.When)
	if err != nil {
		return // the request for the reservation is rejected
	}
	from := reservation.Moment(d.site.Start.UnixMilli())
	for _, moment := range when.Occurrences(from, reservation.After(from, d.opts.Duration)) {
		at := warmUpTime + reservation.Between(from, moment)
		o := &Occurrence{Name: r.Name, Start: time.UnixMilli(int64(moment)).UTC(), Tasks: r.Tasks}
		d.result.Occurrences = append(d.result.Occurrences, o)
		d.reservationTimes = append(d.reservationTimes, at)
		if !r.NeverSubmitted {
			d.scheduleAt(at+config.Seconds(r.SubmitAfterS), func() { d.submitReserved(r, o) })
		}
		d.scheduleAt(at+time.Second, func() { d.queryOccurrence(o) })
	}
}

// scheduleArrival draws the time of the next arrival of a job of a load, with exponential
// times between arrivals, and schedules its submission, after which it schedules the one after
// that.
func (d *driver) scheduleArrival(l *Load) {
	d.after(config.Seconds(d.rng.ExpFloat64()*l.EveryS), func() {
		tasks := 1 + int(d.rng.ExpFloat64()*float64(l.Tasks-1)+0.5)
		d.submitUntilAccepted(protocol.Job{
			Class: l.Class, Team: l.Team, Kind: protocol.KindJobArray, Priority: l.Priority, Tasks: uint32(min(tasks, maxTasksFactor*l.Tasks)),
			CPUs: l.CPUs, EstimateS: l.EstimateS, CheckpointS: l.CheckpointS, CheckpointDurationS: l.CheckpointDurationS, Spot: l.Spot,
		}, jobState{runTimeFactor: l.RunTimeFactor, cancelledFraction: l.CancelledFraction})
		d.scheduleArrival(l)
	})
}

// submitReserved submits the job for an occurrence of a reservation: with the reserved tasks
// and the extra ones, as a gang or a job array.
func (d *driver) submitReserved(r *Reservation, o *Occurrence) {
	kind := protocol.KindJobArray
	if r.Gang {
		kind = protocol.KindGang
	}
	d.submitUntilAccepted(protocol.Job{
		Class: r.Class, Team: r.Team, Kind: kind, Priority: r.Priority, Tasks: uint32(r.Tasks + r.ExtraTasks),
		CPUs: r.CPUs, EstimateS: r.LengthS, OneZone: r.OneZone, Zone: r.Zone,
	}, jobState{runTimeFactor: reservedRunTimeFactor, occurrence: o, reservedTasks: r.Tasks})
}

// submitUntilAccepted submits a job, every submitRetryDelay until it is accepted, and then
// stores state as the data of the job. The caller sets the fields of state that are not
// derived from the job.
func (d *driver) submitUntilAccepted(j protocol.Job, state jobState) {
	state.submitted, state.tasks, state.estimateS, state.started = d.now, int(j.Tasks), j.EstimateS, map[uint32]bool{}
	var try func()
	try = func() {
		before := len(d.jobOrder)
		d.submit(j)
		if len(d.jobOrder) == before {
			d.after(submitRetryDelay, try)
			return
		}
		state.class = d.result.class(j.Class)
		state.class.Jobs++
		d.jobState[d.jobOrder[before]] = &state
		d.scheduleCancellation(d.jobOrder[before], state.cancelledFraction)
	}
	try()
}

// scheduleCancellation schedules the cancellation of a job with the probability fraction.
func (d *driver) scheduleCancellation(id protocol.JobID, fraction float64) {
	if fraction == 0 || d.rng.Float64() >= fraction {
		return
	}
	d.after(time.Duration(d.rng.Int64N(int64(maxCancelDelay))), func() { d.cancelUntilDone(id) })
}

// cancelUntilDone cancels a job, every submitRetryDelay until it is in a final state.
func (d *driver) cancelUntilDone(id protocol.JobID) {
	if d.finalState[id] != "" {
		return
	}
	d.cancel(id)
	d.after(submitRetryDelay, func() { d.cancelUntilDone(id) })
}

// requestWindowsAndReservations requests, as an operator, that all maintenance windows and,
// unless the options omit them, all reservations of the site be added.
func (d *driver) requestWindowsAndReservations() {
	for i := range d.site.Windows {
		x := &d.site.Windows[i]
		d.requestUntilDone(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: "window " + string(x.Name), Spec: x.spec()})
	}
	if d.opts.WithoutReservations {
		return
	}
	for i := range d.site.Reservations {
		r := &d.site.Reservations[i]
		d.requestUntilDone(operatorapi.Request{Op: operatorapi.OpAdd, ID: "reservation " + string(r.Name), Reservation: r.spec()})
	}
}

// requestUntilDone sends an operator's request to a random controller and applies the
// transaction that it returns. It retries every requestRetryDelay while the controller cannot
// answer or the transaction fails; a rejection is listed in the result.
func (d *driver) requestUntilDone(r operatorapi.Request) {
	n := d.nodes[d.rng.IntN(3)]
	retry := func() { d.after(requestRetryDelay, func() { d.requestUntilDone(r) }) }
	if n.core == nil || !n.stateReachable() {
		retry()
		return
	}
	reply, txn := n.core.DecideOperatorRequest(simulatorOperator, &r)
	switch {
	case reply.Code == operatorapi.RetryLater, txn != nil && !d.state.Execute(*txn):
		retry()
	case reply.Code != operatorapi.Done:
		name := r.Name
		if r.Reservation != nil {
			name = r.Reservation.Name
		} else if r.Spec != nil {
			name = r.Spec.Name
		}
		d.result.Refused = append(d.result.Refused, Refusal{Name: name, Reason: reply.Reason, Conflicts: reply.Conflicts})
	}
}

// queryOccurrence stores in o the state and risk that the first controller that reports the
// occurrence gives for it; none if no controller does.
func (d *driver) queryOccurrence(o *Occurrence) {
	for _, n := range d.nodes {
		if n.core == nil || n.session == 0 {
			continue
		}
		reply, _ := n.core.DecideOperatorRequest(simulatorOperator, &operatorapi.Request{Op: operatorapi.OpShow, Name: o.Name})
		for _, r := range reply.Reservations {
			if int64(r.StartMS) == o.Start.UnixMilli() {
				o.State, o.Risk = r.State, r.Risk
				return
			}
		}
	}
}
