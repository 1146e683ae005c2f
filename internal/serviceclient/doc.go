// Package serviceclient sends one CBOR request to a service of the platform and turns
// its response into a value or a typed error. The clients of the key-value store and of
// the cloud are built on it.
//
// The package has no state: connections and rate limits belong to its callers.
package serviceclient
