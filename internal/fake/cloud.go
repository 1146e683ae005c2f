package fake

import (
	"fmt"

	"damsonkeel/internal/protocol"
)

// Cloud models the cloud: its machines, and what it remembers of requests.
type Cloud struct {
	Machines map[protocol.MachineID]protocol.ProvisionRequest
	Capacity int
	PerZone  int // of these, in each zone at the most; 0: any number

	answers map[string][]protocol.MachineID
	next    int
}

// NewClient makes a cloud that has so many machines to rent.
func NewCloud(capacity int) *Cloud {
	return &Cloud{Machines: map[protocol.MachineID]protocol.ProvisionRequest{}, Capacity: capacity, answers: map[string][]protocol.MachineID{}}
}

// Rent rents machines; fresh ones are new by this request.
func (c *Cloud) Rent(r protocol.ProvisionRequest) (all, fresh []protocol.MachineID) {
	if have, ok := c.answers[r.Name]; ok {
		return have, nil
	}
	for range r.Count {
		if len(c.Machines) >= c.Capacity || c.PerZone > 0 && c.in(r.Zone) >= c.PerZone {
			break
		}
		id := protocol.MachineID(fmt.Sprintf("vm-%06d", c.next))
		c.next++
		c.Machines[id] = r
		fresh = append(fresh, id)
	}
	if len(fresh) > 0 {
		c.answers[r.Name] = fresh
	}
	return fresh, fresh
}

// in is how many machines there are in a zone.
func (c *Cloud) in(z protocol.Zone) int {
	n := 0
	for _, r := range c.Machines {
		if r.Zone == z {
			n++
		}
	}
	return n
}
