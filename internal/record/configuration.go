package record

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// The dynamic configuration is stored as one record per entry and one record of the
// revision. A transaction that changes entries also writes the record of the revision, on
// the condition that its version is unchanged. So changes are serialized: each is decided
// on the result of the changes before it.
const (
	// ConfigurationKey is the key of the Configuration.
	ConfigurationKey         = "c/config/revision"
	configurationEntryPrefix = "c/config/entry/"
	// ConfigurationHistoryPrefix is the prefix of the keys of the latest changes, which no
	// controller watches.
	ConfigurationHistoryPrefix = "config/history/"
	// ConfigurationHistory is the number of latest changes that are stored.
	ConfigurationHistory = 200
	// ConfigurationRequests is the number of latest requests whose idempotency keys the
	// record of the revision lists, so that a repeated request is not executed again.
	ConfigurationRequests = 64
)

// ConfigurationRevision is the number of changes of the configuration; 0 before the first.
type ConfigurationRevision uint64

// EntryKind is the kind of object that an entry of the configuration applies to.
type EntryKind string

// The kinds of entries.
const (
	EntryTeam    EntryKind = "team"    // guarantee and limit of a team
	EntryClass   EntryKind = "class"   // objectives of a class of jobs
	EntryZone    EntryKind = "zone"    // whether a zone is cordoned
	EntryType    EntryKind = "type"    // whether a machine type is cordoned
	EntrySetting EntryKind = "setting" // value of an operator setting
)

// EntryID identifies an entry of the configuration: its kind, a slash, and the name of the
// object that it applies to.
type EntryID string

// NewEntryID returns the ID of the entry for the object of the given kind and name.
func NewEntryID(kind EntryKind, name string) EntryID { return EntryID(string(kind) + "/" + name) }

// Split returns the kind and the name in the ID; the name is empty if the ID has no slash.
func (id EntryID) Split() (EntryKind, string) {
	kind, name, _ := strings.Cut(string(id), "/")
	return EntryKind(kind), name
}

// ConfigurationEntryKey is the key of a ConfigurationEntry.
func ConfigurationEntryKey(id EntryID) string { return configurationEntryPrefix + string(id) }

// ConfigurationHistoryKey is the key of a ConfigurationChange. The keys form a ring: each
// revision overwrites the record from ConfigurationHistory revisions ago.
func ConfigurationHistoryKey(r ConfigurationRevision) string {
	return fmt.Sprintf("%s%03d", ConfigurationHistoryPrefix, uint64(r)%ConfigurationHistory)
}

// Configuration is the record of the revision in force.
type Configuration struct {
	Revision ConfigurationRevision `cbor:"revision"`
	// Entries are the entries that this revision changed. A controller applies the
	// revision once it has read all of them.
	Entries  []EntryID              `cbor:"entries"`
	Requests []ConfigurationRequest `cbor:"requests"` // latest requests, the newest last
}

// ConfigurationRequest is an executed request and the revision that it resulted in.
type ConfigurationRequest struct {
	ID       string                `cbor:"id"` // idempotency key
	Revision ConfigurationRevision `cbor:"revision"`
}

// ConfigurationEntry is the record of an entry. Exactly one of Reset, Team, Class, Place and
// Value is set.
type ConfigurationEntry struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"` // the one that wrote the entry
	// Reset means that the settings files apply to the object again. For a team, Lowered
	// then holds the last revision that lowered its limit.
	Reset   bool                  `cbor:"reset,omitempty" json:"reset,omitempty"`
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
	Team    *TeamEntry            `cbor:"team,omitempty" json:"team,omitempty"`
	Class   *ClassEntry           `cbor:"class,omitempty" json:"class,omitempty"`
	Place   *PlaceEntry           `cbor:"place,omitempty" json:"place,omitempty"` // of a zone or a machine type
	Value   *SettingText          `cbor:"value,omitempty" json:"value,omitempty"`
}

// SettingText is the value of an operator setting, in the syntax of the operators' file.
type SettingText string

// TeamEntry is the guarantee of a team (CPUs, GPUs) and its limit (MaxCPUs, MaxGPUs), in the
// units of the platform's file.
type TeamEntry struct {
	CPUs    float64 `cbor:"cpus" json:"cpus"`
	MaxCPUs float64 `cbor:"cpus_max" json:"cpus_max"`
	GPUs    float64 `cbor:"gpus" json:"gpus"`
	MaxGPUs float64 `cbor:"gpus_max" json:"gpus_max"`
	Closed  bool    `cbor:"closed,omitempty" json:"closed,omitempty"`   // new jobs are rejected
	Removed bool    `cbor:"removed,omitempty" json:"removed,omitempty"` // the team was deleted
	// Lowered is the last revision that lowered the limit. Tasks that were placed under an
	// earlier revision must not be started.
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
}

// ClassEntry holds the objectives of a class, which replace those of the platform's file.
type ClassEntry struct {
	Objectives []ObjectiveEntry `cbor:"objectives" json:"objectives"`
}

// ObjectiveEntry is a service-level objective of a class, with the fields of the platform's
// file: the fraction Share of the class's jobs meets it. WithinS is a time in seconds and Times
// a multiple of a job's deadline; which of them counts depends on Kind.
type ObjectiveEntry struct {
	Kind    string  `cbor:"kind" json:"kind" toml:"kind"`
	WithinS float64 `cbor:"within_s" json:"within_s" toml:"within_s"`
	Share   float64 `cbor:"share" json:"share" toml:"share"`
	Times   float64 `cbor:"times" json:"times" toml:"times"`
}

// PlaceEntry states whether a zone or a machine type is cordoned.
type PlaceEntry struct {
	// Closed means cordoned: no task is placed or started and no machine is provisioned
	// there.
	Closed bool `cbor:"closed" json:"closed"`
}

// ConfigurationChange is the history record of one revision.
type ConfigurationChange struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"`
	By       string                `cbor:"by" json:"by"` // name of the operator's key
	AtMS     Moment                `cbor:"at_ms" json:"at_ms"`
	Changes  []EntryChange         `cbor:"changes" json:"changes"`
}

// EntryChange is one entry before (From) and after (To) a change.
type EntryChange struct {
	Entry EntryID            `cbor:"entry" json:"entry"`
	From  ConfigurationEntry `cbor:"from" json:"from"`
	To    ConfigurationEntry `cbor:"to" json:"to"`
}

// parseConfigurationEntryKey returns the ID in the key of a ConfigurationEntry, or false for
// another key.
func parseConfigurationEntryKey(key string) (EntryID, bool) {
	id, ok := strings.CutPrefix(key, configurationEntryPrefix)
	return EntryID(id), ok
}

// TeamOf returns the team that an entry applies to; ok is false for entries of other kinds.
func TeamOf(id EntryID) (protocol.Team, bool) {
	kind, name := id.Split()
	return protocol.Team(name), kind == EntryTeam
}
