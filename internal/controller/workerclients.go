package controller

import (
	"sync"

	"damsonkeel/internal/transport"
)

// sockets shares out the sockets that the platform allows: most are for workers
// and users, who must all find a place while one controller keeps every
// machine; direct commands may have as many under way as connections kept, and
// the rest is left for the platform's services, peers and connections that are
// just being closed.
func sockets(limit int) (server, commands int) {
	return max(16, limit*55/100), max(8, limit/5)
}

// workerClients keeps a client for each worker that gets direct commands, up
// to a number of them. A worker gets one command at a time, so each has one
// connection.
type workerClients struct {
	most int
	mu   sync.Mutex
	by   map[string]*transport.Client
}

func newWorkerClients(most int) *workerClients {
	return &workerClients{most: most, by: map[string]*transport.Client{}}
}

func (w *workerClients) get(addr string) *transport.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.by[addr]; c != nil {
		return c
	}
	if len(w.by) >= w.most {
		for a, c := range w.by { // any one: it is made again when needed
			c.Forget()
			delete(w.by, a)
			break
		}
	}
	c := transport.NewClient(addr)
	w.by[addr] = c
	return c
}
