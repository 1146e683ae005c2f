package clusterstate

import (
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Rendezvous returns the member of a view that is responsible for a key, by highest random
// weight: every controller with the same view returns the same member. It returns "" if the
// view has no members.
func Rendezvous(view record.View, key string) protocol.NodeName {
	return RendezvousExcluding(view, nil, key)
}

// RendezvousExcluding returns the member of a view that is responsible for a key if the excluded
// members can't be: the one with the highest hash of its name and the key. It returns "" if
// all members are excluded.
func RendezvousExcluding(view record.View, excluded []protocol.NodeName, key string) protocol.NodeName {
	var best protocol.NodeName
	var bestScore uint64
	for name := range view.Members {
		if slices.Contains(excluded, name) {
			continue
		}
		score := murmurFinalizer(fnv1a(fnv1a(fnv1a(fnvOffset, string(name)), "\x00"), key))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// RendezvousDispatcher returns the controller that dispatches to a machine in views whose layout
// has no shard table: a member that the view does not list as unreachable for workers, unless
// it lists all members.
func RendezvousDispatcher(view record.View, machine protocol.MachineID) protocol.NodeName {
	key := "machine " + string(machine)
	if len(view.Deaf) >= len(view.Members) {
		return Rendezvous(view, key)
	}
	return RendezvousExcluding(view, view.Deaf, key)
}

// The offset basis and the prime of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnv1a returns the 64-bit FNV-1a hash that results when a string is added to a hash. Package
// hash/fnv takes bytes, which costs a copy of each string: when thousands of machines change
// dispatchers, the copies cost more than the hashing.
func fnv1a(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// murmurFinalizer is the finalizer of MurmurHash3. It spreads the hashes of similar keys,
// which FNV-1a leaves close together.
func murmurFinalizer(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
