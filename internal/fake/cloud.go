package fake

import (
	"fmt"

	"damsonkeel/internal/protocol"
)

// Cloud models the cloud: its machines, and its answers to requests, which are
// idempotent by their names.
type Cloud struct {
	Machines map[protocol.MachineID]protocol.ProvisionRequest
	Capacity int // machines at the most
	PerZone  int // machines in each zone at the most; 0: any number

	answers     map[string][]protocol.MachineID // by the name of the request
	nextMachine int
}

// NewCloud makes a cloud that can provision so many machines.
func NewCloud(capacity int) *Cloud {
	return &Cloud{Machines: map[protocol.MachineID]protocol.ProvisionRequest{}, Capacity: capacity, answers: map[string][]protocol.MachineID{}}
}

// Provision provisions machines. A repeated request gets the answer of the first one; fresh
// are the machines that are new by this request.
func (c *Cloud) Provision(r protocol.ProvisionRequest) (all, fresh []protocol.MachineID) {
	if machines, ok := c.answers[r.Name]; ok {
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
		c.answers[r.Name] = fresh
	}
	return fresh, fresh
}

// countIn is how many machines there are in a zone.
func (c *Cloud) countIn(z protocol.Zone) int {
	count := 0
	for _, r := range c.Machines {
		if r.Zone == z {
			count++
		}
	}
	return count
}
