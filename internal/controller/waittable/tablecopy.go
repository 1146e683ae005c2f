package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// peersPerRequest is the number of peers that are sent a request for their table at a time.
const peersPerRequest = 2

// copySearch is the state of a restarted controller's requests for a copy of a peer's table.
type copySearch struct {
	unaskedPeers []protocol.NodeName // peers without a request yet, in the order of the requests
	requestedAt  clock.Time          // time of the last requests; 0: none yet
	received     bool                // whether a copy has arrived
}

// RequestCopy starts a restarted controller's search for a copy of a table, that is, of the
// expected wait of each machine. It sends requests to two random peers, and RequestMoreCopies
// sends two more each time no reply arrives within the CopyWait setting.
func (t *Table) RequestCopy() {
	t.copySearch = copySearch{}
	for name := range ordered.ByKey(t.Peers) {
		if name != t.Self {
			t.copySearch.unaskedPeers = append(t.copySearch.unaskedPeers, name)
		}
	}
	names := t.copySearch.unaskedPeers
	t.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	t.RequestMoreCopies()
}

// RequestMoreCopies requests the tables of the next two peers, unless a copy has been received,
// all peers have been asked, or the last requests were sent less than CopyWait ago.
func (t *Table) RequestMoreCopies() {
	awaitingReply := t.copySearch.requestedAt != 0 && t.Since(t.copySearch.requestedAt) < t.Operator.CopyWait
	if t.copySearch.received || len(t.copySearch.unaskedPeers) == 0 || awaitingReply {
		return
	}
	count := min(peersPerRequest, len(t.copySearch.unaskedPeers))
	for _, name := range t.copySearch.unaskedPeers[:count] {
		t.Send(name, message.PeerMessage{AskTable: true})
	}
	t.copySearch.unaskedPeers, t.copySearch.requestedAt = t.copySearch.unaskedPeers[count:], t.Now
}

// SendCopy sends a restarted controller the expected waits of the machines with a published
// state. It sends nothing if there are none.
func (t *Table) SendCopy(to protocol.NodeName) {
	var waits []message.WaitChange
	for id, m := range ordered.ByKey(t.Machines) {
		if m.State.Epoch == m.Epoch {
			waits = append(waits, message.WaitChange{Machine: id, Add: m.Wait()})
		}
	}
	if len(waits) > 0 {
		t.Send(to, message.PeerMessage{Table: waits})
	}
}

// AdoptCopy adopts the expected waits of the first copy of a table that arrives and ignores
// later copies. A copied wait applies only to a machine without a published state, and the
// first state that its dispatcher publishes replaces it.
func (t *Table) AdoptCopy(waits []message.WaitChange) {
	if t.copySearch.received {
		return
	}
	t.copySearch.received = true
	for _, w := range waits {
		if m := t.Machines[w.Machine]; m != nil && m.State.Epoch == 0 {
			m.copiedWait = w.Add
		}
	}
}
