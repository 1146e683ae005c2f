package operatorapi

import (
	"errors"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Operations on the configuration: OpConfig tells it, OpConfigure changes it,
// OpConfigHistory lists the latest changes, OpConfigStatus tells who acts by which
// revision.
const (
	OpConfig        Op = "config"
	OpConfigure     Op = "configure"
	OpConfigHistory Op = "config_history"
	OpConfigStatus  Op = "config_status"
)

// ConfigRequest is what a request about the configuration says.
type ConfigRequest struct {
	// Revision, if not nil, is the one that has to be in force for a change.
	Revision *record.ConfigurationRevision `cbor:"revision,omitempty"`
	Changes  []ConfigChange                `cbor:"changes,omitempty"`
	// Entry is the one to be told, or the kind of those; empty: all. After is the last
	// that was told already.
	Entry record.EntryID `cbor:"entry,omitempty"`
	After record.EntryID `cbor:"after,omitempty"`
}

// Wants reports whether an entry is to be told.
func (r *ConfigRequest) Wants(id record.EntryID) bool {
	kind, _ := id.Split()
	return r.Entry == "" || r.Entry == id || string(r.Entry) == string(kind)
}

// ConfigChange changes one entry. What it leaves out stays.
type ConfigChange struct {
	Entry record.EntryID `cbor:"entry"`
	// Reset has it as the platform's file has it; Remove removes a team.
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

// ConfigReply is the part of an answer that is about the configuration.
type ConfigReply struct {
	// Revision is the one in force where it was asked, or of the change.
	Revision    record.ConfigurationRevision `cbor:"revision" json:"revision"`
	Entries     []ConfigEntry                `cbor:"entries,omitempty" json:"entries,omitempty"`
	Changes     []record.EntryChange         `cbor:"changes,omitempty" json:"changes,omitempty"` // of a change, or a dry run
	History     []record.ConfigurationChange `cbor:"history,omitempty" json:"history,omitempty"` // the latest first
	Controllers []ConfigController           `cbor:"controllers,omitempty" json:"controllers,omitempty"`
	// WithinS is how long after a change a controller may act by an earlier revision
	// at the most.
	WithinS float64 `cbor:"within_s,omitempty" json:"within_s,omitempty"`
}

// ConfigEntry is an entry as it is in force, and where it comes from.
type ConfigEntry struct {
	Entry      record.EntryID               `cbor:"entry" json:"entry"`
	Revision   record.ConfigurationRevision `cbor:"revision" json:"revision"` // that changed it; 0: as in the platform's file
	Team       *record.TeamEntry            `cbor:"team,omitempty" json:"team,omitempty"`
	Objectives []record.ObjectiveEntry      `cbor:"objectives,omitempty" json:"objectives,omitempty"`
	Closed     bool                         `cbor:"closed,omitempty" json:"closed,omitempty"`
	Value      record.SettingText           `cbor:"value,omitempty" json:"value,omitempty"`
}

// ConfigController is a controller and the revision that it acts by.
type ConfigController struct {
	Name     protocol.NodeName            `cbor:"name" json:"name"`
	Revision record.ConfigurationRevision `cbor:"revision" json:"revision"`
	// Member: it may act by the view. Older: it is of a version, or set so, that does
	// not know these records, and is kept from acting.
	Member bool `cbor:"member" json:"member"`
	// Acting: its lease is valid; only told of the controller that answers.
	Acting bool    `cbor:"acting,omitempty" json:"acting,omitempty"`
	Older  bool    `cbor:"older,omitempty" json:"older,omitempty"`
	HeardS float64 `cbor:"heard_s" json:"heard_s"` // how long ago it last said so
}

// errMisfit says that a change names fields that its kind of entry has not.
var errMisfit = errors.New("the fields don't fit this kind of entry")

// Fits checks that a change names the fields of its kind of entry, and only those.
func (c *ConfigChange) Fits(kind record.EntryKind) error {
	amounts := c.CPUs != nil || c.MaxCPUs != nil || c.GPUs != nil || c.MaxGPUs != nil
	ends := c.Reset || c.Remove
	if c.Reset && c.Remove || c.Remove && kind != record.EntryTeam {
		return errMisfit
	}
	ok := false
	switch kind {
	case record.EntryTeam:
		ok = c.Objectives == nil && c.Value == nil && ends != (amounts || c.Closed != nil)
	case record.EntryClass:
		ok = !amounts && c.Closed == nil && c.Value == nil && ends != (c.Objectives != nil)
	case record.EntryZone, record.EntryType:
		ok = !amounts && c.Objectives == nil && c.Value == nil && ends != (c.Closed != nil)
	case record.EntrySetting:
		ok = !amounts && c.Objectives == nil && c.Closed == nil && ends != (c.Value != nil)
	default:
		return nil // the kind itself is refused
	}
	if !ok {
		return errMisfit
	}
	return nil
}
