package operatorrequest

import (
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxConfigEntries is the maximum number of entries of the configuration in one reply.
const maxConfigEntries = 200

// showConfiguration returns a page of at most maxConfigEntries entries in force that the
// request selects and whose IDs follow the one named as After in the request. It refuses a
// request for one entry that does not exist.
func (h *Handler) showConfiguration(r *operatorapi.Request) Decision {
	effective := h.Configuration.Effective()
	reply := operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: effective.Revision}}
	for _, id := range h.configurationIDs() {
		if id <= r.Config.After || !r.Config.Selects(id) {
			continue
		}
		if len(reply.Config.Entries) >= maxConfigEntries {
			reply.More = true
			break
		}
		reply.Config.Entries = append(reply.Config.Entries, h.configurationView(id))
	}
	if len(reply.Config.Entries) == 0 && r.Config.Entry != "" {
		return refuse(operatorapi.NotFound, "there is no such entry")
	}
	return Decision{Reply: reply}
}

// configurationIDs lists the IDs of all entries, in alphabetical order: those of the teams and
// classes in force, of all zones, machine types and settings that may change while controllers
// run, and those that were ever changed.
func (h *Handler) configurationIDs() []record.EntryID {
	ids := map[record.EntryID]bool{}
	for _, team := range h.Configuration.Effective().Teams() {
		ids[record.NewEntryID(record.EntryTeam, string(team))] = true
	}
	for _, o := range h.Objectives() {
		if o.Class != "" {
			ids[record.NewEntryID(record.EntryClass, o.Class)] = true
		}
	}
	for _, zone := range h.Settings.Site.Zones {
		ids[record.NewEntryID(record.EntryZone, string(zone))] = true
	}
	for name := range h.Types {
		ids[record.NewEntryID(record.EntryType, string(name))] = true
	}
	for _, name := range dynamicconfig.ChangeableSettings() {
		ids[record.NewEntryID(record.EntrySetting, name)] = true
	}
	for id := range h.Configuration.Entries() {
		ids[id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// configurationView returns an entry in force as shown to operators.
func (h *Handler) configurationView(id record.EntryID) operatorapi.ConfigEntry {
	effective := h.Configuration.Effective()
	view := operatorapi.ConfigEntry{Entry: id, Revision: h.Configuration.Entry(id).Revision}
	switch kind, name := id.Split(); kind {
	case record.EntryTeam:
		t, known := effective.Team(protocol.Team(name))
		view.Team = &record.TeamEntry{CPUs: t.CPUs, MaxCPUs: t.MaxCPUs, GPUs: t.GPUs, MaxGPUs: t.MaxGPUs, Closed: t.Closed, Removed: !known, Lowered: t.Lowered}
	case record.EntryClass:
		for _, o := range effective.Objectives {
			if o.Class == name {
				view.Objectives = append(view.Objectives, record.ObjectiveEntry{Kind: o.Kind, WithinS: o.WithinS, Share: o.Share, Times: o.Times})
			}
		}
	case record.EntryZone:
		view.Closed = effective.PlaceCordoned("", protocol.Zone(name))
	case record.EntryType:
		view.Closed = effective.PlaceCordoned(protocol.MachineType(name), "")
	case record.EntrySetting:
		view.Value = effective.Setting(name)
	}
	return view
}

// configurationStatus lists all controllers with the revisions of the configuration that they
// last reported to act on: the members of the view (the record of the controllers that take
// part), the controllers that are excluded from it because they do not support its layout, the
// format of the shared records, and those of the settings file.
func (h *Handler) configurationStatus() Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{Revision: h.Configuration.Effective().Revision, WithinS: h.propagationLimitS()}}
	outdated := h.members.OutdatedNodes()
	names := append(slices.Collect(maps.Keys(h.View.Members)), outdated...)
	names = append(names, h.Self)
	for _, m := range h.Settings.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		revision, age := h.appliedRevision(name)
		reply.Config.Controllers = append(reply.Config.Controllers, operatorapi.ConfigController{
			Name: name, Revision: revision, Member: h.View.Members[name] != 0, Older: slices.Contains(outdated, name), LastContactS: age.Seconds(),
			HoldsLease: name == h.Self && h.HoldsLease(),
		})
	}
	return Decision{Reply: reply}
}

// appliedRevision returns the revision that a controller last reported to be in force on
// it, and the time since that report. Both are 0 if it has never reported one. For this
// controller it returns the revision in force and 0.
func (h *Handler) appliedRevision(name protocol.NodeName) (record.ConfigurationRevision, time.Duration) {
	if name == h.Self {
		return h.Configuration.Effective().Revision, 0
	}
	p := h.table.Peers[name]
	if p == nil || p.ConfiguredAt == 0 {
		return 0, 0
	}
	return p.Configuration, h.Since(p.ConfiguredAt)
}
