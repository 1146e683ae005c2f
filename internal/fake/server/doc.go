// Package server puts the models of package fake behind the wire of the platform: a
// key-value store, a cloud and workers on loopback, for tests and trials with real
// controllers in real time.
//
// Each service owns its model, guarded by a mutex, and its HTTP server; a [Host] owns
// workers, which send heartbeats and take commands as the agents of machines do. A
// [Platform] is all of them in one process. The package must not import the controllers:
// it knows them by the protocol only.
package server
