package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Tracker maintains the configuration in force from the records that a controller reads.
// It buffers the entries of a revision until all of them and the revision's own record have
// been read, in any order, and then applies them in one step.
type Tracker struct {
	site     *config.Site
	operator config.Operator

	current        record.Configuration                         // record of the revision in force
	currentVersion protocol.Version                             // version of the record current
	entries        map[record.EntryID]record.ConfigurationEntry // in force

	pending        *record.Configuration                        // record of a later revision; nil if none has been read
	pendingVersion protocol.Version                             // version of the record pending
	pendingEntries map[record.EntryID]record.ConfigurationEntry // of later revisions

	effective *Effective
}

// NewTracker returns the configuration of the platform's and the operators' files, before
// any records have been read.
func NewTracker(site *config.Site, operator config.Operator) *Tracker {
	f := &Tracker{site: site, operator: operator}
	f.Reset()
	return f
}

// Reset discards all records that were read, so that the files' configuration is in force. The
// caller then lists the records again.
func (f *Tracker) Reset() {
	*f = Tracker{site: f.site, operator: f.operator}
	f.entries = map[record.EntryID]record.ConfigurationEntry{}
	f.pendingEntries = map[record.EntryID]record.ConfigurationEntry{}
	f.effective = Base(f.site, f.operator)
}

// Effective returns the configuration in force: that of the last revision all of whose records
// have been read.
func (f *Tracker) Effective() *Effective { return f.effective }

// Entry returns the entry in force with an ID. If the entry was never changed, it returns one
// with Reset set.
func (f *Tracker) Entry(id record.EntryID) record.ConfigurationEntry {
	if entry, ok := f.entries[id]; ok {
		return entry
	}
	return record.ConfigurationEntry{Reset: true}
}

// Entries returns the entries in force that were ever changed, including those that were
// reset. The caller must not change the map.
func (f *Tracker) Entries() map[record.EntryID]record.ConfigurationEntry { return f.entries }

// ApplyEntry adds the record of an entry that was read from the key-value store, and
// reports whether the configuration in force was rebuilt. An entry of a later revision than
// the one in force takes effect together with that revision. A record that is not newer than
// the known one is ignored.
func (f *Tracker) ApplyEntry(id record.EntryID, entry record.ConfigurationEntry) bool {
	if known, ok := f.pendingEntries[id]; ok && known.Revision >= entry.Revision {
		return false
	}
	if known, ok := f.entries[id]; ok && known.Revision >= entry.Revision {
		return false
	}
	if entry.Revision <= f.current.Revision {
		// The record of the revision was read before this entry, since the pages of a list
		// are read at different times. A controller does not act before it has read all
		// pages.
		f.entries[id] = entry
		f.rebuild()
		return true
	}
	f.pendingEntries[id] = entry
	return f.applyPending()
}

// ApplyRevision adds the record of a revision that was read from the key-value store, and
// reports whether the revision was put in force, which happens once all its entries have been
// read. A record that is not newer than the known one is ignored.
func (f *Tracker) ApplyRevision(revision record.Configuration, version protocol.Version) bool {
	if version <= f.currentVersion || f.pending != nil && version <= f.pendingVersion {
		return false
	}
	f.pending, f.pendingVersion = &revision, version
	return f.applyPending()
}

// applyPending puts the pending revision in force, with the entries of it and of earlier
// revisions, if all entries that it changed have been read. It reports whether it has.
func (f *Tracker) applyPending() bool {
	if f.pending == nil {
		return false
	}
	for _, id := range f.pending.Entries {
		if f.revisionOf(id) < f.pending.Revision {
			return false
		}
	}
	for id, entry := range f.pendingEntries {
		if entry.Revision <= f.pending.Revision {
			f.entries[id] = entry
			delete(f.pendingEntries, id)
		}
	}
	f.current, f.currentVersion, f.pending = *f.pending, f.pendingVersion, nil
	f.rebuild()
	return true
}

// revisionOf returns the revision of the latest record of an entry that has been read; 0 if
// none has.
func (f *Tracker) revisionOf(id record.EntryID) Revision {
	if entry, ok := f.pendingEntries[id]; ok {
		return entry.Revision
	}
	return f.entries[id].Revision
}

// rebuild recomputes the effective configuration from the entries in force.
func (f *Tracker) rebuild() {
	f.effective = buildEffective(f.site, f.operator, f.entries, f.current, f.currentVersion)
}
