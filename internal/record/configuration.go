package record

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// Configuration that changes while controllers run is kept in records of one entry
// each, under one revision. A transaction that changes entries also writes the
// revision's record, on its version: so all changes are in one order, each decided on
// what those before it left.
const (
	// ConfigurationKey is the record of the revision.
	ConfigurationKey         = "c/config/revision"
	configurationEntryPrefix = "c/config/entry/"
	// ConfigurationHistoryPrefix is that of the latest changes, which nobody follows.
	ConfigurationHistoryPrefix = "config/history/"
	// ConfigurationHistory is how many of the latest changes are kept.
	ConfigurationHistory = 200
	// ConfigurationRequests is how many of the latest requests the revision's record
	// names, so that a repeated one changes nothing more.
	ConfigurationRequests = 64
)

// ConfigurationRevision counts the changes of the configuration; 0: none yet.
type ConfigurationRevision uint64

// EntryKind is what an entry of the configuration is about.
type EntryKind string

// The kinds of entries.
const (
	EntryTeam    EntryKind = "team"
	EntryClass   EntryKind = "class"
	EntryZone    EntryKind = "zone"
	EntryType    EntryKind = "type"
	EntrySetting EntryKind = "setting"
)

// EntryID names an entry of the configuration: its kind and, after a slash, whose it is.
type EntryID string

// NewEntryID names the entry of a kind for something.
func NewEntryID(kind EntryKind, name string) EntryID { return EntryID(string(kind) + "/" + name) }

// Split is an entry's kind and whose it is.
func (id EntryID) Split() (EntryKind, string) {
	kind, name, _ := strings.Cut(string(id), "/")
	return EntryKind(kind), name
}

// ConfigurationEntryKey is the record of an entry.
func ConfigurationEntryKey(id EntryID) string { return configurationEntryPrefix + string(id) }

// ConfigurationHistoryKey is the record of what a revision changed. Later revisions
// take the places of those that are kept no more.
func ConfigurationHistoryKey(r ConfigurationRevision) string {
	return fmt.Sprintf("%s%03d", ConfigurationHistoryPrefix, uint64(r)%ConfigurationHistory)
}

// Configuration is the record of the revision.
type Configuration struct {
	Revision ConfigurationRevision `cbor:"revision"`
	// Entries are those that this revision has changed: it is in force once all of
	// them are known.
	Entries  []EntryID              `cbor:"entries"`
	Requests []ConfigurationRequest `cbor:"requests"`
}

// ConfigurationRequest is a request that was carried out, and by which revision.
type ConfigurationRequest struct {
	ID       string                `cbor:"id"`
	Revision ConfigurationRevision `cbor:"revision"`
}

// ConfigurationEntry is the record of an entry; beside the revision one field is set.
type ConfigurationEntry struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"` // that wrote it
	// Reset: it is as the platform's file has it. Lowered, of a team, is then the last
	// revision that lowered its limit.
	Reset   bool                  `cbor:"reset,omitempty" json:"reset,omitempty"`
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
	Team    *TeamEntry            `cbor:"team,omitempty" json:"team,omitempty"`
	Class   *ClassEntry           `cbor:"class,omitempty" json:"class,omitempty"`
	Place   *PlaceEntry           `cbor:"place,omitempty" json:"place,omitempty"` // of a zone or a machine type
	Value   *SettingText          `cbor:"value,omitempty" json:"value,omitempty"`
}

// SettingText is the value of one of the operators' own settings, as in their file.
type SettingText string

// TeamEntry is a team's guarantee and limit. Amounts are those of the platform's file.
type TeamEntry struct {
	CPUs    float64 `cbor:"cpus" json:"cpus"`
	MaxCPUs float64 `cbor:"cpus_max" json:"cpus_max"`
	GPUs    float64 `cbor:"gpus" json:"gpus"`
	MaxGPUs float64 `cbor:"gpus_max" json:"gpus_max"`
	Closed  bool    `cbor:"closed,omitempty" json:"closed,omitempty"` // to new jobs
	Removed bool    `cbor:"removed,omitempty" json:"removed,omitempty"`
	// Lowered is the last revision that lowered its limit: what was placed by an
	// earlier one may not be started any more.
	Lowered ConfigurationRevision `cbor:"lowered,omitempty" json:"lowered,omitempty"`
}

// ClassEntry are the objectives of a class, instead of those of the platform's file.
type ClassEntry struct {
	Objectives []ObjectiveEntry `cbor:"objectives" json:"objectives"`
}

// ObjectiveEntry is what is expected of a class; see the platform's file.
type ObjectiveEntry struct {
	Kind    string  `cbor:"kind" json:"kind" toml:"kind"`
	WithinS float64 `cbor:"within_s" json:"within_s" toml:"within_s"`
	Share   float64 `cbor:"share" json:"share" toml:"share"`
	Times   float64 `cbor:"times" json:"times" toml:"times"`
}

// PlaceEntry says whether a zone or a machine type is closed: nothing is placed or
// started there, and nothing rented.
type PlaceEntry struct {
	Closed bool `cbor:"closed" json:"closed"`
}

// ConfigurationChange is the record of what a revision changed.
type ConfigurationChange struct {
	Revision ConfigurationRevision `cbor:"revision" json:"revision"`
	By       string                `cbor:"by" json:"by"`
	AtMS     Moment                `cbor:"at_ms" json:"at_ms"`
	Changes  []EntryChange         `cbor:"changes" json:"changes"`
}

// EntryChange is an entry before and after a change; a reset one is as the platform's
// file has it.
type EntryChange struct {
	Entry EntryID            `cbor:"entry" json:"entry"`
	From  ConfigurationEntry `cbor:"from" json:"from"`
	To    ConfigurationEntry `cbor:"to" json:"to"`
}

// entryOf is the entry that a followed key is the record of, if it is of one.
func entryOf(key string) (EntryID, bool) {
	id, ok := strings.CutPrefix(key, configurationEntryPrefix)
	return EntryID(id), ok
}

// TeamOf is the team that an entry is about.
func TeamOf(id EntryID) (protocol.Team, bool) {
	kind, name := id.Split()
	return protocol.Team(name), kind == EntryTeam
}
