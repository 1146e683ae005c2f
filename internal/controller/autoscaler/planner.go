package autoscaler

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// ReservationPlanner provides for reservations on the controller that runs the
// autoscaler.
type ReservationPlanner struct {
	clusterstate.Module
	table        *waittable.Table
	reservations *holds.Holds
	autoscaler   *Autoscaler

	planDemands   []reservation.Demand               // as last chosen for
	planShortfall map[reservation.Name]int           // tasks that no sure room is held for, as last chosen
	planMissing   map[reservation.Name]int           // of these, unlikely to have any in time
	planZones     map[reservation.Name]protocol.Zone // where one that needs one zone is held
	Risks         map[reservation.Name]string        // of the present occurrences
	planSwept     clock.Time                         // when all reservations were last looked at
	planWrites    map[reservation.Name]bool          // transactions under way
}

// Written notes that the transaction on a reservation has ended, however it did.
func (rp *ReservationPlanner) Written(tag ReservationTag) { delete(rp.planWrites, tag.name) }

// Reset forgets everything a session knew.
func (rp *ReservationPlanner) Reset() {
	rp.planDemands, rp.planShortfall, rp.planMissing = nil, map[reservation.Name]int{}, nil
	rp.planZones = map[reservation.Name]protocol.Zone{}
	rp.Risks, rp.planWrites = map[reservation.Name]string{}, map[reservation.Name]bool{}
	rp.planSwept = 0
}

// ReservationTag marks the transaction by which a reservation goes on.
type ReservationTag struct{ name reservation.Name }
