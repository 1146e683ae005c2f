package operatorapi

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/record"
)

// ConfigFile is a TOML file of configuration changes, all of which are made or none. The
// names of this type and of the types of its fields are part of the texts of parse errors.
type ConfigFile struct {
	// Revision, if not nil, is the revision that must be in force; otherwise the changes are
	// refused.
	Revision *uint64                       `toml:"revision"`
	Teams    []ConfigFileTeam              `toml:"teams"`
	Classes  []ConfigFileClass             `toml:"classes"`
	Zones    []ConfigFilePlace             `toml:"zones"`
	Types    []ConfigFilePlace             `toml:"types"`
	Settings map[string]record.SettingText `toml:"settings"`
}

// ConfigFileTeam has the changes of a team. Fields that are left out stay as they are.
type ConfigFileTeam struct {
	Name    string   `toml:"name"`
	CPUs    *float64 `toml:"cpus"`
	MaxCPUs *float64 `toml:"cpus_max"`
	GPUs    *float64 `toml:"gpus"`
	MaxGPUs *float64 `toml:"gpus_max"`
	Closed  *bool    `toml:"closed"`
	Reset   bool     `toml:"reset"`
	Remove  bool     `toml:"remove"`
}

// ConfigFileClass is a class with the objectives that replace all that it has. If Reset is set,
// the class is reset instead and Objectives is ignored.
type ConfigFileClass struct {
	Name       string                  `toml:"name"`
	Objectives []record.ObjectiveEntry `toml:"objectives"`
	Reset      bool                    `toml:"reset"`
}

// ConfigFilePlace has the changes of a zone or a machine type.
type ConfigFilePlace struct {
	Name   string `toml:"name"`
	Closed *bool  `toml:"closed"`
	Reset  bool   `toml:"reset"`
}

// ParseConfigFile parses the text of a file of changes. A field that ConfigFile does not have
// is an error, which names the field.
func ParseConfigFile(b []byte) (*ConfigFile, error) {
	f := &ConfigFile{}
	if err := config.DecodeStrict(b, f); err != nil {
		return nil, err //nolint:wrapcheck // the caller wraps it with the name of the file
	}
	return f, nil
}

// Changes converts the file to changes, one for each team, class, zone, machine type and
// setting in it: in the order of the file within each list, and by name for settings.
func (f *ConfigFile) Changes() []ConfigChange {
	var changes []ConfigChange
	for _, team := range f.Teams {
		changes = append(changes, team.change())
	}
	for _, class := range f.Classes {
		changes = append(changes, class.change())
	}
	for _, zone := range f.Zones {
		changes = append(changes, zone.change(record.EntryZone))
	}
	for _, machineType := range f.Types {
		changes = append(changes, machineType.change(record.EntryType))
	}
	for _, name := range slices.Sorted(maps.Keys(f.Settings)) {
		value := f.Settings[name]
		changes = append(changes, ConfigChange{Entry: record.NewEntryID(record.EntrySetting, name), Value: &value})
	}
	return changes
}

// change converts the changes of a team.
func (t *ConfigFileTeam) change() ConfigChange {
	return ConfigChange{
		Entry:   record.NewEntryID(record.EntryTeam, t.Name),
		CPUs:    t.CPUs,
		MaxCPUs: t.MaxCPUs,
		GPUs:    t.GPUs,
		MaxGPUs: t.MaxGPUs,
		Closed:  t.Closed,
		Reset:   t.Reset,
		Remove:  t.Remove,
	}
}

// change converts a class to a change that resets it, or replaces its objectives. An empty list
// of objectives is not nil, so that it removes all objectives.
func (c *ConfigFileClass) change() ConfigChange {
	change := ConfigChange{Entry: record.NewEntryID(record.EntryClass, c.Name), Reset: c.Reset}
	if !c.Reset {
		objectives := append([]record.ObjectiveEntry{}, c.Objectives...)
		change.Objectives = &objectives
	}
	return change
}

// change converts the changes of a zone or a machine type, which kind says.
func (p *ConfigFilePlace) change(kind record.EntryKind) ConfigChange {
	return ConfigChange{Entry: record.NewEntryID(kind, p.Name), Closed: p.Closed, Reset: p.Reset}
}
