package holds

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// teamClaim is the part of a team's limit that a reservation claims from its start on.
type teamClaim struct {
	reservation reservation.Name
	need        resource.Amount
	from        reservation.Moment
}

// addTeamClaim adds the claim of a reservation on its team's limit: the resources of its
// tasks that have not started. It adds none if the current occurrence needs no resources any
// more, the team can't have a limit or all tasks have started.
func (h *Holds) addTeamClaim(e *reservation.Entry) {
	spec := &e.Reservation.Spec
	if !e.Active() || !h.MayHaveLimit(spec.Team) {
		return
	}
	_, desired, started := h.OccurrenceProgress(e)
	if unstarted := float64(desired - started); unstarted > 0 {
		claim := teamClaim{reservation: spec.Name, need: reservation.TaskSize(spec).Times(unstarted), from: e.StartMS}
		h.teamClaims[spec.Team] = append(h.teamClaims[spec.Team], claim)
	}
}

// ClaimedByOthers returns the part of a team's limit that reservations for other jobs claim
// before a task of the given job has very likely ended.
func (h *Holds) ClaimedByOthers(j *protocol.Job, estimateS float64) (sum resource.Amount) {
	claims := h.teamClaims[j.Team]
	endsAt := reservation.After(h.WallTime(), config.Seconds(h.ExpectedRunSeconds(j, estimateS)))
	isOwn := h.ReservationFilter(j)
	for _, claim := range claims {
		if endsAt > claim.from && !isOwn(claim.reservation) {
			sum = sum.Plus(claim.need)
		}
	}
	return sum
}

// HasTeamClaims reports whether any reservation claims a part of a team's limit.
func (h *Holds) HasTeamClaims(team protocol.Team) bool {
	return len(h.teamClaims[team]) > 0
}
