package clusterstate

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Module is what each part of a core has: what is known, and what its step asks
// for.
type Module struct {
	*State
	*Output
}

// Output is what a step asks for.
type Output struct {
	Actions []message.Action
	Local   []message.PeerMessage // to itself, handled before the step ends
}

// Emit asks for an action.
func (p Module) Emit(a message.Action) { p.Actions = append(p.Actions, a) }

// Send passes a message to a member of the view, itself included.
func (p Module) Send(to protocol.NodeName, m message.PeerMessage) {
	if to == p.Self {
		p.Local = append(p.Local, m)
		return
	}
	if session, ok := p.View.Members[to]; ok {
		p.Emit(message.Send{To: to, From: p.Session, Session: session, Term: p.View.Term, ShardsEpoch: p.ShardTableEpoch(), Message: m})
	}
}

// ChangeRecord has a machine's record written or deleted, by the registrar or,
// where machines have records of their own, by this controller. only says on
// which conditions beside those of the record itself, in the latter case.
func (p Module) ChangeRecord(tag any, r message.RecordChange, only ...protocol.Condition) {
	if p.UsesBlocks() {
		r.Term = p.View.Term
		p.Send(p.Registrar(), message.PeerMessage{Record: &r})
		return
	}
	key := record.MachineKey(r.Machine)
	change := protocol.Change{Delete: key}
	if r.To != nil {
		change = protocol.Change{Put: key, Value: *r.To}
	}
	p.Emit(message.Commit{Tag: tag, Txn: protocol.Transaction{
		Conditions: append(only, protocol.Condition{Key: key, Version: r.Have}), Changes: []protocol.Change{change},
	}})
}
