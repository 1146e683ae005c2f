// Package transport carries messages: an HTTP/1.1 server built on evio, an HTTP/1.1
// client, the parser that both share, and calls between controllers with net/rpc.
//
// The package owns connections and their timeouts and limits. It does not look into the
// bodies of messages, and has no retries: callers know what may be repeated.
package transport
