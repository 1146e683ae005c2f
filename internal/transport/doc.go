// Package transport carries messages: an HTTP/1.1 server built on evio, an HTTP/1.1
// client, the parser that both share, and calls between controllers with net/rpc.
//
// The package owns connections, their timeouts and their limits. It does not interpret
// the bodies of messages. It does not retry either: only callers can decide which requests
// may be repeated.
//
// Terms: a message is an HTTP request or response. Its head is the first line with the
// header fields; the framing says where its body ends. The event loop is the one goroutine
// that serves all connections of a server. A peer is another controller.
package transport
