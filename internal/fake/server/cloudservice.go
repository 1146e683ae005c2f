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
	// maxMachinesPerPage is the maximum number of machines in a page of the cloud's list.
	maxMachinesPerPage = 500
	// cloudBurst is the default burst of the cloud's rate limit, in seconds of its rate.
	cloudBurst = 2
)

// Fleet runs the machines of a CloudService.
type Fleet interface {
	// Provisioned boots a machine that the cloud has provisioned.
	Provisioned(protocol.MachineID, protocol.TypeInfo, protocol.ProvisionRequest)
	// Terminate terminates machines and all tasks on them before it returns.
	Terminate([]protocol.MachineID) error
	// Machine returns the list entry of a machine and reports whether the machine has
	// booted.
	Machine(protocol.MachineID) (MachineListing, bool)
}

// MachineListing is the entry of a booted machine in the cloud's list. Since is the time at which
// it finished booting.
type MachineListing struct {
	Address string
	Since   time.Duration
	Failed  bool // whether the machine has stopped by itself
}

// CloudService serves the model of the cloud over HTTP.
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

// NewCloudService starts a cloud on loopback that can provision up to capacity machines.
func NewCloudService(limits Limits, types []protocol.TypeInfo, capacity int, fleet Fleet, clock func() time.Duration) (*CloudService, error) {
	limits.Burst = cmp.Or(limits.Burst, cloudBurst)
	throttle := newThrottle(limits)
	c := &CloudService{
		Traffic: throttle.traffic, throttle: throttle, types: types, fleet: fleet, clock: clock, model: fake.NewCloud(capacity),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.limited("catalogue", c.catalogue))
	mux.HandleFunc("POST /hosts", c.limited("rent", lockedHandler(&c.mu, c.provision)))
	mux.HandleFunc("POST /hosts/delete", c.limited("return", c.terminate))
	mux.HandleFunc("GET /hosts", c.limited("list", c.list))
	var err error
	if c.server, c.Addr, err = listen(mux, unwrappedListener); err != nil {
		return nil, err
	}
	return c, nil
}

// Close stops the service.
func (c *CloudService) Close() { _ = c.server.Close() } // an error does not matter at shutdown

// Provision provisions machines without an HTTP request, outside the rate limit.
func (c *CloudService) Provision(req protocol.ProvisionRequest) []protocol.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.provisionLocked(req)
}

// catalogue serves the machine types.
func (c *CloudService) catalogue(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, protocol.Catalogue{Types: c.types})
}

// provision serves a provision request. The lock is held.
func (c *CloudService) provision(req protocol.ProvisionRequest) (status int, body any) {
	machines := c.provisionLocked(req)
	if len(machines) == 0 {
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"}
	}
	return http.StatusOK, protocol.MachineNames{Machines: machines}
}

// provisionLocked provisions machines and boots the new ones. It returns all machines of
// the request, including those of an earlier request with the same name. The lock is held.
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

// terminate serves a request to terminate machines. All tasks on them have ended before it
// responds.
func (c *CloudService) terminate(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeRequest[protocol.MachineNames](w, r)
	if !ok {
		return
	}
	if err := c.fleet.Terminate(req.Machines); err != nil {
		writeResponse(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "machines not terminated"})
		return
	}
	c.mu.Lock()
	for _, id := range req.Machines {
		delete(c.model.Machines, id)
	}
	c.mu.Unlock()
	writeResponse(w, http.StatusOK, struct{}{})
}

// list serves a page of the machines, sorted by id.
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
	if limit := max(1, min(pageSize, maxMachinesPerPage)); len(ids) > limit {
		ids, list.More = ids[:limit], true
	}
	for _, id := range ids {
		list.Machines = append(list.Machines, c.listEntry(id, c.model.Machines[id]))
	}
	c.mu.Unlock()
	writeResponse(w, http.StatusOK, list)
}

// listEntry returns the list entry of a machine. The lock is held.
func (c *CloudService) listEntry(id protocol.MachineID, req protocol.ProvisionRequest) protocol.ListedMachine {
	entry := protocol.ListedMachine{ID: id, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: "booting"}
	booted, ok := c.fleet.Machine(id)
	if !ok {
		return entry
	}
	entry.State, entry.Address, entry.AgeS = "running", booted.Address, (c.clock() - booted.Since).Seconds()
	if booted.Failed {
		entry.State = "failed"
	}
	return entry
}
