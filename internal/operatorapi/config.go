package operatorapi

import (
	"errors"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Operations on the configuration.
const (
	OpConfig        Op = "config"         // returns entries in force
	OpConfigure     Op = "configure"      // changes entries
	OpConfigHistory Op = "config_history" // returns the latest changes
	OpConfigStatus  Op = "config_status"  // returns which revision each controller has applied
)

// ConfigRequest is the part of a Request about the configuration: the changes of OpConfigure,
// or the selection and page of OpConfig.
type ConfigRequest struct {
	// Revision, if not nil, is the revision that must be in force; otherwise the changes are
	// refused.
	Revision *record.ConfigurationRevision `cbor:"revision,omitempty"`
	Changes  []ConfigChange                `cbor:"changes,omitempty"`
	// Entry is the ID of the entry to return, or a kind, of which all entries are returned;
	// if it is empty, all entries are. After is the ID of the last entry of the previous
	// page, empty for the first page.
	Entry record.EntryID `cbor:"entry,omitempty"`
	After record.EntryID `cbor:"after,omitempty"`
}

// Selects reports whether Entry selects the entry of the given ID: whether it is empty, is
// this ID or is the ID's kind.
func (r *ConfigRequest) Selects(id record.EntryID) bool {
	kind, _ := id.Split()
	return r.Entry == "" || r.Entry == id || string(r.Entry) == string(kind)
}

// ConfigChange changes one entry of the configuration. A field that is nil leaves the
// entry's value as it is.
type ConfigChange struct {
	Entry record.EntryID `cbor:"entry"`
	// Reset restores the entry as in the platform's file; Remove removes a team.
	Reset      bool                     `cbor:"reset,omitempty"`
	Remove     bool                     `cbor:"remove,omitempty"`
	CPUs       *float64                 `cbor:"cpus,omitempty"`
	MaxCPUs    *float64                 `cbor:"cpus_max,omitempty"`
	GPUs       *float64                 `cbor:"gpus,omitempty"`
	MaxGPUs    *float64                 `cbor:"gpus_max,omitempty"`
	Closed     *bool                    `cbor:"closed,omitempty"`
	Objectives *[]record.ObjectiveEntry `cbor:"objectives,omitempty"`
	Value      *record.SettingText      `cbor:"value,omitempty"`
}

// ConfigReply is the part of a Reply about the configuration. Each operation fills the lists
// that it returns: OpConfig Entries, OpConfigure Changes, OpConfigHistory History,
// OpConfigStatus Controllers.
type ConfigReply struct {
	// Revision is the revision that a change creates; in other replies it is the revision
	// in force on the controller that replies, or for OpConfigHistory that of the latest
	// change.
	Revision    record.ConfigurationRevision `cbor:"revision" json:"revision"`
	Entries     []ConfigEntry                `cbor:"entries,omitempty" json:"entries,omitempty"`
	Changes     []record.EntryChange         `cbor:"changes,omitempty" json:"changes,omitempty"` // that are made, or would be in a dry run
	History     []record.ConfigurationChange `cbor:"history,omitempty" json:"history,omitempty"` // latest first
	Controllers []ConfigController           `cbor:"controllers,omitempty" json:"controllers,omitempty"`
	// WithinS is the longest time for which a controller may act on an earlier revision
	// after a change, in seconds.
	WithinS float64 `cbor:"within_s,omitempty" json:"within_s,omitempty"`
}

// ConfigEntry is an entry of the configuration with the values in force. The kind of the entry
// determines which of the fields from Team on are set: Team for a team, Objectives for a
// class, Closed for a zone or a machine type, Value for a setting.
type ConfigEntry struct {
	Entry      record.EntryID               `cbor:"entry" json:"entry"`
	Revision   record.ConfigurationRevision `cbor:"revision" json:"revision"` // last revision that changed the entry; 0 if none has, so that the platform's file applies
	Team       *record.TeamEntry            `cbor:"team,omitempty" json:"team,omitempty"`
	Objectives []record.ObjectiveEntry      `cbor:"objectives,omitempty" json:"objectives,omitempty"`
	Closed     bool                         `cbor:"closed,omitempty" json:"closed,omitempty"`
	Value      record.SettingText           `cbor:"value,omitempty" json:"value,omitempty"`
}

// ConfigController is a controller and the revision that it has applied.
type ConfigController struct {
	Name     protocol.NodeName            `cbor:"name" json:"name"`
	Revision record.ConfigurationRevision `cbor:"revision" json:"revision"`
	// Member is whether the controller is a member of the view.
	Member bool `cbor:"member" json:"member"`
	// HoldsLease is whether the controller holds its lease. It is set only for the
	// controller that replies.
	HoldsLease bool `cbor:"acting,omitempty" json:"acting,omitempty"`
	// Older is whether the controller's version or settings don't support the dynamic
	// configuration, so that the controller is excluded from the view.
	Older bool `cbor:"older,omitempty" json:"older,omitempty"`
	// LastContactS is the time since the controller last reported its revision to the
	// controller that replies, in seconds; 0 for the latter, and for a controller that has
	// never reported one.
	LastContactS float64 `cbor:"heard_s" json:"heard_s"`
}

// configFields is a bit set of groups of fields of a ConfigChange.
type configFields uint8

const (
	amountFields configFields = 1 << iota // CPUs, GPUs (guarantees), MaxCPUs and MaxGPUs (limits)
	closedField
	objectivesField
	valueField
)

// fieldsOfKind maps each kind of entry to the fields that its changes may set.
var fieldsOfKind = map[record.EntryKind]configFields{
	record.EntryTeam:    amountFields | closedField,
	record.EntryClass:   objectivesField,
	record.EntryZone:    closedField,
	record.EntryType:    closedField,
	record.EntrySetting: valueField,
}

// errFieldsMismatch is returned for a change whose fields don't match its kind of entry.
var errFieldsMismatch = errors.New("the fields don't fit this kind of entry")

// CheckFields returns an error unless a change either resets or removes its entry and sets no
// field, or sets at least one field and only fields of its kind of entry. Only teams can be
// removed, and not also reset. It accepts every other change of an unknown kind, which the
// caller rejects.
func (c *ConfigChange) CheckFields(kind record.EntryKind) error {
	if c.Remove && (c.Reset || kind != record.EntryTeam) {
		return errFieldsMismatch
	}
	allowed, known := fieldsOfKind[kind]
	if !known {
		return nil
	}
	fields := c.fields()
	resetsOrRemoves := c.Reset || c.Remove
	if fields&^allowed != 0 || resetsOrRemoves == (fields != 0) {
		return errFieldsMismatch
	}
	return nil
}

// fields returns the groups of fields of which the change sets at least one.
func (c *ConfigChange) fields() configFields {
	var fields configFields
	if c.CPUs != nil || c.MaxCPUs != nil || c.GPUs != nil || c.MaxGPUs != nil {
		fields |= amountFields
	}
	if c.Closed != nil {
		fields |= closedField
	}
	if c.Objectives != nil {
		fields |= objectivesField
	}
	if c.Value != nil {
		fields |= valueField
	}
	return fields
}
