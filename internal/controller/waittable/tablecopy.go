package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// Copy is a restarted controller's search for a first table.
type TableCopy struct {
	ToAsk []protocol.NodeName // not asked yet
	asked clock.Time
	got   bool
}

// AskPeers has a restarted controller look for a table: it asks two peers, at
// random, and two more after each wait in vain.
func (wt *Table) AskPeers() {
	wt.Copy = TableCopy{}
	for name := range ordered.Of(wt.Peers) {
		if name != wt.Self {
			wt.Copy.ToAsk = append(wt.Copy.ToAsk, name)
		}
	}
	l := wt.Copy.ToAsk
	wt.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	wt.AskMorePeers()
}

func (wt *Table) AskMorePeers() {
	if wt.Copy.got || len(wt.Copy.ToAsk) == 0 || wt.Copy.asked != 0 && wt.Since(wt.Copy.asked) < wt.Op.CopyWait {
		return
	}
	n := min(2, len(wt.Copy.ToAsk))
	for _, name := range wt.Copy.ToAsk[:n] {
		wt.Send(name, message.PeerMessage{AskTable: true})
	}
	wt.Copy.ToAsk, wt.Copy.asked = wt.Copy.ToAsk[n:], wt.Now
}

// SendCopy answers a restarted controller, if this table is filled.
func (wt *Table) SendCopy(to protocol.NodeName) {
	var ws []message.WaitChange
	for id, m := range ordered.Of(wt.Machines) {
		if m.Reported.Epoch == m.Epoch {
			ws = append(ws, message.WaitChange{Machine: id, Add: m.Wait()})
		}
	}
	if len(ws) > 0 {
		wt.Send(to, message.PeerMessage{Table: ws})
	}
}

// Fill takes the first table that comes; what keepers say of their
// machines replaces it.
func (wt *Table) Fill(ws []message.WaitChange) {
	if wt.Copy.got {
		return
	}
	wt.Copy.got = true
	for _, w := range ws {
		if m := wt.Machines[w.Machine]; m != nil && m.Reported.Epoch == 0 {
			m.copiedWait = w.Add
		}
	}
}
