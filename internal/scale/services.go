package scale

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/monitor"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/siteconfig"
	"damsonkeel/internal/transport"
)

// stateSampleInterval is the time between two samples of the state service's traffic.
const stateSampleInterval = time.Second

// errNotProvisioned says that the cloud did not provision a machine of the start.
var errNotProvisioned = errors.New("can't be rented")

// services plays the state service, the cloud and the monitor.
type services struct {
	cfg     process.Config
	monitor *monitor.Monitor
	state   *server.StateService
	cloud   *server.CloudService
	// addresses are those of the state service, the cloud and the monitor, by target.
	addresses map[string]string

	peaks chan map[string]uint64 // gets the busiest second of each kind of request, once
	done  chan struct{}
}

// newServices starts the services and provisions the machines of the start.
func newServices(cfg process.Config, log *slog.Logger) (*services, error) {
	s := &services{cfg: cfg, monitor: monitor.New(&cfg.Site, cfg.Seed), peaks: make(chan map[string]uint64, 1), done: make(chan struct{})}
	var err error
	s.state, err = server.NewStateService(server.Limits{
		Requests: cfg.Site.State.RequestsPerS, Changes: cfg.Site.State.ChangesPerS, Latency: constant(cfg.Site.State.AnswerMS),
	}, clock.Now)
	if err != nil {
		return nil, fmt.Errorf("start state service: %w", err)
	}
	capacity := cfg.Site.Workers + cfg.Site.SpareWorkers
	cloudLimits := server.Limits{Requests: cfg.Site.Cloud.RequestsPerS, Latency: constant(cfg.Site.Cloud.AnswerMS)}
	if s.cloud, err = server.NewCloudService(cloudLimits, catalogue(&cfg.Site), capacity, s.monitor, clock.Now); err != nil {
		return nil, fmt.Errorf("start cloud: %w", err)
	}
	monitorAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if err := transport.ServePeers(monitorAddr, monitor.Service, s.monitor, log); err != nil {
		return nil, fmt.Errorf("start monitor: %w", err)
	}
	s.addresses = map[string]string{stateTarget: s.state.Addr, cloudTarget: s.cloud.Addr, monitorTarget: monitorAddr}
	if err := s.provisionAll(); err != nil {
		return nil, err
	}
	go s.sampleTraffic()
	return s, nil
}

// constant returns a constant latency.
func constant(ms float64) func() time.Duration {
	return func() time.Duration { return clock.Milliseconds(ms) }
}

// catalogue returns the machine types, each available in all zones.
func catalogue(site *siteconfig.Site) []protocol.TypeInfo {
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

// provisionAll provisions the machines of the start, evenly over the zones. The first of
// each zone gets a process of its own.
func (s *services) provisionAll() error {
	site := &s.cfg.Site
	single := map[protocol.Zone]bool{}
	s.monitor.SetInitialPlacement(func(z protocol.Zone) string {
		if !single[z] {
			single[z] = true
			return process.SingleWorker(z)
		}
		return process.SharedWorkers(z)
	})
	provisioned := make([]float64, len(site.Types))
	for i := range site.Workers {
		zone := site.ZoneName(i % site.Zones)
		kind := neededType(site.Types, provisioned, i+1)
		provisioned[kind]++
		req := protocol.ProvisionRequest{Name: fmt.Sprintf("start-%d", i), Type: site.Types[kind].Name, Zone: zone, Count: 1}
		if len(s.cloud.Provision(req)) == 0 {
			return fmt.Errorf("machine %d of the start %w", i, errNotProvisioned)
		}
	}
	s.monitor.SetInitialPlacement(nil)
	return nil
}

// neededType returns the type of which most machines are missing among a number of them.
func neededType(types []siteconfig.Type, provisioned []float64, machines int) int {
	needed, most := 0, -1.0
	for i, t := range types {
		if missing := t.Fraction*float64(machines) - provisioned[i]; missing > most {
			needed, most = i, missing
		}
	}
	return needed
}

// sampleTraffic finds the busiest second of each kind of request to the state service.
func (s *services) sampleTraffic() {
	peaks := map[string]uint64{}
	before := s.state.Traffic.Flows()
	every := time.NewTicker(stateSampleInterval)
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

// Report returns what the services served and the analysis of the run.
func (s *services) Report() process.Report {
	close(s.done)
	m := s.monitor.Analyze()
	m.State.PeakS = <-s.peaks
	m.State.Records, m.State.Bytes = s.state.Size()
	traffic := map[string]server.Flow{}
	for kind, f := range s.state.Traffic.Flows() {
		traffic["state "+kind] = f
	}
	for kind, f := range s.cloud.Traffic.Flows() {
		traffic["cloud "+kind] = f
	}
	return process.Report{Traffic: traffic, Analysis: m}
}

// handle passes faults and changes of limits to the monitor.
func (s *services) handle(c process.Command) {
	if c.Fault != nil {
		s.monitor.InjectFault(*c.Fault)
	}
	if c.LimitChanges != nil {
		s.monitor.SetLimitChanges(c.LimitChanges)
	}
}
