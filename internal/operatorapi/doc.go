// Package operatorapi has the requests of operators' commands to controllers and the
// replies, the seal that authenticates requests, and the client that sends them.
//
// The package is the same on both sides and has no state but the client's connections.
// Requests are decided elsewhere. Tags of fields and values of Op and Code are wire
// format and keys of the command line's JSON output, so they never change.
package operatorapi
