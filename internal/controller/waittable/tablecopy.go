package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// peersPerRequest is how many peers are asked for their table at a time.
const peersPerRequest = 2

// tableCopy is the state of a restarted controller's search for a first table.
type tableCopy struct {
	toAsk    []protocol.NodeName // peers not asked yet, in the order to ask
	askedAt  clock.Time          // when peers were last asked; 0: never
	received bool
}

// AskPeers starts a restarted controller's search for a table: it asks two peers, at
// random, and AskMorePeers asks two more each time that no answer arrives in time.
func (t *Table) AskPeers() {
	t.copied = tableCopy{}
	for name := range ordered.Of(t.Peers) {
		if name != t.Self {
			t.copied.toAsk = append(t.copied.toAsk, name)
		}
	}
	names := t.copied.toAsk
	t.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	t.AskMorePeers()
}

// AskMorePeers asks the next peers for their table, unless one has been received, all
// have been asked or those asked last may still answer.
func (t *Table) AskMorePeers() {
	waiting := t.copied.askedAt != 0 && t.Since(t.copied.askedAt) < t.Op.CopyWait
	if t.copied.received || len(t.copied.toAsk) == 0 || waiting {
		return
	}
	n := min(peersPerRequest, len(t.copied.toAsk))
	for _, name := range t.copied.toAsk[:n] {
		t.Send(name, message.PeerMessage{AskTable: true})
	}
	t.copied.toAsk, t.copied.askedAt = t.copied.toAsk[n:], t.Now
}

// SendCopy sends a restarted controller a copy of this table, unless no state of any
// machine is known here.
func (t *Table) SendCopy(to protocol.NodeName) {
	var waits []message.WaitChange
	for id, m := range ordered.Of(t.Machines) {
		if m.State.Epoch == m.Epoch {
			waits = append(waits, message.WaitChange{Machine: id, Add: m.Wait()})
		}
	}
	if len(waits) > 0 {
		t.Send(to, message.PeerMessage{Table: waits})
	}
}

// Fill adopts the first copy of a table that arrives and ignores the others. States
// published by the machines' dispatchers replace its waits.
func (t *Table) Fill(waits []message.WaitChange) {
	if t.copied.received {
		return
	}
	t.copied.received = true
	for _, w := range waits {
		if m := t.Machines[w.Machine]; m != nil && m.State.Epoch == 0 {
			m.copiedWait = w.Add
		}
	}
}
