package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

// part is what each part of a core has: what is known, and what its step asks
// for.
type part struct {
	*known
	*output
}

// output is what a step asks for.
type output struct {
	actions []Action
	local   []message.PeerMessage // to itself, handled before the step ends
}

// Action is something the core wants done.
type Action any

func (p part) do(a Action) { p.actions = append(p.actions, a) }

// send passes a message to a member of the view, itself included.
func (p part) send(to protocol.NodeName, m message.PeerMessage) {
	if to == p.self {
		p.local = append(p.local, m)
		return
	}
	if session, ok := p.view.Members[to]; ok {
		p.do(message.Send{To: to, From: p.session, Session: session, Term: p.view.Term, Message: m})
	}
}

// changeRecord has a machine's record written or deleted, by the registrar or,
// where machines have records of their own, by this controller. only says on
// which conditions beside those of the record itself, in the latter case.
func (p part) changeRecord(tag any, id protocol.MachineID, have protocol.Version, to *bookkeeping.Machine, only ...protocol.Condition) {
	if p.inBlocks() {
		p.send(p.registrar(), message.PeerMessage{Record: &message.RecordChange{Term: p.view.Term, Machine: id, Have: have, To: to}})
		return
	}
	key := bookkeeping.MachineKey(id)
	change := protocol.Change{Delete: key}
	if to != nil {
		change = protocol.Change{Put: key, Value: *to}
	}
	p.do(message.Commit{Tag: tag, Txn: protocol.Txn{
		If: append(only, protocol.Condition{Key: key, Version: have}), Then: []protocol.Change{change},
	}})
}
