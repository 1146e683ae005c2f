// Package serviceclient sends a CBOR request to a service of the platform and converts
// the response into a value or a typed error. The clients of the key-value store and of
// the cloud use it.
//
// In the comments, a service is the key-value store or the cloud; a transaction is a set of
// changes that the store makes only if conditions on its keys hold; a watch reads the changes
// of the store from a start revision on, and the store's compaction deletes old revisions.
//
// The package has no state. Its callers own the connections and the rate limits.
package serviceclient
