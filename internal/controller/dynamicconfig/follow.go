package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Followed is the configuration as the records tell it. A revision's entries are kept
// aside until all of them and the revision's own record have come, in whatever order,
// and are then applied in one step.
type Followed struct {
	site     *config.Site
	operator config.Operator

	head    record.Configuration // in force
	version protocol.Version     // reservation its record
	entries map[record.EntryID]record.ConfigurationEntry

	nextHead    *record.Configuration // reservation a later revision
	nextVersion protocol.Version
	nextEntries map[record.EntryID]record.ConfigurationEntry

	effective *Effective
}

// NewFollowed begins with the platform's file and the operators' own.
func NewFollowed(site *config.Site, operator config.Operator) *Followed {
	f := &Followed{site: site, operator: operator}
	f.Reset()
	return f
}

// Reset forgets the records: they are read anew.
func (f *Followed) Reset() {
	*f = Followed{site: f.site, operator: f.operator}
	f.entries = map[record.EntryID]record.ConfigurationEntry{}
	f.nextEntries = map[record.EntryID]record.ConfigurationEntry{}
	f.effective = Base(f.site, f.operator)
}

// Effective is the configuration in force.
func (f *Followed) Effective() *Effective { return f.effective }

// Entry is an entry as it is in force; one that nobody has changed is reset.
func (f *Followed) Entry(id record.EntryID) record.ConfigurationEntry {
	if entry, ok := f.entries[id]; ok {
		return entry
	}
	return record.ConfigurationEntry{Reset: true}
}

// Entries are those that were changed, reset ones included.
func (f *Followed) Entries() map[record.EntryID]record.ConfigurationEntry { return f.entries }

// TakeEntry takes the record of an entry, and reports whether anything in force has
// recordChanged.
func (f *Followed) TakeEntry(id record.EntryID, entry record.ConfigurationEntry) bool {
	if have, ok := f.nextEntries[id]; ok && have.Revision >= entry.Revision {
		return false
	}
	if have, ok := f.entries[id]; ok && have.Revision >= entry.Revision {
		return false
	}
	if entry.Revision <= f.head.Revision {
		// Read after its revision's record: pages of a list are of different moments.
		// A controller that reads does not act yet.
		f.entries[id] = entry
		f.rebuild()
		return true
	}
	f.nextEntries[id] = entry
	return f.apply()
}

// TakeHead takes the record of a revision, and reports whether anything in force has
// recordChanged.
func (f *Followed) TakeHead(head record.Configuration, version protocol.Version) bool {
	if version <= f.version || f.nextHead != nil && version <= f.nextVersion {
		return false
	}
	f.nextHead, f.nextVersion = &head, version
	return f.apply()
}

// apply goes over to the next revision, if all of it has come.
func (f *Followed) apply() bool {
	if f.nextHead == nil {
		return false
	}
	for _, id := range f.nextHead.Entries {
		if f.revisionOf(id) < f.nextHead.Revision {
			return false
		}
	}
	for id, entry := range f.nextEntries {
		if entry.Revision <= f.nextHead.Revision {
			f.entries[id] = entry
			delete(f.nextEntries, id)
		}
	}
	f.head, f.version, f.nextHead = *f.nextHead, f.nextVersion, nil
	f.rebuild()
	return true
}

// revisionOf is the latest revision known of an entry.
func (f *Followed) revisionOf(id record.EntryID) Revision {
	if entry, ok := f.nextEntries[id]; ok {
		return entry.Revision
	}
	return f.entries[id].Revision
}

func (f *Followed) rebuild() {
	f.effective = build(f.site, f.operator, f.entries, f.head, f.version)
}
