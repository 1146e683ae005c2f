// Package message defines the messages of the controller: those between controllers, which
// net/rpc sends by gob, the messages to the step function of a controller's core, and the
// actions that a step asks for.
//
// It owns no state. Gob identifies fields by their exported names, so the names and types
// of the fields of peers' messages, and the numbers of constants in them, must not change:
// a renamed field would arrive as zero, without an error. Names of types are free. The
// tests of package compat read messages as they were first sent.
//
// Some field names are older than the terms used elsewhere: Tenure is the epoch since
// which a shard has had its holder, Share a shard, Acting that a controller holds its lease,
// Relay a state update, Loan a grant of rates, and Heard that a machine is in contact.
package message
