package protocol

// Item is a key of the key-value store with its value.
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

// Condition is the version that a key must have; with 0 it must not exist.
type Condition struct {
	Key     string  `cbor:"path"`
	Version Version `cbor:"entry"`
}

// Change puts or deletes one key.
type Change struct {
	Put    string   `cbor:"write,omitempty"`
	Value  any      `cbor:"value,omitempty"`
	Lease  *LeaseID `cbor:"mooring,omitempty"`
	Delete string   `cbor:"drop,omitempty"`
}

// Transaction is a compare-and-swap: all changes are made if all conditions hold.
type Transaction struct {
	Conditions []Condition `cbor:"if"`
	Changes    []Change    `cbor:"then"`
}

// TransactionReply is the response to a Transaction. Failed has the keys whose conditions
// did not hold.
type TransactionReply struct {
	Failed   []string `cbor:"failed"`
	Revision Revision `cbor:"ledgerline"`
}

// LeaseRequest is the request to create a lease.
type LeaseRequest struct {
	TTLMS int64 `cbor:"ttl_ms"`
}

// LeaseReply is the response to a LeaseRequest.
type LeaseReply struct {
	Lease LeaseID `cbor:"mooring"`
}

// Event is one change that a watch returns.
type Event struct {
	Put     string   `cbor:"write,omitempty"`
	Delete  string   `cbor:"drop,omitempty"`
	Value   RawValue `cbor:"value,omitempty"`
	Version Version  `cbor:"entry"`
}

// Events is the response to a watch.
type Events struct {
	Revision Revision `cbor:"ledgerline"`
	Events   []Event  `cbor:"news"`
}
