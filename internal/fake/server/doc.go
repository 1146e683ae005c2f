// Package server serves the models of package fake over the platform's HTTP interfaces:
// a key-value store, a cloud and workers on loopback, for tests and trials with real
// controllers in real time.
//
// Each service owns its model, guarded by a mutex, and its HTTP server. A [Host] owns
// workers, which send heartbeats and execute commands like the agents of real machines. A
// [Platform] runs all of them in one process. The package must not import the controllers;
// it communicates with them only through the protocol.
//
// Terms: a machine is in service from the end of its boot until it stops. A worker is the
// agent of a machine with its tasks, as modelled by [fake.Worker]. Direct commands are those
// that a controller sends to a worker outside of the replies to heartbeats. A watch is a
// request for the changes of the key-value store after a revision.
package server
