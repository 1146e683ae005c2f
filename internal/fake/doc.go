// Package fake models the platform's services for tests: the key-value store
// ([KeyValueStore]), the cloud ([Cloud]) and the workers on machines ([Worker]).
//
// Each model is plain state without clocks, sockets or goroutines: the caller passes the
// time and delivers the messages. Models are deterministic: the same calls in the same
// order have the same effects and results, because simulations must be reproducible.
// Package server serves the models over HTTP.
//
// Terms: an agent epoch is a worker's number that rises each time its lease expires. An
// attempt is one start of a task. A worker's lease is the time, after the sending of its last
// answered heartbeat, for which its tasks may run. Times are durations since an arbitrary
// start that the caller chooses.
package fake
