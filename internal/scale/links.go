package scale

import (
	"strconv"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/forwarder"
)

// Targets of links, beside the controllers; also the names of the services' addresses.
const (
	stateTarget   = "state"
	cloudTarget   = "cloud"
	monitorTarget = "monitor"
)

// Kinds of links, by which results name their traffic.
const (
	linkWorkers = "workers"
	linkUsers   = "users"
	linkPeers   = "peers"
	linkState   = "state"
	linkCloud   = "cloud"
)

// peerTarget is the target of a controller's address for its peers.
func peerTarget(name protocol.NodeName) string { return "peer/" + string(name) }

// serveTarget is the target of a controller's address for workers and users.
func serveTarget(name protocol.NodeName) string { return "serve/" + string(name) }

// linkName names the link from a region to a target.
func linkName(region int, target string) string { return strconv.Itoa(region) + "/" + target }

// linksFrom lists the links that begin in a region.
func (r *run) linksFrom(region int) []forwarder.Link {
	var links []forwarder.Link
	add := func(kind, target, addr string, to int) {
		links = append(links, forwarder.Link{Name: linkName(region, target), Kind: kind, Target: addr, From: region, To: to, Delay: r.delay(region, to)})
	}
	for _, c := range r.controllers.all {
		if region == forwarder.NoRegion {
			add(linkUsers, serveTarget(c.name), c.serve, c.region)
			continue
		}
		add(linkWorkers, serveTarget(c.name), c.serve, c.region)
		add(linkPeers, peerTarget(c.name), c.peer, c.region)
	}
	if region != forwarder.NoRegion {
		add(linkState, stateTarget, r.addresses[stateTarget], forwarder.NoRegion)
		add(linkCloud, cloudTarget, r.addresses[cloudTarget], forwarder.NoRegion)
	}
	return links
}

// delay returns the one-way latency from one region to another.
func (r *run) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case from == forwarder.NoRegion || to == forwarder.NoRegion:
		return clock.Milliseconds(r.site.ToServicesMS)
	}
	return clock.Milliseconds(r.site.BetweenRegionsMS)
}

// link returns the address at which a target is reached from a region.
func (r *run) link(region int, target string) string { return r.links[linkName(region, target)] }
