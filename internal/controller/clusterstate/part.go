package clusterstate

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Part is what each part of a core has: what is known, and what its step asks
// for.
type Part struct {
	*State
	*Output
}

// Output is what a step asks for.
type Output struct {
	Actions []message.Action
	Local   []message.PeerMessage // to itself, handled before the step ends
}

// Do asks for an action.
func (p Part) Do(a message.Action) { p.Actions = append(p.Actions, a) }

// Send passes a message to a member of the view, itself included.
func (p Part) Send(to protocol.NodeName, m message.PeerMessage) {
	if to == p.Self {
		p.Local = append(p.Local, m)
		return
	}
	if session, ok := p.View.Members[to]; ok {
		p.Do(message.Send{To: to, From: p.Session, Session: session, Term: p.View.Term, Shares: p.SharesEpoch(), Message: m})
	}
}

// ChangeRecord has a machine's record written or deleted, by the registrar or,
// where machines have records of their own, by this controller. only says on
// which conditions beside those of the record itself, in the latter case.
func (p Part) ChangeRecord(tag any, r message.RecordChange, only ...protocol.Condition) {
	if p.InBlocks() {
		r.Term = p.View.Term
		p.Send(p.Registrar(), message.PeerMessage{Record: &r})
		return
	}
	key := record.MachineKey(r.Machine)
	change := protocol.Change{Delete: key}
	if r.To != nil {
		change = protocol.Change{Put: key, Value: *r.To}
	}
	p.Do(message.Commit{Tag: tag, Txn: protocol.Txn{
		If: append(only, protocol.Condition{Key: key, Version: r.Have}), Then: []protocol.Change{change},
	}})
}
