// Package operatorapi defines the requests that operators' commands send to controllers,
// the replies, the seal that authenticates requests, and the client that sends them.
//
// Controllers and the command line both use the package. It has no state except the
// client's connections, and does not decide on requests. Field tags and the values of Op
// and Code are the wire format and the keys of the command line's JSON output, so they
// never change.
package operatorapi
