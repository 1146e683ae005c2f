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

// configure decides a change of the configuration. A request that was carried out before
// gets the same answer.
func (h *Handler) configure(by string, r *operatorapi.Request) Decision {
	followed := h.Configuration
	if revision, done := followed.AppliedBy(r.ID); done {
		reply := operatorapi.Reply{Code: operatorapi.Done, Reason: "was carried out already", Config: &operatorapi.ConfigReply{Revision: revision, WithinS: h.configuredWithinS()}}
		return Decision{Reply: reply}
	}
	present := followed.Effective().Revision
	switch {
	case !h.HoldsLease():
		return refuse(operatorapi.RetryLater, "may not act now")
	case h.View.Layout < record.LayoutConfiguration:
		return refuse(operatorapi.Refused, fmt.Sprintf("not taken while controllers take part that don't follow such changes, being of an earlier version or without operators' keys: %v", h.members.NodesBlockingLayout(record.LayoutConfiguration)))
	case r.Config.Revision != nil && *r.Config.Revision != present:
		return refuse(operatorapi.Refused, fmt.Sprintf("revision %d is in force, not %d", present, *r.Config.Revision))
	}
	plan, err := followed.Decide(h.configurationFacts(), r.Config.Changes)
	if err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	plan.Request, plan.By, plan.AtMS = r.ID, by, h.WallTime()
	d := Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: plan.Revision, Changes: plan.Changes, WithinS: h.configuredWithinS()}}}
	switch {
	case len(plan.Changes) == 0:
		d.Reply.Reason, d.Reply.Config.Revision = "nothing changes", present
	case r.DryRun:
		d.Reply.Reason = "nothing was changed: a dry run"
	default:
		txn := plan.Transaction()
		d.Transaction = &txn
	}
	return d
}

// configuredWithinS is how long a controller may act on an earlier revision, in seconds.
func (h *Handler) configuredWithinS() float64 {
	return config.MaxWatchStaleness(h.Operator.NodeLease).Seconds()
}

// configurationFacts is what decisions on the configuration need to know of the site.
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
