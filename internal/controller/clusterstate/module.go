package clusterstate

import (
	"log/slog"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Module is what each module of the core embeds: the state that it reads, and the output
// of its steps.
type Module struct {
	*State
	*Output
}

// NewModule returns a state that knows nothing but its settings, with an empty output.
func NewModule(settings *config.Settings, operator config.Operator, log *slog.Logger) Module {
	return Module{State: NewState(settings, operator, log), Output: &Output{}}
}

// Output is what a step asks for.
type Output struct {
	Actions []message.Action
	Local   []message.PeerMessage // to this controller, handled before the step ends
}

// Emit asks for an action.
func (m Module) Emit(action message.Action) { m.Actions = append(m.Actions, action) }

// Send sends a message to a member of the view, which may be this controller.
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

// ChangeRecord has a machine's record written or deleted: by the registrar where machines
// are recorded in blocks, else by this controller. In the latter case the transaction
// depends on the conditions given and on the version of the record.
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
