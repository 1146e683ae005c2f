package clusterstate

import (
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// dispatcherCacheSize bounds the number of cached dispatchers. It is far above the number of
// machines that exist at a time.
const dispatcherCacheSize = 1 << 14

// registrarKey is the rendezvous key that selects the registrar.
const registrarKey = "machine records"

// Sharded reports whether the shard table assigns the machines to dispatchers in this term: the
// view's layout uses a shard table, and this controller has observed it.
func (s *State) Sharded() bool {
	return s.View.Layout >= record.LayoutShards && s.Shards != nil
}

// DispatcherOf returns the controller that dispatches to a registered machine, or "" while the
// machine's shard has no holder in the view.
func (s *State) DispatcherOf(machine protocol.MachineID) protocol.NodeName {
	var zone protocol.Zone
	if m := s.Records[machine]; m != nil {
		zone = m.Record.Zone
	}
	return s.DispatcherInZone(machine, zone)
}

// DispatcherInZone returns the controller that dispatches to a machine of a zone, registered or
// not: the holder of its shard, or a member by rendezvous hashing if the view's layout has no
// shard table. It returns "" while the shard has no holder in the view or the table is missing.
func (s *State) DispatcherInZone(machine protocol.MachineID, zone protocol.Zone) protocol.NodeName {
	switch {
	case s.Sharded():
		return s.Holder(sharding.ShardOf(s.Shards, machine, zone))
	case s.View.Layout >= record.LayoutShards:
		return "" // the shard table was lost, and is not written anew yet
	}
	return s.rendezvousDispatcher(machine)
}

// rendezvousDispatcher returns the result of RendezvousDispatcher for the current view from the
// cache, and adds it if it is missing.
func (s *State) rendezvousDispatcher(machine protocol.MachineID) protocol.NodeName {
	name, ok := s.DispatcherCache[machine]
	if !ok {
		name = RendezvousDispatcher(s.View, machine)
		if len(s.DispatcherCache) > dispatcherCacheSize {
			clear(s.DispatcherCache)
		}
		s.DispatcherCache[machine] = name
	}
	return name
}

// Holder returns the member that holds a shard, or "" if the holder's session is not in the
// view.
func (s *State) Holder(id sharding.ID) protocol.NodeName {
	return NameOf(s.View, s.Shards.List[id].Holder)
}

// NameOf returns the member of a view that has a session, or "" if there is none.
func NameOf(view record.View, session protocol.LeaseID) protocol.NodeName {
	for name, memberSession := range view.Members {
		if memberSession == session && memberSession != 0 {
			return name
		}
	}
	return ""
}

// SameMemberSession reports whether a controller is in both views with the same session.
func SameMemberSession(a, b record.View, name protocol.NodeName) bool {
	session, ok := a.Members[name]
	return ok && b.Members[name] == session
}

// LastFencingToken returns the highest fencing token that the present dispatcher of a machine
// may issue to it: the epoch number of the machine's shard, or the term if there are no shards.
func (s *State) LastFencingToken(machine protocol.MachineID, zone protocol.Zone) protocol.Term {
	if s.Sharded() {
		return s.Shards.List[sharding.ShardOf(s.Shards, machine, zone)].Epoch
	}
	return s.View.Term
}

// ShardEpoch returns the epoch at which the present holder of a machine's shard took the shard
// over. It is 0 if there are no shards, since the dispatcher then depends on the term alone.
func (s *State) ShardEpoch(machine protocol.MachineID, zone protocol.Zone) protocol.Term {
	if s.Sharded() {
		return s.Shards.List[sharding.ShardOf(s.Shards, machine, zone)].Since
	}
	return 0
}

// ShardTableEpoch returns the epoch of the shard table that was last observed, or 0 if there is
// none.
func (s *State) ShardTableEpoch() protocol.Term {
	if s.Shards == nil {
		return 0
	}
	return s.Shards.Epoch
}

// OwnerOf returns the controller that owns a job in the current view. The job caches it until
// the term changes.
func (s *State) OwnerOf(job *LiveJob) protocol.NodeName {
	if job.ownerTerm != s.View.Term {
		job.owner = s.JobOwner(s.View, &job.Job)
		job.ownerTerm = s.View.Term
	}
	return job.owner
}

// JobOwner returns the member that owns a job in a view, by rendezvous hashing of the job's ID, or
// of its team if the team may have a limit: all jobs of such a team have the same owner, so that
// the limit is checked in one place.
func (s *State) JobOwner(view record.View, job *protocol.Job) protocol.NodeName {
	if s.mayHaveLimitIn(view, job.Team) {
		return Rendezvous(view, "team "+string(job.Team))
	}
	return Rendezvous(view, "job "+string(job.ID))
}

// Registrar returns the member that writes the blocks of machine records.
func (s *State) Registrar() protocol.NodeName { return Rendezvous(s.View, registrarKey) }

// UsesBlocks reports whether this term's layout records machines in blocks, several in a record.
func (s *State) UsesBlocks() bool { return s.View.Layout >= record.LayoutBlocks }
