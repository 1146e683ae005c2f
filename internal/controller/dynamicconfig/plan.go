package dynamicconfig

import (
	"bytes"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Plan is a change that was decided, and what its transaction writes.
type Plan struct {
	Revision Revision
	Changes  []record.EntryChange
	Request  string // idempotency key
	By       string // name of the operator's key
	AtMS     record.Moment
	head     record.Configuration // that the change was decided on
	version  protocol.Version     // of the record of head
}

// add adds the change of an entry, unless it changes nothing.
func (p *Plan) add(id record.EntryID, from, to record.ConfigurationEntry) {
	if sameEntry(from, to) {
		return
	}
	to.Revision = p.Revision
	p.Changes = append(p.Changes, record.EntryChange{Entry: id, From: from, To: to})
}

// sameEntry reports whether two entries are equal but for their revisions.
func sameEntry(a, b record.ConfigurationEntry) bool {
	a.Revision, b.Revision = 0, 0
	encodedA, errA := protocol.Encode(a)
	encodedB, errB := protocol.Encode(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// Transaction returns the compare-and-swap that writes the entries, the history and, if
// it has not changed since, the record of the revision.
func (p *Plan) Transaction() protocol.Transaction {
	head := record.Configuration{Revision: p.Revision, Requests: slices.Clone(p.head.Requests)}
	txn := protocol.Transaction{Conditions: []protocol.Condition{{Key: record.ConfigurationKey, Version: p.version}}}
	for _, c := range p.Changes {
		head.Entries = append(head.Entries, c.Entry)
		put := protocol.Change{Put: record.ConfigurationEntryKey(c.Entry), Value: c.To}
		txn.Changes = append(txn.Changes, put)
	}
	if p.Request != "" {
		head.Requests = append(head.Requests, record.ConfigurationRequest{ID: p.Request, Revision: p.Revision})
		oldest := max(0, len(head.Requests)-record.ConfigurationRequests)
		head.Requests = head.Requests[oldest:]
	}
	history := record.ConfigurationChange{Revision: p.Revision, By: p.By, AtMS: p.AtMS, Changes: p.Changes}
	txn.Changes = append(txn.Changes,
		protocol.Change{Put: record.ConfigurationHistoryKey(p.Revision), Value: history},
		protocol.Change{Put: record.ConfigurationKey, Value: head})
	return txn
}

// AppliedBy returns the revision by which a request was already carried out, if it was.
func (f *Followed) AppliedBy(request string) (Revision, bool) {
	for _, r := range f.head.Requests {
		if request != "" && r.ID == request {
			return r.Revision, true
		}
	}
	return 0, false
}
