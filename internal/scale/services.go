package scale

import (
	"fmt"
	"log/slog"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// stateSampleEvery is how often the state service's traffic is looked at.
const stateSampleEvery = time.Second

// services is the process of the state service, the cloud and the hub.
type services struct {
	cfg   RoleConfig
	hub   *Hub
	state *server.StateService
	cloud *server.CloudService
	// addresses are those of the state service, the cloud and the hub.
	addresses map[string]string

	peaks chan map[string]uint64 // holds the busiest second of each kind
	done  chan struct{}
}

// newServices starts the services.
func newServices(cfg RoleConfig, log *slog.Logger) (*services, error) {
	s := &services{cfg: cfg, hub: newHub(&cfg.Site, cfg.Seed), peaks: make(chan map[string]uint64, 1), done: make(chan struct{})}
	var err error
	s.state, err = server.NewStateService(server.Limits{
		Requests: cfg.Site.State.RequestsPerS, Changes: cfg.Site.State.ChangesPerS, Latency: fixed(cfg.Site.State.AnswerMS),
	}, Now)
	if err != nil {
		return nil, err
	}
	capacity := cfg.Site.Workers + cfg.Site.SpareWorkers
	cloudLimits := server.Limits{Requests: cfg.Site.Cloud.RequestsPerS, Latency: fixed(cfg.Site.Cloud.AnswerMS)}
	if s.cloud, err = server.NewCloudService(cloudLimits, catalogue(&cfg.Site), capacity, s.hub, Now); err != nil {
		return nil, err
	}
	hubAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if err := transport.ServePeers(hubAddr, hubService, s.hub, log); err != nil {
		return nil, err
	}
	s.addresses = map[string]string{"state": s.state.Addr, "cloud": s.cloud.Addr, "hub": hubAddr}
	if err := s.rentAll(); err != nil {
		return nil, err
	}
	go s.sample()
	return s, nil
}

// fixed is a constant latency.
func fixed(ms float64) func() time.Duration {
	return func() time.Duration { return milliseconds(ms) }
}

// catalogue lists the machine types, each in all zones.
func catalogue(site *Site) []protocol.TypeInfo {
	var zones []protocol.Zone
	for z := range site.Zones {
		zones = append(zones, site.ZoneName(z))
	}
	var types []protocol.TypeInfo
	for _, t := range site.Types {
		types = append(types, protocol.TypeInfo{
			Name: t.Name, CPUs: t.CPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB, FetchGBPS: t.FetchGBPS,
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, AllowZones: zones,
		})
	}
	return types
}

// rentAll rents the machines of the start: of each zone its part, the first of each in
// a process of its own.
func (s *services) rentAll() error {
	site := &s.cfg.Site
	single := map[protocol.Zone]bool{}
	s.hub.initial = func(z protocol.Zone) string {
		if !single[z] {
			single[z] = true
			return singleProcess(z)
		}
		return sharedProcess(z)
	}
	rented := make([]float64, len(site.Types))
	for i := range site.Workers {
		zone := site.ZoneName(i % site.Zones)
		kind := dueType(site.Types, rented, i+1)
		rented[kind]++
		req := protocol.ProvisionRequest{Name: fmt.Sprintf("start-%d", i), Type: site.Types[kind].Name, Zone: zone, Count: 1}
		if len(s.cloud.Rent(req)) == 0 {
			return fmt.Errorf("machine %d of the start can't be rented", i)
		}
	}
	s.hub.initial = nil
	return nil
}

// dueType is the type of which most is missing among so many machines.
func dueType(types []Type, rented []float64, machines int) int {
	due, most := 0, -1.0
	for i, t := range types {
		if missing := t.Part*float64(machines) - rented[i]; missing > most {
			due, most = i, missing
		}
	}
	return due
}

// sample keeps the busiest second of each kind of request to the state service.
func (s *services) sample() {
	peaks := map[string]uint64{}
	before := s.state.Traffic.Flows()
	every := time.NewTicker(stateSampleEvery)
	defer every.Stop()
	for {
		select {
		case <-s.done:
			s.peaks <- peaks
			return
		case <-every.C:
		}
		flows := s.state.Traffic.Flows()
		for kind, f := range flows {
			peaks[kind] = max(peaks[kind], f.Messages-before[kind].Messages)
		}
		before = flows
	}
}

// report is what the services served, and what the hub makes of what was seen.
func (s *services) report() RoleReport {
	close(s.done)
	figures := s.hub.figures()
	figures.State.PeakS = <-s.peaks
	figures.State.Records, figures.State.Bytes = s.state.Size()
	traffic := map[string]server.Flow{}
	for kind, f := range s.state.Traffic.Flows() {
		traffic["state "+kind] = f
	}
	for kind, f := range s.cloud.Traffic.Flows() {
		traffic["cloud "+kind] = f
	}
	return RoleReport{Traffic: traffic, Hub: figures}
}

// command has something happen to machines.
func (s *services) command(c RoleCommand) {
	if c.Trouble != nil {
		s.hub.trouble(*c.Trouble)
	}
	if c.Limits != nil {
		s.hub.setLimits(c.Limits)
	}
}
