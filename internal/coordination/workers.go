package coordination

import (
	"sync"

	"damsonkeel/internal/transport"
)

// maxWorkerClients bounds the addresses whose connections are kept.
const maxWorkerClients = 512

// workerClients keeps a client for each worker that gets direct commands.
type workerClients struct {
	mu sync.Mutex
	by map[string]*transport.Client
}

func newWorkerClients() *workerClients {
	return &workerClients{by: map[string]*transport.Client{}}
}

func (w *workerClients) get(addr string) *transport.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.by[addr]; c != nil {
		return c
	}
	if len(w.by) >= maxWorkerClients {
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
