package dispatcher

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// environment is what a dispatcher and the queues of its machines share.
type environment struct {
	clusterstate.Module
	// changes lists the machines whose published state has changed in this term.
	changes replication.Log[protocol.MachineID]
	direct  directSchedule
	shards  shardSet
	// newTermNeeded is set while an unanswered direct start can only be settled by a
	// later term.
	newTermNeeded bool
}

func newEnvironment(module clusterstate.Module) *environment {
	return &environment{Module: module, shards: newShardSet(module)}
}
