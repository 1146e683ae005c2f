package protocol

// Item is a key of the key-value store with its value and version, and the lease under which it
// was written, if any.
type Item struct {
	Key     string   `cbor:"path"`
	Value   RawValue `cbor:"value"`
	Version Version  `cbor:"entry"`
	Lease   *LeaseID `cbor:"mooring,omitempty"`
}

// Page is a page of items. More reports whether another page follows, and Revision is the
// store's revision when the page was read.
type Page struct {
	Items    []Item   `cbor:"entries"`
	More     bool     `cbor:"more"`
	Revision Revision `cbor:"ledgerline"`
}

// Condition requires that a key has the given version. Version 0 requires that the key
// does not exist.
type Condition struct {
	Key     string  `cbor:"path"`
	Version Version `cbor:"entry"`
}

// Change writes Value to the key Put, under Lease if that is set, or deletes the key Delete.
type Change struct {
	Put    string   `cbor:"write,omitempty"`
	Value  any      `cbor:"value,omitempty"`
	Lease  *LeaseID `cbor:"mooring,omitempty"`
	Delete string   `cbor:"drop,omitempty"`
}

// Transaction is a compare-and-swap: the store makes all changes if all conditions hold,
// and none otherwise.
type Transaction struct {
	Conditions []Condition `cbor:"if"`
	Changes    []Change    `cbor:"then"`
}

// TransactionReply is the response to a Transaction. Failed lists the keys whose
// conditions did not hold.
type TransactionReply struct {
	Failed   []string `cbor:"failed"`
	Revision Revision `cbor:"ledgerline"`
}

// LeaseRequest requests a new lease, which expires TTLMS milliseconds after it was last renewed.
type LeaseRequest struct {
	TTLMS int64 `cbor:"ttl_ms"`
}

// LeaseReply is the response to a LeaseRequest.
type LeaseReply struct {
	Lease LeaseID `cbor:"mooring"`
}

// Event is one change returned by a watch: a written key (Put) or a deleted key (Delete).
type Event struct {
	Put     string   `cbor:"write,omitempty"`
	Delete  string   `cbor:"drop,omitempty"`
	Value   RawValue `cbor:"value,omitempty"`
	Version Version  `cbor:"entry"`
}

// Events is the response to a watch, a request for the changes after a revision: the changes,
// and the revision up to which they are complete.
type Events struct {
	Revision Revision `cbor:"ledgerline"`
	Events   []Event  `cbor:"news"`
}
