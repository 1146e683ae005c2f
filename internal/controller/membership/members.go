package membership

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Members holds the membership of the cluster as this controller has observed it: the
// registered controllers, the state of writing the next view, and the peers' sessions.
type Members struct {
	clusterstate.Module
	nodes map[protocol.NodeName]record.Node // controllers registered in the key-value store
	// writeInFlight is set while a transaction on the view or the shard table is in flight.
	writeInFlight bool
	retryAt       clock.Time // earliest time at which the next of these transactions may be sent
	// lastWriteBase is the version of the shard table that the last change was based on,
	// and lastWriteAt is when that change was sent. No other change is sent until that
	// one is observed.
	lastWriteBase  protocol.Version
	lastWriteAt    clock.Time
	balancer       sharding.Balancer
	requestedMoves []sharding.Move // moves that operators requested and that are not sent yet
	reachability   reachability
	peers          map[protocol.NodeName]*peer // all members of the view, including this controller
}

// New returns a Members without any registered controllers.
func New(module clusterstate.Module) *Members {
	ms := &Members{Module: module}
	ms.Reset()
	return ms
}

// Reset discards all state of the previous session, including the moves that operators
// requested and that are not sent yet.
func (ms *Members) Reset() {
	*ms = Members{
		Module:       ms.Module,
		nodes:        map[protocol.NodeName]record.Node{},
		reachability: newReachability(),
		peers:        map[protocol.NodeName]*peer{},
	}
}

// AddNode records that a controller is registered with a node record, which states its session
// and the layout that it supports. It replaces an earlier record of the controller.
func (ms *Members) AddNode(name protocol.NodeName, node record.Node) { ms.nodes[name] = node }

// RemoveNode records that a controller's registration was deleted with its lease.
func (ms *Members) RemoveNode(name protocol.NodeName) { delete(ms.nodes, name) }

// IsRegistered reports whether a controller has a node record, as far as this controller has
// observed the records.
func (ms *Members) IsRegistered(name protocol.NodeName) bool {
	_, present := ms.nodes[name]
	return present
}

// OutdatedNodes lists the registered controllers that are excluded from the view because
// they do not support its layout, in order of their names.
func (ms *Members) OutdatedNodes() []protocol.NodeName {
	return ms.nodesWhere(func(node record.Node) bool {
		return max(node.Layout, record.LayoutSingle) < ms.View.Layout
	})
}

// NodesBlockingLayout lists the registered controllers that do not support a layout, in order
// of their names. Unless the view has this layout already, it is not used while there are any.
func (ms *Members) NodesBlockingLayout(layout record.Layout) []protocol.NodeName {
	return ms.nodesWhere(func(node record.Node) bool { return node.Layout < layout })
}

// nodesWhere lists the registered controllers that match a condition, in order of their
// names.
func (ms *Members) nodesWhere(match func(record.Node) bool) []protocol.NodeName {
	var names []protocol.NodeName
	for name, node := range ordered.ByKey(ms.nodes) {
		if match(node) {
			names = append(names, name)
		}
	}
	return names
}

// Controllers lists the members of the view in order of their names, as operators see them:
// their zones, their reported loads, and whether they are unreachable or cordoned.
func (ms *Members) Controllers() (list []operatorapi.Controller) {
	zones := ms.zones()
	for name, p := range ordered.ByKey(ms.peers) {
		list = append(list, operatorapi.Controller{
			Name:        name,
			Zone:        zones[name],
			LateMS:      p.load.LateMS,
			Leaving:     p.load.Leaving,
			Unreachable: slices.Contains(ms.View.Deaf, name),
			Cordoned:    slices.Contains(ms.Shards.Away, name),
		})
	}
	return list
}

// zones returns the zone of this controller and of each peer in the settings file.
func (ms *Members) zones() map[protocol.NodeName]protocol.Zone {
	zones := map[protocol.NodeName]protocol.Zone{ms.Self: ms.Settings.Zone}
	for _, member := range ms.Settings.Members {
		zones[member.Name] = member.Zone
	}
	return zones
}
