// Package serviceclient sends a CBOR request to a service of the platform and converts
// the response into a value or a typed error. The clients of the key-value store and of
// the cloud use it.
//
// The package has no state. Its callers own the connections and the rate limits.
package serviceclient
