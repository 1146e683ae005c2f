package holds

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// teamClaim is the part of a team's limit that a reservation claims from a time on.
type teamClaim struct {
	reservation reservation.Name
	need        resource.Amount
	from        reservation.Moment
}

// claimLimit adds the part of its team's limit that a reservation claims: that of its
// tasks which have not started.
func (h *Holds) claimLimit(e *reservation.Entry) {
	spec := &e.Reservation.Spec
	if !e.Active() || !h.MayHaveLimit(spec.Team) {
		return
	}
	_, desired, started := h.JobsOf(e)
	if n := float64(desired - started); n > 0 {
		claim := teamClaim{reservation: spec.Name, need: reservation.Size(spec).Times(n), from: e.StartMS}
		h.teamClaims[spec.Team] = append(h.teamClaims[spec.Team], claim)
	}
}

// LimitClaimed is the part of a team's limit that reservations for other jobs claim by the
// time when a task of this one has very likely ended.
func (h *Holds) LimitClaimed(j *protocol.Job, estimateS float64) (sum resource.Amount) {
	claims := h.teamClaims[j.Team]
	ends := reservation.After(h.WallTime(), config.Seconds(h.ExpectedRunSeconds(j, estimateS)))
	isOwn := h.ReservationFilter(j)
	for _, claim := range claims {
		if ends > claim.from && !isOwn(claim.reservation) {
			sum = sum.Plus(claim.need)
		}
	}
	return sum
}

// ClaimsLimitOf reports whether reservations claim a part of a team's limit.
func (h *Holds) ClaimsLimitOf(team protocol.Team) bool {
	return len(h.teamClaims[team]) > 0
}
