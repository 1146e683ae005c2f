package controller

import (
	"sync"

	"damsonkeel/internal/transport"
)

// Most of the sockets that the platform allows are reserved for the server: all workers and
// users must get a connection, even while one controller dispatches to every machine. Direct
// commands get a fixed part, which limits both the commands in progress and the connections
// that are kept open for them. The rest is left for the platform's services, peers, and
// connections that are being closed.
const (
	serverSocketsPercent  = 55
	minServerSockets      = 16
	commandSocketsDivisor = 5
	minCommandSockets     = 8
)

// socketLimits returns the maximum numbers of sockets of the server and of direct commands, given
// the number of sockets that the platform allows.
func socketLimits(limit int) (server, commands int) {
	return max(minServerSockets, limit*serverSocketsPercent/100), max(minCommandSockets, limit/commandSocketsDivisor)
}

// workerClients holds a client for each worker that receives direct commands, up to a limit.
// A worker receives one command at a time, so each client has one connection.
type workerClients struct {
	limit     int
	mu        sync.Mutex
	byAddress map[string]*transport.Client
}

func newWorkerClients(limit int) *workerClients {
	return &workerClients{limit: limit, byAddress: map[string]*transport.Client{}}
}

// get returns the client for the worker at an address, and creates it if it is missing. If there
// are as many clients as the limit allows, it removes that of another worker first.
func (w *workerClients) get(address string) *transport.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if client := w.byAddress[address]; client != nil {
		return client
	}
	if len(w.byAddress) >= w.limit {
		// An arbitrary client is removed: it is created again when it is needed.
		for other, client := range w.byAddress {
			client.CloseIdleConnections()
			delete(w.byAddress, other)
			break
		}
	}
	client := transport.NewClient(address)
	w.byAddress[address] = client
	return client
}
