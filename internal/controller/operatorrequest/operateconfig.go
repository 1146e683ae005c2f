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

// configListed bounds the entries of one answer.
const configListed = 200

// configure decides an operator's change of the configuration.
func (ops *Handler) configure(by string, r *operatorapi.Request) Decision {
	followed := ops.Configuration
	if revision, done := followed.DoneBefore(r.ID); done {
		reply := operatorapi.Reply{Code: operatorapi.Done, Reason: "was carried out already", Config: &operatorapi.ConfigReply{Revision: revision, WithinS: ops.configuredWithinS()}}
		return Decision{Reply: reply}
	}
	present := followed.Effective().Revision
	switch {
	case !ops.HoldsLease():
		return refuse(operatorapi.Later, "may not act now")
	case ops.View.Layout < record.LayoutConfiguration:
		return refuse(operatorapi.Refused, fmt.Sprintf("not taken while controllers take part that don't follow such changes, being of an earlier version or without operators' keys: %v", ops.members.BlockingLayout(record.LayoutConfiguration)))
	case r.Config.Revision != nil && *r.Config.Revision != present:
		return refuse(operatorapi.Refused, fmt.Sprintf("revision %d is in force, not %d", present, *r.Config.Revision))
	}
	plan, err := followed.Decide(ops.configurationFacts(), r.Config.Changes)
	if err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	plan.Request, plan.By, plan.AtMS = r.ID, by, ops.WallTime()
	d := Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: plan.Revision, Changes: plan.Changes, WithinS: ops.configuredWithinS()}}}
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

// configuredWithinS is how long a controller may act by an earlier revision, in seconds.
func (ops *Handler) configuredWithinS() float64 {
	return config.FollowedWithin(ops.Op.NodeLease).Seconds()
}

// configurationFacts is what decisions on the configuration know of the site.
func (ops *Handler) configurationFacts() *dynamicconfig.Facts {
	facts := &dynamicconfig.Facts{
		Zones: ops.Settings.Site.Zones, Types: slices.Sorted(maps.Keys(ops.Types)), MaxChanges: ops.Settings.Site.State.TxnOps,
		LiveJobs: func(team protocol.Team) (n int) {
			for _, job := range ops.Live {
				if job.Team == team {
					n++
				}
			}
			return n
		},
	}
	for name, count := range ops.Op.Machines {
		facts.Processors += float64(count) * ops.Types[name].CPUs
	}
	return facts
}

// showConfiguration lists entries as they are in force.
func (ops *Handler) showConfiguration(r *operatorapi.Request) Decision {
	effective := ops.Configuration.Effective()
	reply := operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: effective.Revision}}
	for _, id := range ops.configurationIDs() {
		if id <= r.Config.After || !r.Config.Wants(id) {
			continue
		}
		if len(reply.Config.Entries) >= configListed {
			reply.More = true
			break
		}
		reply.Config.Entries = append(reply.Config.Entries, ops.configurationView(id))
	}
	if len(reply.Config.Entries) == 0 && r.Config.Entry != "" {
		return refuse(operatorapi.NotFound, "there is no such entry")
	}
	return Decision{Reply: reply}
}

// configurationIDs names all entries: those of the platform's file and those that
// were changed.
func (ops *Handler) configurationIDs() []record.EntryID {
	ids := map[record.EntryID]bool{}
	for _, team := range ops.Configuration.Effective().Teams() {
		ids[record.NewEntryID(record.EntryTeam, string(team))] = true
	}
	for _, o := range ops.Objectives() {
		if o.Class != "" {
			ids[record.NewEntryID(record.EntryClass, o.Class)] = true
		}
	}
	for _, zone := range ops.Settings.Site.Zones {
		ids[record.NewEntryID(record.EntryZone, string(zone))] = true
	}
	for name := range ops.Types {
		ids[record.NewEntryID(record.EntryType, string(name))] = true
	}
	for _, name := range dynamicconfig.Settings() {
		ids[record.NewEntryID(record.EntrySetting, name)] = true
	}
	for id := range ops.Configuration.Entries() {
		ids[id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// configurationView is an entry as it is in force.
func (ops *Handler) configurationView(id record.EntryID) operatorapi.ConfigEntry {
	effective := ops.Configuration.Effective()
	v := operatorapi.ConfigEntry{Entry: id, Revision: ops.Configuration.Entry(id).Revision}
	switch kind, name := id.Split(); kind {
	case record.EntryTeam:
		t, known := effective.Team(protocol.Team(name))
		v.Team = &record.TeamEntry{CPUs: t.CPUs, MaxCPUs: t.MaxCPUs, GPUs: t.GPUs, MaxGPUs: t.MaxGPUs, Closed: t.Closed, Removed: !known, Lowered: t.Lowered}
	case record.EntryClass:
		for _, o := range effective.Objectives {
			if o.Class == name {
				v.Objectives = append(v.Objectives, record.ObjectiveEntry{Kind: o.Kind, WithinS: o.WithinS, Share: o.Share, Times: o.Times})
			}
		}
	case record.EntryZone:
		v.Closed = effective.PlaceClosed("", protocol.Zone(name))
	case record.EntryType:
		v.Closed = effective.PlaceClosed(protocol.MachineType(name), "")
	case record.EntrySetting:
		v.Value = effective.Setting(name)
	}
	return v
}

// configurationStatus tells who acts by which revision.
func (ops *Handler) configurationStatus() Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: ops.Configuration.Effective().Revision, WithinS: ops.configuredWithinS()}}
	outdated := ops.members.Outdated()
	names := append(slices.Collect(maps.Keys(ops.View.Members)), outdated...)
	names = append(names, ops.Self)
	for _, m := range ops.Settings.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		revision, ago := ops.revisionOf(name)
		reply.Config.Controllers = append(reply.Config.Controllers, operatorapi.ConfigController{
			Name: name, Revision: revision, Member: ops.View.Members[name] != 0, Older: slices.Contains(outdated, name), HeardS: ago.Seconds(),
			Acting: name == ops.Self && ops.HoldsLease(),
		})
	}
	return Decision{Reply: reply}
}
