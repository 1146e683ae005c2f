// Package message defines the messages of the controller: the messages between controllers,
// which net/rpc encodes with gob, the messages to the step function of a controller's core,
// and the actions that a step returns.
//
// The package owns no state. Gob identifies fields by their exported names, so the names
// and types of the fields of peers' messages, and the numbers of the constants in them,
// must not change: a renamed field would arrive as zero, without an error. Types may be
// renamed. The tests of package compat decode messages in the form in which they were first
// sent.
//
// Some field names are older than the terms used elsewhere: Tenure is the epoch at which
// the holder of a shard took it over, Share is a shard, Acting means that a controller holds
// its lease, Relay is a state update, Loan is a grant of rates, Heard means that the
// attempts on a machine are known, Sole that no other controller can have started any, Saved
// that a checkpoint was saved, and Reap that the worker may forget an attempt.
package message
