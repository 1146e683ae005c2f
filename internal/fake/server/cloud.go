package server

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// maxListed is how many machines a page of the cloud's list holds at the most.
const maxListed = 500

// cloudBurst is how many seconds' worth of requests the cloud takes at once.
const cloudBurst = 2

// Fleet is what runs the machines that a cloud rents.
type Fleet interface {
	// Rented has a machine come up.
	Rented(protocol.MachineID, protocol.TypeInfo, protocol.ProvisionRequest)
	// Return ends machines and all that is on them, before it returns.
	Return([]protocol.MachineID) error
	// Machine is the address of a machine that is up, and when it came up.
	Machine(protocol.MachineID) (Listed, bool)
}

// Listed is what a cloud's list says of a machine that has come up.
type Listed struct {
	Address string
	Since   time.Duration
	Failed  bool // it has stopped on its own
}

// CloudService puts the model of the cloud behind its wire.
type CloudService struct {
	Addr    string
	Traffic *Traffic

	throttle
	server *http.Server
	types  []protocol.TypeInfo
	fleet  Fleet
	clock  func() time.Duration

	mu    sync.Mutex
	model *fake.Cloud
}

// NewCloudService starts a cloud on loopback that has so many machines.
func NewCloudService(limits Limits, types []protocol.TypeInfo, capacity int, fleet Fleet, clock func() time.Duration) (*CloudService, error) {
	limits.Burst = cmp.Or(limits.Burst, cloudBurst)
	t := newThrottle(limits)
	c := &CloudService{
		Traffic: t.traffic, throttle: t, types: types, fleet: fleet, clock: clock, model: fake.NewCloud(capacity),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.limited("catalogue", func(w http.ResponseWriter, _ *http.Request) { answer(w, 200, protocol.Catalogue{Types: c.types}) }))
	mux.HandleFunc("POST /hosts", c.limited("rent", locked(&c.mu, c.rent)))
	mux.HandleFunc("POST /hosts/delete", c.limited("return", c.remove))
	mux.HandleFunc("GET /hosts", c.limited("list", c.machines))
	var err error
	if c.server, c.Addr, err = listen(mux, plain); err != nil {
		return nil, err
	}
	return c, nil
}

// Close ends the service.
func (c *CloudService) Close() { _ = c.server.Close() } // nothing is left to lose

// Rent rents machines as a request would.
func (c *CloudService) Rent(req protocol.ProvisionRequest) []protocol.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rentNow(req)
}

func (c *CloudService) rent(req protocol.ProvisionRequest) (int, any) {
	all := c.rentNow(req)
	if len(all) == 0 {
		return 503, protocol.ErrorBody{Error: "no capacity"}
	}
	return 200, protocol.MachineNames{Machines: all}
}

func (c *CloudService) rentNow(req protocol.ProvisionRequest) []protocol.MachineID {
	i := slices.IndexFunc(c.types, func(t protocol.TypeInfo) bool { return t.Name == req.Type })
	if i < 0 {
		return nil
	}
	all, fresh := c.model.Rent(req)
	for _, id := range fresh {
		c.fleet.Rented(id, c.types[i], req)
	}
	return all
}

// remove returns machines: all on them is gone before the answer.
func (c *CloudService) remove(w http.ResponseWriter, r *http.Request) {
	req, ok := read[protocol.MachineNames](w, r)
	if !ok {
		return
	}
	if err := c.fleet.Return(req.Machines); err != nil {
		answer(w, 503, protocol.ErrorBody{Error: "trouble"})
		return
	}
	c.mu.Lock()
	for _, id := range req.Machines {
		delete(c.model.Machines, id)
	}
	c.mu.Unlock()
	answer(w, 200, struct{}{})
}

func (c *CloudService) machines(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	from := protocol.MachineID(q.Get("from"))
	c.mu.Lock()
	ids := make([]protocol.MachineID, 0, len(c.model.Machines))
	for id := range c.model.Machines {
		if id > from {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	if most := max(1, min(page, maxListed)); len(ids) > most {
		ids, list.More = ids[:most], true
	}
	for _, id := range ids {
		list.Machines = append(list.Machines, c.listed(id, c.model.Machines[id]))
	}
	c.mu.Unlock()
	answer(w, 200, list)
}

// listed is a machine's line of the list.
func (c *CloudService) listed(id protocol.MachineID, req protocol.ProvisionRequest) protocol.ListedMachine {
	l := protocol.ListedMachine{ID: id, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: "booting"}
	up, ok := c.fleet.Machine(id)
	if !ok {
		return l
	}
	l.State, l.Address, l.AgeS = "running", up.Address, (c.clock() - up.Since).Seconds()
	if up.Failed {
		l.State = "failed"
	}
	return l
}
