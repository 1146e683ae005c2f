package scale

import (
	"fmt"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/forwarder"
	"damsonkeel/internal/scale/operator"
	"damsonkeel/internal/scale/process"
)

// startAll starts all processes except that of the users, in the order services, forwarders,
// controllers, workers. It writes the controllers' settings into dir; program is the command of a
// controller.
func (r *run) startAll(dir string, program []string) error {
	ready, err := r.startRole(&r.services, process.RoleServices, process.RoleServices, process.Config{})
	if err != nil {
		return err
	}
	r.serviceAddresses = ready.Addresses
	if r.controllers, err = newControllers(r.site, dir, r.sampler); err != nil {
		return err
	}
	r.controllers.program = program
	if r.site.Configuration.Changes > 0 {
		if r.operator, r.controllers.operatorKeysPath, err = operator.New(r.site, dir, r.options.Seed); err != nil {
			return fmt.Errorf("create operator: %w", err)
		}
	}
	if err := r.startForwarders(); err != nil {
		return err
	}
	if err := r.controllers.writeSettings(r.linkAddress); err != nil {
		return err
	}
	for _, c := range r.controllers.all {
		if err := r.controllers.start(c); err != nil {
			return err
		}
	}
	return r.startWorkers()
}

// startRole starts a process for a role, stores it in child, so that it is killed after an error, and
// waits until it is ready.
func (r *run) startRole(child **process.Child, role, name string, cfg process.Config) (process.Ready, error) {
	c, err := process.Start(name, role, r.options.Program[0], r.options.Program[1:]...)
	if err != nil {
		return process.Ready{}, err //nolint:wrapcheck // the error names the process
	}
	*child = c
	r.sampler.Add(name, c.PID())
	cfg.Role, cfg.Name, cfg.Site, cfg.Seed, cfg.Monitor = role, name, *r.site, r.options.Seed, r.serviceAddresses[monitorTarget]
	return c.Configure(cfg) //nolint:wrapcheck // the error names the process
}

// startForwarders starts a forwarder for each region, with the links that begin in that region, and
// one for the links of users.
func (r *run) startForwarders() error {
	for region := forwarder.NoRegion; region < r.site.Regions; region++ {
		name := fmt.Sprintf("%s-%d", process.RoleForwarder, region+1)
		r.forwarders = append(r.forwarders, nil)
		ready, err := r.startRole(&r.forwarders[len(r.forwarders)-1], process.RoleForwarder, name, process.Config{Links: r.linksFrom(region)})
		if err != nil {
			return err
		}
		for link, addr := range ready.Addresses {
			r.linkAddresses[link] = addr
		}
	}
	return nil
}

// startWorkers starts the worker processes: in each zone, one that its workers share and one for a
// single worker. They reach the controllers of their own region directly and all others over
// links.
func (r *run) startWorkers() error {
	for z := range r.site.Zones {
		zone, region := r.site.ZoneName(z), r.site.RegionOfZone(z)
		addresses := map[protocol.NodeName]string{}
		for _, c := range r.controllers.all {
			if addresses[c.name] = c.serveAddr; c.region != region {
				addresses[c.name] = r.linkAddress(region, serveTarget(c.name))
			}
		}
		for _, name := range []string{process.SharedWorkers(zone), process.SingleWorker(zone)} {
			r.workers = append(r.workers, nil)
			if _, err := r.startRole(&r.workers[len(r.workers)-1], process.RoleWorkers, name, process.Config{Controllers: addresses}); err != nil {
				return err
			}
		}
	}
	return nil
}
