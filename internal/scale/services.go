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

// stateSampleInterval is the time between two samples of the traffic of the state service.
const stateSampleInterval = time.Second

// errNotProvisioned reports that the cloud did not provision one of the initial machines.
var errNotProvisioned = errors.New("was not provisioned by the cloud")

// services is the role that runs the state service, the cloud and the monitor.
type services struct {
	cfg     process.Config
	monitor *monitor.Monitor
	state   *server.StateService
	cloud   *server.CloudService
	// addresses holds the addresses of the state service, the cloud and the monitor, by target.
	addresses map[string]string

	peaks chan map[string]uint64 // receives the requests in the busiest second by kind, once after done is closed
	done  chan struct{}
}

// newServices starts the state service, the cloud and the monitor, provisions the initial machines,
// and starts to track the peak traffic of the state service.
func newServices(cfg process.Config, log *slog.Logger) (*services, error) {
	s := &services{cfg: cfg, monitor: monitor.New(&cfg.Site, cfg.Seed), peaks: make(chan map[string]uint64, 1), done: make(chan struct{})}
	var err error
	s.state, err = server.NewStateService(server.Limits{
		Requests: cfg.Site.State.RequestsPerS, Changes: cfg.Site.State.ChangesPerS, Latency: constantLatency(cfg.Site.State.AnswerMS),
	}, clock.Now)
	if err != nil {
		return nil, fmt.Errorf("start state service: %w", err)
	}
	maxMachines := cfg.Site.Workers + cfg.Site.SpareWorkers
	cloudLimits := server.Limits{Requests: cfg.Site.Cloud.RequestsPerS, Latency: constantLatency(cfg.Site.Cloud.AnswerMS)}
	if s.cloud, err = server.NewCloudService(cloudLimits, machineCatalogue(&cfg.Site), maxMachines, s.monitor, clock.Now); err != nil {
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
	if err := s.provisionInitial(); err != nil {
		return nil, err
	}
	go s.trackPeakTraffic()
	return s, nil
}

// constantLatency returns a function that returns a constant latency, given in milliseconds.
func constantLatency(ms float64) func() time.Duration {
	return func() time.Duration { return clock.Milliseconds(ms) }
}

// machineCatalogue returns the machine types of a site, each of which is available in all zones.
func machineCatalogue(site *siteconfig.Site) []protocol.TypeInfo {
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

// provisionInitial provisions the initial machines, spread evenly over the zones. The first machine
// of each zone runs in a process of its own, the others in the shared process of their zone.
func (s *services) provisionInitial() error {
	site := &s.cfg.Site
	hasSingleWorker := map[protocol.Zone]bool{}
	s.monitor.SetInitialPlacement(func(z protocol.Zone) string {
		if !hasSingleWorker[z] {
			hasSingleWorker[z] = true
			return process.SingleWorker(z)
		}
		return process.SharedWorkers(z)
	})
	provisioned := make([]float64, len(site.Types))
	for i := range site.Workers {
		zone := site.ZoneName(i % site.Zones)
		typeIndex := neededType(site.Types, provisioned, i+1)
		provisioned[typeIndex]++
		req := protocol.ProvisionRequest{Name: fmt.Sprintf("start-%d", i), Type: site.Types[typeIndex].Name, Zone: zone, Count: 1}
		if len(s.cloud.Provision(req)) == 0 {
			return fmt.Errorf("initial machine %d %w", i, errNotProvisioned)
		}
	}
	s.monitor.SetInitialPlacement(nil)
	return nil
}

// neededType returns the index of the machine type that has the fewest machines compared with its
// fraction of a total number of machines.
func neededType(types []siteconfig.Type, provisioned []float64, machines int) int {
	needed, most := 0, -1.0
	for i, t := range types {
		if missing := t.Fraction*float64(machines) - provisioned[i]; missing > most {
			needed, most = i, missing
		}
	}
	return needed
}

// trackPeakTraffic samples the traffic of the state service until done is closed, and then sends the
// number of requests in the busiest second of each kind of request.
func (s *services) trackPeakTraffic() {
	peaks := map[string]uint64{}
	previous := s.state.Traffic.Flows()
	ticker := time.NewTicker(stateSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			s.peaks <- peaks
			return
		case <-ticker.C:
		}
		flows := s.state.Traffic.Flows()
		for kind, flow := range flows {
			peaks[kind] = max(peaks[kind], flow.Messages-previous[kind].Messages)
		}
		previous = flows
	}
}

// Report returns the traffic of the services and the analysis of the run.
func (s *services) Report() process.Report {
	close(s.done)
	m := s.monitor.Analyze()
	m.State.PeakS = <-s.peaks
	m.State.Records, m.State.Bytes = s.state.Size()
	traffic := map[string]server.Flow{}
	for kind, flow := range s.state.Traffic.Flows() {
		traffic["state "+kind] = flow
	}
	for kind, flow := range s.cloud.Traffic.Flows() {
		traffic["cloud "+kind] = flow
	}
	return process.Report{Traffic: traffic, Analysis: m}
}

// handle forwards faults and changes of limits to the monitor.
func (s *services) handle(c process.Command) {
	if c.Fault != nil {
		s.monitor.InjectFault(*c.Fault)
	}
	if c.LimitChanges != nil {
		s.monitor.SetLimitChanges(c.LimitChanges)
	}
}
