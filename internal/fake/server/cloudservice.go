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

const (
	// maxListed is how many machines a page of the cloud's list holds at the most.
	maxListed = 500
	// cloudBurst is how many seconds' worth of requests the cloud takes at once.
	cloudBurst = 2
)

// Fleet runs the machines that a cloud provisions.
type Fleet interface {
	// Provisioned has a provisioned machine come up.
	Provisioned(protocol.MachineID, protocol.TypeInfo, protocol.ProvisionRequest)
	// Terminate terminates machines and all that is on them, before it returns.
	Terminate([]protocol.MachineID) error
	// Machine is the address of a machine that is up, and when it came up.
	Machine(protocol.MachineID) (Listed, bool)
}

// Listed is a line of the cloud's list for a machine that has come up.
type Listed struct {
	Address string
	Since   time.Duration
	Failed  bool // it has stopped by itself
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
	throttle := newThrottle(limits)
	c := &CloudService{
		Traffic: throttle.traffic, throttle: throttle, types: types, fleet: fleet, clock: clock, model: fake.NewCloud(capacity),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.limited("catalogue", c.catalogue))
	mux.HandleFunc("POST /hosts", c.limited("rent", locked(&c.mu, c.provision)))
	mux.HandleFunc("POST /hosts/delete", c.limited("return", c.terminate))
	mux.HandleFunc("GET /hosts", c.limited("list", c.list))
	var err error
	if c.server, c.Addr, err = listen(mux, plain); err != nil {
		return nil, err
	}
	return c, nil
}

// Close ends the service.
func (c *CloudService) Close() { _ = c.server.Close() } // nothing is left to lose

// Provision provisions machines as a request would.
func (c *CloudService) Provision(req protocol.ProvisionRequest) []protocol.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.provisionLocked(req)
}

func (c *CloudService) catalogue(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, protocol.Catalogue{Types: c.types})
}

func (c *CloudService) provision(req protocol.ProvisionRequest) (status int, body any) {
	machines := c.provisionLocked(req)
	if len(machines) == 0 {
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"}
	}
	return http.StatusOK, protocol.MachineNames{Machines: machines}
}

// provisionLocked provisions machines, and has those come up that are new. The lock is
// held.
func (c *CloudService) provisionLocked(req protocol.ProvisionRequest) []protocol.MachineID {
	i := slices.IndexFunc(c.types, func(t protocol.TypeInfo) bool { return t.Name == req.Type })
	if i < 0 {
		return nil
	}
	machines, fresh := c.model.Provision(req)
	for _, id := range fresh {
		c.fleet.Provisioned(id, c.types[i], req)
	}
	return machines
}

// terminate ends machines: all work on them has ended before the answer.
func (c *CloudService) terminate(w http.ResponseWriter, r *http.Request) {
	req, ok := read[protocol.MachineNames](w, r)
	if !ok {
		return
	}
	if err := c.fleet.Terminate(req.Machines); err != nil {
		answer(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "machines not terminated"})
		return
	}
	c.mu.Lock()
	for _, id := range req.Machines {
		delete(c.model.Machines, id)
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, struct{}{})
}

// list answers with a page of the machines by their names.
func (c *CloudService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pageSize, _ := strconv.Atoi(query.Get("page"))
	from := protocol.MachineID(query.Get("from"))
	c.mu.Lock()
	ids := make([]protocol.MachineID, 0, len(c.model.Machines))
	for id := range c.model.Machines {
		if id > from {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	if limit := max(1, min(pageSize, maxListed)); len(ids) > limit {
		ids, list.More = ids[:limit], true
	}
	for _, id := range ids {
		list.Machines = append(list.Machines, c.listed(id, c.model.Machines[id]))
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, list)
}

// listed is a machine's line of the list. The lock is held.
func (c *CloudService) listed(id protocol.MachineID, req protocol.ProvisionRequest) protocol.ListedMachine {
	line := protocol.ListedMachine{ID: id, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: "booting"}
	up, ok := c.fleet.Machine(id)
	if !ok {
		return line
	}
	line.State, line.Address, line.AgeS = "running", up.Address, (c.clock() - up.Since).Seconds()
	if up.Failed {
		line.State = "failed"
	}
	return line
}
