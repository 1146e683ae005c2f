package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Followed is the configuration of the followed records. The entries of a revision are
// buffered until all of them and the revision's own record have been read, in any order,
// and are then applied in one step.
type Followed struct {
	site     *config.Site
	operator config.Operator

	head    record.Configuration // in force
	version protocol.Version     // of the record of head
	entries map[record.EntryID]record.ConfigurationEntry

	nextHead    *record.Configuration // of a later revision; nil if none has been read
	nextVersion protocol.Version      // of the record of nextHead
	nextEntries map[record.EntryID]record.ConfigurationEntry

	effective *Effective
}

// NewFollowed makes the configuration of the platform's and the operators' files, without
// any records.
func NewFollowed(site *config.Site, operator config.Operator) *Followed {
	f := &Followed{site: site, operator: operator}
	f.Reset()
	return f
}

// Reset discards the records, before they are listed again.
func (f *Followed) Reset() {
	*f = Followed{site: f.site, operator: f.operator}
	f.entries = map[record.EntryID]record.ConfigurationEntry{}
	f.nextEntries = map[record.EntryID]record.ConfigurationEntry{}
	f.effective = Base(f.site, f.operator)
}

// Effective returns the configuration in force.
func (f *Followed) Effective() *Effective { return f.effective }

// Entry returns an entry in force; one that was never changed is a reset one.
func (f *Followed) Entry(id record.EntryID) record.ConfigurationEntry {
	if entry, ok := f.entries[id]; ok {
		return entry
	}
	return record.ConfigurationEntry{Reset: true}
}

// Entries returns all entries that were ever changed, with those that were reset.
func (f *Followed) Entries() map[record.EntryID]record.ConfigurationEntry { return f.entries }

// ApplyEntry adds the record of an entry that was read, and reports whether the
// configuration in force has changed.
func (f *Followed) ApplyEntry(id record.EntryID, entry record.ConfigurationEntry) bool {
	if known, ok := f.nextEntries[id]; ok && known.Revision >= entry.Revision {
		return false
	}
	if known, ok := f.entries[id]; ok && known.Revision >= entry.Revision {
		return false
	}
	if entry.Revision <= f.head.Revision {
		// The record of the revision was read first: the pages of a list are read at
		// different times. A controller does not act before it has read all of them.
		f.entries[id] = entry
		f.rebuild()
		return true
	}
	f.nextEntries[id] = entry
	return f.apply()
}

// ApplyRevision adds the record of a revision that was read, and reports whether the
// configuration in force has changed.
func (f *Followed) ApplyRevision(head record.Configuration, version protocol.Version) bool {
	if version <= f.version || f.nextHead != nil && version <= f.nextVersion {
		return false
	}
	f.nextHead, f.nextVersion = &head, version
	return f.apply()
}

// apply puts the next revision in force if all its entries have been read.
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

// revisionOf returns the latest revision of an entry that was read.
func (f *Followed) revisionOf(id record.EntryID) Revision {
	if entry, ok := f.nextEntries[id]; ok {
		return entry.Revision
	}
	return f.entries[id].Revision
}

func (f *Followed) rebuild() {
	f.effective = build(f.site, f.operator, f.entries, f.head, f.version)
}
