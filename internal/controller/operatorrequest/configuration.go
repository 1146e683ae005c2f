package operatorrequest

import (
	"fmt"
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// configure decides on a change of the configuration and, if it is accepted, makes a difference
// and is no dry run, returns the transaction that writes it. A repeated request that was
// carried out before gets the revision that it created, without a further change. A request
// that names a revision is refused if another one is in force.
func (h *Handler) configure(operator string, r *operatorapi.Request) Decision {
	configuration := h.Configuration
	if revision, done := configuration.RevisionOfRequest(r.ID); done {
		reply := operatorapi.Reply{Code: operatorapi.Done, Reason: "was carried out already", Config: &operatorapi.ConfigReply{Revision: revision, WithinS: h.propagationLimitS()}}
		return Decision{Reply: reply}
	}
	current := configuration.Effective().Revision
	switch {
	case !h.HoldsLease():
		return refuse(operatorapi.RetryLater, "may not act now")
	case h.View.Layout < record.LayoutConfiguration:
		return refuse(operatorapi.Refused, fmt.Sprintf("not taken while controllers take part that don't follow such changes, being of an earlier version or without operators' keys: %v", h.members.NodesBlockingLayout(record.LayoutConfiguration)))
	case r.Config.Revision != nil && *r.Config.Revision != current:
		return refuse(operatorapi.Refused, fmt.Sprintf("revision %d is in force, not %d", current, *r.Config.Revision))
	}
	plan, err := configuration.Decide(h.configurationFacts(), r.Config.Changes)
	if err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	plan.Request, plan.By, plan.AtMS = r.ID, operator, h.WallTime()
	decision := Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: plan.Revision, Changes: plan.Changes, WithinS: h.propagationLimitS()}}}
	switch {
	case len(plan.Changes) == 0:
		decision.Reply.Reason, decision.Reply.Config.Revision = "nothing changes", current
	case r.DryRun:
		decision.Reply.Reason = "nothing was changed: a dry run"
	default:
		txn := plan.Transaction()
		decision.Transaction = &txn
	}
	return decision
}

// propagationLimitS returns the longest time for which a controller may act on an earlier
// revision after a change, in seconds.
func (h *Handler) propagationLimitS() float64 {
	return config.MaxWatchStaleness(h.Operator.NodeLease).Seconds()
}

// configurationFacts returns the inputs of decisions on the configuration other than the
// configuration itself: the zones, the machine types, the numbers of live jobs by team, the
// processors of the machines that operators count on, and the size limit of a transaction.
func (h *Handler) configurationFacts() *dynamicconfig.Facts {
	facts := &dynamicconfig.Facts{
		Zones: h.Settings.Site.Zones, Types: slices.Sorted(maps.Keys(h.Types)), MaxChanges: h.Settings.Site.State.TxnOps,
		LiveJobs: func(team protocol.Team) (n int) {
			for _, job := range h.Live {
				if job.Team == team {
					n++
				}
			}
			return n
		},
	}
	for name, count := range h.Operator.Machines {
		facts.Processors += float64(count) * h.Types[name].CPUs
	}
	return facts
}
