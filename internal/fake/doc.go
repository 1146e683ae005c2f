// Package fake models the platform's services for tests: the key-value store ([State]),
// the cloud ([Cloud]) and the workers of machines ([Worker]).
//
// Each model owns plain state without clocks, sockets or goroutines: the caller passes
// the time and carries the messages. A model must do the same things in the same order
// each time it is given the same calls, as simulations rest on that. Package server puts
// the models behind their wire.
package fake
