package controller

import (
	"fmt"
	"testing"
)

// TestSockets: what the server and direct commands may hold together stays
// below the limit, with room for the rest, and clients beyond their share go.
func TestSockets(t *testing.T) {
	for _, limit := range []int{100, 1800, 2000, 10000} {
		server, commands := socketLimits(limit)
		if server+2*commands > limit*95/100 || commands == 0 {
			t.Errorf("limit %d: %d for the server, %d for commands", limit, server, commands)
		}
		w := newWorkerClients(commands)
		for i := range 3 * limit {
			w.get(fmt.Sprint("10.0.0.1:", i))
		}
		if len(w.byAddress) != commands {
			t.Errorf("limit %d: %d clients kept, want %d", limit, len(w.byAddress), commands)
		}
	}
}
