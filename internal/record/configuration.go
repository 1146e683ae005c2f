package record

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// The dynamic configuration is stored as a record of each entry, under one revision. A
// transaction that changes entries also writes the revision's record and compares its
// version, so that changes are serialized: each is decided on the result of those
// before it.
const (
	// ConfigurationKey is the key of the Configuration.
	ConfigurationKey         = "c/config/revision"
	configurationEntryPrefix = "c/config/entry/"
	// ConfigurationHistoryPrefix is the prefix of the latest changes, which nobody watches.
	ConfigurationHistoryPrefix = "config/history/"
	// ConfigurationHistory is how many of the latest changes are stored.
	ConfigurationHistory = 200
	// ConfigurationRequests is how many idempotency keys of the latest requests the
	// revision's record lists, so that a repeated request changes nothing more.
	ConfigurationRequests = 64
)

// ConfigurationRevision counts the changes of the configuration; 0 is none yet.
type ConfigurationRevision uint64

// EntryKind is the kind of thing that an entry of the configuration configures.
type EntryKind string

// The kinds of entries.
const (
	EntryTeam    EntryKind = "team"
	EntryClass   EntryKind = "class"
	EntryZone    EntryKind = "zone"
	EntryType    EntryKind = "type"
	EntrySetting EntryKind = "setting"
)

// EntryID identifies an entry of the configuration: its kind, a slash and the name of
// what it configures.
type EntryID string

// NewEntryID makes the id of the entry of a kind and a name.
func NewEntryID(kind EntryKind, name string) EntryID { return EntryID(string(kind) + "/" + name) }

// Split returns the kind and the name of an id.
func (id EntryID) Split() (EntryKind, string) {
	kind, name, _ := strings.Cut(string(id), "/")
	return EntryKind(kind), name
}

// ConfigurationEntryKey is the key of a ConfigurationEntry.
func ConfigurationEntryKey(id EntryID) string { return configurationEntryPrefix + string(id) }

// ConfigurationHistoryKey is the key of a ConfigurationChange. The keys form a ring:
// later revisions overwrite those from ConfigurationHistory revisions ago.
func ConfigurationHistoryKey(r ConfigurationRevision) string {
	return fmt.Sprintf("%s%03d", ConfigurationHistoryPrefix, uint64(r)%ConfigurationHistory)
}

// Configuration is the record of the revision.
type Configuration struct {
	Revision ConfigurationRevision `cbor:"revision"`
	// Entries are those that this revision changed: a controller applies the revision
	// once it has read all of them.
	Entries  []EntryID              `cbor:"entries"`
	Requests []ConfigurationRequest `cbor:"requests"`
}

// ConfigurationRequest is a request that was carried out, and the revision that did so.
type ConfigurationRequest struct {
	ID       string                `cbor:"id"`
	Revision ConfigurationRevision `cbor:"revision"`
}

// ConfigurationEntry is the record of an entry. Beside the revision exactly one of
// Reset, Team, Class, Place and Value is set.
type ConfigurationEntry struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"` // that wrote it
	// Reset means that the platform's file applies. For a team, Lowered is then the last
	// revision that lowered its limit.
	Reset   bool                  `cbor:"reset,omitempty" json:"reset,omitempty"`
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
	Team    *TeamEntry            `cbor:"team,omitempty" json:"team,omitempty"`
	Class   *ClassEntry           `cbor:"class,omitempty" json:"class,omitempty"`
	Place   *PlaceEntry           `cbor:"place,omitempty" json:"place,omitempty"` // of a zone or a machine type
	Value   *SettingText          `cbor:"value,omitempty" json:"value,omitempty"`
}

// SettingText is the value of one of the operators' settings, written as in their file.
type SettingText string

// TeamEntry is a team's guarantee and limit, in the units of the platform's file.
type TeamEntry struct {
	CPUs    float64 `cbor:"cpus" json:"cpus"`
	MaxCPUs float64 `cbor:"cpus_max" json:"cpus_max"`
	GPUs    float64 `cbor:"gpus" json:"gpus"`
	MaxGPUs float64 `cbor:"gpus_max" json:"gpus_max"`
	Closed  bool    `cbor:"closed,omitempty" json:"closed,omitempty"` // to new jobs
	Removed bool    `cbor:"removed,omitempty" json:"removed,omitempty"`
	// Lowered is the last revision that lowered the limit: what was placed under an
	// earlier one must not be started any more.
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
}

// ClassEntry is the objectives of a class, which replace those of the platform's file.
type ClassEntry struct {
	Objectives []ObjectiveEntry `cbor:"objectives" json:"objectives"`
}

// ObjectiveEntry is a service-level objective of a class, as in the platform's file.
type ObjectiveEntry struct {
	Kind    string  `cbor:"kind" json:"kind" toml:"kind"`
	WithinS float64 `cbor:"within_s" json:"within_s" toml:"within_s"`
	Share   float64 `cbor:"share" json:"share" toml:"share"`
	Times   float64 `cbor:"times" json:"times" toml:"times"`
}

// PlaceEntry says whether a zone or a machine type is cordoned: nothing is placed,
// started or provisioned there.
type PlaceEntry struct {
	Closed bool `cbor:"closed" json:"closed"`
}

// ConfigurationChange is the history record of one revision.
type ConfigurationChange struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"`
	By       string                `cbor:"by" json:"by"`
	AtMS     Moment                `cbor:"at_ms" json:"at_ms"`
	Changes  []EntryChange         `cbor:"changes" json:"changes"`
}

// EntryChange is an entry before and after a change.
type EntryChange struct {
	Entry EntryID            `cbor:"entry" json:"entry"`
	From  ConfigurationEntry `cbor:"from" json:"from"`
	To    ConfigurationEntry `cbor:"to" json:"to"`
}

// parseConfigurationEntryKey parses the key of a ConfigurationEntry.
func parseConfigurationEntryKey(key string) (EntryID, bool) {
	id, ok := strings.CutPrefix(key, configurationEntryPrefix)
	return EntryID(id), ok
}

// TeamOf returns the team that an entry configures, if its kind is EntryTeam.
func TeamOf(id EntryID) (protocol.Team, bool) {
	kind, name := id.Split()
	return protocol.Team(name), kind == EntryTeam
}
