package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"
	"slices"
)

// rendezvous picks one of the view's members for a key. Every controller with
// the same view picks the same one.
func rendezvous(v bookkeeping.View, key string) protocol.NodeName { return rendezvousBut(v, nil, key) }

// rendezvousBut is rendezvous without some of the members.
func rendezvousBut(v bookkeeping.View, but []protocol.NodeName, key string) protocol.NodeName {
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

// machineKeeper is the controller that a machine reports to: one that workers
// can reach, unless there is none.
func machineKeeper(v bookkeeping.View, m protocol.MachineID) protocol.NodeName {
	key := "machine " + string(m)
	if len(v.Deaf) >= len(v.Members) {
		return rendezvous(v, key)
	}
	return rendezvousBut(v, v.Deaf, key)
}

// keeper is machineKeeper by the present view, reckoned once for each machine.
func (k *known) keeper(m protocol.MachineID) protocol.NodeName {
	n, ok := k.keepers[m]
	if !ok {
		n = machineKeeper(k.view, m)
		if len(k.keepers) > keepersKept {
			clear(k.keepers)
		}
		k.keepers[m] = n
	}
	return n
}

// keepersKept bounds the keepers remembered: far more machines than there are
// at a time.
const keepersKept = 1 << 14

// ownerOf is jobOwner by the present view, reckoned once for each job.
func (k *known) ownerOf(l *liveJob) protocol.NodeName {
	if l.ownerTerm != k.view.Term {
		l.owner, l.ownerTerm = k.jobOwner(k.view, &l.Job), k.view.Term
	}
	return l.owner
}

// jobOwner is the one controller that owns a job. All jobs of a limited team
// have the same owner, so that the limit is checked in one place.
func (k *known) jobOwner(v bookkeeping.View, j *protocol.Job) protocol.NodeName {
	if k.limited(j.Team) {
		return rendezvous(v, "team "+string(j.Team))
	}
	return rendezvous(v, "job "+string(j.ID))
}

// registrar is the member that writes machines' records.
func (k *known) registrar() protocol.NodeName { return rendezvous(k.view, "machine records") }

// sameSession reports whether a node is in both views with the same session.
func sameSession(a, b bookkeeping.View, n protocol.NodeName) bool {
	s, ok := a.Members[n]
	return ok && b.Members[n] == s
}
