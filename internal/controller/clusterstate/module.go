package clusterstate

import (
	"log/slog"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Module is embedded by each module of the core. It has the state that the module reads and
// the output of its steps.
type Module struct {
	*State
	*Output
}

// NewModule returns a Module whose state has nothing but the settings, with an empty output.
func NewModule(settings *config.Settings, operator config.Operator, log *slog.Logger) Module {
	return Module{State: NewState(settings, operator, log), Output: &Output{}}
}

// Output holds the actions that a step requests and the messages that it sends to this
// controller itself.
type Output struct {
	Actions []message.Action
	Local   []message.PeerMessage // messages to this controller, handled before the step ends
}

// Emit adds an action to those that the current step requests. It is executed after the step.
func (m Module) Emit(action message.Action) { m.Actions = append(m.Actions, action) }

// Send sends a message to a member of the view, which may be this controller. A message to
// a controller that is not a member is dropped.
func (m Module) Send(to protocol.NodeName, msg message.PeerMessage) {
	if to == m.Self {
		m.Local = append(m.Local, msg)
		return
	}
	session, ok := m.View.Members[to]
	if !ok {
		return
	}
	m.Emit(message.Send{
		To:          to,
		From:        m.Session,
		Session:     session,
		Term:        m.View.Term,
		ShardsEpoch: m.ShardTableEpoch(),
		Message:     msg,
	})
}

// ChangeRecord requests that a machine's record is written, or deleted if change.To is nil. If
// machines are recorded in blocks, it sends the change to the registrar, and neither tag nor
// conditions are used. Otherwise it emits a transaction of this controller, which is
// conditional on the given conditions and on the version change.Have of the record, and whose
// outcome arrives with the tag.
func (m Module) ChangeRecord(tag any, change message.RecordChange, conditions ...protocol.Condition) {
	if m.UsesBlocks() {
		change.Term = m.View.Term
		m.Send(m.Registrar(), message.PeerMessage{Record: &change})
		return
	}
	key := record.MachineKey(change.Machine)
	write := protocol.Change{Delete: key}
	if change.To != nil {
		write = protocol.Change{Put: key, Value: *change.To}
	}
	m.Emit(message.Commit{Tag: tag, Transaction: protocol.Transaction{
		Conditions: append(conditions, protocol.Condition{Key: key, Version: change.Have}),
		Changes:    []protocol.Change{write},
	}})
}
