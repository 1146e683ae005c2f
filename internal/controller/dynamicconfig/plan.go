package dynamicconfig

import (
	"bytes"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Plan is an accepted change of the configuration, with the values that its transaction
// writes.
type Plan struct {
	Revision    Revision // that the change creates
	Changes     []record.EntryChange
	Request     string               // idempotency key
	By          string               // name of the operator's key
	AtMS        record.Moment        // time of the change
	base        record.Configuration // revision that the decision is based on
	baseVersion protocol.Version     // version of the record base
}

// add adds the change of an entry from one value to another, with the plan's revision, unless
// the two values are the same.
func (p *Plan) add(id record.EntryID, from, to record.ConfigurationEntry) {
	if sameEntry(from, to) {
		return
	}
	to.Revision = p.Revision
	p.Changes = append(p.Changes, record.EntryChange{Entry: id, From: from, To: to})
}

// sameEntry reports whether two entries are equal apart from the revisions that wrote them.
func sameEntry(a, b record.ConfigurationEntry) bool {
	a.Revision, b.Revision = 0, 0
	encodedA, errA := protocol.Encode(a)
	encodedB, errB := protocol.Encode(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// Transaction returns the compare-and-swap transaction that writes the changed entries, a
// record of the history of changes, and the record of the revision in force with the latest
// executed requests. It fails if the record of the revision has changed since the decision.
func (p *Plan) Transaction() protocol.Transaction {
	next := record.Configuration{Revision: p.Revision, Requests: slices.Clone(p.base.Requests)}
	txn := protocol.Transaction{Conditions: []protocol.Condition{{Key: record.ConfigurationKey, Version: p.baseVersion}}}
	for _, c := range p.Changes {
		next.Entries = append(next.Entries, c.Entry)
		put := protocol.Change{Put: record.ConfigurationEntryKey(c.Entry), Value: c.To}
		txn.Changes = append(txn.Changes, put)
	}
	if p.Request != "" {
		next.Requests = append(next.Requests, record.ConfigurationRequest{ID: p.Request, Revision: p.Revision})
		excess := max(0, len(next.Requests)-record.ConfigurationRequests)
		next.Requests = next.Requests[excess:]
	}
	history := record.ConfigurationChange{Revision: p.Revision, By: p.By, AtMS: p.AtMS, Changes: p.Changes}
	txn.Changes = append(txn.Changes,
		protocol.Change{Put: record.ConfigurationHistoryKey(p.Revision), Value: history},
		protocol.Change{Put: record.ConfigurationKey, Value: next})
	return txn
}

// RevisionOfRequest returns the revision that the request with an idempotency key created, and
// whether a request with this key was carried out. Only the latest requests are recorded; an
// empty key matches none.
func (f *Tracker) RevisionOfRequest(request string) (Revision, bool) {
	for _, r := range f.current.Requests {
		if request != "" && r.ID == request {
			return r.Revision, true
		}
	}
	return 0, false
}
