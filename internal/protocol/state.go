package protocol

// Item is a key of the state service with its value.
type Item struct {
	Key     string   `cbor:"path"`
	Value   RawValue `cbor:"value"`
	Version Version  `cbor:"entry"`
	Lease   *LeaseID `cbor:"mooring,omitempty"`
}

// Page is a page of keys.
type Page struct {
	Items    []Item   `cbor:"entries"`
	More     bool     `cbor:"more"`
	Revision Revision `cbor:"ledgerline"`
}

// Condition is a version that a key must have; 0: it must not exist.
type Condition struct {
	Key     string  `cbor:"path"`
	Version Version `cbor:"entry"`
}

// Change writes or deletes one key.
type Change struct {
	Put    string   `cbor:"write,omitempty"`
	Value  any      `cbor:"value,omitempty"`
	Lease  *LeaseID `cbor:"mooring,omitempty"`
	Delete string   `cbor:"drop,omitempty"`
}

// Transaction is a transaction: all of its changes if all of its conditions hold.
type Transaction struct {
	Conditions []Condition `cbor:"if"`
	Changes    []Change    `cbor:"then"`
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Failed   []string `cbor:"failed"`
	Revision Revision `cbor:"ledgerline"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `cbor:"ttl_ms"`
}

// LeaseReply names the lease given.
type LeaseReply struct {
	Lease LeaseID `cbor:"mooring"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string   `cbor:"write,omitempty"`
	Delete  string   `cbor:"drop,omitempty"`
	Value   RawValue `cbor:"value,omitempty"`
	Version Version  `cbor:"entry"`
}

// Events is the answer of a watch.
type Events struct {
	Revision Revision `cbor:"ledgerline"`
	Events   []Event  `cbor:"news"`
}
