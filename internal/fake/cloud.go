package fake

import (
	"fmt"

	"damsonkeel/internal/protocol"
)

// Cloud models the cloud: its machines, and its replies to provision requests. The name
// of a request is its idempotency key.
type Cloud struct {
	// Machines holds the existing machines with the requests that provisioned them. The
	// caller deletes those that it terminates.
	Machines map[protocol.MachineID]protocol.ProvisionRequest
	Capacity int // maximum number of machines
	PerZone  int // maximum number of machines per zone; 0 means no limit

	provisioned map[string][]protocol.MachineID // provisioned machines by request name
	nextMachine int
}

// NewCloud returns a cloud that can provision up to capacity machines.
func NewCloud(capacity int) *Cloud {
	return &Cloud{Machines: map[protocol.MachineID]protocol.ProvisionRequest{}, Capacity: capacity, provisioned: map[string][]protocol.MachineID{}}
}

// Provision provisions as many of the requested machines as Capacity and PerZone allow, and
// returns their ids as both all and fresh. If an earlier request of the same name got any
// machines, it provisions none and returns that request's machines as all.
func (c *Cloud) Provision(r protocol.ProvisionRequest) (all, fresh []protocol.MachineID) {
	if machines, ok := c.provisioned[r.Name]; ok {
		return machines, nil
	}
	for range r.Count {
		if len(c.Machines) >= c.Capacity || c.PerZone > 0 && c.countIn(r.Zone) >= c.PerZone {
			break
		}
		id := protocol.MachineID(fmt.Sprintf("vm-%06d", c.nextMachine))
		c.nextMachine++
		c.Machines[id] = r
		fresh = append(fresh, id)
	}
	if len(fresh) > 0 {
		c.provisioned[r.Name] = fresh
	}
	return fresh, fresh
}

// countIn returns the number of machines in a zone.
func (c *Cloud) countIn(z protocol.Zone) int {
	count := 0
	for _, r := range c.Machines {
		if r.Zone == z {
			count++
		}
	}
	return count
}
