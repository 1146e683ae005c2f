package scale

import (
	"strconv"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/forwarder"
)

// Targets of links other than controllers. They are also the keys of the services' addresses.
const (
	stateTarget   = "state"
	cloudTarget   = "cloud"
	monitorTarget = "monitor"
)

// Kinds of links. Results contain the traffic by these names.
const (
	linkWorkers = "workers"
	linkUsers   = "users"
	linkPeers   = "peers"
	linkState   = "state"
	linkCloud   = "cloud"
)

// peerTarget returns the target for the address of a controller at which its peers reach it.
func peerTarget(name protocol.NodeName) string { return "peer/" + string(name) }

// serveTarget returns the target for the address of a controller at which workers and users reach
// it.
func serveTarget(name protocol.NodeName) string { return "serve/" + string(name) }

// linkName returns the name of the link from a region to a target.
func linkName(region int, target string) string { return strconv.Itoa(region) + "/" + target }

// linksFrom returns the links that begin in a region, or those of users for NoRegion. From a region,
// they lead to the worker and peer addresses of all controllers, the state service and the cloud;
// from the users, to the addresses of all controllers for workers and users.
func (r *run) linksFrom(region int) []forwarder.Link {
	var links []forwarder.Link
	add := func(kind, target, addr string, to int) {
		links = append(links, forwarder.Link{Name: linkName(region, target), Kind: kind, Target: addr, From: region, To: to, Delay: r.latency(region, to)})
	}
	for _, c := range r.controllers.all {
		if region == forwarder.NoRegion {
			add(linkUsers, serveTarget(c.name), c.serveAddr, c.region)
			continue
		}
		add(linkWorkers, serveTarget(c.name), c.serveAddr, c.region)
		add(linkPeers, peerTarget(c.name), c.peerAddr, c.region)
	}
	if region != forwarder.NoRegion {
		add(linkState, stateTarget, r.serviceAddresses[stateTarget], forwarder.NoRegion)
		add(linkCloud, cloudTarget, r.serviceAddresses[cloudTarget], forwarder.NoRegion)
	}
	return links
}

// latency returns the one-way latency from one region to another, either of which may be NoRegion.
// It is 0 within a region.
func (r *run) latency(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case from == forwarder.NoRegion || to == forwarder.NoRegion:
		return clock.Milliseconds(r.site.ToServicesMS)
	}
	return clock.Milliseconds(r.site.BetweenRegionsMS)
}

// linkAddress returns the address at which processes of a region reach a target.
func (r *run) linkAddress(region int, target string) string {
	return r.linkAddresses[linkName(region, target)]
}
