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

// Fleet runs the machines of a CloudService. Its methods are called concurrently; Provisioned
// and Machine are called while the service is locked, so they must not call the service.
type Fleet interface {
	// Provisioned starts to boot a machine that the cloud has provisioned for a request.
	Provisioned(protocol.MachineID, protocol.TypeInfo, protocol.ProvisionRequest)
	// Terminate terminates machines, including booting ones, and all tasks on them before it
	// returns. After an error the cloud keeps the machines.
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

// CloudService serves the model of the cloud over HTTP: the catalogue, and requests to
// provision, terminate and list machines.
type CloudService struct {
	Addr    string   // address of the HTTP server
	Traffic *Traffic // requests by kind

	throttle
	server *http.Server
	types  []protocol.TypeInfo
	fleet  Fleet
	clock  func() time.Duration

	mu    sync.Mutex
	model *fake.Cloud
}

// NewCloudService starts a cloud on loopback that can provision up to capacity machines of the
// given types, which fleet runs. The function clock must return the time by which fleet states
// the ends of boots.
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

// Provision provisions machines without an HTTP request, outside the rate limit, and returns
// all machines of the request, including those of an earlier one with the same name.
func (c *CloudService) Provision(req protocol.ProvisionRequest) []protocol.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.provisionLocked(req)
}

// catalogue serves a request for the catalogue of machine types.
func (c *CloudService) catalogue(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, protocol.Catalogue{Types: c.types})
}

// provision serves a provision request and returns the status code and body of the response:
// the machines, or status 503 if there are none. The lock is held.
func (c *CloudService) provision(req protocol.ProvisionRequest) (status int, body any) {
	machines := c.provisionLocked(req)
	if len(machines) == 0 {
		return http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"}
	}
	return http.StatusOK, protocol.MachineNames{Machines: machines}
}

// provisionLocked provisions machines and boots the new ones. It returns all machines of
// the request, including those of an earlier request with the same name, and none for an
// unknown machine type. The lock is held.
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
// responds with success. If the fleet fails, it responds with status 503.
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

// list serves a page of the machines, sorted by id: those after the id in the query field
// "from", and at most as many as the field "page" says and maxMachinesPerPage.
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

// listEntry returns the entry of a machine in the list, as booting, running or failed. Its age
// counts from the end of its boot. The lock is held.
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
