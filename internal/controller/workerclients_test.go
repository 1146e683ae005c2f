package controller

import (
	"fmt"
	"testing"
)

// TestSocketsStayBelowTheLimit: the server and direct commands together hold fewer sockets than
// the limit, which leaves some for other uses, and clients beyond the limit of direct commands
// are dropped.
func TestSocketsStayBelowTheLimit(t *testing.T) {
	for _, limit := range []int{100, 1800, 2000, 10000} {
		server, commands := socketLimits(limit)
		if server+2*commands > limit*95/100 || commands == 0 {
			t.Errorf("limit %d: %d for the server, %d for commands", limit, server, commands)
		}
		clients := newWorkerClients(commands)
		for i := range 3 * limit {
			clients.get(fmt.Sprint("10.0.0.1:", i))
		}
		if len(clients.byAddress) != commands {
			t.Errorf("limit %d: %d clients held, want %d", limit, len(clients.byAddress), commands)
		}
	}
}
