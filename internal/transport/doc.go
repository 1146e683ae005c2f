// Package transport carries messages: an HTTP/1.1 server built on evio, an HTTP/1.1
// client, the parser that both share, and calls between controllers with net/rpc.
//
// The package owns connections, their timeouts and their limits. It does not interpret
// the bodies of messages. It does not retry either: only callers can decide which requests
// may be repeated.
package transport
