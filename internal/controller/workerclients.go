package controller

import (
	"sync"

	"damsonkeel/internal/transport"
)

// Of the sockets that the platform allows, most are for workers and users, who must all
// get a connection while one controller dispatches to every machine. Direct commands may
// have as many under way as connections are kept open for them. The rest is left for the
// platform's services, peers, and connections that are being closed.
const (
	serverSocketsPercent  = 55
	minServerSockets      = 16
	commandSocketsDivisor = 5
	minCommandSockets     = 8
)

// socketLimits divides the sockets that the platform allows among the server and direct
// commands.
func socketLimits(limit int) (server, commands int) {
	return max(minServerSockets, limit*serverSocketsPercent/100), max(minCommandSockets, limit/commandSocketsDivisor)
}

// workerClients holds a client for each worker that gets direct commands, up to a limit.
// A worker gets one command at a time, so each client has one connection.
type workerClients struct {
	limit     int
	mu        sync.Mutex
	byAddress map[string]*transport.Client
}

func newWorkerClients(limit int) *workerClients {
	return &workerClients{limit: limit, byAddress: map[string]*transport.Client{}}
}

// get returns the client for a worker. At the limit, one of another worker makes way.
func (w *workerClients) get(address string) *transport.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if client := w.byAddress[address]; client != nil {
		return client
	}
	if len(w.byAddress) >= w.limit {
		for other, client := range w.byAddress { // any one: it is made again when needed
			client.CloseIdleConnections()
			delete(w.byAddress, other)
			break
		}
	}
	client := transport.NewClient(address)
	w.byAddress[address] = client
	return client
}
