package clusterstate

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Rendezvous picks one of the view's members for a key. Every controller with
// the same view picks the same one.
func Rendezvous(v record.View, key string) protocol.NodeName { return RendezvousBut(v, nil, key) }

// RendezvousBut is rendezvous without some of the members.
func RendezvousBut(v record.View, but []protocol.NodeName, key string) protocol.NodeName {
	var best protocol.NodeName
	var bestScore uint64
	for name := range v.Members {
		if slices.Contains(but, name) {
			continue
		}
		score := mix(fnv1a(fnv1a(fnv1a(fnvStart, string(name)), "\x00"), key))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// fnvStart is what FNV-1a (64 bits) begins with.
const fnvStart = 14695981039346656037

// fnv1a goes on hashing with a text. hash/fnv takes bytes, which costs a copy of
// each text: more than the hash, where thousands of machines change keepers.
func fnv1a(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// mix spreads similar keys, which fnv alone leaves close together.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RendezvousDispatcher is the controller that a machine reports to: one that workers
// can reach, unless there is none.
func RendezvousDispatcher(v record.View, m protocol.MachineID) protocol.NodeName {
	key := "machine " + string(m)
	if len(v.Deaf) >= len(v.Members) {
		return Rendezvous(v, key)
	}
	return RendezvousBut(v, v.Deaf, key)
}

// Sharded reports whether machines are kept by shares in this term.
func (k *State) Sharded() bool {
	return k.View.Layout >= record.LayoutShards && k.Shards != nil
}

// DispatcherOf is the controller that a registered machine reports to.
func (k *State) DispatcherOf(m protocol.MachineID) protocol.NodeName {
	var z protocol.Zone
	if r := k.Records[m]; r != nil {
		z = r.Record.Zone
	}
	return k.DispatcherInZone(m, z)
}

// DispatcherInZone is the controller that a machine of a zone reports to; none while its
// rateAllotment is nobody's.
func (k *State) DispatcherInZone(m protocol.MachineID, z protocol.Zone) protocol.NodeName {
	switch {
	case k.Sharded():
		return k.Holder(sharding.Of(k.Shards, m, z))
	case k.View.Layout >= record.LayoutShards:
		return "" // until the record of the shares is there again
	}
	return k.rendezvousDispatcher(m)
}

// Holder is the member that keeps a share; none if its session is over.
func (k *State) Holder(id sharding.ID) protocol.NodeName {
	return NameOf(k.View, k.Shards.List[id].Holder)
}

// NameOf is the member of a view that has a session.
func NameOf(v record.View, session protocol.LeaseID) protocol.NodeName {
	for name, s := range v.Members {
		if s == session && s != 0 {
			return name
		}
	}
	return ""
}

// FencingToken is what a machine's keeper has its commands carry: the epoch of its share,
// or the term where there are no shares.
func (k *State) FencingToken(m protocol.MachineID, z protocol.Zone) protocol.Term {
	if k.Sharded() {
		return k.Shards.List[sharding.Of(k.Shards, m, z)].Epoch
	}
	return k.View.Term
}

// ShardEpoch is since when, as an epoch, a machine's keeper has kept it; 0 where there
// are no shares: the term tells then.
func (k *State) ShardEpoch(m protocol.MachineID, z protocol.Zone) protocol.Term {
	if k.Sharded() {
		return k.Shards.List[sharding.Of(k.Shards, m, z)].Since
	}
	return 0
}

// ShardTableEpoch is how far the record of the shares is known.
func (k *State) ShardTableEpoch() protocol.Term {
	if k.Shards == nil {
		return 0
	}
	return k.Shards.Epoch
}

// rendezvousDispatcher is machineKeeper by the present view, reckoned once for each
// machine.
func (k *State) rendezvousDispatcher(m protocol.MachineID) protocol.NodeName {
	n, ok := k.DispatcherCache[m]
	if !ok {
		n = RendezvousDispatcher(k.View, m)
		if len(k.DispatcherCache) > dispatcherCacheSize {
			clear(k.DispatcherCache)
		}
		k.DispatcherCache[m] = n
	}
	return n
}

// dispatcherCacheSize bounds the keepers remembered: far more machines than there are
// reportedAt a time.
const dispatcherCacheSize = 1 << 14

// OwnerOf is jobOwner by the present view, reckoned once for each job.
func (k *State) OwnerOf(l *LiveJob) protocol.NodeName {
	if l.ownerTerm != k.View.Term {
		l.owner, l.ownerTerm = k.JobOwner(k.View, &l.Job), k.View.Term
	}
	return l.owner
}

// JobOwner is the one controller that owns a job. All jobs of a limited team
// have the same owner, so that the limit is checked in one place.
func (k *State) JobOwner(v record.View, j *protocol.Job) protocol.NodeName {
	if k.limitedIn(v, j.Team) {
		return Rendezvous(v, "team "+string(j.Team))
	}
	return Rendezvous(v, "job "+string(j.ID))
}

// Registrar is the member that writes machines' records.
func (k *State) Registrar() protocol.NodeName { return Rendezvous(k.View, "machine records") }

// SameMemberSession reports whether a node is in both views with the same session.
func SameMemberSession(a, b record.View, n protocol.NodeName) bool {
	s, ok := a.Members[n]
	return ok && b.Members[n] == s
}
